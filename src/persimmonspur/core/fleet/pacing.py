"""Pace of the watches of one kind of object after changes.

Every watch is a billed call of the store, and changes come in bursts. A pause after a change
lets one watch report several, but hides a change that must take effect at once.
"""

# Watches that may follow each other without a pause after a quiet time, and the time after which
# a further one may follow. The burst covers endpoints that change shortly after each other; a
# pause of 125 ms leaves a cold endpoint most of its limit for one second.
BURST_WATCHES = 8
WATCH_INTERVAL_MS = 125.0
# For this long after its first list an instance may see the whole deployment start: hundreds of
# endpoints register, and none of these changes is urgent.
START_PERIOD_MS = 10_000.0


class WatchPacer:
    """Computes the pause after changes, so that the number of watches in any time is bounded."""

    def __init__(self, batch_delay_ms: float) -> None:
        """Create a pacer that allows a burst.

        :param batch_delay_ms: pause after changes that are not urgent during the start.
        """
        self._batch_delay_ms = batch_delay_ms
        self._started_ms: float | None = None
        # Time at which no watch of a burst would be used up any more.
        self._refilled_ms = 0.0

    def start(self, now_ms: float) -> None:
        """Begin the start period, unless it has begun already."""
        if self._started_ms is None:
            self._started_ms = now_ms

    def compute_delay_ms(self, urgent: bool, now_ms: float) -> float:
        """Return the pause until the next watch, which is counted.

        :param urgent: whether one of the latest changes restricts work; others often follow.
        """
        delay_ms = self._take_watch(now_ms)
        if not urgent and self._is_starting(now_ms):
            return max(delay_ms, self._batch_delay_ms)
        return delay_ms

    def _is_starting(self, now_ms: float) -> bool:
        return self._started_ms is not None and now_ms - self._started_ms < START_PERIOD_MS

    def _take_watch(self, now_ms: float) -> float:
        refilled_ms = max(now_ms, self._refilled_ms) + WATCH_INTERVAL_MS
        self._refilled_ms = refilled_ms
        return max(0.0, refilled_ms - now_ms - BURST_WATCHES * WATCH_INTERVAL_MS)
