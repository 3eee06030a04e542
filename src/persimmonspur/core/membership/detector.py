"""Heartbeat-based failure detection with a majority vote."""

from attrs import frozen

from persimmonspur.core.ownership.table import CellTable, count_majority

SUSPICION_TIMEOUT_MS = 3_500.0


@frozen
class _PeerReport:
    table_version: int
    heard_bitmap: int
    received_ms: float


class FailureDetector:
    """Tracks which members each member receives heartbeats from.

    :param own_name: name of this member, which always counts as heard.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._last_heard_ms: dict[str, float] = {}
        self._peer_reports: dict[str, _PeerReport] = {}
        self._sorted_names: list[str] = []

    def set_table(self, table: CellTable, former: CellTable | None, now_ms: float) -> None:
        """Switch to a new table; new incarnations count as heard at ``now_ms``.

        :param former: the table before.
        """
        last_heard_ms = {}
        for name, member in table.members.items():
            entry = former.members.get(name) if former is not None else None
            unchanged = entry is not None and entry.incarnation == member.incarnation
            last_heard_ms[name] = self._last_heard_ms.get(name, now_ms) if unchanged else now_ms
        self._last_heard_ms = last_heard_ms
        self._sorted_names = sorted(table.members)

    def observe_heartbeat(
        self, name: str, table_version: int, heard_bitmap: int, now_ms: float
    ) -> None:
        """Record a heartbeat from a member's current incarnation.

        :param table_version: version of the table whose member order the bitmap follows.
        :param heard_bitmap: members that the sender hears, one bit each in name order.
        """
        if name in self._last_heard_ms:
            self._last_heard_ms[name] = now_ms
            self._peer_reports[name] = _PeerReport(table_version, heard_bitmap, now_ms)

    def reset_timeouts(self, now_ms: float) -> None:
        """Restart all timeouts after a pause of this process, which could not receive anything."""
        self._last_heard_ms = dict.fromkeys(self._last_heard_ms, now_ms)

    def is_heard(self, name: str, now_ms: float) -> bool:
        """Return whether a heartbeat of the member arrived within the suspicion timeout."""
        if name == self._own_name:
            return True
        return (
            name in self._last_heard_ms
            and now_ms - self._last_heard_ms[name] < SUSPICION_TIMEOUT_MS
        )

    def build_heard_bitmap(self, now_ms: float) -> int:
        """Return the members heard within the suspicion timeout, one bit each in name order."""
        bitmap = 0
        for index, name in enumerate(self._sorted_names):
            if self.is_heard(name, now_ms):
                bitmap |= 1 << index
        return bitmap

    def list_unreachable(self, table: CellTable, now_ms: float) -> frozenset[str]:
        """Return the members that this member and enough others for a majority do not hear.

        Only reports that refer to the same table version count.
        """
        unreachable = set()
        for index, name in enumerate(self._sorted_names):
            if self.is_heard(name, now_ms):
                continue
            votes = 1
            for voter, report in self._peer_reports.items():
                if not self.is_heard(voter, now_ms) or report.table_version != table.version:
                    continue
                votes += not report.heard_bitmap >> index & 1
            if votes >= count_majority(len(table.members)):
                unreachable.add(name)
        return frozenset(unreachable)
