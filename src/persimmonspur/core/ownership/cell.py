"""One member's view of its cell, as a state machine without I/O."""

from attrs import evolve

from persimmonspur.core.ownership.actions import (
    AdoptTable,
    CellAction,
    FetchTableFrom,
    ReadTable,
    SendHeartbeat,
    WriteTable,
)
from persimmonspur.core.ownership.rendezvous import rank_candidates
from persimmonspur.core.ownership.table import Assignment, CellTable
from persimmonspur.model.configuration import Configuration
from persimmonspur.model.member import Member
from persimmonspur.model.messages import Heartbeat

HEARTBEAT_MS = 1_000.0
VALIDITY_MS = 4_000.0
CLAIM_PARTITIONS = 32


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
        self.member = member
        self.table: CellTable | None = None
        self._stored_version = 0
        self._configuration: Configuration | None = None
        self._attempts = 0
        self._writing = False
        self._reading = False
        self._sequence = 0
        self._next_heartbeat_ms = 0.0
        self._seen: dict[str, tuple[int, int]] = {}

    @property
    def table_version(self) -> int:
        """Version of the adopted table; 0 before the first."""
        return self.table.version if self.table is not None else 0

    def tick(self, now_ms: float) -> list[CellAction]:
        """Do what is due; the daemon calls this at least every 100 ms."""
        actions: list[CellAction] = []
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + HEARTBEAT_MS
            actions.extend(self._build_heartbeats())
            actions.extend(self._propose(now_ms))
        return actions

    def configure(self, configuration: Configuration, now_ms: float) -> list[CellAction]:
        """Take the configuration whose endpoints the cell serves."""
        self._configuration = configuration
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
        self._seen[sender] = (incarnation, heartbeat.sequence)
        return self.observe_version(sender, table_version, now_ms)

    def observe_version(self, sender: str, table_version: int, now_ms: float) -> list[CellAction]:
        """Take the table version that came with any message of a peer."""
        if table_version <= self.table_version:
            return []
        if self.table is not None and sender in self.table.members:
            return [FetchTableFrom(sender)]
        # The sender joined after this table, so there is no address to ask it at.
        if self._reading:
            return []
        self._reading = True
        return [ReadTable()]

    def observe_table(self, table: CellTable, now_ms: float) -> list[CellAction]:
        """Take a table that a peer sent."""
        return self._adopt(table)

    def observe_read(
        self, table: CellTable | None, stored_version: int, started_ms: float, now_ms: float
    ) -> list[CellAction]:
        """Take the result of a successful read.

        :param table: the stored table, ``None`` if there is none yet.
        :param started_ms: when the read started.
        """
        self._reading = False
        self._stored_version = stored_version
        actions = self._adopt(table) if table is not None else []
        return actions + self._write_proposal(now_ms)

    def observe_read_failure(self, now_ms: float) -> list[CellAction]:
        """Take a failed read."""
        self._reading = False
        return []

    def observe_write(
        self, attempt: str, stored_version: int | None, now_ms: float
    ) -> list[CellAction]:
        """Take the result of a write.

        :param stored_version: the new stored version; ``None`` if the write lost a race
            or its reply was lost.
        """
        self._writing = False
        return []

    def observe_release(
        self, sender: str, version: int, endpoints: list[str], partitions: list[int], now_ms: float
    ) -> list[CellAction]:
        """Take a former owner's statement that it gave up budgets."""
        return []

    def begin_leaving(self, now_ms: float) -> list[CellAction]:
        """Start to leave: hand over budgets; others stop naming this instance."""
        return []

    def find_owner(self, endpoint: str) -> Member | None:
        """Return the member that owns an endpoint's budget, or ``None``."""
        if self.table is None:
            return None
        assignment = self.table.assignments.get(endpoint)
        if assignment is None:
            return None
        return self.table.members.get(assignment.owner)

    def find_claim_owner(self, partition: int) -> Member | None:
        """Return the member that owns a claim partition, or ``None``."""
        if self.table is None:
            return None
        assignment = self.table.claim_owners.get(partition)
        if assignment is None:
            return None
        return self.table.members.get(assignment.owner)

    def usable_until(self, endpoint: str, now_ms: float) -> float:
        """Return until when this member may use an endpoint's budget.

        :returns: monotonic milliseconds; 0 if it may not use it now.
        """
        owner = self.find_owner(endpoint)
        if owner is None or owner.name != self.member.name:
            return 0.0
        return now_ms + VALIDITY_MS

    def partition_usable_until(self, partition: int, now_ms: float) -> float:
        """Return until when this member may record claims of a partition; 0 if not now."""
        owner = self.find_claim_owner(partition)
        if owner is None or owner.name != self.member.name:
            return 0.0
        return now_ms + VALIDITY_MS

    def list_live_members(self, now_ms: float) -> list[Member]:
        """Return the members that callers may be sent to, by name."""
        if self.table is None:
            return []
        return [self.table.members[name] for name in sorted(self.table.members)]

    def _build_heartbeats(self) -> list[CellAction]:
        self._sequence += 1
        actions: list[CellAction] = []
        if self.table is None:
            return actions
        for name in self.table.members:
            if name == self.member.name:
                continue
            incarnation, sequence = self._seen.get(name, (0, 0))
            actions.append(SendHeartbeat(name, Heartbeat(self._sequence, sequence, incarnation, 0)))
        return actions

    def _propose(self, now_ms: float) -> list[CellAction]:
        if self._configuration is None or self._reading or self._writing:
            return []
        if self.table is not None and self._compute_table() is None:
            return []
        self._reading = True
        return [ReadTable()]

    def _write_proposal(self, now_ms: float) -> list[CellAction]:
        proposal = self._compute_table()
        if proposal is None:
            return []
        self._writing = True
        return [WriteTable(proposal, self._stored_version)]

    def _compute_table(self) -> CellTable | None:
        if self._configuration is None:
            return None
        base = self.table if self.table is not None else CellTable(self.name, 0, "")
        version = base.version + 1
        members = {**base.members, self.member.name: self.member}
        weights = {name: member.weight for name, member in members.items()}
        assignments = {}
        for service in self._configuration.services:
            for endpoint in service.endpoints:
                owner = members[rank_candidates(weights, endpoint.name)[0]]
                assignments[endpoint.name] = _assign(
                    base.assignments.get(endpoint.name), owner, version
                )
        claim_owners = {}
        for partition in range(CLAIM_PARTITIONS):
            owner = members[rank_candidates(weights, f"claims/{partition}")[0]]
            claim_owners[partition] = _assign(base.claim_owners.get(partition), owner, version)
        same = (members, assignments, claim_owners)
        if same == (base.members, base.assignments, base.claim_owners):
            return None
        self._attempts += 1
        attempt = f"{self.member.name}/{self.member.incarnation}/{self._attempts}"
        return evolve(
            base,
            version=version,
            attempt=attempt,
            members=members,
            joint_members=frozenset(base.members),
            assignments=assignments,
            claim_owners=claim_owners,
        )

    def _adopt(self, table: CellTable) -> list[CellAction]:
        if table.version <= self.table_version:
            return []
        self.table = table
        return [AdoptTable(table)]


def _assign(current: Assignment | None, owner: Member, version: int) -> Assignment:
    if current is None:
        return Assignment(owner.name, owner.incarnation, version)
    if (current.owner, current.incarnation) == (owner.name, owner.incarnation):
        return current
    return Assignment(owner.name, owner.incarnation, version, current.owner)
