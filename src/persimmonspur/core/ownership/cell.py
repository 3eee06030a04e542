"""One member's view of its cell, as a state machine without I/O."""

from attrs import evolve

from persimmonspur.core.membership.tracker import MembershipTracker
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

# Delay between the turns of two possible writers, longer than a write and the propagation
# of its version take.
WRITER_STAGGER_MS = 1_500.0
FETCH_INTERVAL_MS = 500.0

# After two failed fetches from a peer, the third attempt reads from the object API.
FETCHES_PER_READ = 3
JOIN_READ_INTERVAL_MS = 5_000.0


class Cell:
    """Maintains the table of one cell and decides which budgets this member may use.

    Every event method returns the actions that the caller must carry out.
    All times are milliseconds of the member's own monotonic clock.
    """

    def __init__(self, name: str, member: Member) -> None:
        """Start without a table.

        :param name: name of the cell.
        :param member: this instance.
        """
        self.name = name
        self.table: CellTable | None = None
        self.known_version = 0
        self._known_version_source = ""
        self._configuration: OwnershipConfiguration | None = None
        self._membership = MembershipTracker(member)
        self._grants = Grants()
        self._store = StoreAccess()
        self._store_confirmation = StoreConfirmation()
        self._latest_rounds: dict[str, tuple[int, int]] = {}
        self._cached_proposal: tuple[object, CellTable | None] | None = None
        self._pending_write: CellTable | None = None
        self._write_attempts = 0
        self._change_needed_since_ms: float | None = None
        self._next_heartbeat_ms = 0.0
        self._next_fetch_ms = 0.0
        self._fetch_attempts = 0
        self._next_join_read_ms = 0.0
        self._ended = False

    @property
    def member(self) -> Member:
        """This instance; its incarnation increases when the cell removes it."""
        return self._membership.own_member

    @property
    def is_member(self) -> bool:
        """Whether the adopted table lists this incarnation."""
        return self._membership.is_member

    @property
    def leaving(self) -> bool:
        """Whether this member announced that it leaves."""
        return self._membership.leaving

    @property
    def table_version(self) -> int:
        """Version of the adopted table; 0 if none has been adopted yet."""
        return self.table.version if self.table is not None else 0

    @property
    def installed_version(self) -> int:
        """Highest table version that this member knows to be installed."""
        return self._grants.installation.installed_version

    def tick(self, now_ms: float) -> list[CellAction]:
        """Return the actions that are due; must be called at least every 100 ms."""
        if self._ended:
            return []
        self._membership.tick(now_ms)
        actions: list[CellAction] = []
        if now_ms >= self._next_heartbeat_ms:
            actions.extend(self._send_heartbeats(now_ms))
        self._update_validity(now_ms)
        actions.extend(self._fetch(now_ms))
        actions.extend(self._confirm_by_store(now_ms))
        actions.extend(self._propose(now_ms))
        return actions

    def configure(
        self, configuration: Configuration, now_ms: float, version: int = 0
    ) -> list[CellAction]:
        """Apply the configuration whose endpoints the cell serves.

        :param version: version of the configuration.
        """
        self._configuration = OwnershipConfiguration.from_configuration(configuration, version)
        self._membership.configure(configuration)
        return self._propose(now_ms)

    def observe_heartbeat(
        self,
        sender: str,
        incarnation: int,
        table_version: int,
        heartbeat: Heartbeat,
        now_ms: float,
    ) -> list[CellAction]:
        """Process a heartbeat from a peer.

        :param table_version: version of the sender's table.
        """
        sender_round = (incarnation, heartbeat.sequence)
        self._latest_rounds[sender] = max(self._latest_rounds.get(sender, (0, 0)), sender_round)
        self._membership.observe_heartbeat(sender, incarnation, table_version, heartbeat, now_ms)
        echoes_this_incarnation = heartbeat.echo_incarnation == self.member.incarnation
        if echoes_this_incarnation and table_version <= self.table_version:
            self._grants.confirmation.observe_echo(sender, incarnation, heartbeat.echo_sequence)
        return self.observe_version(sender, table_version, now_ms)

    def observe_version(self, sender: str, table_version: int, now_ms: float) -> list[CellAction]:
        """Process the table version that any message from a peer carries."""
        self._grants.installation.observe_vote(sender, table_version)
        if table_version > self.known_version:
            self.known_version = table_version
            self._next_fetch_ms = now_ms
            self._fetch_attempts = 0
        if table_version == self.known_version:
            self._known_version_source = sender
        self._update_validity(now_ms)
        return self._fetch(now_ms)

    def observe_table(self, table: CellTable, now_ms: float) -> list[CellAction]:
        """Process a table sent by a peer."""
        return self._adopt(table, now_ms)

    def observe_read(
        self, table: CellTable | None, stored_version: int, started_ms: float, now_ms: float
    ) -> list[CellAction]:
        """Process the result of a successful read.

        :param table: the stored table, ``None`` if there is none yet.
        :param stored_version: version of the object in the store.
        :param started_ms: when the read started.
        """
        self._store.finish()
        confirming = self._store_confirmation.finish_read()
        actions = self._adopt(table, now_ms) if table is not None else []
        if (table.version if table is not None else 0) < self.table_version:
            # The read was stale, or the table changed while it was in progress.
            return actions
        self._store.record_stored_version(self.table_version, stored_version)
        if confirming:
            actions.extend(self._continue_confirmation(now_ms))
        return [*actions, *self._write(now_ms)]

    def observe_read_failure(self, now_ms: float) -> list[CellAction]:
        """Process a failed read."""
        self._store.fail(now_ms)
        self._store_confirmation.finish_read()
        return []

    def observe_write(
        self, attempt: str, stored_version: int | None, now_ms: float
    ) -> list[CellAction]:
        """Process the result of a write.

        :param attempt: id of the write attempt.
        :param stored_version: the new stored version; ``None`` if the write lost a race
            or its reply was lost. The table is then read back; if the write took effect
            after all, it is adopted like any other.
        """
        self._store.finish()
        written, self._pending_write = self._pending_write, None
        if stored_version is None or written is None or written.attempt != attempt:
            return self._read(now_ms)
        self._store.record_stored_version(written.version, stored_version)
        return self._adopt(written, now_ms)

    def observe_confirmation(
        self, version: int, started_ms: float, stored_version: int | None, now_ms: float
    ) -> list[CellAction]:
        """Process the result of :class:`ConfirmTable`.

        :param version: version of the table that was rewritten.
        :param started_ms: when the update started.
        :param stored_version: the new stored version; ``None`` if the update lost a race
            or its reply was lost.
        """
        self._store.finish()
        self._store.record_stored_version(version, stored_version)
        if stored_version is not None:
            self._store_confirmation.observe_success()
            self._grants.confirmation.confirm_stored(started_ms)
        elif self.table is not None and self.is_member:
            position = sorted(self.table.members).index(self.member.name)
            self._store_confirmation.observe_conflict(position, now_ms)
        return []

    def observe_release(
        self, sender: str, version: int, endpoints: list[str], now_ms: float
    ) -> list[CellAction]:
        """Process a previous owner's message that it released budgets."""
        self._grants.observe_release(sender, version, endpoints)
        return []

    def observe_listing(self, names: frozenset[str], now_ms: float) -> list[CellAction]:
        """Process one result of the platform's instance list."""
        self._membership.observe_listing(names, now_ms)
        return []

    def begin_leaving(self, now_ms: float) -> list[CellAction]:
        """Announce that this instance leaves, so that its budgets move to other members.

        The other members stop referring callers to it.
        """
        self._membership.announce_leaving()
        return [*self._send_heartbeats(now_ms), *self._propose(now_ms)]

    def end(self, now_ms: float) -> list[CellAction]:
        """Stop using all budgets and announce the end of the process, right before it exits.

        The other members then don't have to wait for the suspicion timeout, and can remove
        even a majority of members that shut down together.
        """
        self._ended = True
        return self._send_heartbeats(now_ms)

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
        """Return the members that callers may be sent to, sorted by name."""
        return self._membership.list_live(now_ms)

    def should_poll_instance_list(self, now_ms: float) -> bool:
        """Return whether this member is one of the two that read the instance list frequently."""
        return self.is_member and self._membership.rank(f"{self.name}/listing", now_ms) < 2

    def _send_heartbeats(self, now_ms: float) -> list[CellAction]:
        self._next_heartbeat_ms = now_ms + HEARTBEAT_MS
        if self.table is None:
            return []
        sequence = self._grants.confirmation.start_round(now_ms)
        heard = self._membership.build_heard_bitmap(now_ms)
        leaving = self._membership.leaving
        joining = None if self.is_member or leaving or self._ended else self.member
        # An echo confirms the receiver's table. A member that knows of a newer table sends
        # none until it has adopted that, and a member that ended counts as having adopted it.
        withhold_echo = self._ended or self.known_version > self.table.version
        actions: list[CellAction] = []
        for name in self.table.members:
            if name == self.member.name:
                continue
            incarnation, latest_sequence = self._latest_rounds.get(name, (0, 0))
            echo = 0 if withhold_echo else latest_sequence
            heartbeat = Heartbeat(sequence, echo, incarnation, heard, leaving, joining, self._ended)
            actions.append(SendHeartbeat(name, heartbeat))
        return actions

    def _update_validity(self, now_ms: float) -> None:
        """Recompute the confirmed round and the installed version."""
        if self.table is None:
            return
        if self.is_member and self.known_version <= self.table.version:
            self._grants.confirmation.confirm(self.table, self.member.name)
        installation = self._grants.installation
        if installation.installed_version < self.table.version:
            ended = (
                self._membership.list_terminated(self.table, now_ms) | self.table.terminated.keys()
            )
            installation.update(self.table, self.member.name, ended, now_ms)
        installation.advance(now_ms)

    def _fetch(self, now_ms: float) -> list[CellAction]:
        """Request a newer table from a peer that has it, or else from the object API."""
        if now_ms < self._next_fetch_ms:
            return []
        if self.known_version > self.table_version:
            self._next_fetch_ms = now_ms + FETCH_INTERVAL_MS
            self._fetch_attempts += 1
            reachable = self.table is not None and self._known_version_source in self.table.members
            if reachable and self._fetch_attempts % FETCHES_PER_READ != 0:
                return [FetchTableFrom(self._known_version_source)]
            return self._read(now_ms)
        if self.table is not None and not self.is_member and now_ms >= self._next_join_read_ms:
            self._next_join_read_ms = now_ms + JOIN_READ_INTERVAL_MS
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
        """Start a change of the table if one is needed and it is this member's turn to write."""
        if self._store.is_busy(now_ms) or self._find_due_proposal(now_ms) is None:
            return []
        return self._read(now_ms)

    def _write(self, now_ms: float) -> list[CellAction]:
        proposal = self._find_due_proposal(now_ms)
        expected = self._store.find_stored_version(self.table_version)
        if proposal is None or expected is None or not self._store.begin(now_ms):
            return []
        self._write_attempts += 1
        attempt = f"{self.member.name}/{self.member.incarnation}/{self._write_attempts}"
        self._pending_write = evolve(proposal, attempt=attempt)
        return [WriteTable(self._pending_write, expected)]

    def _find_due_proposal(self, now_ms: float) -> CellTable | None:
        configuration = self._configuration
        if configuration is None or self.known_version > self.table_version:
            return None
        base = self.table if self.table is not None else CellTable(self.name, 0, "")
        installation = self._grants.installation
        # A change before the current version is installed would allow an owner of the
        # previous version to be confirmed by a majority that knows neither the current
        # version nor the change.
        if base.version > installation.installed_version:
            return None
        if base.configuration_version > configuration.version:
            return None
        fenced = installation.fenced_version >= base.version
        observations = self._membership.collect_observations(base, fenced, now_ms)
        cache_key = (base.version, configuration.version, observations)
        if self._cached_proposal is None or self._cached_proposal[0] != cache_key:
            self._cached_proposal = (cache_key, build_proposal(base, configuration, observations))
        proposal = self._cached_proposal[1]
        if proposal is None:
            self._change_needed_since_ms = None
            return None
        if self._change_needed_since_ms is None:
            self._change_needed_since_ms = now_ms
        delay_ms = self._membership.rank(f"{self.name}/{base.version}", now_ms) * WRITER_STAGGER_MS
        return proposal if now_ms - self._change_needed_since_ms >= delay_ms else None

    def _adopt(self, table: CellTable, now_ms: float) -> list[CellAction]:
        if table.version <= self.table_version or table.cell != self.name:
            return []
        former, self.table = self.table, table
        self.known_version = max(self.known_version, table.version)
        self._change_needed_since_ms = None
        self._cached_proposal = None
        self._membership.set_table(table, now_ms)
        actions: list[CellAction] = [AdoptTable(table)]
        if former is not None:
            actions.extend(self._grants.list_releases(former, table, self.member, now_ms))
        if self._membership.renew_incarnation(former, table):
            self._grants.confirmation.reset()
        self._update_validity(now_ms)
        # Sent immediately, as the change is installed only once the others know of it.
        return [*actions, *self._send_heartbeats(now_ms)]
