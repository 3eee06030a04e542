"""Registry of named implementations."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to implementations; entries are added by a decorator."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an implementation.

        :param name: name to register the implementation under.
        :raises ValueError: if the name is already registered.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the implementation registered under a name.

        :raises KeyError: if there is none; the message lists the known names.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise KeyError(f"unknown {self._kind} {name!r}; known: {known}")
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names in registration order."""
        return iter(self._entries)

    def __contains__(self, name: str) -> bool:
        """Return whether a name is registered."""
        return name in self._entries
