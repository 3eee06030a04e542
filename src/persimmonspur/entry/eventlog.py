"""JSON log lines on standard output, written without blocking the process."""

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

# Maximum number of lines in the queue while the reader of standard output is slow.
MAX_QUEUED_LINES = 2_000
# Rate limits for events about single requests; failures have a limit of their own.
ROUTINE_LINES_PER_S = 20.0
FAILURE_LINES_PER_S = 100.0
# Clients cause refusals at any rate, so they have a limit of their own.
REFUSAL_LINES_PER_S = 5.0
FLUSH_INTERVAL_MS = 50.0
MAX_WRITE_BYTES = 16_384


class LineRateLimiter:
    """Token bucket that limits lines per second and counts the suppressed ones."""

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._refilled_ms = clock.now_ms()
        self.suppressed = 0

    def try_acquire(self) -> bool:
        """Return whether a line may be written, and use one token if so."""
        now_ms = self._clock.now_ms()
        refilled = (now_ms - self._refilled_ms) * self._per_s / 1000
        self._tokens = min(self._per_s, self._tokens + refilled)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True


class LineWriter:
    """Writes lines to a file descriptor without blocking; drops lines if its queue is full."""

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
        """Write as many queued lines as the descriptor accepts without blocking."""
        self._flush_scheduled = False
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._join_lines()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                break
            except OSError:
                # The reader closed its end.
                self.dropped_lines += len(self._lines)
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]
        if self._unwritten or self._lines:
            self._flush_scheduled = True
            self._timer.start(self.flush)

    def close(self) -> None:
        """Write what the descriptor accepts now and drop all later lines.

        Afterwards the descriptor's number may be reused for another file.
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
    """Writes events as JSON lines."""

    def __init__(
        self, instance: str, clock: Clock, writer: LineWriter, level: str = "INFO"
    ) -> None:
        """Create a log and make its writer the only sink of loguru.

        :param level: minimum level of the events to write.
        """
        self._min_level_number = logger.level(level).no
        self._instance = instance
        self._clock = clock
        self._writer = writer
        self._routine_limiter = LineRateLimiter(ROUTINE_LINES_PER_S, clock)
        self._failure_limiter = LineRateLimiter(FAILURE_LINES_PER_S, clock)
        self._refusal_limiter = LineRateLimiter(REFUSAL_LINES_PER_S, clock)
        logger.remove()
        logger.add(writer.write, level=level, format="{message}")

    def record(self, event: EventType, **fields: Any) -> None:
        """Write one event that is not subject to a rate limit."""
        if self._is_enabled(event):
            self._write(event, fields)

    def record_request(
        self,
        event: EventType,
        failed: bool,
        build_fields: Callable[[], dict[str, Any]],
        refused: bool = False,
    ) -> None:
        """Write one event about a single request within the rate limit.

        :param failed: whether the request, or a step of it, failed or was late.
        :param build_fields: returns the fields; not called for a line that is suppressed.
        :param refused: whether it was refused for a reason that its client can repeat at will.
        """
        if not self._is_enabled(event):
            return
        limiter = self._failure_limiter if failed else self._routine_limiter
        if refused:
            limiter = self._refusal_limiter
        if not limiter.try_acquire():
            return
        fields = build_fields()
        if limiter.suppressed:
            fields["left_out_before"] = limiter.suppressed
            limiter.suppressed = 0
        self._write(event, fields)

    @property
    def dropped_lines(self) -> int:
        """Number of lines lost because the reader was too slow or closed its end."""
        return self._writer.dropped_lines

    def flush(self) -> None:
        """Write the queued lines."""
        self._writer.flush()

    def close(self) -> None:
        """Write the queued lines and drop all later ones."""
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

    :param level: minimum level of the events to write.
    """
    return EventLog(instance, clock, LineWriter(sys.stdout.fileno()), level)
