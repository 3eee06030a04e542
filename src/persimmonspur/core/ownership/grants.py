"""Decides which budgets this member may use, and until when."""

from persimmonspur.core.ownership.actions import ReleaseBudgets
from persimmonspur.core.ownership.table import Assignment, CellTable
from persimmonspur.core.ownership.validity import (
    VALIDITY_MS,
    InstallationTracker,
    ValidityConfirmation,
)
from persimmonspur.model.member import Member


class Grants:
    """Grants budgets by validity, installed table versions and releases of former owners."""

    def __init__(self) -> None:
        self.confirmation = ValidityConfirmation()
        self.installation = InstallationTracker()
        self._releases: dict[str, tuple[str, int]] = {}

    def observe_release(self, sender: str, version: int, endpoints: list[str]) -> None:
        """Record that a previous owner released budgets.

        :param version: table version because of which the sender stopped using them.
        """
        for key in endpoints:
            if version > self._releases.get(key, ("", 0))[1]:
                self._releases[key] = (sender, version)

    def usable_until(self, table: CellTable, own_member: Member, key: str, now_ms: float) -> float:
        """Return until when a budget may be used; 0 if it may not be used now."""
        assignment = table.assignments.get(key)
        if assignment is None or not _is_owned_by(assignment, own_member):
            return 0.0
        until_ms = self.confirmation.confirmed_ms + VALIDITY_MS
        if until_ms <= now_ms or not self.is_granted(key, assignment, now_ms):
            return 0.0
        return until_ms

    def is_granted(self, key: str, assignment: Assignment, now_ms: float) -> bool:
        """Return whether all former owners of a budget have stopped using it.

        They have if their validity has expired since the table change was installed, or
        if the last one released the budget because of that change or a later one.
        """
        if assignment.previous == "":
            return True
        self.installation.advance(now_ms)
        if assignment.moved_at_version <= self.installation.fenced_version:
            return True
        sender, version = self._releases.get(key, ("", 0))
        return sender == assignment.previous and version >= assignment.moved_at_version

    def list_releases(
        self, former: CellTable, table: CellTable, own_member: Member, now_ms: float
    ) -> list[ReleaseBudgets]:
        """Return a release per new owner for the budgets that a new table moves away.

        :param former: the table before.
        """
        endpoints: dict[str, list[str]] = {}
        for endpoint, assignment in former.assignments.items():
            receiver = self._find_receiver(endpoint, assignment, table, own_member, now_ms)
            if receiver:
                endpoints.setdefault(receiver, []).append(endpoint)
        return [
            ReleaseBudgets(receiver, table.version, tuple(endpoints[receiver]))
            for receiver in sorted(endpoints)
        ]

    def _find_receiver(
        self,
        key: str,
        former_assignment: Assignment,
        table: CellTable,
        own_member: Member,
        now_ms: float,
    ) -> str:
        if not _is_owned_by(former_assignment, own_member) or not self.is_granted(
            key, former_assignment, now_ms
        ):
            return ""
        assignment = table.assignments.get(key)
        # If there was another owner in between, that one may still use the budget.
        if assignment is None or assignment.previous_moved_at != former_assignment.moved_at_version:
            return ""
        return "" if assignment.owner == own_member.name else assignment.owner


def _is_owned_by(assignment: Assignment, member: Member) -> bool:
    return (assignment.owner, assignment.incarnation) == (member.name, member.incarnation)
