"""Concurrency that an endpoint is trusted with after a cold start."""

from collections import deque

from attrs import define, field

SAMPLES = 64
# Fewer durations give a median that a single outlier can move.
MIN_SAMPLES = 16
SLOW_FACTOR = 3.0
COLD = "cold"
WARMING = "warming"
WARM = "warm"


@define
class _Durations:
    values: deque[float] = field(factory=lambda: deque(maxlen=SAMPLES))

    def is_slow(self, duration_ms: float) -> bool:
        if len(self.values) < MIN_SAMPLES:
            return False
        ordered = sorted(self.values)
        return duration_ms > SLOW_FACTOR * ordered[len(ordered) // 2]


class WarmUp:
    """Limit of concurrent requests that grows with successes.

    Outcomes count only if their request was sent in the present period: a new
    one starts whenever the limit falls, so that replies to work that was sent
    before neither raise the limit again nor lower it twice.
    """

    def __init__(self, slots: int) -> None:
        """Start cold.

        :param slots: limit of the warm endpoint.
        """
        self.slots = slots
        self.limit = 1
        self.period = 0
        self._successes = 0
        self._proven = False
        self._held = False
        self._durations: dict[int, _Durations] = {}

    @property
    def state(self) -> str:
        """One of ``cold``, ``warming`` and ``warm``."""
        if not self._proven:
            return COLD
        return WARM if self.limit >= self.slots else WARMING

    def resize(self, slots: int) -> None:
        """Take a changed number of slots."""
        self.slots = slots
        self.limit = max(1, min(self.limit, slots))

    def cool(self) -> None:
        """Start again with one request at a time."""
        self.limit = 1
        self._proven = False
        self._restart_period()

    def hold(self, *, cold: bool) -> None:
        """Take the endpoint's own word; while it says cold the limit stays at one."""
        if cold and not self._held:
            self.cool()
        self._held = cold

    def restore(self, level: int) -> None:
        """Take the level that a former owner proved.

        :param level: 0 if nothing was proven.
        """
        if level < 1:
            return
        self.limit = max(1, min(level, self.slots))
        self._proven = True
        self._restart_period()

    @property
    def level(self) -> int:
        """Level for the next owner; 0 if nothing is proven."""
        return self.limit if self._proven else 0

    def observe_success(self, period: int, priority: int, duration_ms: float) -> None:
        """Take a success.

        :param period: value of :attr:`period` when the request was sent.
        :param priority: durations are compared within one class.
        """
        durations = self._durations.setdefault(priority, _Durations())
        slow = durations.is_slow(duration_ms)
        if self.state == WARM:
            durations.values.append(duration_ms)
        if period != self.period or self._held:
            return
        if slow:
            self.halve(period)
            return
        self._successes += 1
        if self._successes < self.limit:
            return
        self._successes = 0
        self._proven = True
        self.limit = min(self.slots, self.limit + 1)

    def halve(self, period: int) -> None:
        """Lower the limit after load shedding or slowness.

        :param period: value of :attr:`period` when the request was sent.
        """
        if period != self.period:
            return
        self.limit = max(1, self.limit // 2)
        self._restart_period()

    def _restart_period(self) -> None:
        self.period += 1
        self._successes = 0
