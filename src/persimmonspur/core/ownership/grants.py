"""Which budgets this member may use, and until when."""

from persimmonspur.core.ownership.actions import ReleaseBudgets
from persimmonspur.core.ownership.table import Assignment, CellTable
from persimmonspur.core.ownership.validity import VALIDITY_MS, Confirmation, Installation
from persimmonspur.model.member import Member

Key = str | int
"""Name of an endpoint or number of a claim partition."""


class Grants:
    """Combines confirmation, installation and releases."""

    def __init__(self) -> None:
        self.confirmation = Confirmation()
        self.installation = Installation()
        self._releases: dict[Key, tuple[str, int]] = {}

    def observe_release(self, sender: str, version: int, keys: list[Key]) -> None:
        """Take a former owner's statement that it gave up budgets.

        :param version: table version under which the sender stopped.
        """
        for key in keys:
            if version > self._releases.get(key, ("", 0))[1]:
                self._releases[key] = (sender, version)

    def usable_until(self, table: CellTable, own: Member, key: Key, now_ms: float) -> float:
        """Return until when a budget may be used; 0 if it may not be used now."""
        assignment = find_assignment(table, key)
        if assignment is None or not _is_owned(assignment, own):
            return 0.0
        until_ms = self.confirmation.confirmed_ms + VALIDITY_MS
        if until_ms <= now_ms or not self.is_granted(key, assignment, now_ms):
            return 0.0
        return until_ms

    def is_granted(self, key: Key, assignment: Assignment, now_ms: float) -> bool:
        """Return whether all former owners of a budget have stopped."""
        if assignment.previous == "":
            return True
        self.installation.advance(now_ms)
        if assignment.moved_at_version <= self.installation.settled_version:
            return True
        sender, version = self._releases.get(key, ("", 0))
        return sender == assignment.previous and version >= assignment.moved_at_version

    def list_releases(
        self, former: CellTable, table: CellTable, own: Member, now_ms: float
    ) -> list[ReleaseBudgets]:
        """Return what a new table takes away from this member, by new owner."""
        endpoints: dict[str, list[str]] = {}
        partitions: dict[str, list[int]] = {}
        for endpoint, held in former.assignments.items():
            receiver = self._find_receiver(endpoint, held, table, own, now_ms)
            if receiver:
                endpoints.setdefault(receiver, []).append(endpoint)
        for partition, held in former.claim_owners.items():
            receiver = self._find_receiver(partition, held, table, own, now_ms)
            if receiver:
                partitions.setdefault(receiver, []).append(partition)
        return [
            ReleaseBudgets(
                receiver,
                table.version,
                tuple(endpoints.get(receiver, ())),
                tuple(partitions.get(receiver, ())),
            )
            for receiver in sorted(endpoints.keys() | partitions.keys())
        ]

    def _find_receiver(
        self, key: Key, held: Assignment, table: CellTable, own: Member, now_ms: float
    ) -> str:
        if not _is_owned(held, own) or not self.is_granted(key, held, now_ms):
            return ""
        present = find_assignment(table, key)
        # With another owner in between, this member cannot speak for it.
        if present is None or present.previous_moved_at != held.moved_at_version:
            return ""
        return "" if present.owner == own.name else present.owner


def find_assignment(table: CellTable, key: Key) -> Assignment | None:
    """Return the assignment of an endpoint or claim partition, or ``None``."""
    if isinstance(key, int):
        return table.claim_owners.get(key)
    return table.assignments.get(key)


def _is_owned(assignment: Assignment, own: Member) -> bool:
    return (assignment.owner, assignment.incarnation) == (own.name, own.incarnation)
