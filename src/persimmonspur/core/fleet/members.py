"""Which instances live and what they do, from their heartbeats."""

from attrs import define

from persimmonspur.core.fleet.roles import Member, choose_entry_set, choose_relays

# Heartbeat interval of instances that callers are sent to: callers wait for a dead one
# until it is noticed.
ENTRY_SET_HEARTBEAT_INTERVAL_MS = 300.0
# Heartbeat interval of the other relays.
RELAY_HEARTBEAT_INTERVAL_MS = 900.0
# Announced by instances that send a heartbeat only when their state changes.
NO_HEARTBEATS = 0.0
# Datagrams are lost now and then; after this many missed heartbeats an instance is silent.
MAX_MISSED_HEARTBEATS = 4
# An instance that takes a lost relay's place sends heartbeats as soon as it misses the
# relay itself; without one within this time it is gone as well.
FIRST_HEARTBEAT_TIMEOUT_MS = MAX_MISSED_HEARTBEATS * RELAY_HEARTBEAT_INTERVAL_MS
# A registration may follow the first heartbeat this much later.
REGISTER_MS = 10_000.0
# Time for which the choice of relays is kept if nothing is heard.
CHOICE_MS = 50.0


@define
class MemberLiveness:
    """Liveness of one member.

    :param heard_ms: local time of the last heartbeat, or of the registration.
    :param interval_ms: in which the member said that its next heartbeat follows.
    :param awaited_ms: since when a first heartbeat as a relay is due; ``None`` if none is.
    """

    member: Member
    heard_ms: float
    heard_once: bool = False
    ready: bool = False
    interval_ms: float = NO_HEARTBEATS
    awaited_ms: float | None = None

    def is_silent(self, now_ms: float) -> bool:
        """Return whether too many heartbeats are missing."""
        if self.interval_ms != NO_HEARTBEATS:
            return now_ms - self.heard_ms > MAX_MISSED_HEARTBEATS * self.interval_ms
        return self.awaited_ms is not None and now_ms - self.awaited_ms > FIRST_HEARTBEAT_TIMEOUT_MS


class Membership:
    """Registered instances and their liveness as one instance sees it.

    All know all by name, but only relays send heartbeats steadily. The relays are chosen
    by each instance for itself, by ranks that are the same everywhere, among those that
    last said that they are ready and are not silent; an instance that finds itself among
    them starts to send.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._own_ready = False
        self._states: dict[str, MemberLiveness] = {}
        self._relays: list[Member] = []
        self._chosen_ms: float | None = None

    @property
    def own_ready(self) -> bool:
        """Whether this instance takes requests."""
        return self._own_ready

    @own_ready.setter
    def own_ready(self, ready: bool) -> None:
        if ready != self._own_ready:
            self._own_ready = ready
            self._chosen_ms = None

    def register(self, member: Member, now_ms: float) -> None:
        """Add a registered instance, or a newer incarnation of one."""
        if member.name == self.own.name:
            return
        state = self._states.get(member.name)
        if state is not None and state.member.incarnation >= member.incarnation:
            return
        self._states[member.name] = MemberLiveness(member, now_ms)
        self._chosen_ms = None

    def retain(self, names: frozenset[str], now_ms: float) -> None:
        """Drop instances that are no longer registered, unless they still send heartbeats.

        :param names: the registered instances.
        """
        for name, state in list(self._states.items()):
            if name in names:
                continue
            unheard_ms = now_ms - state.heard_ms
            quiet = state.interval_ms == NO_HEARTBEATS and unheard_ms > REGISTER_MS
            if quiet or state.is_silent(now_ms):
                del self._states[name]
                self._chosen_ms = None

    def record_heartbeat(
        self,
        member: Member,
        ready: bool,
        now_ms: float,
        interval_ms: float = RELAY_HEARTBEAT_INTERVAL_MS,
    ) -> bool:
        """Take a heartbeat.

        :param interval_ms: in which the next one follows; :data:`NO_HEARTBEATS` if none does.
        :returns: whether it changed who is ready.
        """
        if member.name == self.own.name:
            return False
        state = self._states.get(member.name)
        if state is not None and state.member.incarnation > member.incarnation:
            return False
        if state is None or state.member.incarnation < member.incarnation:
            state = self._states[member.name] = MemberLiveness(member, now_ms)
        changed = state.ready != ready or state.is_silent(now_ms)
        if changed or not state.heard_once:
            self._chosen_ms = None
        state.interval_ms = interval_ms
        state.heard_ms = now_ms
        state.heard_once = True
        state.ready = ready
        state.awaited_ms = None
        return changed

    def peers(self) -> list[Member]:
        """Return all other registered instances."""
        return [state.member for state in self._states.values()]

    def relays(self, now_ms: float) -> list[Member]:
        """Return the relays, this instance included if it is one."""
        if self._chosen_ms is not None and now_ms - self._chosen_ms < CHOICE_MS:
            return self._relays
        candidates = [self.own] if self.own_ready else []
        for state in self._states.values():
            if state.heard_once and state.ready and not state.is_silent(now_ms):
                candidates.append(state.member)
        self._relays = choose_relays(candidates)
        self._chosen_ms = now_ms
        self._await_heartbeats(now_ms)
        return self._relays

    def is_relay(self, now_ms: float) -> bool:
        """Return whether this instance is a relay."""
        return any(relay.name == self.own.name for relay in self.relays(now_ms))

    def live_relays(self, now_ms: float) -> list[Member]:
        """Return the relays that send heartbeats, this instance included if it is one."""
        live = []
        for relay in self.relays(now_ms):
            state = self._states.get(relay.name)
            if state is None or state.interval_ms != NO_HEARTBEATS:
                live.append(relay)
        return live

    def entry_set(self, now_ms: float) -> list[Member]:
        """Return the instances that callers are sent to."""
        return choose_entry_set(self.live_relays(now_ms))

    def limit_participants(self, now_ms: float) -> frozenset[str]:
        """Return the instances among which a limit is divided that all keep together.

        Callers are sent to relays, so these divide it, together with the ones that would
        be chosen if all registered instances lived. An instance that hears nobody, or is
        no relay, takes one share among all registered ones.
        """
        registered = [self.own, *self.peers()]
        live = self.live_relays(now_ms)
        names = {member.name for member in choose_relays(registered)}
        names.update(member.name for member in live)
        alone = all(member.name == self.own.name for member in live)
        if alone or self.own.name not in names:
            return frozenset(member.name for member in registered)
        return frozenset(names)

    def _await_heartbeats(self, now_ms: float) -> None:
        """Start to wait for the relays that have sent nothing yet.

        One that was awaited in vain stays silent until it is heard, also once others
        have taken its place.
        """
        chosen = {relay.name for relay in self._relays}
        for name, state in self._states.items():
            if state.interval_ms != NO_HEARTBEATS:
                continue
            if name not in chosen:
                if not state.is_silent(now_ms):
                    state.awaited_ms = None
            elif state.awaited_ms is None:
                state.awaited_ms = now_ms
