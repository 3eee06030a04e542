"""Base classes, options and helpers of the configuration commands."""

import os
from pathlib import Path
from typing import Any
from uuid import uuid4

import msgspec
from attrs import frozen
from cleo.commands.command import Command
from cleo.helpers import option
from expression import Error, Ok, Result

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.adapters.publishing import ApprovalCallback, Publisher
from persimmonspur.cli.progress import RolloutProgress, list_addresses, wait_until_in_effect
from persimmonspur.clock import Clock
from persimmonspur.core.configuration.difference import Change, render_changes
from persimmonspur.core.configuration.document import ConfigurationFile, parse_document
from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.core.configuration.parts import (
    ROOT_KEY,
    ConfigurationRoot,
    assemble_configuration,
    decode_root,
)
from persimmonspur.core.configuration.publication import (
    NotPublished,
    Propose,
    Published,
    Revise,
)
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind, Failure
from persimmonspur.model.configuration import Configuration
from persimmonspur.ports import ObjectApi

OBJECT_API_VARIABLE = "PERSIMMONSPUR_OBJECT_API"

JSON_OPTION = option("json", None, "print one JSON document for machines", flag=True)
STORE_OPTIONS = [
    option(
        "object-api",
        None,
        f"address of the object API, ip:port ({OBJECT_API_VARIABLE})",
        flag=False,
    ),
    JSON_OPTION,
]
CHANGE_OPTIONS = [
    *STORE_OPTIONS,
    option("cell", None, "cell whose instances to wait for", flag=False, multiple=True),
    option(
        "timeout",
        None,
        "maximum wait in seconds, applied to the object API and to the instances separately",
        flag=False,
        default="30",
    ),
    option("no-wait", None, "do not wait for the instances", flag=True),
]


@frozen
class StoredConfiguration:
    """The stored configuration and its root."""

    root: ConfigurationRoot
    configuration: Configuration


class StoreCommand(Command):
    """Object API connection, output and error reports of a configuration command."""

    def connect(self) -> Result[HttpObjectApi, Failure]:
        """Connect to the object API given on the command line or in the environment."""
        address = self.option("object-api") or os.environ.get(OBJECT_API_VARIABLE, "")
        if ":" not in address or not address.rpartition(":")[2].isdigit():
            message = f"--object-api or {OBJECT_API_VARIABLE}: {address!r}; allowed: ip:port"
            return Error(Failure.of(ErrorKind.INVALID_SETTINGS, message))
        return Ok(HttpObjectApi(address, client="cli"))

    def fail(
        self,
        failure: Failure,
        errors: tuple[DocumentError, ...] = (),
        changes: tuple[Change, ...] = (),
    ) -> int:
        """Print a failure.

        :returns: the exit code of the error kind.
        """
        if self.option("json"):
            self.print_json(
                {
                    "error": failure.kind,
                    "message": failure.message,
                    "errors": [to_builtins(error) for error in errors],
                    "changes": [to_builtins(change) for change in changes],
                }
            )
            return ERROR_RESPONSES[failure.kind].exit_code
        for error in errors:
            self.print_error(str(error))
        self.print_error(failure.message)
        for line in render_changes(list(changes)):
            self.print_error(f"  {line}")
        return ERROR_RESPONSES[failure.kind].exit_code

    def print_json(self, document: dict[str, Any]) -> None:
        """Print one JSON document."""
        self.print_line(msgspec.json.encode(document).decode())

    def print_line(self, text: str) -> None:
        """Print a line verbatim; style tags in it are escaped."""
        self.line(text.replace("<", "\\<"))

    def print_error(self, text: str) -> None:
        """Print a line verbatim to standard error."""
        self.line_error(text.replace("<", "\\<"))


