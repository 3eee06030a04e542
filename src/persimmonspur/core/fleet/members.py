"""Liveness of the instances and their roles, derived from heartbeats."""

from attrs import define

from persimmonspur.core.fleet.roles import Member, choose_entry_set, choose_relays

# Heartbeat interval of instances that clients are directed to. It is shorter, because clients
# wait for a dead instance until its failure is detected.
ENTRY_SET_HEARTBEAT_INTERVAL_MS = 300.0
# Heartbeat interval of the other relays.
RELAY_HEARTBEAT_INTERVAL_MS = 900.0
# Interval announced by instances that send a heartbeat only when their state changes.
NO_HEARTBEATS = 0.0
# An instance is silent after this many missed heartbeats; single datagrams may get lost.
MAX_MISSED_HEARTBEATS = 4
# An instance that replaces a lost relay starts to send heartbeats once it detects the loss
# itself. If none arrives within this time, the replacement is lost as well.
FIRST_HEARTBEAT_TIMEOUT_MS = MAX_MISSED_HEARTBEATS * RELAY_HEARTBEAT_INTERVAL_MS
# A registration may appear in the list of instances this long after the first heartbeat.
REGISTRATION_GRACE_MS = 10_000.0
# Time for which the selected relays are cached while no member changes.
RELAY_SELECTION_CACHE_MS = 50.0


@define
class MemberLiveness:
    """Liveness of one member.

    :param last_seen_ms: local time of the last heartbeat, or of the registration.
    :param has_heartbeat: whether this incarnation has sent a heartbeat.
    :param interval_ms: announced time until the next heartbeat.
    :param expected_since_ms: local time since which the first heartbeat of the member as a
        relay is expected; ``None`` if none is.
    """

    member: Member
    last_seen_ms: float
    has_heartbeat: bool = False
    ready: bool = False
    interval_ms: float = NO_HEARTBEATS
    expected_since_ms: float | None = None

    def is_silent(self, now_ms: float) -> bool:
        """Return whether too many heartbeats are missing."""
        if self.interval_ms != NO_HEARTBEATS:
            return now_ms - self.last_seen_ms > MAX_MISSED_HEARTBEATS * self.interval_ms
        return (
            self.expected_since_ms is not None
            and now_ms - self.expected_since_ms > FIRST_HEARTBEAT_TIMEOUT_MS
        )


