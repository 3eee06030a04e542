"""``persimmonspur events``: lists the log events."""

from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.reference.events import list_events, render_events

HELP = """\
Lists every numbered log event with its level and text.

Example:

  <info>persimmonspur events --output docs/events.md</info>
"""


class EventsCommand(Command):
    """Prints the event catalogue or writes its documentation page."""

    name = "events"
    description = "Lists the numbered log events."
    help = HELP
    options = [  # noqa: RUF012
        option("output", None, "write the page docs/events.md to this file", flag=False),
        option("json", None, "print one JSON document for machines", flag=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("output"):
            try:
                Path(self.option("output")).write_text(render_events())
            except OSError as error:
                self.line_error(f"--output: {error}")
                return ERROR_RESPONSES[ErrorKind.INVALID_REQUEST].exit_code
        if self.option("json"):
            documents = [
                {"code": e.code, "name": e.name, "level": e.level, "text": e.text}
                for e in list_events()
            ]
            self.line(msgspec.json.encode({"events": documents}).decode())
            return 0
        if not self.option("output"):
            for event in list_events():
                self.line(f"{event.code} {event.level:7} {event.name}: {event.text}")
        return 0
