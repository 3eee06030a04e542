"""Which instances live, from their heartbeats, and which of them callers are sent to."""

from collections.abc import Iterable

from attrs import define, frozen

from persimmonspur.core.ownership.rendezvous import rank_candidates

HEARTBEAT_MS = 500.0
SUSPECT_MS = 2_000.0
# An instance that was registered but never heard counts as alive for this long
# after its registration became known.
GRACE_MS = 2_000.0


@frozen
class Member:
    """One registered instance.

    :param incarnation: Unix milliseconds of its start.
    :param caller_address: where clients connect.
    :param peer_address: where other instances send heartbeats.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str


@define
class MemberState:
    """Liveness of one member.

    :param heard_ms: local time of the last heartbeat, or of the registration.
    """

    member: Member
    heard_ms: float
    heard_once: bool = False
    ready: bool = False


class Membership:
    """Registered instances and their liveness as one instance sees it."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.own_ready = False
        self._states: dict[str, MemberState] = {}

    def register(self, member: Member, now_ms: float) -> None:
        """Add a registered instance, or a newer incarnation of one."""
        if member.name == self.own.name:
            return
        state = self._states.get(member.name)
        if state is not None and state.member.incarnation >= member.incarnation:
            return
        self._states[member.name] = MemberState(member, now_ms)

    def unregister(self, name: str) -> None:
        """Remove an instance that left for good."""
        self._states.pop(name, None)

    def hear(self, member: Member, ready: bool, now_ms: float) -> bool:
        """Take a heartbeat.

        :returns: whether it changed who is ready.
        """
        if member.name == self.own.name:
            return False
        state = self._states.get(member.name)
        if state is not None and state.member.incarnation > member.incarnation:
            return False
        if state is None or state.member.incarnation < member.incarnation:
            state = self._states[member.name] = MemberState(member, now_ms)
        changed = state.ready != ready or now_ms - state.heard_ms > SUSPECT_MS
        state.heard_ms = now_ms
        state.heard_once = True
        state.ready = ready
        return changed

    def peers(self) -> list[Member]:
        """Return all other registered instances."""
        return [state.member for state in self._states.values()]

    def ready_members(self, now_ms: float) -> list[Member]:
        """Return the live instances that take requests, this one included if it does."""
        members = [self.own] if self.own_ready else []
        for state in self._states.values():
            if state.heard_once and state.ready and now_ms - state.heard_ms <= SUSPECT_MS:
                members.append(state.member)
        return members

    def count_registered(self) -> int:
        """Return the number of registered instances, this one included."""
        return 1 + len(self._states)


def choose_entry_set(members: Iterable[Member], size: int) -> list[Member]:
    """Choose the instances that callers are sent to.

    Few instances see more of each endpoint, reuse more connections and hold larger
    shares of the budgets. The set is stable: rendezvous ranks decide, failure
    domains take turns.

    :param size: number of instances; all if there are fewer.
    """
    by_domain: dict[str, dict[str, Member]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, {})[member.name] = member
    queues: list[list[Member]] = []
    for domain in rank_candidates(dict.fromkeys(by_domain, 1.0), "entry-domains"):
        named = by_domain[domain]
        ranked = rank_candidates(dict.fromkeys(named, 1.0), "entry-set")
        queues.append([named[name] for name in ranked])
    chosen: list[Member] = []
    position = 0
    while len(chosen) < size and any(position < len(queue) for queue in queues):
        for queue in queues:
            if position < len(queue) and len(chosen) < size:
                chosen.append(queue[position])
        position += 1
    return chosen
