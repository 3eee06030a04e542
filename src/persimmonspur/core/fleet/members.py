"""Which instances live, from their heartbeats, and which of them callers are sent to."""

from collections.abc import Iterable

from attrs import define, frozen

from persimmonspur.core.ownership.rendezvous import rank_candidates

# Heartbeat interval of instances that callers are sent to: callers wait for a dead one
# until it is noticed.
ACTIVE_HEARTBEAT_MS = 300.0
# Heartbeat interval of the others.
IDLE_HEARTBEAT_MS = 1_000.0
# Datagrams are lost now and then; after this many missed heartbeats an instance is silent.
MISSED_HEARTBEATS = 4
# Link that the requests of one busy core fill, with answers of about 1 KB from each shard.
LINK_MBPS_PER_CORE = 40.0
# Failure domains that the entry set covers where there are as many.
ENTRY_DOMAINS = 2


@frozen
class Member:
    """One registered instance.

    :param incarnation: Unix milliseconds of its start.
    :param caller_address: where clients connect.
    :param peer_address: where other instances send heartbeats.
    :param capability: load that its machine bears, in cores; see :func:`measure_capability`.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str
    capability: float = 1.0


@define
class MemberState:
    """Liveness of one member.

    :param heard_ms: local time of the last heartbeat, or of the registration.
    :param interval_ms: in which the member said that its next heartbeat follows.
    """

    member: Member
    heard_ms: float
    heard_once: bool = False
    ready: bool = False
    interval_ms: float = IDLE_HEARTBEAT_MS

    def is_silent(self, now_ms: float) -> bool:
        """Return whether too many heartbeats are missing."""
        return now_ms - self.heard_ms > MISSED_HEARTBEATS * self.interval_ms


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

    def retain(self, names: frozenset[str], now_ms: float) -> None:
        """Drop silent instances that are no longer registered.

        :param names: the registered instances.
        """
        for name, state in list(self._states.items()):
            if name not in names and state.is_silent(now_ms):
                del self._states[name]

    def hear(
        self, member: Member, ready: bool, now_ms: float, interval_ms: float = IDLE_HEARTBEAT_MS
    ) -> bool:
        """Take a heartbeat.

        :param interval_ms: in which the next one follows.
        :returns: whether it changed who is ready.
        """
        if member.name == self.own.name:
            return False
        state = self._states.get(member.name)
        if state is not None and state.member.incarnation > member.incarnation:
            return False
        if state is None or state.member.incarnation < member.incarnation:
            state = self._states[member.name] = MemberState(member, now_ms)
        changed = state.ready != ready or state.is_silent(now_ms)
        state.interval_ms = interval_ms
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
            if state.heard_once and state.ready and not state.is_silent(now_ms):
                members.append(state.member)
        return members


def measure_capability(cores: float, link_mbps: float) -> float:
    """Return the load that a machine bears, in cores, whichever of its parts is full first.

    :param link_mbps: of the machine's link; 0 if it is not limited.
    """
    if link_mbps <= 0:
        return cores
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def choose_entry_set(members: Iterable[Member], size: int) -> list[Member]:
    """Choose the instances that callers are sent to.

    Few instances see more of each endpoint, reuse more connections and hold larger
    shares of the budgets. Capable machines go first. The set is stable: rendezvous ranks
    decide, failure domains take turns.

    :param size: number of instances; all if there are fewer.
    """
    by_domain: dict[str, dict[str, Member]] = {}
    for member in _select_capable(list(members), size):
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


def _select_capable(members: list[Member], size: int) -> list[Member]:
    """Return the instances on the most capable machines.

    A set of unequal machines is as fast as its slowest, since callers spread their
    requests evenly over it.
    """
    domains = min(ENTRY_DOMAINS, len({member.failure_domain for member in members}))
    wanted = min(size, len(members))
    least = max((member.capability for member in members), default=0.0) / 2
    while least > 0:
        capable = [member for member in members if member.capability >= least]
        if len(capable) >= wanted and len({m.failure_domain for m in capable}) >= domains:
            return capable
        least /= 2
    return members
