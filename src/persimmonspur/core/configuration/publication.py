"""Publishes a configuration, as a state machine without I/O.

Parts are written first, then the root by one conditional update. Unless that
update is reported as successful, the root is read back: the attempt id in it,
or in its history, shows whether the update took effect.
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

RETRY_DELAY_MS = 200.0

Revise = Callable[[Configuration | None], Result[Configuration, list[DocumentError]]]


@frozen
class ReadObject:
    """Read an object; report it with ``observe_object`` or ``observe_unknown_outcome``."""

    key: str


@frozen
class WriteObject:
    """Write an object if it has the expected version.

    Report the result with ``observe_written``, ``observe_conflict`` or
    ``observe_unknown_outcome``.
    """

    key: str
    value: bytes
    expected_version: int


@frozen
class Pause:
    """Wait, then call ``resume``, or ``give_up`` if the caller's deadline has passed."""

    duration_ms: float


@frozen
class Propose:
    """Present the changes for approval; call ``confirm`` to publish them."""

    version: int
    changes: tuple[Change, ...]


@frozen
class Published:
    """The configuration is stored.

    :param version: version that contains it.
    :param changed: ``False`` if it was already stored.
    """

    version: int
    changed: bool


@frozen
class NotPublished:
    """The configuration was not stored, unless the kind is ``OUTCOME_UNKNOWN``.

    :param changes: for a conflict with another operator, the changes stored since the version
        that this publication is based on; for an unexpected version, the proposed changes.
    """

    failure: Failure
    errors: tuple[DocumentError, ...] = ()
    changes: tuple[Change, ...] = ()


PublicationAction = ReadObject | WriteObject | Pause | Propose | Published | NotPublished


