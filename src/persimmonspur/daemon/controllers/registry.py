"""Controllers keep one part of the daemon's state each."""

from collections.abc import Callable
from typing import Any, Protocol

from attrs import frozen

from persimmonspur.registry import Registry


@frozen
class PeerMessage:
    """A message of a peer, ready to be handled.

    :param table_version: version of the sender's table.
    :param body: one of the types of ``model.messages``.
    :param age_ms: time that the message was on the way, in milliseconds.
    """

    sender: str
    incarnation: int
    table_version: int
    body: Any
    age_ms: float


Handler = Callable[[PeerMessage], None]


class Controller(Protocol):
    """One controller."""

    def start(self) -> None:
        """Start background work."""
        ...

    def stop(self) -> None:
        """Stop background work."""
        ...

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of peer messages by the type of their message.body."""
        ...


CONTROLLERS: Registry[Any] = Registry("controller")
