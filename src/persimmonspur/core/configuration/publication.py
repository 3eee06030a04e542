"""Publishes a configuration, as a state machine without I/O.

Parts are written first, then the root by one conditional update. Every answer
to that update but a plain success is settled by reading the root back: the
attempt id in it, or in its history, says whether the update took effect.
"""

from collections.abc import Callable

import msgspec
from attrs import frozen
from expression import Result

from persimmonspur.core.configuration.difference import Change, list_changes
from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.core.configuration.parts import (
    PART_PREFIX,
    ROOT_KEY,
    ConfigurationRoot,
    SplitConfiguration,
    assemble_configuration,
    compute_digest,
    decode_root,
    encode_root,
    split_configuration,
)
from persimmonspur.core.configuration.rules import check_change
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.configuration import Configuration

PAUSE_MS = 200.0

Revise = Callable[[Configuration | None], Result[Configuration, list[DocumentError]]]


@frozen
class ReadObject:
    """Read an object and report it with ``observe_object`` or ``observe_unknown_outcome``."""

    key: str


@frozen
class WriteObject:
    """Write an object and report with ``observe_written``, ``_conflict`` or ``_unknown``."""

    key: str
    value: bytes
    expected_version: int


@frozen
class Pause:
    """Wait and call ``resume``, or ``give_up`` once the caller's time is over."""

    duration_ms: float


@frozen
class Propose:
    """Show the changes; call ``confirm`` to publish them."""

    version: int
    changes: tuple[Change, ...]


@frozen
class Published:
    """The configuration is stored.

    :param version: version that holds it.
    :param changed: ``False`` if it was stored before.
    """

    version: int
    changed: bool


@frozen
class NotPublished:
    """The configuration was not stored, unless the kind is ``OUTCOME_UNKNOWN``.

    :param changes: for a conflict, what others changed since the version this one is based on.
    """

    failure: Failure
    errors: tuple[DocumentError, ...] = ()
    changes: tuple[Change, ...] = ()


PublicationAction = ReadObject | WriteObject | Pause | Propose | Published | NotPublished


