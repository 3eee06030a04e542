"""Holds the configuration in effect; versions never decrease and take effect as a whole."""

from expression import Error, Ok, Result

from persimmonspur.core.configuration.parts import (
    ROOT_KEY,
    ConfigurationRoot,
    Record,
    assemble_configuration,
    compute_digest,
)
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.configuration import Configuration

__all__ = ["ROOT_KEY", "ConfigurationHolder"]


class ConfigurationHolder:
    """The configuration in effect at this instance, and the next version while it is fetched.

    A newer root is pending until all parts that it references are present and
    verified; only then does the whole version take effect.
    """

    def __init__(self) -> None:
        self.root: ConfigurationRoot | None = None
        self._configuration: Configuration | None = None
        self._parts: dict[str, bytes] = {}
        self._decoded: dict[str, list[Record]] = {}
        self._pending: ConfigurationRoot | None = None
        self._pending_parts: dict[str, bytes] = {}
        self._rejected: ConfigurationRoot | None = None

    @property
    def version(self) -> int:
        """Version in effect; 0 if there is none yet."""
        return self.root.version if self.root is not None else 0

    @property
    def pending_version(self) -> int:
        """Version whose parts are being fetched; 0 if there is none."""
        return self._pending.version if self._pending is not None else 0

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in effect; ``None`` if there is none yet."""
        return self._configuration

    def offer_root(self, root: ConfigurationRoot) -> bool:
        """Make a version pending if it is newer than the current and the pending one.

        The root that :meth:`activate_pending` rejected last is not accepted again.

        :returns: whether the version became pending.
        """
        if root.version <= max(self.version, self.pending_version):
            return False
        if root == self._rejected:
            return False
        self._pending = root
        available = {**self._parts, **self._pending_parts}
        needed = {reference.digest for reference in root.parts}
        self._pending_parts = {
            digest: available[digest] for digest in needed if digest in available
        }
        return True

    def list_missing_digests(self) -> tuple[str, ...]:
        """Return the digests of the missing parts of the pending version, in order."""
        if self._pending is None:
            return ()
        digests = dict.fromkeys(reference.digest for reference in self._pending.parts)
        return tuple(digest for digest in digests if digest not in self._pending_parts)

    def offer_part(self, digest: str, value: bytes) -> bool:
        """Add a part of the pending version.

        :returns: ``False`` if the bytes do not match the digest.
        """
        if compute_digest(value) != digest:
            return False
        if digest in self.list_missing_digests():
            self._pending_parts[digest] = value
        return True

    def find_part(self, digest: str) -> bytes | None:
        """Return a verified part of the current or the pending version."""
        return self._parts.get(digest) or self._pending_parts.get(digest)

    def activate_pending(self) -> Result[Configuration | None, Failure]:
        """Put the pending version into effect if all of its parts are present.

        :returns: the configuration that took effect, ``None`` if none did; a failure
            if the parts do not form a valid configuration, after which the version
            is not fetched again.
        """
        pending = self._pending
        if pending is None or self.list_missing_digests():
            return Ok(None)
        decoded = dict(self._decoded)
        assembled = assemble_configuration(pending.parts, self._pending_parts, decoded)
        parts, self._pending, self._pending_parts = self._pending_parts, None, {}
        if assembled.is_error():
            self._rejected = pending
            message = f"configuration {pending.version}: {assembled.error}"
            return Error(Failure.of(ErrorKind.INVALID_CONFIGURATION, message))
        self.root = pending
        self._parts = parts
        self._decoded = {digest: decoded[digest] for digest in parts}
        self._configuration = assembled.ok
        return Ok(assembled.ok)
