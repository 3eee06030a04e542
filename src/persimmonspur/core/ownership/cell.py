"""One member's view of its cell, as a state machine without I/O."""

from attrs import evolve

from persimmonspur.core.membership.roster import Roster
from persimmonspur.core.ownership.actions import (
    AdoptTable,
    CellAction,
    ConfirmTable,
    FetchTableFrom,
    ReadTable,
    SendHeartbeat,
    WriteTable,
)
from persimmonspur.core.ownership.grants import Grants
from persimmonspur.core.ownership.proposal import OwnershipConfiguration, build_proposal
from persimmonspur.core.ownership.store import StoreAccess, StoreConfirmation
from persimmonspur.core.ownership.table import CellTable
from persimmonspur.core.ownership.validity import HEARTBEAT_MS, VALIDITY_MS
from persimmonspur.model.configuration import Configuration
from persimmonspur.model.member import Member
from persimmonspur.model.messages import Heartbeat

__all__ = ["HEARTBEAT_MS", "VALIDITY_MS", "Cell"]

# Longer than a write and the spread of its version take.
WRITER_STEP_MS = 1_500.0
FETCH_INTERVAL_MS = 500.0

# A fetch from peers that fails twice goes to the object API once.
FETCHES_PER_READ = 3
JOIN_READ_MS = 5_000.0


