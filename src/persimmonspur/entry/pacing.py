"""Spreads expensive work over the turns of the event loop, so that other work is not delayed."""

from collections import deque
from collections.abc import Callable
from typing import Any

import gevent

from persimmonspur.clock import Clock

# Work is done for at most WORK_MS (one step may take longer) in each interval, so expensive
# clients together take about a quarter of the processor.
INTERVAL_MS = 4.0
WORK_MS = 1.0


class WorkPacer:
    """Runs queued functions in order, a few in each interval."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: deque[Callable[[], None]] = deque()
        self._timer: Any = None

    def __len__(self) -> int:
        """Return the number of queued functions."""
        return len(self._queue)

    def add(self, function: Callable[[], None]) -> None:
        """Run a function in its turn, not before this call returns."""
        self._queue.append(function)
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(INTERVAL_MS / 1000, INTERVAL_MS / 1000)
            self._timer.start(self._run)

    def _run(self) -> None:
        started_ms = self._clock.now_ms()
        while self._queue:
            self._queue.popleft()()
            if self._clock.now_ms() - started_ms >= WORK_MS:
                break
        if not self._queue:
            self._timer.stop()
            self._timer.close()
            self._timer = None
