"""One member's view of which other members are alive, joining, leaving or ended."""

from attrs import evolve

from persimmonspur.core.membership.detector import SUSPICION_TIMEOUT_MS, FailureDetector
from persimmonspur.core.membership.holddown import HoldDown
from persimmonspur.core.membership.termination import TerminationReports
from persimmonspur.core.ownership.proposal import Observations
from persimmonspur.core.ownership.table import CellTable
from persimmonspur.core.rendezvous import rank_candidates
from persimmonspur.model.configuration import Configuration, DesiredState
from persimmonspur.model.member import Member, MemberState
from persimmonspur.model.messages import Heartbeat

REBALANCE_INTERVAL_MS = 5_000.0

# The last of 24 possible writers waits for 23 stagger delays and still renews within 300,000 ms.
RENEWAL_INTERVAL_MS = 250_000.0

# Lets instances that start together all become members before the first assignments.
FORMATION_DELAY_MS = 2_000.0

# A longer gap between two ticks is taken as a pause of the process.
PAUSE_THRESHOLD_MS = 1_000.0


class MembershipTracker:
    """Combines failure detection, hold-down and reports of ended instances.

    :param own_member: this member; :meth:`renew_incarnation` replaces it.
    """

    def __init__(self, own_member: Member) -> None:
        self.own_member = own_member
        self.terminations = TerminationReports()
        self._detector = FailureDetector(own_member.name)
        self._hold_down = HoldDown()
        self._joiners: dict[str, tuple[Member, float]] = {}
        self._leaving_incarnations: dict[str, int] = {}
        self._desired: dict[str, DesiredState] = {}
        self._table: CellTable | None = None
        self._table_adopted_ms = 0.0
        self._last_tick_ms: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether this member announced that it leaves."""
        return self._announced_leaving(self.own_member)

    @property
    def is_member(self) -> bool:
        """Whether the adopted table lists this incarnation."""
        return self._table is not None and self.is_listed_in(self._table)

    def is_listed_in(self, table: CellTable) -> bool:
        """Return whether a table lists this incarnation."""
        entry = table.members.get(self.own_member.name)
        return entry is not None and entry.incarnation == self.own_member.incarnation

    def renew_incarnation(self, former: CellTable | None, table: CellTable) -> bool:
        """Switch to a new incarnation if a table rules out the current one.

        This happens when the cell removed this member, or when an earlier process of
        this instance had a higher incarnation because the clock that incarnations are
        derived from was set back.

        :param former: the table before.
        :returns: whether the incarnation changed.
        """
        if self.is_listed_in(table):
            return False
        name, highest_used = self.own_member.name, 0
        if name in table.members:
            highest_used = table.members[name].incarnation
        if name in table.removals:
            highest_used = max(highest_used, table.removals[name].incarnation)
        if former is not None and self.is_listed_in(former):
            highest_used = max(highest_used, self.own_member.incarnation)
        if highest_used < self.own_member.incarnation:
            return False
        leaving = self.leaving
        self.own_member = evolve(self.own_member, incarnation=highest_used + 1)
        if leaving:
            self.announce_leaving()
        return True

    def announce_leaving(self) -> None:
        """Record that this member is about to leave."""
        self._leaving_incarnations[self.own_member.name] = self.own_member.incarnation

    def tick(self, now_ms: float) -> None:
        """Reset the failure detector if this process was paused since the last tick."""
        if self._last_tick_ms is not None and now_ms - self._last_tick_ms > PAUSE_THRESHOLD_MS:
            self._detector.reset_timeouts(now_ms)
        self._last_tick_ms = now_ms

    def configure(self, configuration: Configuration) -> None:
        """Apply the desired states and declared terminations of a configuration."""
        self._desired = dict(configuration.instances)
        self.terminations.observe_declared(configuration.terminated, self._get_incarnations())

    def set_table(self, table: CellTable, now_ms: float) -> None:
        """Switch to a newly adopted table."""
        self._detector.set_table(table, self._table, now_ms)
        self._hold_down.set_table(table, now_ms)
        self._table = table
        self._table_adopted_ms = now_ms
        self._joiners = {
            name: entry
            for name, entry in self._joiners.items()
            if name not in table.members or table.members[name].incarnation < entry[0].incarnation
        }

    def observe_heartbeat(
        self, sender: str, incarnation: int, table_version: int, heartbeat: Heartbeat, now_ms: float
    ) -> None:
        """Process a heartbeat from a peer.

        :param table_version: version of the sender's table.
        """
        if heartbeat.leaving:
            self._leaving_incarnations[sender] = max(
                self._leaving_incarnations.get(sender, 0), incarnation
            )
        if heartbeat.ended:
            self.terminations.observe_end(sender, incarnation)
        joining = heartbeat.joining
        if joining is not None and (joining.name, joining.incarnation) == (sender, incarnation):
            self._joiners[sender] = (joining, now_ms)
        member = self._table.members.get(sender) if self._table is not None else None
        if member is not None and member.incarnation == incarnation:
            self._detector.observe_heartbeat(sender, table_version, heartbeat.heard, now_ms)

    def observe_listing(self, names: frozenset[str], now_ms: float) -> None:
        """Process one result of the instance list."""
        self.terminations.observe_listing(names, self._get_incarnations(), now_ms)

    def build_heard_bitmap(self, now_ms: float) -> int:
        """Return the members heard within the suspicion timeout, one bit each in name order."""
        return self._detector.build_heard_bitmap(now_ms)

    def list_terminated(self, table: CellTable, now_ms: float) -> frozenset[str]:
        """Return the members that announced their end or are both reported as ended and silent."""
        terminated = set()
        for name, member in table.members.items():
            if self.terminations.get_announced_end(name) >= member.incarnation:
                terminated.add(name)
                continue
            reported = self.terminations.get_reported_end(name) >= member.incarnation
            if reported and not self._detector.is_heard(name, now_ms):
                terminated.add(name)
        return frozenset(terminated)

    def list_live(self, now_ms: float) -> list[Member]:
        """Return the members that callers may be sent to, sorted by name.

        A member that hears only a minority is probably cut off itself and returns
        all serving members.
        """
        if self._table is None:
            return []
        serving = [m for _, m in sorted(self._table.members.items()) if self._is_serving(m)]
        heard = [member for member in serving if self._detector.is_heard(member.name, now_ms)]
        return heard if 2 * len(heard) > len(serving) else serving

    def rank(self, key: str, now_ms: float) -> int:
        """Return the number of live members that precede this one in the ranking for a key.

        An instance that is not a member ranks last, so it acts only if no member does.
        """
        members = self._table.members if self._table is not None else {}
        rank = 0
        for name in rank_candidates(dict.fromkeys(members, 1.0), key):
            if name == self.own_member.name:
                if self.is_member:
                    return rank
                continue
            rank += self._detector.is_heard(name, now_ms)
        return rank + 1 if members else 0

    def collect_observations(self, base: CellTable, fenced: bool, now_ms: float) -> Observations:
        """Return the observations from which the next table is built.

        :param base: the current table.
        :param fenced: whether the owners of all earlier versions have lost their validity.
        """
        joiners = [
            m for m, heard_ms in self._joiners.values() if now_ms - heard_ms < SUSPICION_TIMEOUT_MS
        ]
        if not self.is_listed_in(base) and not self.leaving:
            joiners.append(self.own_member)
        joiners.sort(key=lambda member: member.name)
        leaving = frozenset(
            member.name
            for member in base.members.values()
            if member.state is not MemberState.LEAVING and self._announced_leaving(member)
        )
        table_age_ms = now_ms - self._table_adopted_ms if base.version else 0.0
        return Observations(
            self._detector.list_unreachable(base, now_ms) if self.is_member else frozenset(),
            tuple(joiners),
            leaving,
            self.list_terminated(base, now_ms),
            self._hold_down.list_expired(base, now_ms),
            self._hold_down.list_expired_removals(now_ms),
            fenced,
            table_age_ms >= REBALANCE_INTERVAL_MS,
            table_age_ms >= RENEWAL_INTERVAL_MS,
            table_age_ms >= FORMATION_DELAY_MS,
        )

    def _is_serving(self, member: Member) -> bool:
        if member.state is MemberState.LEAVING or self._announced_leaving(member):
            return False
        return self._desired.get(member.name, DesiredState.SERVING) is DesiredState.SERVING

    def _announced_leaving(self, member: Member) -> bool:
        return self._leaving_incarnations.get(member.name, 0) >= member.incarnation

    def _get_incarnations(self) -> dict[str, int]:
        members = self._table.members if self._table is not None else {}
        return {name: member.incarnation for name, member in members.items()}
