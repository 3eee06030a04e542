"""Detects that this instance lags behind the positions that its peers announce."""

from typing import Generic, TypeVar

from persimmonspur.core.fleet.position import StorePosition

P = TypeVar("P", int, StorePosition)

# Instances learn of the same change at slightly different times.
LAG_TOLERANCE_MS = 600.0


class LagDetector(Generic[P]):
    """Compares the store positions that peers announce with the position of this instance.

    A watch of the store can hang on a connection or a call that is never answered. Only a
    newer position at a peer reveals that.
    """

    def __init__(self) -> None:
        self._newest_announced: P | None = None
        self._behind_since_ms = 0.0

    def observe(self, announced: P, own: P, now_ms: float) -> bool:
        """Compare the position or version that a peer announces.

        :param own: that of this instance.
        :returns: whether this instance has been behind for :data:`LAG_TOLERANCE_MS`. While
            it stays behind, this is reported again each time that much time has passed.
        """
        newest = self._newest_announced
        if newest is not None and newest <= own:
            newest = self._newest_announced = None
        if announced <= own:
            return False
        if newest is None:
            self._behind_since_ms = now_ms
        if newest is None or newest < announced:
            self._newest_announced = announced
        if now_ms - self._behind_since_ms < LAG_TOLERANCE_MS:
            return False
        self._behind_since_ms = now_ms
        return True
