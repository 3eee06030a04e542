"""``persimmonspur status``: prints instances and the states of their endpoints with reasons."""

from typing import Any

from cleo.helpers import option

from persimmonspur.cli.commands.timeline import fetch_json, resolve_addresses
from persimmonspur.cli.instances import ADDRESS_OPTION, JSON_OPTION, InstanceCommand
from persimmonspur.errors import ErrorKind, Failure


class StatusCommand(InstanceCommand):
    """Fetches and prints the state of every instance."""

    name = "status"
    description = "Prints instances and their endpoints, each with its state and the reason."
    help = "Example: <info>persimmonspur status --address 10.0.0.5:7400</info>"
    options = [  # noqa: RUF012
        ADDRESS_OPTION,
        option("unusable", None, "print only endpoints that get no new work", flag=True),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Run the command."""
        addresses = self.read_addresses()
        if addresses.is_error():
            return self.fail(addresses.error)
        documents = []
        unreachable = []
        for address in resolve_addresses(addresses.ok):
            document = fetch_json(address, "/v1/state")
            if not isinstance(document, dict) or "endpoints" not in document:
                unreachable.append(address)
                continue
            documents.append(document)
        if not documents:
            message = f"no instance answered at {', '.join(unreachable)}"
            return self.fail(Failure.of(ErrorKind.UNREACHABLE, message))
        if self.option("json"):
            self.print_json({"instances": documents, "unreachable": unreachable})
            return 0
        for document in documents:
            self._print(document)
        for address in unreachable:
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
