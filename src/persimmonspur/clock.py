"""Clocks that return milliseconds."""

import time


class Clock:
    """The monotonic and wall clocks of the machine.

    Monotonic time is ``CLOCK_BOOTTIME``, which includes the time that the machine is
    suspended, so that this time counts against leases and deadlines.
    """

    def now_ms(self) -> float:
        """Return the current monotonic time.

        :returns: milliseconds since an arbitrary start.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    def wall_ms(self) -> float:
        """Return the current wall-clock time.

        :returns: milliseconds since the Unix epoch.
        """
        return time.time_ns() / 1e6


class ManualClock(Clock):
    """A clock that advances only by calls to :meth:`advance`, for tests and embedding."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current time of this clock, in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the same value as :meth:`now_ms`."""
        return self._now_ms

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward.

        :param duration_ms: milliseconds to add.
        :raises ValueError: if the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"a clock cannot move back by {-duration_ms} ms")
        self._now_ms += duration_ms