class Cell:
    """Keeps the table of one cell and decides what this member may use.

    Every event method returns the actions that the daemon must carry out.
    All times are the member's own monotonic milliseconds.
    """

    def __init__(self, name: str, member: Member) -> None:
        """Start outside the table.

        :param name: name of the cell.
        :param member: this instance.
        """
        self.name = name
        self.table: CellTable | None = None
        self.known_version = 0
        self._known_from = ""
        self._catalogue: OwnershipConfiguration | None = None
        self._roster = Roster(member)
        self._grants = Grants()
        self._store = StoreAccess()
        self._store_confirmation = StoreConfirmation()
        self._seen: dict[str, tuple[int, int]] = {}
        self._memo: tuple[object, CellTable | None] | None = None
        self._written: CellTable | None = None
        self._attempts = 0
        self._needed_ms: float | None = None
        self._next_heartbeat_ms = 0.0
        self._next_fetch_ms = 0.0
        self._fetches = 0
        self._next_join_read_ms = 0.0
        self._ended = False

    @property
    def member(self) -> Member:
        """This instance; its incarnation grows when the cell removes it."""
        return self._roster.own

    @property
    def is_member(self) -> bool:
        """Whether the adopted table names this incarnation."""
        return self._roster.is_member

    @property
    def leaving(self) -> bool:
        """Whether this member announced its end."""
        return self._roster.leaving

    @property
    def table_version(self) -> int:
        """Version of the adopted table; 0 before the first."""
        return self.table.version if self.table is not None else 0

    @property
    def installed_version(self) -> int:
        """Highest table version that this member knows to be installed."""
        return self._grants.installation.installed_version

    def tick(self, now_ms: float) -> list[CellAction]:
        """Do what is due; the daemon calls this at least every 100 ms."""
        if self._ended:
            return []
        self._roster.tick(now_ms)
        actions: list[CellAction] = []
        if now_ms >= self._next_heartbeat_ms:
            actions.extend(self._send_round(now_ms))
        self._refresh(now_ms)
        actions.extend(self._fetch(now_ms))
        actions.extend(self._confirm_by_store(now_ms))
        actions.extend(self._propose(now_ms))
        return actions

    def configure(
        self, configuration: Configuration, now_ms: float, version: int = 0
    ) -> list[CellAction]:
        """Take the configuration whose endpoints the cell serves.

        :param version: version of the configuration.
        """
        self._catalogue = OwnershipConfiguration.from_configuration(configuration, version)
        self._roster.configure(configuration)
        return self._propose(now_ms)

    def observe_heartbeat(
        self,
        sender: str,
        incarnation: int,
        table_version: int,
        heartbeat: Heartbeat,
        now_ms: float,
    ) -> list[CellAction]:
        """Take a peer's heartbeat.

        :param table_version: version of the sender's table.
        """
        latest = (incarnation, heartbeat.sequence)
        self._seen[sender] = max(self._seen.get(sender, (0, 0)), latest)
        self._roster.observe_heartbeat(sender, incarnation, table_version, heartbeat, now_ms)
        echoes_us = heartbeat.echo_incarnation == self.member.incarnation
        if echoes_us and table_version <= self.table_version:
            self._grants.confirmation.observe_echo(sender, incarnation, heartbeat.echo_sequence)
        return self.observe_version(sender, table_version, now_ms)

    def observe_version(self, sender: str, table_version: int, now_ms: float) -> list[CellAction]:
        """Take the table version that came with any message of a peer."""
        self._grants.installation.observe_vote(sender, table_version)
        if table_version > self.known_version:
            self.known_version = table_version
            self._next_fetch_ms = now_ms
            self._fetches = 0
        if table_version == self.known_version:
            self._known_from = sender
        self._refresh(now_ms)
        return self._fetch(now_ms)

    def observe_table(self, table: CellTable, now_ms: float) -> list[CellAction]:
        """Take a table that a peer sent."""
        return self._adopt(table, now_ms)

    def observe_read(
        self, table: CellTable | None, stored_version: int, started_ms: float, now_ms: float
    ) -> list[CellAction]:
        """Take the result of a successful read.

        :param table: the stored table, ``None`` if there is none yet.
        :param started_ms: when the read started.
        """
        self._store.finish()
        confirming = self._store_confirmation.finish_reading()
        actions = self._adopt(table, now_ms) if table is not None else []
        if (table.version if table is not None else 0) < self.table_version:
            # The read was stale, or the cell moved on while it ran.
            return actions
        self._store.remember(self.table_version, stored_version)
        if confirming:
            actions.extend(self._continue_confirmation(now_ms))
        return [*actions, *self._write(now_ms)]

    def observe_read_failure(self, now_ms: float) -> list[CellAction]:
        """Take a failed read."""
        self._store.fail(now_ms)
        self._store_confirmation.finish_reading()
        return []

    def observe_write(
        self, attempt: str, stored_version: int | None, now_ms: float
    ) -> list[CellAction]:
        """Take the result of a write.

        :param stored_version: the new stored version; ``None`` if the write lost a race
            or its reply was lost. The table is then read back: one with this attempt
            id took effect, and is adopted like any other.
        """
        self._store.finish()
        written, self._written = self._written, None
        if stored_version is None or written is None or written.attempt != attempt:
            return self._read(now_ms)
        self._store.remember(written.version, stored_version)
        return self._adopt(written, now_ms)

    def observe_confirmation(
        self, version: int, started_ms: float, stored_version: int | None, now_ms: float
    ) -> list[CellAction]:
        """Take the result of :class:`ConfirmTable`.

        :param version: version of the table that was rewritten.
        :param started_ms: when the update started.
        :param stored_version: ``None`` if it lost a race or its reply was lost.
        """
        self._store.finish()
        self._store.remember(version, stored_version)
        if stored_version is not None:
            self._store_confirmation.succeed()
            self._grants.confirmation.confirm_stored(started_ms)
        elif self.table is not None and self.is_member:
            position = sorted(self.table.members).index(self.member.name)
            self._store_confirmation.collide(position, now_ms)
        return []

    def observe_release(
        self, sender: str, version: int, endpoints: list[str], now_ms: float
    ) -> list[CellAction]:
        """Take a former owner's statement that it gave up budgets."""
        self._grants.observe_release(sender, version, endpoints)
        return []

    def observe_listing(self, names: frozenset[str], now_ms: float) -> list[CellAction]:
        """Take one reading of the platform's instance list."""
        self._roster.observe_listing(names, now_ms)
        return []

    def begin_leaving(self, now_ms: float) -> list[CellAction]:
        """Start to leave: hand over budgets; others stop naming this instance."""
        self._roster.announce_leaving()
        return [*self._send_round(now_ms), *self._propose(now_ms)]

    def shut_down(self, now_ms: float) -> list[CellAction]:
        """Give up every right and state so, right before the process ends.

        The others then need not wait for silence, and a majority may end at once.
        """
        self._ended = True
        return self._send_round(now_ms)

    def find_owner(self, endpoint: str) -> Member | None:
        """Return the member that owns an endpoint's budget, or ``None``."""
        if self.table is None:
            return None
        assignment = self.table.assignments.get(endpoint)
        return self.table.members.get(assignment.owner) if assignment is not None else None

    def usable_until(self, endpoint: str, now_ms: float) -> float:
        """Return until when this member may use an endpoint's budget.

        :returns: monotonic milliseconds; 0 if it may not use it now.
        """
        if self.table is None or self._ended:
            return 0.0
        return self._grants.usable_until(self.table, self.member, endpoint, now_ms)

    def count_valid_budgets(self, now_ms: float) -> int:
        """Return the number of endpoints that this member may use now."""
        names = self.table.assignments if self.table is not None else {}
        return sum(self.usable_until(name, now_ms) > 0 for name in names)

    def count_owned_budgets(self) -> int:
        """Return the number of endpoints that the table assigns to this member."""
        assignments = self.table.assignments if self.table is not None else {}
        return sum(entry.owner == self.member.name for entry in assignments.values())

    def list_live_members(self, now_ms: float) -> list[Member]:
        """Return the members that callers may be sent to, by name."""
        return self._roster.list_live(now_ms)

    def should_poll_instance_list(self, now_ms: float) -> bool:
        """Return whether this member is one of the two that read the instance list often."""
        return self.is_member and self._roster.rank(f"{self.name}/listing", now_ms) < 2

    def _send_round(self, now_ms: float) -> list[CellAction]:
        self._next_heartbeat_ms = now_ms + HEARTBEAT_MS
        if self.table is None:
            return []
        sequence = self._grants.confirmation.start_round(now_ms)
        heard = self._roster.build_bitmap(now_ms)
        leaving = self._roster.leaving
        joining = None if self.is_member or leaving or self._ended else self.member
        # A member that knows of a newer table confirms nobody until it has it,
        # and one that ended counts as having it.
        mute = self._ended or self.known_version > self.table.version
        actions: list[CellAction] = []
        for name in self.table.members:
            if name == self.member.name:
                continue
            incarnation, seen = self._seen.get(name, (0, 0))
            echo = 0 if mute else seen
            heartbeat = Heartbeat(sequence, echo, incarnation, heard, leaving, joining, self._ended)
            actions.append(SendHeartbeat(name, heartbeat))
        return actions

    def _refresh(self, now_ms: float) -> None:
        """Draw conclusions from the echoes and votes."""
        if self.table is None:
            return
        if self.is_member and self.known_version <= self.table.version:
            self._grants.confirmation.confirm(self.table, self.member.name)
        installation = self._grants.installation
        if installation.installed_version < self.table.version:
            ended = self._roster.list_ended(self.table, now_ms) | self.table.terminated.keys()
            installation.update(self.table, self.member.name, ended, now_ms)
        installation.advance(now_ms)

    def _fetch(self, now_ms: float) -> list[CellAction]:
        """Get a newer table: from a peer that has it, or else from the object API."""
        if now_ms < self._next_fetch_ms:
            return []
        if self.known_version > self.table_version:
            self._next_fetch_ms = now_ms + FETCH_INTERVAL_MS
            self._fetches += 1
            reachable = self.table is not None and self._known_from in self.table.members
            if reachable and self._fetches % FETCHES_PER_READ != 0:
                return [FetchTableFrom(self._known_from)]
            return self._read(now_ms)
        if self.table is not None and not self.is_member and now_ms >= self._next_join_read_ms:
            self._next_join_read_ms = now_ms + JOIN_READ_MS
            return self._read(now_ms)
        return []

    def _read(self, now_ms: float) -> list[CellAction]:
        return [ReadTable()] if self._store.begin(now_ms) else []

    def _confirm_by_store(self, now_ms: float) -> list[CellAction]:
        if not self.is_member or self.known_version > self.table_version:
            return []
        confirmed_ms = self._grants.confirmation.confirmed_ms
        if not self._store_confirmation.is_due(confirmed_ms, now_ms):
            return []
        if not self._store.begin(now_ms):
            return []
        self._store_confirmation.begin(now_ms)
        return [ReadTable()]

    def _continue_confirmation(self, now_ms: float) -> list[CellAction]:
        if self.table is None or not self.is_member:
            return []
        stored_version = self._store.find_stored_version(self.table.version)
        if stored_version is None or not self._store.begin(now_ms):
            return []
        return [ConfirmTable(self.table, stored_version)]

    def _propose(self, now_ms: float) -> list[CellAction]:
        """Start to change the table if that is needed and this member's turn."""
        if self._store.is_busy(now_ms) or self._find_due_proposal(now_ms) is None:
            return []
        return self._read(now_ms)

    def _write(self, now_ms: float) -> list[CellAction]:
        proposal = self._find_due_proposal(now_ms)
        expected = self._store.find_stored_version(self.table_version)
        if proposal is None or expected is None or not self._store.begin(now_ms):
            return []
        self._attempts += 1
        attempt = f"{self.member.name}/{self.member.incarnation}/{self._attempts}"
        self._written = evolve(proposal, attempt=attempt)
        return [WriteTable(self._written, expected)]

    def _find_due_proposal(self, now_ms: float) -> CellTable | None:
        catalogue = self._catalogue
        if catalogue is None or self.known_version > self.table_version:
            return None
        base = self.table if self.table is not None else CellTable(self.name, 0, "")
        installation = self._grants.installation
        # A change before the present version is installed would let an owner
        # of the version before it find a majority that knows of neither.
        if base.version > installation.installed_version:
            return None
        if base.configuration_version > catalogue.version:
            return None
        settled = installation.settled_version >= base.version
        evidence = self._roster.collect_observations(base, settled, now_ms)
        basis = (base.version, catalogue.version, evidence)
        if self._memo is None or self._memo[0] != basis:
            self._memo = (basis, build_proposal(base, catalogue, evidence))
        proposal = self._memo[1]
        if proposal is None:
            self._needed_ms = None
            return None
        if self._needed_ms is None:
            self._needed_ms = now_ms
        delay_ms = self._roster.rank(f"{self.name}/{base.version}", now_ms) * WRITER_STEP_MS
        return proposal if now_ms - self._needed_ms >= delay_ms else None

    def _adopt(self, table: CellTable, now_ms: float) -> list[CellAction]:
        if table.version <= self.table_version or table.cell != self.name:
            return []
        former, self.table = self.table, table
        self.known_version = max(self.known_version, table.version)
        self._needed_ms = None
        self._memo = None
        self._roster.watch(table, now_ms)
        actions: list[CellAction] = [AdoptTable(table)]
        if former is not None:
            actions.extend(self._grants.list_releases(former, table, self.member, now_ms))
        if self._roster.renew_incarnation(former, table):
            self._grants.confirmation.forget()
        self._refresh(now_ms)
        # Sent at once, since the change is installed only when others know of it.
        return [*actions, *self._send_round(now_ms)]