class Publication:
    """One attempt to replace the configuration.

    Every event method returns the one action to do next.
    """

    def __init__(self, revise: Revise, attempt: str, expected_version: int | None = None) -> None:
        """Start with nothing read.

        :param revise: returns the wanted configuration for the present one.
        :param attempt: unique id of this attempt.
        :param expected_version: only replace this version; ``None`` takes the one that is read.
        """
        self._revise = revise
        self._attempt = attempt
        self._expected = expected_version
        self._base = _Reading()
        self._back: _Reading | None = None
        self._target: Configuration | None = None
        self._split = SplitConfiguration((), {})
        self._unwritten: list[str] = []
        self._sent = False
        self._confirming = False
        self._action: PublicationAction = ReadObject(ROOT_KEY)

    def start(self) -> PublicationAction:
        """Return the first action."""
        return self._action

    def resume(self) -> PublicationAction:
        """Return the action to repeat after a pause."""
        return self._action

    def give_up(self) -> PublicationAction:
        """End because the caller's time is over."""
        if self._back is not None and self._back.root is not None:
            return self._report_conflict(self._back)
        if self._sent:
            return _fail_unknown()
        return _fail(ErrorKind.STORE_UNAVAILABLE, "the object API is down; nothing was changed")

    def observe_object(self, stored_version: int, value: bytes | None) -> PublicationAction:
        """Take an object that was read.

        :param stored_version: version of the object; 0 if there is none.
        :param value: ``None`` if there is none.
        """
        assert isinstance(self._action, ReadObject)
        if self._back is None and self._target is not None:
            return self._observe_existing_part(stored_version, value)
        reading = self._back if self._back is not None else self._base
        if self._action.key != ROOT_KEY:
            reading.add_part(self._action.key, value)
            return self._read_on(reading)
        reading.take_root(stored_version, value)
        if self._back is None:
            return self._read_on(reading)
        return self._compare_back(reading)

    def observe_written(self, stored_version: int) -> PublicationAction:
        """Take the success of a write."""
        if self._confirming:
            return Published(self._base.version, changed=False)
        if self._sent:
            return Published(self._base.version + 1, changed=True)
        self._unwritten.pop(0)
        return self._write_next()

    def observe_conflict(self) -> PublicationAction:
        """Take the refusal of a write, which had no effect itself.

        An earlier try of the same write may have had one.
        """
        if self._confirming:
            return self._start_over()
        if self._sent:
            return self._read_back()
        return self._do(ReadObject(PART_PREFIX + self._unwritten[0]))

    def observe_unknown_outcome(self) -> PublicationAction:
        """Take a call without an answer."""
        if self._confirming:
            self._start_over()
        elif self._sent and isinstance(self._action, WriteObject):
            self._read_back()
        return Pause(PAUSE_MS)

    def confirm(self) -> PublicationAction:
        """Publish what was proposed."""
        known = self._base.values
        self._unwritten = [digest for digest in self._split.values if digest not in known]
        return self._write_next()

    def _do(self, action: PublicationAction) -> PublicationAction:
        self._action = action
        return action

    def _read_on(self, reading: "_Reading") -> PublicationAction:
        missing = reading.list_unread()
        if missing:
            return self._do(ReadObject(PART_PREFIX + missing[0]))
        reading.assemble()
        if reading is self._base:
            return self._propose()
        return self._report_conflict(reading)

    def _propose(self) -> PublicationAction:
        base = self._base
        if base.fault and self._expected is None:
            return _fail(
                ErrorKind.INVALID_CONFIGURATION,
                f"the stored configuration is unreadable ({base.fault}); to replace it, expect its"
                f" version ({f'version {base.version}' if base.root else 'see the instances'})",
            )
        if base.fault and base.root is None:
            # Versions must rise above what instances have, which the operator names.
            base.version = self._expected or 0
        revised = self._revise(base.configuration)
        if revised.is_error():
            return _fail_invalid(revised.error)
        target = revised.ok
        if base.configuration == target and base.root is not None:
            # The read may have been stale. Storing the same root again, which instances
            # take as the version they have, succeeds only if it was not.
            self._confirming = True
            return self._do(WriteObject(ROOT_KEY, encode_root(base.root), base.stored_version))
        changes = tuple(list_changes(base.configuration, target))
        if self._expected is not None and self._expected != base.version:
            failure = Failure.of(
                ErrorKind.CONFLICT,
                f"the stored version is {base.version}, expected {self._expected}",
            )
            return NotPublished(failure, changes=changes)
        if base.configuration is not None:
            errors = check_change(base.configuration, target)
            if errors:
                return _fail_invalid(errors)
        self._target = target
        self._split = split_configuration(target)
        return self._do(Propose(base.version + 1, changes))

    def _write_next(self) -> PublicationAction:
        if self._unwritten:
            return self._write_part(0)
        return self._write_root()

    def _write_part(self, expected_version: int) -> PublicationAction:
        digest = self._unwritten[0]
        value = self._split.values[digest]
        return self._do(WriteObject(PART_PREFIX + digest, value, expected_version))

    def _start_over(self) -> PublicationAction:
        self._confirming = False
        self._base = _Reading()
        return self._do(ReadObject(ROOT_KEY))

    def _write_root(self) -> PublicationAction:
        base = self._base
        self._sent = True
        self._back = None
        history = base.root.list_history() if base.root is not None else ()
        root = ConfigurationRoot(base.version + 1, self._attempt, self._split.references, history)
        return self._do(WriteObject(ROOT_KEY, encode_root(root), base.stored_version))

    def _observe_existing_part(self, stored_version: int, value: bytes | None) -> PublicationAction:
        digest = self._unwritten[0]
        if value is not None and compute_digest(value) == digest:
            self._unwritten.pop(0)
            return self._write_next()
        # The stored bytes are damaged (or a stale read hid them): replace them.
        return self._write_part(stored_version)

    def _read_back(self) -> PublicationAction:
        self._back = _Reading()
        return self._do(ReadObject(ROOT_KEY))

    def _compare_back(self, reading: "_Reading") -> PublicationAction:
        if reading.stored_version <= self._base.stored_version:
            # Not written yet, or a stale read. The same update is safe to repeat:
            # it can take effect at most once, since it expects the same version.
            self._write_root()
            return Pause(PAUSE_MS)
        if reading.root is None:
            return _fail_unknown()
        if reading.root.version == self._base.version:
            # Someone confirmed the root without changing it, so this update lost to nothing.
            self._base.stored_version = reading.stored_version
            return self._write_root()
        version = reading.root.find_attempt(self._attempt)
        if version:
            return Published(version, changed=True)
        if reading.root.version - len(reading.root.history) > self._base.version + 1:
            # The history does not reach back to the version that this attempt would be.
            return _fail_unknown()
        return self._read_on(reading)

    def _report_conflict(self, reading: "_Reading") -> PublicationAction:
        failure = Failure.of(
            ErrorKind.CONFLICT,
            f"another change was stored first: version {reading.version} replaced"
            f" {self._base.version}",
        )
        changes: tuple[Change, ...] = ()
        if reading.configuration is not None:
            changes = tuple(list_changes(self._base.configuration, reading.configuration))
        return NotPublished(failure, changes=changes)


class _Reading:
    """A stored configuration as far as it has been read."""

    def __init__(self) -> None:
        self.stored_version = 0
        self.version = 0
        self.root: ConfigurationRoot | None = None
        self.values: dict[str, bytes] = {}
        self.configuration: Configuration | None = None
        self.fault = ""
        self._absent: set[str] = set()

    def take_root(self, stored_version: int, value: bytes | None) -> None:
        self.stored_version = stored_version
        if value is None:
            return
        try:
            self.root = decode_root(value)
        except msgspec.DecodeError as error:
            self.fault = f"root: {error}"
            return
        self.version = self.root.version

    def add_part(self, key: str, value: bytes | None) -> None:
        digest = key.removeprefix(PART_PREFIX)
        if value is None or compute_digest(value) != digest:
            self._absent.add(digest)
            return
        self.values[digest] = value

    def list_unread(self) -> list[str]:
        if self.root is None:
            return []
        seen = self.values.keys() | self._absent
        return [part.digest for part in self.root.parts if part.digest not in seen]

    def assemble(self) -> None:
        if self.root is None:
            return
        assembled = assemble_configuration(self.root.parts, self.values)
        if assembled.is_error():
            self.fault = assembled.error
            return
        self.configuration = assembled.ok


def _fail(kind: ErrorKind, message: str) -> NotPublished:
    return NotPublished(Failure.of(kind, message))


def _fail_unknown() -> NotPublished:
    return _fail(
        ErrorKind.OUTCOME_UNKNOWN,
        "the object API did not tell whether the change took effect; run the command again,"
        " which changes nothing if it did",
    )


def _fail_invalid(errors: list[DocumentError]) -> NotPublished:
    message = f"{len(errors)} faults; nothing was changed"
    return NotPublished(Failure.of(ErrorKind.INVALID_CONFIGURATION, message), tuple(errors))
