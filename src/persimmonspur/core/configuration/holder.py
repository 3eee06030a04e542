"""Holds the configuration in effect; versions only rise, and a version comes whole."""

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
    """The highest configuration version that this instance has seen.

    A newer root is pending until every part it names is here and verified;
    only then does the whole version take effect.
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
        """Version in effect; 0 before the first."""
        return self.root.version if self.root is not None else 0

    @property
    def pending_version(self) -> int:
        """Version whose parts are being collected; 0 if there is none."""
        return self._pending.version if self._pending is not None else 0

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in effect, ``None`` before the first."""
        return self._configuration

    def offer_root(self, root: ConfigurationRoot) -> bool:
        """Start to collect a version if it is newer than the present and the pending one.

        :returns: whether the version is now pending.
        """
        if root.version <= max(self.version, self.pending_version):
            return False
        if root == self._rejected:
            return False
        self._pending = root
        kept = {**self._parts, **self._pending_parts}
        wanted = {reference.digest for reference in root.parts}
        self._pending_parts = {digest: kept[digest] for digest in wanted if digest in kept}
        return True

    def list_missing_digests(self) -> tuple[str, ...]:
        """Return the digests of parts that the pending version lacks, in order."""
        if self._pending is None:
            return ()
        digests = dict.fromkeys(reference.digest for reference in self._pending.parts)
        return tuple(digest for digest in digests if digest not in self._pending_parts)

    def offer_part(self, digest: str, value: bytes) -> bool:
        """Take a part of the pending version.

        :returns: ``False`` if the bytes are not those that the digest names.
        """
        if compute_digest(value) != digest:
            return False
        if digest in self.list_missing_digests():
            self._pending_parts[digest] = value
        return True

    def find_part(self, digest: str) -> bytes | None:
        """Return a verified part of the present or the pending version."""
        return self._parts.get(digest) or self._pending_parts.get(digest)

    def activate_pending(self) -> Result[Configuration | None, Failure]:
        """Put the pending version into effect if it is complete.

        :returns: the configuration that took effect, ``None`` if none did; a failure
            if the parts make no configuration, after which the version is not
            collected again.
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
