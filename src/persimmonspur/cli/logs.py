"""Reads events from the structured log lines of entry instances."""

from collections.abc import Iterable
from typing import Any

import msgspec

from persimmonspur.daemon.timeline import TimelineEntry

_NAMED_FIELDS = ("wall_ms", "monotonic_ms", "level", "code", "name", "instance", "request_id")


def read_log_lines(lines: Iterable[str], request_id: str = "") -> list[TimelineEntry]:
    """Return the events in log lines.

    Text before a line's JSON object, such as a collector's prefix, is skipped, and so are
    lines that are no events.

    :param request_id: only events of this request, if given.
    """
    entries: list[TimelineEntry] = []
    sequences: dict[str, int] = {}
    for line in lines:
        document = _read_document(line)
        if document is None or (request_id and document.get("request_id") != request_id):
            continue
        instance = str(document["instance"])
        sequences[instance] = sequences.get(instance, 0) + 1
        entries.append(_build_entry(document, sequences[instance]))
    return entries


def _read_document(line: str) -> dict[str, Any] | None:
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
    fields = {name: value for name, value in document.items() if name not in _NAMED_FIELDS}
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
