"""What the commands that talk to entry instances share."""

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


class CallerCommand(Command):
    """A command that talks to entry instances at their caller addresses."""

    def read_addresses(self) -> Result[list[str], Failure]:
        """Return the addresses that the options or the environment name."""
        text = self.option("address") or os.environ.get(ADDRESSES_VARIABLE, "")
        addresses = [part.strip() for part in text.split(",") if part.strip()]
        wrong = [address for address in addresses if not _ADDRESS.match(address)]
        if wrong or not addresses:
            shown = ", ".join(wrong) if wrong else "missing"
            message = f"--address or {ADDRESSES_VARIABLE}: {shown}; allowed: ip:port,ip:port..."
            return Error(Failure.of(ErrorKind.INVALID_SETTINGS, message))
        return Ok(addresses)

    def read_number(self, name: str, least: float, most: float) -> Result[float, Failure]:
        """Return a numeric option within bounds."""
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if least <= value <= most:
            return Ok(value)
        message = f"--{name}: {text!r}; allowed: a number from {least:g} to {most:g}"
        return Error(Failure.of(ErrorKind.INVALID_REQUEST, message))

    def fail(self, failure: Failure) -> int:
        """Report a failure.

        :returns: the exit code of its kind.
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
        """Print a line as it is, without style tags."""
        self.line(text.replace("<", "\\<"))
