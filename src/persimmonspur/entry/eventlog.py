"""Structured log lines on standard output that never block the process."""

import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from loguru import logger

from persimmonspur.clock import Clock
from persimmonspur.events import EventType

# Lines that wait while the reader of standard output is slow.
MAX_QUEUED_LINES = 2_000
# Lines per second for events of single requests; failures have a budget of their own.
ROUTINE_LINES_PER_S = 20.0
FAILURE_LINES_PER_S = 100.0
FLUSH_INTERVAL_MS = 50.0
MAX_WRITE_BYTES = 16_384


class LineRateLimiter:
    """Bounds lines per second and counts those left out."""

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._refilled_ms = clock.now_ms()
        self.suppressed = 0

    def try_acquire(self) -> bool:
        """Return whether a line may be written."""
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._refilled_ms) * self._per_s / 1000
        self._tokens = min(self._per_s, self._tokens + gained)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True


class LineWriter:
    """Writes lines to a descriptor without blocking; drops lines when its queue is full."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._timer: Any = gevent.get_hub().loop.timer(FLUSH_INTERVAL_MS / 1000)
        self._flush_scheduled = False
        self._closed = False
        self.dropped_lines = 0

    def write(self, line: str) -> None:
        """Queue one line."""
        if self._closed or len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(line.encode())
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._timer.start(self.flush)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        self._flush_scheduled = False
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._join_lines()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads the log any more.
                self.dropped_lines += len(self._lines)
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]
        if self._unwritten or self._lines:
            self._flush_scheduled = True
            self._timer.start(self.flush)

    def close(self) -> None:
        """Write what the descriptor takes now and drop all later lines.

        The descriptor's number may belong to another file afterwards.
        """
        self.flush()
        self._closed = True
        self._lines.clear()
        self._unwritten = b""
        self._timer.stop()

    def _join_lines(self) -> bytes:
        chunk = bytearray()
        while self._lines and len(chunk) < MAX_WRITE_BYTES:
            chunk += self._lines.popleft()
        return bytes(chunk)


class EventLog:
    """Writes catalogued events as JSON lines."""

    def __init__(
        self, instance: str, clock: Clock, writer: LineWriter, level: str = "INFO"
    ) -> None:
        """Write to a writer.

        :param level: events below it are left out.
        """
        self._min_level_number = logger.level(level).no
        self._instance = instance
        self._clock = clock
        self._writer = writer
        self._routine_limiter = LineRateLimiter(ROUTINE_LINES_PER_S, clock)
        self._failure_limiter = LineRateLimiter(FAILURE_LINES_PER_S, clock)
        logger.remove()
        logger.add(writer.write, level=level, format="{message}")

    def record(self, event: EventType, **fields: Any) -> None:
        """Write one event of the process; always written."""
        if self._is_enabled(event):
            self._write(event, fields)

    def record_request(
        self, event: EventType, failed: bool, describe: Callable[[], dict[str, Any]]
    ) -> None:
        """Write one event of a request if the budget of lines allows.

        :param failed: whether the request, or a step of it, failed or was late.
        :param describe: returns the fields; not called for a line that is left out.
        """
        if not self._is_enabled(event):
            return
        budget = self._failure_limiter if failed else self._routine_limiter
        if not budget.try_acquire():
            return
        fields = describe()
        if budget.suppressed:
            fields["left_out_before"] = budget.suppressed
            budget.suppressed = 0
        self._write(event, fields)

    @property
    def dropped_lines(self) -> int:
        """Lines that were lost because the reader was too slow."""
        return self._writer.dropped_lines

    def flush(self) -> None:
        """Write what waits."""
        self._writer.flush()

    def close(self) -> None:
        """Write what waits and drop all later lines."""
        self._writer.close()

    def _is_enabled(self, event: EventType) -> bool:
        return logger.level(event.level).no >= self._min_level_number

    def _write(self, event: EventType, fields: dict[str, Any]) -> None:
        line = {
            "wall_ms": round(self._clock.wall_ms()),
            "monotonic_ms": round(self._clock.now_ms(), 1),
            "level": event.level,
            "code": event.code,
            "name": event.name,
            "instance": self._instance,
            **fields,
        }
        logger.log(event.level, "{}", msgspec.json.encode(line).decode())


def open_log(instance: str, clock: Clock, level: str) -> EventLog:
    """Open the log on standard output.

    :param level: events below it are left out.
    """
    return EventLog(instance, clock, LineWriter(sys.stdout.fileno()), level)
