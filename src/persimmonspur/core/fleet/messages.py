"""Requests, responses and send results of the direct path."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from attrs import define, field, frozen

from persimmonspur.core.fleet.accounts import Account
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.errors import Ran

Headers = list[tuple[bytes, bytes]]


@frozen
class ClientRequest:
    """One request of a client.

    :param request_id: unique for each attempt of the client.
    :param target: path and query as the client sent them.
    :param headers: without those that concern only the connection, and without the API key.
    :param timeout_ms: how long the client waits, from ``arrived_ms``; ``None`` if unknown.
    :param arrived_ms: local time at which the request was completely received.
    :param round_trip_ms: round trip time to the client; 0 if unknown.
    :param handshake_ms: time that the client took to connect for this request.
    :param account: client account of the request's API key; ``None`` without a known key.
    """

    request_id: str
    method: str
    host: str
    target: bytes
    headers: Headers
    body: bytes
    timeout_ms: float | None
    arrived_ms: float
    round_trip_ms: float = 0.0
    handshake_ms: float = 0.0
    account: Account | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@frozen
class EndpointResponse:
    """A complete response of an endpoint to one send.

    :param stamp: the endpoint's proof that it ran the request; empty if it sent none.
    :param ran: ``NO`` if the response says that the request did not run.
    :param misdirected: whether the address now belongs to another endpoint.
    :param load: numbers of running and waiting requests, if the endpoint reports them.
    :param rate_limit_per_s: requests per second that the endpoint takes from all instances
        together, if it names a limit.
    :param leaving: whether the endpoint says that it is leaving.
    :param retry_after_ms: time for which the endpoint wants no requests from this instance;
        ``None`` if it names none.
    """

    status: int
    headers: Headers
    body: bytes
    stamp: str
    ran: Ran
    misdirected: bool = False
    load: tuple[int, int] | None = None
    rate_limit_per_s: float | None = None
    leaving: bool = False
    retry_after_ms: float | None = None


@frozen
class SendFailure:
    """A send that ended without a response.

    :param ran: ``NO`` only if the request certainly did not reach the endpoint.
    :param connection_lost: whether the connection ended before any byte of a response, as
        when the endpoint crashes.
    """

    ran: Ran
    reason: str
    connection_lost: bool = False


SendResult = EndpointResponse | SendFailure


class SendHandle(Protocol):
    """A send that has no result yet."""

    def cancel(self) -> None:
        """Close the connection; no result is delivered."""


class Sender(Protocol):
    """Sends requests to endpoints."""

    def send(
        self,
        endpoint: Endpoint,
        request: ClientRequest,
        timeout_ms: float,
        on_result: Callable[[SendResult], None],
    ) -> SendHandle | None:
        """Send a request. An exception counts as a failed send that may have run.

        :param timeout_ms: time that the endpoint may take; the send fails soon after it.
        :param on_result: called once, and only after this method has returned.
        :returns: ``None`` if all connections that this instance may open are in use.
        """


class TimerHandle(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; idempotent."""


class Timers(Protocol):
    """Schedules calls."""

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> TimerHandle:
        """Call a function once after a delay in milliseconds."""


class AttemptKind(StrEnum):
    """Why a request was sent to an endpoint."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


@define
class AttemptRecord:
    """One send of a request, with the estimates on which the endpoint was selected.

    :param sent_ms: local time of the send.
    :param factor: estimated latency of the endpoint relative to the typical one.
    :param factor_age_ms: age of that estimate; -1 without one.
    :param outstanding: requests from this instance that the endpoint had not answered yet.
    :param result: status or failure reason; empty while there is no result.
    :param took_ms: time from the send to its result.
    """

    endpoint: str
    service: str
    kind: AttemptKind
    sent_ms: float
    factor: float
    factor_age_ms: float
    outstanding: int
    result: str = ""
    took_ms: float = 0.0


@frozen
class ClientResponse:
    """The response to a client.

    :param outcome: label for logs and metrics.
    :param covered: number of shards with a result in the response.
    :param total: number of shards of the route; 1 for a route without a gather.
    :param attempts: all sends, in order.
    :param reason: why shards are missing or the request failed.
    """

    status: int
    headers: Headers
    body: bytes
    outcome: str
    covered: int = 0
    total: int = 0
    attempts: tuple[AttemptRecord, ...] = ()
    reason: str = ""


@frozen
class ShardResult:
    """The successful response of one shard."""

    service: str
    stamp: str
    body: bytes = field(repr=False)
