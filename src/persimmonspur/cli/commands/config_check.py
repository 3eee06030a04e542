"""``persimmonspur config check``: checks a configuration document of the platform."""

from pathlib import Path
from typing import Any

import msgspec
import yaml
from cleo.helpers import argument, option
from expression import Error, Ok, Result

from persimmonspur.cli.store import JSON_OPTION, StoreCommand, to_builtins
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind, Failure
from persimmonspur.platform.configcheck.check import (
    CheckResult,
    check_configuration,
    get_specification,
)
from persimmonspur.platform.configcheck.difference import Difference, list_differences

HELP = """\
Checks the configuration document of the entry daemon, in JSON or YAML, before it is written to
the platform's store. The file holds the configuration or the whole object of the store.

  <info>persimmonspur config check next.json --against in-force.json</info>

Exit codes: 0, the document can be used (warnings and differences do not matter); 18, it has
errors; 2, a file cannot be read.
"""


class ConfigCheckCommand(StoreCommand):
    """Prints errors, warnings and differences, without access to the store."""

    name = "config check"
    description = "Checks a configuration document of the platform, and shows what it changes."
    arguments = [argument("file", "configuration document in JSON or YAML")]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("against", None, "document of the version in force", flag=False),
        JSON_OPTION,
    ]
    help = HELP

    def handle(self) -> int:
        """Run the command."""
        read = _read_document(self.argument("file"))
        against = self.option("against")
        in_force: Result[Any, Failure] = _read_document(against) if against else Ok(None)
        for result in (read, in_force):
            if result.is_error():
                return self.fail(result.error)
        checked = check_configuration(read.ok, in_force.ok)
        differences = list_differences(in_force.ok, read.ok) if against else None
        if self.option("json"):
            self.print_json(_encode(checked, differences))
        else:
            self._print(checked, differences)
        return ERROR_RESPONSES[ErrorKind.INVALID_CONFIGURATION].exit_code if checked.errors else 0

    def _print(self, checked: CheckResult, differences: list[Difference] | None) -> None:
        for error in checked.errors:
            self.print_error(f"error: {error}")
        for warning in checked.warnings:
            self.print_error(f"warning: {warning}")
        for difference in differences or ():
            self.print_line(str(difference))
        if differences is not None and not differences:
            self.print_line("no differences from the version in force")
        verdict = f"{len(checked.errors)} errors" if checked.errors else "valid"
        self.print_line(f"{self.argument('file')}: {verdict}, {len(checked.warnings)} warnings")


def _read_document(path: str) -> Result[Any, Failure]:
    try:
        text = Path(path).read_text(encoding="utf-8")
        return Ok(get_specification(_parse(text)))
    except yaml.YAMLError as error:
        # The whole error would show a line of the file, which may hold an API key.
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark is not None else "unreadable"
        reason = f"{place}: {getattr(error, 'problem', None) or 'neither JSON nor YAML'}"
    except (OSError, UnicodeDecodeError, RecursionError) as error:
        reason = str(error)
    return Error(Failure.of(ErrorKind.INVALID_REQUEST, f"{path}: {reason}"))


def _parse(text: str) -> Any:
    # Large documents are JSON, which the YAML parser reads a hundred times slower.
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return yaml.safe_load(text)


def _encode(checked: CheckResult, differences: list[Difference] | None) -> dict[str, Any]:
    document: dict[str, Any] = {
        "valid": not checked.errors,
        "errors": [to_builtins(error) for error in checked.errors],
        "warnings": [to_builtins(warning) for warning in checked.warnings],
    }
    if differences is not None:
        document["differences"] = msgspec.to_builtins(differences)
    return document
