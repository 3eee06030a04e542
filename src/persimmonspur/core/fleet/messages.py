"""Requests, answers and send results of the direct path."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from attrs import define, field, frozen

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.errors import Ran

Headers = list[tuple[bytes, bytes]]


@frozen
class ClientRequest:
    """One client attempt.

    :param request_id: unique per client attempt.
    :param target: path and query as the client sent them.
    :param headers: without those of the connection.
    :param deadline_ms: how long the client waits, from ``arrived_ms``; ``None`` if unknown.
    :param arrived_ms: local time at which the request was complete.
    """

    request_id: str
    method: str
    host: str
    target: bytes
    headers: Headers
    body: bytes
    deadline_ms: float | None
    arrived_ms: float

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@frozen
class EndpointResponse:
    """A complete response of an endpoint to this attempt.

    :param stamp: the endpoint's proof that it ran the request; empty if it gave none.
    :param ran: ``NO`` if the response says that the request did not run.
    :param misdirected: whether another endpoint has the address now.
    :param load: running and waiting requests, if it says so.
    """

    status: int
    headers: Headers
    body: bytes
    stamp: str
    ran: Ran
    misdirected: bool = False
    load: tuple[int, int] | None = None


@frozen
class SendFailure:
    """A send that ended without a response.

    :param ran: ``NO`` only if the request certainly did not reach the endpoint.
    """

    ran: Ran
    reason: str


SendResult = EndpointResponse | SendFailure


class SendHandle(Protocol):
    """A request on its way to an endpoint."""

    def cancel(self) -> None:
        """Stop waiting and close the connection; no result is delivered."""


class Sender(Protocol):
    """Sends requests to endpoints."""

    def send(
        self,
        endpoint: Endpoint,
        request: ClientRequest,
        timeout_ms: float,
        on_result: Callable[[SendResult], None],
    ) -> SendHandle | None:
        """Send a request.

        :param timeout_ms: time that the endpoint may take; a failure follows soon after.
        :param on_result: called once, not before this method returns.
        :returns: ``None`` if all connections that this instance may open are in use.
        """


class TimerHandle(Protocol):
    """A timer that was set."""

    def cancel(self) -> None:
        """Prevent the call; idempotent."""


class Timers(Protocol):
    """Sets timers."""

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> TimerHandle:
        """Call a function once after a delay in milliseconds."""


class AttemptKind(StrEnum):
    """Why a request was sent to an endpoint."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


@define
class AttemptRecord:
    """One send of a request and the figures that decided it.

    :param sent_ms: local time of the send.
    :param factor: the endpoint's latency relative to the typical one, as known then.
    :param factor_age_ms: age of that figure.
    :param outstanding: requests of this instance that the endpoint had not answered.
    :param result: empty while it runs.
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
    """What the client gets.

    :param outcome: one word for logs and metrics.
    :param covered: shards in the answer.
    :param total: shards of the route; 1 without a gather.
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
    """The answer of one shard."""

    service: str
    stamp: str
    body: bytes = field(repr=False)
