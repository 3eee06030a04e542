"""Which budgets this member may use, and until when."""

from persimmonspur.core.ownership.actions import ReleaseBudgets
from persimmonspur.core.ownership.table import Assignment, CellTable
from persimmonspur.core.ownership.validity import VALIDITY_MS, Confirmation, Installation
from persimmonspur.model.member import Member


class Grants:
    """Combines confirmation, installation and releases."""

    def __init__(self) -> None:
        self.confirmation = Confirmation()
        self.installation = Installation()
        self._releases: dict[str, tuple[str, int]] = {}

    def observe_release(self, sender: str, version: int, endpoints: list[str]) -> None:
        """Take a former owner's statement that it gave up budgets.

        :param version: table version under which the sender stopped.
        """
        for key in endpoints:
            if version > self._releases.get(key, ("", 0))[1]:
                self._releases[key] = (sender, version)

    def usable_until(self, table: CellTable, own: Member, key: str, now_ms: float) -> float:
        """Return until when a budget may be used; 0 if it may not be used now."""
        assignment = table.assignments.get(key)
        if assignment is None or not _is_owned(assignment, own):
            return 0.0
        until_ms = self.confirmation.confirmed_ms + VALIDITY_MS
        if until_ms <= now_ms or not self.is_granted(key, assignment, now_ms):
            return 0.0
        return until_ms

    def is_granted(self, key: str, assignment: Assignment, now_ms: float) -> bool:
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
        for endpoint, held in former.assignments.items():
            receiver = self._find_receiver(endpoint, held, table, own, now_ms)
            if receiver:
                endpoints.setdefault(receiver, []).append(endpoint)
        return [
            ReleaseBudgets(receiver, table.version, tuple(endpoints[receiver]))
            for receiver in sorted(endpoints)
        ]

    def _find_receiver(
        self, key: str, held: Assignment, table: CellTable, own: Member, now_ms: float
    ) -> str:
        if not _is_owned(held, own) or not self.is_granted(key, held, now_ms):
            return ""
        present = table.assignments.get(key)
        # With another owner in between, this member cannot speak for it.
        if present is None or present.previous_moved_at != held.moved_at_version:
            return ""
        return "" if present.owner == own.name else present.owner


def _is_owned(assignment: Assignment, own: Member) -> bool:
    return (assignment.owner, assignment.incarnation) == (own.name, own.incarnation)
