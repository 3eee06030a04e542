"""Protocols for each external boundary.

A deployment on another platform, or a test bench, implements these.
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
    """An object of the object API with its version, which starts at 1."""

    key: str
    version: int
    value: bytes


class ObjectApi(Protocol):
    """The platform's object API.

    A failed write with kind ``CONFLICT`` had no effect; with
    ``STORE_UNAVAILABLE`` it may have had one.
    """

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Return the present object, or ``None`` if there is none."""
        ...

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Replace the object if its version is the expected one.

        :param expected_version: 0 if the object must not exist.
        :returns: the new version.
        """
        ...

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Wait until the object's version exceeds one; ``None`` on timeout."""
        ...


class ListedState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class InstanceListing:
    """One reading of the instance list.

    :param revision: grows with every change of the list.
    """

    revision: int
    instances: dict[str, ListedState]


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    def list_instances(self) -> Result[InstanceListing, Failure]:
        """Return the list, which may lag."""
        ...


class EndpointClient(Protocol):
    """Calls to endpoints."""

    def configure(self, configuration: Configuration) -> None:
        """Take the limits that bound the connections of each endpoint."""
        ...

    def search(
        self,
        endpoint: Endpoint,
        request: SubRequest,
        timeout_ms: float,
        expires_at_ms: float | None = None,
    ) -> EndpointOutcome:
        """Run a sub-request; never raises.

        :param expires_at_ms: wall-clock milliseconds after which the endpoint must not run
            it; the timeout from now if ``None``.
        """
        ...

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask the endpoint to stop a request; best effort."""
        ...

    def fetch_report(self, endpoint: Endpoint, timeout_ms: float) -> EndpointReport | None:
        """Return the endpoint's report, or ``None`` if it does not answer."""
        ...

    def set_idle_close_listener(self, listener: Callable[[str], None]) -> None:
        """Set what is called with an endpoint's name when it closes an idle connection."""
        ...

    def disconnect(self, name: str) -> None:
        """Close the connections of an endpoint."""
        ...


class PeerTransport(Protocol):
    """Messages between instances; they may be lost, repeated, delayed or reordered."""

    def connect(self, name: str, address: str) -> None:
        """Make a peer reachable under its name, replacing a former address."""
        ...

    def disconnect(self, name: str) -> None:
        """Forget a peer."""
        ...

    def send(self, name: str, envelope: Envelope) -> bool:
        """Send without blocking.

        :returns: ``False`` if the message was dropped.
        """
        ...

    def close(self) -> None:
        """Close all connections."""
        ...
