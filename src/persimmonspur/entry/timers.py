"""Timers of one process, kept in a heap and driven by a single event loop timer."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import gevent
from attrs import define, field

from persimmonspur.clock import Clock


@define(eq=False, order=False, slots=True)
class Timer:
    """A scheduled call."""

    due_ms: float
    function: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancel the call; idempotent."""
        self.function = None


@define(eq=False)
class LoopTimers:
    """Implements :class:`persimmonspur.core.fleet.messages.Timers` on gevent's loop.

    A request sets several timers and cancels most of them. A heap with one event loop timer
    costs less than one event loop timer for each.
    """

    _clock: Clock
    _heap: list[tuple[float, int, Timer]] = field(factory=list)
    _sequence_numbers: Any = field(factory=itertools.count)
    _loop_timer: Any = None
    _scheduled_ms: float = float("inf")

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> Timer:
        """Call a function once after a delay in milliseconds."""
        due_ms = self._clock.now_ms() + delay_ms
        timer = Timer(due_ms, function)
        heapq.heappush(self._heap, (due_ms, next(self._sequence_numbers), timer))
        if due_ms < self._scheduled_ms:
            self._schedule()
        return timer

    def _schedule(self) -> None:
        while self._heap and self._heap[0][2].function is None:
            heapq.heappop(self._heap)
        if self._loop_timer is not None:
            self._loop_timer.stop()
            self._loop_timer.close()
            self._loop_timer = None
        if not self._heap:
            self._scheduled_ms = float("inf")
            return
        self._scheduled_ms = self._heap[0][0]
        delay_ms = max(0.0, self._scheduled_ms - self._clock.now_ms())
        self._loop_timer = gevent.get_hub().loop.timer(delay_ms / 1000)
        self._loop_timer.start(self._run_due, update=True)

    def _run_due(self) -> None:
        now_ms = self._clock.now_ms()
        try:
            while self._heap and self._heap[0][0] <= now_ms:
                _, _, timer = heapq.heappop(self._heap)
                function = timer.function
                if function is None:
                    continue
                timer.function = None
                function()
        finally:
            self._schedule()
