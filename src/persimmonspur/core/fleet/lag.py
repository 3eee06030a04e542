"""Detects that this instance lags behind the revisions that its peers announce."""

# Instances learn of the same change at slightly different times.
LAG_TOLERANCE_MS = 600.0


class LagDetector:
    """Compares the store revisions that peers announce with the revision of this instance.

    A watch of the store can hang on a connection or a call that is never answered. Only a
    newer revision at a peer reveals that.
    """

    def __init__(self) -> None:
        self._newest_announced = 0
        self._behind_since_ms = 0.0

    def observe(self, announced: int, own: int, now_ms: float) -> bool:
        """Compare the revision that a peer announces.

        :param own: revision of this instance.
        :returns: whether this instance has been behind for :data:`LAG_TOLERANCE_MS`. While
            it stays behind, this is reported again each time that much time has passed.
        """
        if self._newest_announced <= own:
            self._newest_announced = 0
        if announced <= own:
            return False
        if not self._newest_announced:
            self._behind_since_ms = now_ms
        self._newest_announced = max(self._newest_announced, announced)
        if now_ms - self._behind_since_ms < LAG_TOLERANCE_MS:
            return False
        self._behind_since_ms = now_ms
        return True
