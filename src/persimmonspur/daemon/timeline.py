"""Logs the events of one process and keeps the latest ones in memory."""

from collections import deque
from typing import Any

import msgspec
from loguru import logger

from persimmonspur.clock import Clock
from persimmonspur.events import EventType

MAX_TIMELINE_EVENTS = 20_000


class TimelineEntry(msgspec.Struct):
    """One recorded event.

    :param monotonic_ms: monotonic time of the process in milliseconds.
    :param wall_ms: wall-clock time in milliseconds, which may differ between machines.
    """

    instance: str
    sequence: int
    monotonic_ms: float
    wall_ms: float
    code: str
    name: str
    request_id: str
    fields: dict[str, Any]


class Timeline:
    """Records and logs the events of one process."""

    def __init__(self, instance: str, clock: Clock, capacity: int = MAX_TIMELINE_EVENTS) -> None:
        """Create an empty timeline.

        :param capacity: number of events to keep; the oldest are dropped first.
        """
        self._instance = instance
        self._clock = clock
        self._entries: deque[TimelineEntry] = deque(maxlen=capacity)
        self._sequence = 0

    def record(self, event: EventType, request_id: str = "", **fields: Any) -> None:
        """Record an event and, unless its level is ``TRACE``, log it.

        :param request_id: id of the caller's request that the event belongs to, if any.
        """
        self._sequence += 1
        entry = TimelineEntry(
            self._instance,
            self._sequence,
            self._clock.now_ms(),
            self._clock.wall_ms(),
            event.code,
            event.name,
            request_id,
            fields,
        )
        self._entries.append(entry)
        if event.level == "TRACE":
            return
        logger.bind(code=event.code, request_id=request_id, **fields).log(
            event.level, "{} {}", event.code, event.text.format_map(fields)
        )

    def list_entries(self, request_id: str = "", after: int = 0) -> list[TimelineEntry]:
        """Return the recorded events in order.

        :param request_id: if given, only events of this request are returned.
        :param after: only events with a higher sequence number are returned.
        """
        entries = []
        for entry in self._entries:
            if entry.sequence <= after:
                continue
            if request_id and entry.request_id != request_id:
                continue
            entries.append(entry)
        return entries
