"""Base class and options of the commands that query entry instances."""

import os
import re
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from expression import Error, Ok, Result

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind, Failure

ADDRESSES_VARIABLE = "PERSIMMONSPUR_ADDRESSES"
_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")

JSON_OPTION = option("json", None, "print one JSON document for machines", flag=True)
ADDRESS_OPTION = option(
    "address",
    None,
    f"caller addresses of instances, ip:port separated by commas ({ADDRESSES_VARIABLE})",
    flag=False,
)


class InstanceCommand(Command):
    """A command that sends requests to entry instances at their caller addresses."""

    def read_addresses(self) -> Result[list[str], Failure]:
        """Return the instance addresses from the command line or the environment."""
        text = self.option("address") or os.environ.get(ADDRESSES_VARIABLE, "")
        addresses = [part.strip() for part in text.split(",") if part.strip()]
        invalid = [address for address in addresses if not _ADDRESS.match(address)]
        if invalid or not addresses:
            reason = ", ".join(invalid) if invalid else "missing"
            message = f"--address or {ADDRESSES_VARIABLE}: {reason}; allowed: ip:port,ip:port..."
            return Error(Failure.of(ErrorKind.INVALID_SETTINGS, message))
        return Ok(addresses)

    def parse_number(self, name: str, minimum: float, maximum: float) -> Result[float, Failure]:
        """Parse a numeric option and check its bounds."""
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if minimum <= value <= maximum:
            return Ok(value)
        message = f"--{name}: {text!r}; allowed: a number from {minimum:g} to {maximum:g}"
        return Error(Failure.of(ErrorKind.INVALID_REQUEST, message))

    def fail(self, failure: Failure) -> int:
        """Print a failure.

        :returns: the exit code of the error kind.
        """
        if self.option("json"):
            document = {"error": failure.kind, "message": failure.message, "ran": failure.ran}
            self.print_json(document)
        else:
            self.line_error(failure.message.replace("<", "\\<"))
        return ERROR_RESPONSES[failure.kind].exit_code

    def print_json(self, document: Any) -> None:
        """Print one JSON document."""
        self.print_line(msgspec.json.encode(document).decode())

    def print_line(self, text: str) -> None:
        """Print a line verbatim; style tags in it are escaped."""
        self.line(text.replace("<", "\\<"))