class Membership:
    """Registered instances and their liveness as observed by this instance.

    :ivar listed: whether the registered instances were read from the store.

    Every instance knows all others by name, but only relays send heartbeats periodically.
    Each instance selects the relays on its own, by a ranking that is the same everywhere,
    among the instances that are not silent and last announced that they are ready. An
    instance that selects itself starts to send heartbeats.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._own_ready = False
        self._states: dict[str, MemberLiveness] = {}
        self.listed = False
        self._relays: list[Member] = []
        self._relays_selected_ms: float | None = None

    @property
    def own_ready(self) -> bool:
        """Whether this instance accepts requests."""
        return self._own_ready

    @own_ready.setter
    def own_ready(self, ready: bool) -> None:
        if ready != self._own_ready:
            self._own_ready = ready
            self._relays_selected_ms = None

    def register(self, member: Member, now_ms: float) -> None:
        """Add a registered instance, or a newer incarnation of one."""
        if member.name == self.own.name:
            return
        state = self._states.get(member.name)
        if state is not None and state.member.incarnation >= member.incarnation:
            return
        self._states[member.name] = MemberLiveness(member, now_ms)
        self._relays_selected_ms = None

    def retain(self, names: frozenset[str], now_ms: float) -> None:
        """Drop instances that are no longer registered, unless they still send heartbeats.

        :param names: names of the registered instances.
        """
        self.listed = True
        for name, state in list(self._states.items()):
            if name in names:
                continue
            silence_ms = now_ms - state.last_seen_ms
            expired = state.interval_ms == NO_HEARTBEATS and silence_ms > REGISTRATION_GRACE_MS
            if expired or state.is_silent(now_ms):
                del self._states[name]
                self._relays_selected_ms = None

    def record_heartbeat(
        self,
        member: Member,
        ready: bool,
        now_ms: float,
        interval_ms: float = RELAY_HEARTBEAT_INTERVAL_MS,
    ) -> bool:
        """Update a member from a heartbeat.

        :param interval_ms: time until the next heartbeat; :data:`NO_HEARTBEATS` if none
            follows.
        :returns: whether the set of ready instances changed.
        """
        if member.name == self.own.name:
            return False
        state = self._states.get(member.name)
        if state is not None and state.member.incarnation > member.incarnation:
            return False
        if state is None or state.member.incarnation < member.incarnation:
            state = self._states[member.name] = MemberLiveness(member, now_ms)
        changed = state.ready != ready or state.is_silent(now_ms)
        if changed or not state.has_heartbeat:
            self._relays_selected_ms = None
        state.interval_ms = interval_ms
        state.last_seen_ms = now_ms
        state.has_heartbeat = True
        state.ready = ready
        state.expected_since_ms = None
        return changed

    def peers(self) -> list[Member]:
        """Return all other registered instances."""
        return [state.member for state in self._states.values()]

    def relays(self, now_ms: float) -> list[Member]:
        """Return the relays, this instance included if it is one."""
        if (
            self._relays_selected_ms is not None
            and now_ms - self._relays_selected_ms < RELAY_SELECTION_CACHE_MS
        ):
            return self._relays
        candidates = [self.own] if self.own_ready else []
        for state in self._states.values():
            if state.has_heartbeat and state.ready and not state.is_silent(now_ms):
                candidates.append(state.member)
        self._relays = choose_relays(candidates)
        self._relays_selected_ms = now_ms
        self._expect_heartbeats(now_ms)
        return self._relays

    def expected_relays(self) -> list[Member]:
        """Return the relays that would be chosen if all registered instances lived."""
        return choose_relays([self.own, *self.peers()])

    def find_peer(self, name: str) -> Member | None:
        """Return another registered instance by its name."""
        state = self._states.get(name)
        return state.member if state is not None else None

    def is_heard(self, name: str, now_ms: float) -> bool:
        """Return whether a peer is ready and not silent."""
        state = self._states.get(name)
        if state is None or not state.has_heartbeat or not state.ready:
            return False
        return not state.is_silent(now_ms)

    def is_relay(self, now_ms: float) -> bool:
        """Return whether this instance is a relay."""
        return any(relay.name == self.own.name for relay in self.relays(now_ms))

    def live_relays(self, now_ms: float) -> list[Member]:
        """Return the relays that send heartbeats, this instance included if it is one."""
        live_relays = []
        for relay in self.relays(now_ms):
            state = self._states.get(relay.name)
            if state is None or state.interval_ms != NO_HEARTBEATS:
                live_relays.append(relay)
        return live_relays

    def entry_set(self, now_ms: float) -> list[Member]:
        """Return the instances that clients are directed to."""
        return choose_entry_set(self.live_relays(now_ms))

    def limit_participants(self, now_ms: float) -> frozenset[str]:
        """Return the names of the instances among which a fleet-wide limit is divided.

        Clients are directed to relays, so a limit is divided among the live relays and the
        instances that would be relays if all registered ones were alive. An instance that
        receives no heartbeats of relays, or is no relay itself, takes one share among all
        registered instances.
        """
        live_relays = self.live_relays(now_ms)
        names = {member.name for member in self.expected_relays()}
        names.update(member.name for member in live_relays)
        no_peer_relays = all(member.name == self.own.name for member in live_relays)
        if no_peer_relays or self.own.name not in names:
            return frozenset(member.name for member in (self.own, *self.peers()))
        return frozenset(names)

    def _expect_heartbeats(self, now_ms: float) -> None:
        """Start the timeout for the first heartbeat of newly selected relays.

        A relay whose first heartbeat did not arrive in time counts as silent until it sends
        one, even after others have replaced it.
        """
        relay_names = {relay.name for relay in self._relays}
        for name, state in self._states.items():
            if state.interval_ms != NO_HEARTBEATS:
                continue
            if name not in relay_names:
                if not state.is_silent(now_ms):
                    state.expected_since_ms = None
            elif state.expected_since_ms is None:
                state.expected_since_ms = now_ms
