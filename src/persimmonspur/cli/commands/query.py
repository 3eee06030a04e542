"""``persimmonspur query``: runs one query through the client library."""

from typing import Any

import msgspec
from attrs import asdict
from cleo.helpers import argument, option
from expression import Error, Ok, Result

from persimmonspur.cli.instances import ADDRESS_OPTION, JSON_OPTION, InstanceCommand
from persimmonspur.client.client import Client, QueryResult
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.configuration import KEY_SPACE_UNITS

HELP = """\
Runs one query through the client library, which asks an instance which addresses
to use and fails over between them, and prints the answer.

Example:

  <info>persimmonspur query repair-counter --address 10.0.0.5:7400 --class counter --limit 5</info>

The exit code is 0 for an answer, partial ones included, and otherwise that of
the error kind (docs/errors.md).
"""


class QueryCommand(InstanceCommand):
    """Runs one query and prints its records."""

    name = "query"
    description = "Runs one query and prints its answer."
    help = HELP
    arguments = [argument("service", "service to query")]  # noqa: RUF012
    options = [  # noqa: RUF012
        ADDRESS_OPTION,
        option("class", None, "priority class", flag=False, default="interactive"),
        option("timeout", None, "query timeout in milliseconds", flag=False, default="1000"),
        option("key", None, "key space unit, if a single shard has the answer", flag=False),
        option("body", None, "request body for the searchers, a JSON document", flag=False),
        option("limit", None, "maximum number of records", flag=False),
        option("allow-partial", None, "accept an answer with missing shards", flag=True),
        option("once", None, "the request is not repeatable and must not run twice", flag=True),
        option(
            "request-id",
            None,
            "id of the request to repeat; generated if empty",
            flag=False,
            default="",
        ),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Run the command."""
        addresses = self.read_addresses()
        if addresses.is_error():
            return self.fail(addresses.error)
        timeout = self.parse_number("timeout", 1, 60_000)
        if timeout.is_error():
            return self.fail(timeout.error)
        options = self._parse_options()
        if options.is_error():
            return self.fail(options.error)
        client = Client(addresses.ok)
        try:
            result = client.query(
                self.argument("service"),
                self.option("class"),
                timeout.ok,
                repeatable=not self.option("once"),
                allow_partial=self.option("allow-partial"),
                request_id=self.option("request-id"),
                **options.ok,
            )
        finally:
            client.close()
        return self._print_result(result)

    def _parse_options(self) -> Result[dict[str, Any], Failure]:
        options: dict[str, Any] = {}
        for name, minimum, maximum in (("key", 0, KEY_SPACE_UNITS - 1), ("limit", 1, 1_000_000)):
            if self.option(name) is None:
                continue
            value = self.parse_number(name, minimum, maximum)
            if value.is_error():
                return Error(value.error)
            options[name] = int(value.ok)
        if self.option("body") is not None:
            try:
                options["body"] = msgspec.json.decode(self.option("body"))
            except msgspec.DecodeError as error:
                message = f"--body: {error}; allowed: one JSON document"
                return Error(Failure.of(ErrorKind.INVALID_REQUEST, message))
        return Ok(options)

    def _print_result(self, result: QueryResult) -> int:
        if result.error is not None:
            message = f"{result.error}: {result.message} (ran: {result.ran})"
            return self.fail(Failure.of(result.error, message, result.ran))
        if self.option("json"):
            self.print_json(asdict(result))
            return 0
        missing = f", missing {', '.join(result.missing_shards)}" if result.missing_shards else ""
        self.print_line(
            f"request {result.request_id}: snapshot {result.snapshot}, "
            f"coverage {result.covered} of {result.total}{missing}, "
            f"{result.sub_requests} sub-requests"
        )
        for record in result.records:
            self.print_line(msgspec.json.encode(record).decode())
        return 0
