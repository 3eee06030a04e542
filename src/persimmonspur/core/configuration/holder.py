"""Holds the configuration in effect; versions only rise."""

from persimmonspur.core.configuration.document import RootDocument
from persimmonspur.model.configuration import Configuration

ROOT_KEY = "config/root"


class ConfigurationHolder:
    """The highest configuration version that this instance has seen."""

    def __init__(self) -> None:
        self.root: RootDocument | None = None

    @property
    def version(self) -> int:
        """Version in effect; 0 before the first."""
        return self.root.version if self.root is not None else 0

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in effect, ``None`` before the first."""
        return self.root.configuration if self.root is not None else None

    def offer(self, root: RootDocument) -> bool:
        """Take a configuration if it is newer than the present one.

        :returns: whether it took effect.
        """
        if root.version <= self.version:
            return False
        self.root = root
        return True
