"""``persimmonspur status``: instances, their endpoints, and why these are in their state."""

from typing import Any

from cleo.helpers import option

from persimmonspur.cli.callers import ADDRESS_OPTION, JSON_OPTION, CallerCommand
from persimmonspur.cli.commands.timeline import fetch_json, list_instances
from persimmonspur.errors import ErrorKind, Failure


class StatusCommand(CallerCommand):
    """Asks every instance for its state."""

    name = "status"
    description = "Prints instances, their endpoints, and why these are in their state."
    help = "Example: <info>persimmonspur status --address 10.0.0.5:7400</info>"
    options = [  # noqa: RUF012
        ADDRESS_OPTION,
        option("unusable", None, "only endpoints that get no new work", flag=True),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Collect and print."""
        addresses = self.read_addresses()
        if addresses.is_error():
            return self.fail(addresses.error)
        documents = []
        silent = []
        for address in list_instances(addresses.ok):
            document = fetch_json(address, "/v1/state")
            if not isinstance(document, dict) or "endpoints" not in document:
                silent.append(address)
                continue
            documents.append(document)
        if not documents:
            message = f"no instance answered at {', '.join(silent)}"
            return self.fail(Failure.of(ErrorKind.UNREACHABLE, message))
        if self.option("json"):
            self.print_json({"instances": documents, "unreachable": silent})
            return 0
        for document in documents:
            self._print(document)
        for address in silent:
            self.line_error(f"no answer from {address}")
        return 0

    def _print(self, document: dict[str, Any]) -> None:
        self.print_line(
            f"{document['instance']}: {document['phase']}, "
            f"configuration {document['configuration_version']}, "
            f"table {document['table_version']}, {len(document['members'])} members"
        )
        for endpoint in document["endpoints"]:
            if self.option("unusable") and endpoint["usable"]:
                continue
            self.print_line(
                f"  {endpoint['endpoint']:24} {endpoint['state']:9} "
                f"{endpoint['running']}+{endpoint['queue']}/{endpoint['limit']}  "
                f"{endpoint['reason']}"
            )
