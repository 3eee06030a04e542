"""Reads events from the structured log lines of entry instances."""

from collections.abc import Iterable
from typing import Any

import msgspec

from persimmonspur.daemon.timeline import TimelineEntry

_STANDARD_FIELDS = ("wall_ms", "monotonic_ms", "level", "code", "name", "instance", "request_id")


def read_log_lines(lines: Iterable[str], request_id: str = "") -> list[TimelineEntry]:
    """Parse the events in log lines.

    Text before the JSON object of a line, such as the prefix of a log collector, is
    skipped. Lines that are not events are ignored.

    :param request_id: return only events of this request, if given.
    """
    entries: list[TimelineEntry] = []
    sequences: dict[str, int] = {}
    for line in lines:
        document = _parse_line(line)
        if document is None or (request_id and document.get("request_id") != request_id):
            continue
        instance = str(document["instance"])
        sequences[instance] = sequences.get(instance, 0) + 1
        entries.append(_build_entry(document, sequences[instance]))
    return entries


def _parse_line(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        document = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(document, dict) or not {"instance", "code", "wall_ms"} <= document.keys():
        return None
    return document


def _build_entry(document: dict[str, Any], sequence: int) -> TimelineEntry:
    fields = {name: value for name, value in document.items() if name not in _STANDARD_FIELDS}
    return TimelineEntry(
        str(document["instance"]),
        sequence,
        float(document.get("monotonic_ms", 0.0)),
        float(document["wall_ms"]),
        str(document["code"]),
        str(document.get("name", "")),
        str(document.get("request_id", "")),
        fields,
    )
