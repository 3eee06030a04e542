"""Age of messages between processes whose clocks are not synchronised."""

from attrs import define

# The least difference is forgotten after two windows, so that clock drift
# cannot make old readings count for ever.
WINDOW_MS = 60_000.0


@define
class _Window:
    started_ms: float
    least_ms: float


class DelayEstimator:
    """Estimates how long messages of one peer were on the way.

    The least difference seen between the receiver's and the sender's clock
    stands for an undelayed message; what exceeds it is age.
    """

    def __init__(self) -> None:
        self._incarnation: int | None = None
        self._current: _Window | None = None
        self._previous: _Window | None = None

    def estimate_age(self, incarnation: int, sent_ms: float, received_ms: float) -> float:
        """Take a message and return its estimated age.

        :param incarnation: the sender's; a new one has a clock of its own.
        :param sent_ms: the sender's monotonic time.
        :param received_ms: the receiver's monotonic time.
        :returns: milliseconds, at least 0.
        """
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._current = None
            self._previous = None
        difference = received_ms - sent_ms
        if self._current is None:
            self._current = _Window(received_ms, difference)
        elif received_ms - self._current.started_ms > WINDOW_MS:
            self._previous = self._current
            self._current = _Window(received_ms, difference)
        self._current.least_ms = min(self._current.least_ms, difference)
        least_ms = self._current.least_ms
        if self._previous is not None:
            least_ms = min(least_ms, self._previous.least_ms)
        return difference - least_ms
