"""Estimates the age of messages between processes whose clocks are not synchronized."""

from attrs import define

# The minimum clock difference is taken over two windows, so that samples from before
# clock drift expire.
WINDOW_MS = 60_000.0


@define
class _Window:
    started_ms: float
    min_difference_ms: float


class DelayEstimator:
    """Estimates how long the messages of one peer were in transit.

    The smallest difference between receive time and send time is assumed to be that of
    an undelayed message. The age of a message is its difference beyond that minimum.
    """

    def __init__(self) -> None:
        self._incarnation: int | None = None
        self._current: _Window | None = None
        self._previous: _Window | None = None

    def estimate_age(self, incarnation: int, sent_ms: float, received_ms: float) -> float:
        """Record a message and return its estimated age.

        :param incarnation: incarnation of the sender; a new one resets the estimate, because
            its monotonic clock is unrelated.
        :param sent_ms: send time by the sender's monotonic clock.
        :param received_ms: receive time by the receiver's monotonic clock.
        :returns: milliseconds, at least 0.
        """
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._current = None
            self._previous = None
        difference_ms = received_ms - sent_ms
        if self._current is None:
            self._current = _Window(received_ms, difference_ms)
        elif received_ms - self._current.started_ms > WINDOW_MS:
            self._previous = self._current
            self._current = _Window(received_ms, difference_ms)
        self._current.min_difference_ms = min(self._current.min_difference_ms, difference_ms)
        min_difference_ms = self._current.min_difference_ms
        if self._previous is not None:
            min_difference_ms = min(min_difference_ms, self._previous.min_difference_ms)
        return difference_ms - min_difference_ms
