"""Everything that a member knows about the presence of others."""

from attrs import evolve

from persimmonspur.core.membership.detector import SUSPICION_MS, Detector
from persimmonspur.core.membership.holddown import Holddown
from persimmonspur.core.membership.termination import TerminationLog
from persimmonspur.core.ownership.proposal import Observations
from persimmonspur.core.ownership.table import CellTable
from persimmonspur.core.rendezvous import rank_candidates
from persimmonspur.model.configuration import Configuration, Desired
from persimmonspur.model.member import Member, MemberState
from persimmonspur.model.messages import Heartbeat

BALANCE_INTERVAL_MS = 5_000.0

# With 23 writers' delays before it, the last one still renews within 300,000 ms.
RENEWAL_MS = 250_000.0

# Instances that start together are all members before the first assignments.
FORMATION_MS = 2_000.0

# A longer gap between two ticks means that the process was paused.
PAUSE_MS = 1_000.0


class Roster:
    """Joins the detector, the hold-down and the reports of ended instances.

    :param own: this member; :meth:`assume` replaces it.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.terminations = TerminationLog()
        self._detector = Detector(own.name)
        self._holddown = Holddown()
        self._joiners: dict[str, tuple[Member, float]] = {}
        self._leaving_incarnations: dict[str, int] = {}
        self._desired: dict[str, Desired] = {}
        self._table: CellTable | None = None
        self._adopted_ms = 0.0
        self._last_tick_ms: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether this member announced its end."""
        return self._announced_leaving(self.own)

    @property
    def is_member(self) -> bool:
        """Whether the adopted table names this incarnation."""
        return self._table is not None and self.is_in(self._table)

    def is_in(self, table: CellTable) -> bool:
        """Return whether a table names this incarnation."""
        entry = table.members.get(self.own.name)
        return entry is not None and entry.incarnation == self.own.incarnation

    def renew_incarnation(self, former: CellTable | None, table: CellTable) -> bool:
        """Take a new incarnation if a table rules out the present one.

        That is so when the cell removed it, or when a predecessor had a higher
        number because the clock that numbers incarnations was set back.

        :param former: the table before.
        :returns: whether the incarnation changed.
        """
        if self.is_in(table):
            return False
        name, taken = self.own.name, 0
        if name in table.members:
            taken = table.members[name].incarnation
        if name in table.removals:
            taken = max(taken, table.removals[name].incarnation)
        if former is not None and self.is_in(former):
            taken = max(taken, self.own.incarnation)
        if taken < self.own.incarnation:
            return False
        leaving = self.leaving
        self.own = evolve(self.own, incarnation=taken + 1)
        if leaving:
            self.announce_leaving()
        return True

    def announce_leaving(self) -> None:
        """Note that this member is about to end."""
        self._leaving_incarnations[self.own.name] = self.own.incarnation

    def tick(self, now_ms: float) -> None:
        """Recognise pauses of this process."""
        if self._last_tick_ms is not None and now_ms - self._last_tick_ms > PAUSE_MS:
            self._detector.excuse_all(now_ms)
        self._last_tick_ms = now_ms

    def configure(self, configuration: Configuration) -> None:
        """Take what operators want of instances."""
        self._desired = dict(configuration.instances)
        self.terminations.observe_declared(configuration.terminated, self._list_incarnations())

    def watch(self, table: CellTable, now_ms: float) -> None:
        """Take an adopted table."""
        self._detector.watch(table, self._table, now_ms)
        self._holddown.watch(table, now_ms)
        self._table = table
        self._adopted_ms = now_ms
        self._joiners = {
            name: entry
            for name, entry in self._joiners.items()
            if name not in table.members or table.members[name].incarnation < entry[0].incarnation
        }

    def observe_heartbeat(
        self, sender: str, incarnation: int, version: int, heartbeat: Heartbeat, now_ms: float
    ) -> None:
        """Take a peer's heartbeat.

        :param version: version of the sender's table.
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
            self._detector.observe(sender, version, heartbeat.heard, now_ms)

    def observe_listing(self, names: frozenset[str], now_ms: float) -> None:
        """Take one reading of the instance list."""
        self.terminations.observe_listing(names, self._list_incarnations(), now_ms)

    def build_bitmap(self, now_ms: float) -> int:
        """Return the members that this member hears, one bit each in name order."""
        return self._detector.build_bitmap(now_ms)

    def list_ended(self, table: CellTable, now_ms: float) -> frozenset[str]:
        """Return the members that stated their end, or are silent and were reported as ended."""
        ended = set()
        for name, member in table.members.items():
            if self.terminations.get_ended_incarnation(name) >= member.incarnation:
                ended.add(name)
                continue
            reported = self.terminations.get_ended(name) >= member.incarnation
            if reported and not self._detector.hears(name, now_ms):
                ended.add(name)
        return frozenset(ended)

    def list_live(self, now_ms: float) -> list[Member]:
        """Return the members that callers may be sent to, by name.

        A member that hears only a minority cannot tell who is silent and
        returns all that serve.
        """
        if self._table is None:
            return []
        serving = [m for _, m in sorted(self._table.members.items()) if self._is_serving(m)]
        heard = [member for member in serving if self._detector.hears(member.name, now_ms)]
        return heard if 2 * len(heard) > len(serving) else serving

    def rank(self, key: str, now_ms: float) -> int:
        """Return the number of live members that come before this one.

        Outsiders come last: they act only once nobody else can.
        """
        members = self._table.members if self._table is not None else {}
        rank = 0
        for name in rank_candidates(dict.fromkeys(members, 1.0), key):
            if name == self.own.name:
                if self.is_member:
                    return rank
                continue
            rank += self._detector.hears(name, now_ms)
        return rank + 1 if members else 0

    def collect_observations(self, base: CellTable, settled: bool, now_ms: float) -> Observations:
        """Return what may call for a change of a table.

        :param settled: whether no owner of an earlier version can still act.
        """
        joiners = [m for m, at_ms in self._joiners.values() if now_ms - at_ms < SUSPICION_MS]
        if not self.is_in(base) and not self.leaving:
            joiners.append(self.own)
        joiners.sort(key=lambda member: member.name)
        leaving = frozenset(
            member.name
            for member in base.members.values()
            if member.state is not MemberState.LEAVING and self._announced_leaving(member)
        )
        rest_ms = now_ms - self._adopted_ms if base.version else 0.0
        return Observations(
            self._detector.list_lost(base, now_ms) if self.is_member else frozenset(),
            tuple(joiners),
            leaving,
            self.list_ended(base, now_ms),
            self._holddown.list_ready(base, now_ms),
            self._holddown.list_forgotten(now_ms),
            settled,
            rest_ms >= BALANCE_INTERVAL_MS,
            rest_ms >= RENEWAL_MS,
            rest_ms >= FORMATION_MS,
        )

    def _is_serving(self, member: Member) -> bool:
        if member.state is MemberState.LEAVING or self._announced_leaving(member):
            return False
        return self._desired.get(member.name, Desired.SERVING) is Desired.SERVING

    def _announced_leaving(self, member: Member) -> bool:
        return self._leaving_incarnations.get(member.name, 0) >= member.incarnation

    def _list_incarnations(self) -> dict[str, int]:
        members = self._table.members if self._table is not None else {}
        return {name: member.incarnation for name, member in members.items()}
