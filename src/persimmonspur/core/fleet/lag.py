"""Detects that this instance lags behind the positions that its peers announce."""

from persimmonspur.core.fleet.position import NO_POSITION, StorePosition

# Instances learn of the same change at slightly different times.
LAG_TOLERANCE_MS = 600.0


class LagDetector:
    """Compares the store positions that peers announce with the position of this instance.

    A watch of the store can hang on a connection or a call that is never answered. Only a
    newer position at a peer reveals that.
    """

    def __init__(self) -> None:
        self._newest_announced = NO_POSITION
        self._behind_since_ms = 0.0

    def observe(self, announced: StorePosition, own: StorePosition, now_ms: float) -> bool:
        """Compare the position that a peer announces.

        :param own: position of this instance.
        :returns: whether this instance has been behind for :data:`LAG_TOLERANCE_MS`. While
            it stays behind, this is reported again each time that much time has passed.
        """
        if self._newest_announced <= own:
            self._newest_announced = NO_POSITION
        if announced <= own:
            return False
        if self._newest_announced == NO_POSITION:
            self._behind_since_ms = now_ms
        self._newest_announced = max(self._newest_announced, announced)
        if now_ms - self._behind_since_ms < LAG_TOLERANCE_MS:
            return False
        self._behind_since_ms = now_ms
        return True
