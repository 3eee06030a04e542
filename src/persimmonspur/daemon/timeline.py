"""The events of one process, kept in a bounded ring and logged."""

from collections import deque
from typing import Any

import msgspec
from loguru import logger

from persimmonspur.clock import Clock
from persimmonspur.events import EventType

RING_EVENTS = 20_000


class TimelineEntry(msgspec.Struct):
    """One event.

    :param monotonic_ms: the process's monotonic time.
    :param wall_ms: wall-clock time, which may differ between machines.
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
    """Records events."""

    def __init__(self, instance: str, clock: Clock, capacity: int = RING_EVENTS) -> None:
        """Start empty.

        :param capacity: events kept.
        """
        self._instance = instance
        self._clock = clock
        self._entries: deque[TimelineEntry] = deque(maxlen=capacity)
        self._sequence = 0

    def record(self, event: EventType, request_id: str = "", **fields: Any) -> None:
        """Keep an event and log it, unless its level is ``TRACE``.

        :param request_id: the caller's request id, if the event belongs to one.
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
        """Return kept events in order.

        :param request_id: only events of this request, if given.
        :param after: only events with a higher sequence.
        """
        entries = []
        for entry in self._entries:
            if entry.sequence <= after:
                continue
            if request_id and entry.request_id != request_id:
                continue
            entries.append(entry)
        return entries
