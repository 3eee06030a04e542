"""Hold-down of flapping instances: after a removal a member gets no budgets for some time."""

from collections.abc import Mapping

from persimmonspur.core.ownership.table import CellTable

MIN_HOLD_DOWN_MS = 5_000.0
MAX_HOLD_DOWN_MS = 300_000.0
REMOVAL_RETENTION_MS = 600_000.0


def compute_hold_down_ms(removals: int) -> float:
    """Return how long an instance that was removed and joined again gets no budgets.

    :param removals: removals in the last ten minutes; each further one doubles the time up to
        :data:`MAX_HOLD_DOWN_MS`.
    """
    if removals <= 0:
        return 0.0
    return min(MIN_HOLD_DOWN_MS * 2.0 ** min(removals - 1, 16), MAX_HOLD_DOWN_MS)


class HoldDown:
    """Times the hold-down on this member's clock.

    The removal counts are stored in the table, so they survive the restart of any
    member; only the time since this member first saw an entry is local.
    """

    def __init__(self) -> None:
        self._held_since_ms: dict[tuple[str, int], float] = {}
        self._removed_since_ms: dict[tuple[str, int], float] = {}

    def set_table(self, table: CellTable, now_ms: float) -> None:
        """Switch to a new table; a timer starts for each entry that it adds or changes."""
        held = [(m.name, m.incarnation) for m in table.members.values() if m.weight <= 0]
        self._held_since_ms = _keep_start_times(self._held_since_ms, held, now_ms)
        removed = [(name, removal.count) for name, removal in table.removals.items()]
        self._removed_since_ms = _keep_start_times(self._removed_since_ms, removed, now_ms)

    def list_expired(self, table: CellTable, now_ms: float) -> frozenset[str]:
        """Return the members whose hold-down is over."""
        expired = set()
        for (name, _), since_ms in self._held_since_ms.items():
            removal = table.removals.get(name)
            count = removal.count if removal is not None else 0
            if now_ms - since_ms >= compute_hold_down_ms(count):
                expired.add(name)
        return frozenset(expired)

    def list_expired_removals(self, now_ms: float) -> frozenset[str]:
        """Return the names whose last removal is older than :data:`REMOVAL_RETENTION_MS`."""
        return frozenset(
            name
            for (name, _), since_ms in self._removed_since_ms.items()
            if now_ms - since_ms >= REMOVAL_RETENTION_MS
        )


def _keep_start_times(
    start_times_ms: Mapping[tuple[str, int], float], entries: list[tuple[str, int]], now_ms: float
) -> dict[tuple[str, int], float]:
    return {entry: start_times_ms.get(entry, now_ms) for entry in entries}
