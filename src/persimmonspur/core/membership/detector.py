"""Which members are silent, and for whom."""

from attrs import frozen

from persimmonspur.core.ownership.table import CellTable, count_majority

SUSPICION_MS = 3_500.0


@frozen
class _View:
    version: int
    heard: int
    at_ms: float


class Detector:
    """Collects who hears whom.

    :param own_name: name of this member, which always hears itself.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._heard: dict[str, float] = {}
        self._views: dict[str, _View] = {}
        self._order: list[str] = []

    def watch(self, table: CellTable, former: CellTable | None, now_ms: float) -> None:
        """Take a new table; new incarnations count as heard just now."""
        heard = {}
        for name, member in table.members.items():
            before = former.members.get(name) if former is not None else None
            same = before is not None and before.incarnation == member.incarnation
            heard[name] = self._heard.get(name, now_ms) if same else now_ms
        self._heard = heard
        self._order = sorted(table.members)

    def observe(self, name: str, version: int, heard: int, now_ms: float) -> None:
        """Take a heartbeat of a member's present incarnation.

        :param version: table version by which the sender numbers the members.
        """
        if name in self._heard:
            self._heard[name] = now_ms
            self._views[name] = _View(version, heard, now_ms)

    def excuse_all(self, now_ms: float) -> None:
        """Start all silence anew after this process was paused: it could hear nobody."""
        self._heard = dict.fromkeys(self._heard, now_ms)

    def hears(self, name: str, now_ms: float) -> bool:
        """Return whether this member heard another within the suspicion time."""
        if name == self._own_name:
            return True
        return name in self._heard and now_ms - self._heard[name] < SUSPICION_MS

    def build_bitmap(self, now_ms: float) -> int:
        """Return the members that this member hears, one bit each in name order."""
        bitmap = 0
        for index, name in enumerate(self._order):
            if self.hears(name, now_ms):
                bitmap |= 1 << index
        return bitmap

    def list_lost(self, table: CellTable, now_ms: float) -> frozenset[str]:
        """Return the members that neither this member nor a majority hears."""
        lost = set()
        for index, name in enumerate(self._order):
            if self.hears(name, now_ms):
                continue
            votes = 1
            for voter, view in self._views.items():
                if not self.hears(voter, now_ms) or view.version != table.version:
                    continue
                votes += not view.heard >> index & 1
            if votes >= count_majority(len(table.members)):
                lost.add(name)
        return frozenset(lost)
