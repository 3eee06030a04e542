"""Notices that other instances know a newer state than this one."""

# Two instances learn of a change at slightly different times.
LAG_TOLERANCE_MS = 600.0


class LagDetector:
    """Compares versions that peers announce with the own one.

    A watch of the store can wait on a connection or a call that will never be answered.
    Nothing but a peer's newer version shows that.
    """

    def __init__(self) -> None:
        self._newest = 0
        self._since_ms = 0.0

    def observe(self, announced: int, own: int, now_ms: float) -> bool:
        """Take the version that a peer announces.

        :returns: whether this instance has lagged behind for :data:`LAG_TOLERANCE_MS`; the next
            such result follows after the same time again.
        """
        if self._newest <= own:
            self._newest = 0
        if announced <= own:
            return False
        if not self._newest:
            self._since_ms = now_ms
        self._newest = max(self._newest, announced)
        if now_ms - self._since_ms < LAG_TOLERANCE_MS:
            return False
        self._since_ms = now_ms
        return True