class ChangeCommand(StoreCommand):
    """A command that changes the configuration and waits until it is in effect."""

    def change(
        self, revise: Revise, expected_version: int | None = None, max_attempts: int = 1
    ) -> int:
        """Publish a change and wait until it is in effect.

        :param max_attempts: maximum number of attempts if another operator's change comes first.
        :returns: the exit code.
        """
        timeout_s = parse_seconds(self.option("timeout"))
        if timeout_s is None:
            message = f"--timeout: {self.option('timeout')!r}; allowed: seconds above 0"
            return self.fail(Failure.of(ErrorKind.INVALID_SETTINGS, message))
        connected = self.connect()
        if connected.is_error():
            return self.fail(connected.error)
        api = connected.ok
        publisher = Publisher(api, Clock(), timeout_s * 1000)
        changes: list[Change] = []
        try:
            for _ in range(max_attempts):
                result = publisher.publish(
                    revise,
                    f"cli/{uuid4()}",
                    expected_version,
                    self._build_approval_callback(changes),
                )
                if result.is_ok() or result.error.failure.kind is not ErrorKind.CONFLICT:
                    break
            if result.is_error():
                not_published: NotPublished = result.error
                return self.fail(not_published.failure, not_published.errors, not_published.changes)
            return self._wait_for_rollout(api, result.ok, changes, timeout_s)
        finally:
            api.close()

    def _build_approval_callback(self, changes: list[Change]) -> ApprovalCallback:
        def approve(proposal: Propose) -> bool:
            changes[:] = proposal.changes
            if not self.option("json"):
                self.print_line(f"configuration {proposal.version} changes:")
                for line in render_changes(changes):
                    self.print_line(f"  {line}")
            return not (self.definition.has_option("dry-run") and self.option("dry-run"))

        return approve

    def _wait_for_rollout(
        self, api: ObjectApi, published: Published, changes: list[Change], timeout_s: float
    ) -> int:
        dry_run = bool(changes) and not published.changed
        document: dict[str, Any] = {
            "version": published.version,
            "changed": published.changed,
            "changes": [to_builtins(change) for change in changes],
        }
        if dry_run or self.option("no-wait"):
            text = (
                "nothing was changed" if dry_run else f"configuration {published.version} is stored"
            )
            return self._finish(document, text)
        text = "is stored" if published.changed else "already has this content"
        self._print_status(f"configuration {published.version} {text}")
        cells = self.option("cell") or ["main"]
        addresses = list_addresses(api, cells, timeout_s)
        if addresses.is_error():
            return self.fail(addresses.error)
        progress = wait_until_in_effect(
            addresses.ok, published.version, timeout_s, self._print_progress
        )
        document["instances"] = progress.versions
        document["in_effect"] = progress.done
        if progress.done:
            text = f"in effect at all {len(progress.versions)} instances"
            if not progress.versions:
                text = f"no instances are in the tables of the cells {', '.join(cells)}"
            return self._finish(document, text)
        outdated = ", ".join(
            f"{name} ({version or 'no answer'})" for name, version in progress.list_outdated()
        )
        message = f"stored, but not in effect within {timeout_s:g} s at: {outdated}"
        if self.option("json"):
            document["error"] = ErrorKind.DEADLINE_EXCEEDED
            document["message"] = message
            self.print_json(document)
        else:
            self.print_error(message)
        return ERROR_RESPONSES[ErrorKind.DEADLINE_EXCEEDED].exit_code

    def _finish(self, document: dict[str, Any], text: str) -> int:
        if self.option("json"):
            self.print_json(document)
        else:
            self.print_line(text)
        return 0

    def _print_progress(self, progress: RolloutProgress) -> None:
        self._print_status(
            f"version {progress.target_version}: {progress.count_up_to_date()} of "
            f"{len(progress.versions)} instances"
        )

    def _print_status(self, text: str) -> None:
        if not self.option("json"):
            self.print_line(text)


def read_configuration_file(path: str) -> Result[ConfigurationFile, NotPublished]:
    """Read and validate a configuration file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        failure = Failure.of(ErrorKind.INVALID_CONFIGURATION, f"{path}: {error}")
        return Error(NotPublished(failure))
    parsed = parse_document(text)
    if parsed.is_error():
        failure = Failure.of(ErrorKind.INVALID_CONFIGURATION, f"{path}: {len(parsed.error)} errors")
        return Error(NotPublished(failure, tuple(parsed.error)))
    return Ok(parsed.ok)


def read_stored_configuration(api: ObjectApi) -> Result[StoredConfiguration, Failure]:
    """Read the stored configuration."""
    read = api.read(ROOT_KEY)
    if read.is_error():
        return Error(read.error)
    if read.ok is None:
        return Error(Failure.of(ErrorKind.NOT_READY, "no configuration is stored"))
    try:
        root = decode_root(read.ok.value)
    except msgspec.DecodeError as error:
        message = f"the stored root is unreadable: {error}"
        return Error(Failure.of(ErrorKind.INVALID_CONFIGURATION, message))
    values = {}
    for part in root.parts:
        stored = api.read(part.key)
        if stored.is_error():
            return Error(stored.error)
        if stored.ok is not None:
            values[part.digest] = stored.ok.value
    assembled = assemble_configuration(root.parts, values)
    if assembled.is_error():
        message = f"configuration {root.version}: {assembled.error}"
        return Error(Failure.of(ErrorKind.INVALID_CONFIGURATION, message))
    return Ok(StoredConfiguration(root, assembled.ok))


def parse_seconds(text: str) -> float | None:
    """Parse a number of seconds above 0 and up to one day; ``None`` if it is invalid."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 < value <= 86_400 else None


def to_builtins(value: Any) -> Any:
    """Convert a record to plain dictionaries and lists."""
    return msgspec.to_builtins(value)
