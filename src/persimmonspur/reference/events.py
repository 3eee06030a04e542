"""Generates docs/events.md: ``python -m persimmonspur.reference.events > docs/events.md``."""

import sys

from persimmonspur.daemon import events as daemon_events
from persimmonspur.entry import events as entry_events
from persimmonspur.events import CATALOGUE, EventType

# Imported for their side effect: each module adds its events to the catalogue.
_EVENT_MODULES = (daemon_events, entry_events)

INTRODUCTION = """# Log events

Every event has a number that never changes its meaning. The log has one line of JSON for
each event with its number in `code`; `TRACE` events are only in the timeline, which
`persimmonspur timeline` collects from all instances. Braces mark the fields of an event.

| event | name | level | text |
|---|---|---|---|
"""


def list_events() -> list[EventType]:
    """Return the events of the catalogue, sorted by number."""
    return [CATALOGUE[number] for number in sorted(CATALOGUE)]


def render_events() -> str:
    """Return the text of docs/events.md."""
    rows = [
        f"| `{event.code}` | `{event.name}` | {event.level} | {event.text} |\n"
        for event in list_events()
    ]
    return INTRODUCTION + "".join(rows)


if __name__ == "__main__":
    sys.stdout.write(render_events())