class Publication:
    """One attempt to replace the configuration.

    Every method returns the next action to carry out.
    """

    def __init__(self, revise: Revise, attempt: str, expected_version: int | None = None) -> None:
        """Initialize without access to the store.

        :param revise: computes the target configuration from the current one.
        :param attempt: unique id of this attempt.
        :param expected_version: version to replace; ``None`` for whichever is stored.
        """
        self._revise = revise
        self._attempt = attempt
        self._expected_version = expected_version
        self._base = _StoredState()
        self._read_back_state: _StoredState | None = None
        self._target: Configuration | None = None
        self._parts = SplitConfiguration((), {})
        self._unwritten_digests: list[str] = []
        self._root_sent = False
        self._confirming_unchanged = False
        self._pending_action: PublicationAction = ReadObject(ROOT_KEY)

    def start(self) -> PublicationAction:
        """Return the first action."""
        return self._pending_action

    def resume(self) -> PublicationAction:
        """Return the action to carry out after a pause."""
        return self._pending_action

    def give_up(self) -> PublicationAction:
        """End because the caller's deadline has passed."""
        if self._read_back_state is not None and self._read_back_state.root is not None:
            return self._report_conflict(self._read_back_state)
        if self._root_sent:
            return _build_unknown_outcome()
        return _build_failure(
            ErrorKind.STORE_UNAVAILABLE, "the object API is down; nothing was changed"
        )

    def observe_object(self, stored_version: int, value: bytes | None) -> PublicationAction:
        """Handle a successful read.

        :param stored_version: version of the object; 0 if it does not exist.
        :param value: ``None`` if the object does not exist.
        """
        assert isinstance(self._pending_action, ReadObject)
        if self._read_back_state is None and self._target is not None:
            return self._observe_existing_part(stored_version, value)
        state = self._read_back_state if self._read_back_state is not None else self._base
        if self._pending_action.key != ROOT_KEY:
            state.add_part(self._pending_action.key, value)
            return self._continue_reading(state)
        state.set_root(stored_version, value)
        if self._read_back_state is None:
            return self._continue_reading(state)
        return self._evaluate_read_back(state)

    def observe_written(self, stored_version: int) -> PublicationAction:
        """Handle a successful write."""
        if self._confirming_unchanged:
            return Published(self._base.version, changed=False)
        if self._root_sent:
            return Published(self._base.version + 1, changed=True)
        self._unwritten_digests.pop(0)
        return self._write_next()

    def observe_conflict(self) -> PublicationAction:
        """Handle a write that was rejected because the object has another version.

        An earlier attempt of the same write may still have taken effect.
        """
        if self._confirming_unchanged:
            return self._restart()
        if self._root_sent:
            return self._start_read_back()
        return self._set_action(ReadObject(PART_PREFIX + self._unwritten_digests[0]))

    def observe_unknown_outcome(self) -> PublicationAction:
        """Handle a call whose outcome is unknown, because no reply arrived."""
        if self._confirming_unchanged:
            self._restart()
        elif self._root_sent and isinstance(self._pending_action, WriteObject):
            self._start_read_back()
        return Pause(RETRY_DELAY_MS)

    def confirm(self) -> PublicationAction:
        """Publish the proposed changes."""
        stored_values = self._base.values
        self._unwritten_digests = [
            digest for digest in self._parts.values if digest not in stored_values
        ]
        return self._write_next()

    def _set_action(self, action: PublicationAction) -> PublicationAction:
        self._pending_action = action
        return action

    def _continue_reading(self, state: "_StoredState") -> PublicationAction:
        unread = state.list_unread_digests()
        if unread:
            return self._set_action(ReadObject(PART_PREFIX + unread[0]))
        state.assemble()
        if state is self._base:
            return self._propose()
        return self._report_conflict(state)

    def _propose(self) -> PublicationAction:
        base = self._base
        if base.error and self._expected_version is None:
            return _build_failure(
                ErrorKind.INVALID_CONFIGURATION,
                f"the stored configuration is unreadable ({base.error}); to replace it, give"
                " its version as the expected one"
                f" ({f'version {base.version}' if base.root else 'see the instances'})",
            )
        if base.error and base.root is None:
            # Instances accept only versions above the one that they have, and the unreadable
            # root does not show which that is: the operator gives it as the expected one.
            base.version = self._expected_version or 0
        result = self._revise(base.configuration)
        if result.is_error():
            return _build_validation_failure(result.error)
        target = result.ok
        if base.configuration == target and base.root is not None:
            # The read may have been stale. A conditional write of the same root succeeds only
            # if it was not; instances ignore it, since its version is the one they have.
            self._confirming_unchanged = True
            return self._set_action(
                WriteObject(ROOT_KEY, encode_root(base.root), base.stored_version)
            )
        changes = tuple(list_changes(base.configuration, target))
        if self._expected_version is not None and self._expected_version != base.version:
            failure = Failure.of(
                ErrorKind.CONFLICT,
                f"the stored version is {base.version}, expected {self._expected_version}",
            )
            return NotPublished(failure, changes=changes)
        if base.configuration is not None:
            errors = check_change(base.configuration, target)
            if errors:
                return _build_validation_failure(errors)
        self._target = target
        self._parts = split_configuration(target)
        return self._set_action(Propose(base.version + 1, changes))

    def _write_next(self) -> PublicationAction:
        if self._unwritten_digests:
            return self._write_part(0)
        return self._write_root()

    def _write_part(self, expected_version: int) -> PublicationAction:
        digest = self._unwritten_digests[0]
        value = self._parts.values[digest]
        return self._set_action(WriteObject(PART_PREFIX + digest, value, expected_version))

    def _restart(self) -> PublicationAction:
        self._confirming_unchanged = False
        self._base = _StoredState()
        return self._set_action(ReadObject(ROOT_KEY))

    def _write_root(self) -> PublicationAction:
        base = self._base
        self._root_sent = True
        self._read_back_state = None
        history = base.root.build_next_history() if base.root is not None else ()
        root = ConfigurationRoot(base.version + 1, self._attempt, self._parts.references, history)
        return self._set_action(WriteObject(ROOT_KEY, encode_root(root), base.stored_version))

    def _observe_existing_part(self, stored_version: int, value: bytes | None) -> PublicationAction:
        digest = self._unwritten_digests[0]
        if value is not None and compute_digest(value) == digest:
            self._unwritten_digests.pop(0)
            return self._write_next()
        # The stored bytes are damaged, or a stale read did not return them: replace them.
        return self._write_part(stored_version)

    def _start_read_back(self) -> PublicationAction:
        self._read_back_state = _StoredState()
        return self._set_action(ReadObject(ROOT_KEY))

    def _evaluate_read_back(self, state: "_StoredState") -> PublicationAction:
        if state.stored_version <= self._base.stored_version:
            # The update has not taken effect, or the read was stale. Repeating the update is
            # safe: it expects the same version, so it takes effect at most once.
            self._write_root()
            return Pause(RETRY_DELAY_MS)
        if state.root is None:
            return _build_unknown_outcome()
        if state.root.version == self._base.version:
            # Another publication rewrote the same root, so nothing conflicts with this update.
            self._base.stored_version = state.stored_version
            return self._write_root()
        version = state.root.find_attempt_version(self._attempt)
        if version:
            return Published(version, changed=True)
        if state.root.version - len(state.root.history) > self._base.version + 1:
            # The history is too short to include the version that this attempt would have written.
            return _build_unknown_outcome()
        return self._continue_reading(state)

    def _report_conflict(self, state: "_StoredState") -> PublicationAction:
        failure = Failure.of(
            ErrorKind.CONFLICT,
            f"another change was stored first: version {state.version} replaced"
            f" {self._base.version}",
        )
        changes: tuple[Change, ...] = ()
        if state.configuration is not None:
            changes = tuple(list_changes(self._base.configuration, state.configuration))
        return NotPublished(failure, changes=changes)


