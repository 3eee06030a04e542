"""``persimmonspur timeline``: prints the events of all instances in one order."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec
from cleo.helpers import argument, option

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.cli.instances import ADDRESS_OPTION, JSON_OPTION, InstanceCommand
from persimmonspur.cli.logs import read_log_lines
from persimmonspur.cli.ordering import OrderedEntry, order_entries
from persimmonspur.daemon.timeline import TimelineEntry
from persimmonspur.errors import ErrorKind, Failure

FETCH_TIMEOUT_MS = 5_000.0
HELP = """\
Collects the recent events of every instance and prints them in one order, with
causes before effects even if the clocks of the machines differ.

Example, all events of one request:

  <info>persimmonspur timeline c0ffee --address 10.0.0.5:7400</info>

The same from the log files of instances or from standard input:

  <info>persimmonspur timeline c0ffee --log entry-1.log,entry-2.log</info>
  <info>cat *.log | persimmonspur timeline c0ffee --log -</info>
"""


class TimelineResponse(msgspec.Struct):
    """Response body of ``GET /v1/timeline``."""

    entries: list[TimelineEntry]


class TimelineCommand(InstanceCommand):
    """Collects the events of instances and prints them in one order."""

    name = "timeline"
    description = "Prints the events of all instances in one order."
    help = HELP
    arguments = [  # noqa: RUF012
        argument("request-id", "only events of this request", optional=True, default="")
    ]
    options = [  # noqa: RUF012
        ADDRESS_OPTION,
        option("log", None, "read these log files, separated by commas; - is stdin", flag=False),
        option("only", None, "query only the given addresses, not all instances", flag=True),
        option("last", None, "print at most this many events", flag=False, default="1000"),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("log"):
            return self._print_logs(self.option("log").split(","))
        addresses = self.read_addresses()
        if addresses.is_error():
            return self.fail(addresses.error)
        last = self.parse_number("last", 1, 10_000_000)
        if last.is_error():
            return self.fail(last.error)
        queried = addresses.ok if self.option("only") else resolve_addresses(addresses.ok)
        entries: list[TimelineEntry] = []
        unreachable = []
        for address in queried:
            fetched = fetch_timeline(address, self.argument("request-id"))
            if fetched is None:
                unreachable.append(address)
                continue
            entries.extend(fetched)
        if len(unreachable) == len(queried):
            message = f"no instance answered at {', '.join(unreachable)}"
            return self.fail(Failure.of(ErrorKind.UNREACHABLE, message))
        ordered = order_entries(entries)[-int(last.ok) :]
        self._print(ordered, unreachable)
        return 0

    def _print_logs(self, paths: list[str]) -> int:
        last = self.parse_number("last", 1, 10_000_000)
        if last.is_error():
            return self.fail(last.error)
        entries: list[TimelineEntry] = []
        for path in paths:
            try:
                text = sys.stdin.read() if path == "-" else Path(path).read_text()
            except (OSError, UnicodeDecodeError) as error:
                return self.fail(Failure.of(ErrorKind.INVALID_REQUEST, f"--log {path}: {error}"))
            entries.extend(read_log_lines(text.splitlines(), self.argument("request-id")))
        self._print(order_entries(entries)[-int(last.ok) :], [])
        return 0

    def _print(self, ordered: list[OrderedEntry], unreachable: list[str]) -> None:
        if self.option("json"):
            events = [
                {"time_ms": item.time_ms, **msgspec.to_builtins(item.entry)} for item in ordered
            ]
            self.print_json({"events": events, "unreachable": unreachable})
            return
        for item in ordered:
            entry = item.entry
            moment = datetime.fromtimestamp(item.time_ms / 1000, UTC).strftime("%H:%M:%S.%f")[:-3]
            fields = " ".join(f"{name}={value}" for name, value in entry.fields.items())
            self.print_line(
                f"{moment} {entry.instance:12} {entry.code} {entry.name} {entry.request_id} "
                f"{fields}".rstrip()
            )
        for address in unreachable:
            self.line_error(f"no answer from {address}")


def resolve_addresses(addresses: list[str]) -> list[str]:
    """Return the caller addresses of all instances, including the given ones."""
    for address in addresses:
        document = fetch_json(address, "/v1/resolve")
        if document is None:
            continue
        return list(dict.fromkeys([*addresses, *document.get("addresses", [])]))
    return addresses


def fetch_timeline(address: str, request_id: str) -> list[TimelineEntry] | None:
    """Fetch the events of one process; ``None`` if it does not answer.

    :param request_id: fetch only events of this request, if given.
    """
    document = fetch_json(address, f"/v1/timeline?request_id={quote(request_id, safe='')}")
    if document is None:
        return None
    try:
        return msgspec.convert(document, TimelineResponse).entries
    except msgspec.ValidationError:
        return None


def fetch_json(address: str, path: str) -> Any:
    """Fetch a JSON document; ``None`` if the request fails."""
    client = connect_client(address, 1, FETCH_TIMEOUT_MS)
    try:
        return msgspec.json.decode(bytes(client.get(path).read()))
    except HTTP_ERRORS:
        return None
    finally:
        client.close()
