"""Protocols of the external interfaces.

Deployments on other platforms and tests supply their own implementations.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from attrs import frozen
from expression import Result

from persimmonspur.errors import Failure
from persimmonspur.model.configuration import Configuration, Endpoint
from persimmonspur.model.messages import Envelope, SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport


@frozen
class StoredObject:
    """An object of the object API.

    :param version: version of the value; the first one is 1.
    """

    key: str
    version: int
    value: bytes


class ObjectApi(Protocol):
    """The platform's object API.

    A write that fails with ``CONFLICT`` had no effect. A write that fails with
    ``STORE_UNAVAILABLE`` may have taken effect.
    """

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Return the current object, or ``None`` if there is none."""
        ...

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Replace the object if its version matches the expected one.

        :param expected_version: 0 if the object must not exist.
        :returns: the new version.
        """
        ...

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Wait for a version above ``after_version``; ``None`` on timeout."""
        ...


class ListedState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class InstanceListing:
    """The instance list at one revision.

    :param revision: increases with every change of the list.
    """

    revision: int
    instances: dict[str, ListedState]


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    def list_instances(self) -> Result[InstanceListing, Failure]:
        """Return the list, which may be out of date."""
        ...


class EndpointClient(Protocol):
    """Client for requests to endpoints."""

    def configure(self, configuration: Configuration) -> None:
        """Update the connection limits of the endpoints."""
        ...

    def search(
        self,
        endpoint: Endpoint,
        request: SubRequest,
        timeout_ms: float,
        expires_at_ms: float | None = None,
    ) -> EndpointOutcome:
        """Send a sub-request and return its outcome; never raises.

        :param expires_at_ms: wall-clock time in milliseconds after which the endpoint must
            not run it; defaults to the current time plus the timeout.
        """
        ...

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Cancel a request at the endpoint (best effort)."""
        ...

    def fetch_report(self, endpoint: Endpoint, timeout_ms: float) -> EndpointReport | None:
        """Fetch the endpoint's report; ``None`` if it does not respond."""
        ...

    def set_idle_close_listener(self, listener: Callable[[str], None]) -> None:
        """Set the callback that receives an endpoint's name when it closes an idle connection."""
        ...

    def disconnect(self, name: str) -> None:
        """Close the connections of an endpoint."""
        ...


class PeerTransport(Protocol):
    """Sends messages between instances; they may be lost, duplicated, delayed or reordered."""

    def connect(self, name: str, address: str) -> None:
        """Add a peer, or replace its address."""
        ...

    def disconnect(self, name: str) -> None:
        """Remove a peer and close its connection."""
        ...

    def send(self, name: str, envelope: Envelope) -> bool:
        """Send without blocking.

        :returns: ``False`` if the message was dropped.
        """
        ...

    def close(self) -> None:
        """Close all connections."""
        ...