class _StoredState:
    """A stored configuration as far as it has been read."""

    def __init__(self) -> None:
        self.stored_version = 0
        self.version = 0
        self.root: ConfigurationRoot | None = None
        self.values: dict[str, bytes] = {}
        self.configuration: Configuration | None = None
        self.error = ""
        self._unusable_digests: set[str] = set()

    def set_root(self, stored_version: int, value: bytes | None) -> None:
        self.stored_version = stored_version
        if value is None:
            return
        try:
            self.root = decode_root(value)
        except msgspec.DecodeError as error:
            self.error = f"root: {error}"
            return
        self.version = self.root.version

    def add_part(self, key: str, value: bytes | None) -> None:
        digest = key.removeprefix(PART_PREFIX)
        if value is None or compute_digest(value) != digest:
            self._unusable_digests.add(digest)
            return
        self.values[digest] = value

    def list_unread_digests(self) -> list[str]:
        if self.root is None:
            return []
        read_digests = self.values.keys() | self._unusable_digests
        return [part.digest for part in self.root.parts if part.digest not in read_digests]

    def assemble(self) -> None:
        if self.root is None:
            return
        assembled = assemble_configuration(self.root.parts, self.values)
        if assembled.is_error():
            self.error = assembled.error
            return
        self.configuration = assembled.ok


def _build_failure(kind: ErrorKind, message: str) -> NotPublished:
    return NotPublished(Failure.of(kind, message))


def _build_unknown_outcome() -> NotPublished:
    return _build_failure(
        ErrorKind.OUTCOME_UNKNOWN,
        "it is unknown whether the change took effect, because the object API did not reply; run"
        " the command again, which changes nothing if it did",
    )


def _build_validation_failure(errors: list[DocumentError]) -> NotPublished:
    message = f"{len(errors)} errors; nothing was changed"
    return NotPublished(Failure.of(ErrorKind.INVALID_CONFIGURATION, message), tuple(errors))
