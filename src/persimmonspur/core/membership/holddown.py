"""Keeps instances that come and go without budgets for a while."""

from collections.abc import Mapping

from persimmonspur.core.ownership.table import CellTable

SHORTEST_MS = 5_000.0
LONGEST_MS = 300_000.0
MEMORY_MS = 600_000.0


def compute_hold_ms(removals: int) -> float:
    """Return how long a returned instance gets no budgets.

    :param removals: removals in the last ten minutes.
    """
    if removals <= 0:
        return 0.0
    return min(SHORTEST_MS * 2.0 ** min(removals - 1, 16), LONGEST_MS)


class Holddown:
    """Times the hold-down on this member's clock.

    The counts are in the table, so that they outlive every member; only the
    time since this member first saw an entry is local.
    """

    def __init__(self) -> None:
        self._held: dict[tuple[str, int], float] = {}
        self._remembered: dict[tuple[str, int], float] = {}

    def watch(self, table: CellTable, now_ms: float) -> None:
        """Take a new table."""
        held = [(m.name, m.incarnation) for m in table.members.values() if m.weight <= 0]
        self._held = _keep(self._held, held, now_ms)
        remembered = [(name, removal.count) for name, removal in table.removals.items()]
        self._remembered = _keep(self._remembered, remembered, now_ms)

    def list_ready(self, table: CellTable, now_ms: float) -> frozenset[str]:
        """Return the members whose hold-down is over."""
        ready = set()
        for (name, _), since_ms in self._held.items():
            removal = table.removals.get(name)
            count = removal.count if removal is not None else 0
            if now_ms - since_ms >= compute_hold_ms(count):
                ready.add(name)
        return frozenset(ready)

    def list_forgotten(self, now_ms: float) -> frozenset[str]:
        """Return the names whose last removal was long ago."""
        return frozenset(
            name
            for (name, _), since_ms in self._remembered.items()
            if now_ms - since_ms >= MEMORY_MS
        )


def _keep(
    known: Mapping[tuple[str, int], float], present: list[tuple[str, int]], now_ms: float
) -> dict[tuple[str, int], float]:
    return {entry: known.get(entry, now_ms) for entry in present}
