"""Concurrency limit of an endpoint that warms up after a cold start."""

from collections import deque

from attrs import define, field

DURATION_SAMPLES = 64
# With fewer durations a single outlier can shift the median.
MIN_DURATION_SAMPLES = 16
SLOW_FACTOR = 3.0
COLD = "cold"
WARMING = "warming"
WARM = "warm"


@define
class _DurationWindow:
    samples: deque[float] = field(factory=lambda: deque(maxlen=DURATION_SAMPLES))

    def is_slow(self, duration_ms: float) -> bool:
        if len(self.samples) < MIN_DURATION_SAMPLES:
            return False
        ordered = sorted(self.samples)
        return duration_ms > SLOW_FACTOR * ordered[len(ordered) // 2]


class WarmUp:
    """Concurrency limit that grows with successful requests.

    An outcome counts only if its request was sent in the current period. A new period
    starts whenever the limit is lowered, so that replies to requests sent before neither
    raise the limit again nor lower it twice.
    """

    def __init__(self, slots: int) -> None:
        """Create the limit of a cold endpoint.

        :param slots: limit once the endpoint is warm.
        """
        self.slots = slots
        self.limit = 1
        self.period = 0
        self._successes = 0
        self._limit_confirmed = False
        self._reported_cold = False
        self._durations: dict[int, _DurationWindow] = {}

    @property
    def state(self) -> str:
        """One of ``cold``, ``warming`` and ``warm``."""
        if not self._limit_confirmed:
            return COLD
        return WARM if self.limit >= self.slots else WARMING

    def resize(self, slots: int) -> None:
        """Change the limit that applies once the endpoint is warm."""
        self.slots = slots
        self.limit = max(1, min(self.limit, slots))

    def reset_to_cold(self) -> None:
        """Treat the endpoint as cold: one request at a time."""
        self.limit = 1
        self._limit_confirmed = False
        self._start_period()

    def set_reported_cold(self, *, cold: bool) -> None:
        """Record whether the endpoint reports itself cold; while it does, the limit stays at 1."""
        if cold and not self._reported_cold:
            self.reset_to_cold()
        self._reported_cold = cold

    def restore(self, level: int) -> None:
        """Start from the level that a previous owner reached.

        :param level: limit that successful requests confirmed; 0 if there is none.
        """
        if level < 1:
            return
        self.limit = max(1, min(level, self.slots))
        self._limit_confirmed = True
        self._start_period()

    @property
    def level(self) -> int:
        """Limit that successful requests confirmed, for the next owner; 0 if there is none."""
        return self.limit if self._limit_confirmed else 0

    def observe_success(self, period: int, priority: int, duration_ms: float) -> None:
        """Record a successful request; an unusually slow one halves the limit.

        :param period: value of :attr:`period` when the request was sent.
        :param priority: priority class; durations are only compared within a class.
        """
        durations = self._durations.setdefault(priority, _DurationWindow())
        slow = durations.is_slow(duration_ms)
        if self.state == WARM:
            durations.samples.append(duration_ms)
        if period != self.period or self._reported_cold:
            return
        if slow:
            self.halve(period)
            return
        self._successes += 1
        if self._successes < self.limit:
            return
        self._successes = 0
        self._limit_confirmed = True
        self.limit = min(self.slots, self.limit + 1)

    def halve(self, period: int) -> None:
        """Halve the limit after load shedding or a slow response.

        :param period: value of :attr:`period` when the request was sent.
        """
        if period != self.period:
            return
        self.limit = max(1, self.limit // 2)
        self._start_period()

    def _start_period(self) -> None:
        self.period += 1
        self._successes = 0
