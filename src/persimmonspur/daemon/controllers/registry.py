"""Registry of the controllers and the interface that all of them share."""

from collections.abc import Callable
from typing import Any, Protocol

from attrs import frozen

from persimmonspur.registry import Registry


@frozen
class PeerMessage:
    """A message received from a peer.

    :param table_version: version of the sender's cell table.
    :param body: one of the message types of ``model.messages``.
    :param age_ms: estimated transit time of the message in milliseconds.
    """

    sender: str
    incarnation: int
    table_version: int
    body: Any
    age_ms: float


Handler = Callable[[PeerMessage], None]


class Controller(Protocol):
    """Interface of a controller."""

    def start(self) -> None:
        """Start background work."""
        ...

    def stop(self) -> None:
        """Stop background work."""
        ...

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of peer messages, keyed by the type of the message body."""
        ...


CONTROLLERS: Registry[Any] = Registry("controller")
