"""Sends requests to endpoints over persistent connections."""

from collections.abc import Callable
from typing import Protocol

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import Endpoint, Lifetime
from persimmonspur.core.fleet.messages import (
    ClientRequest,
    EndpointResponse,
    SendFailure,
    SendResult,
    Timers,
)
from persimmonspur.entry.connections import Call, ConnectionPool
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.entry.serverlimits import ResponseLimits
from persimmonspur.errors import Ran

# Time that a response may take beyond the timeout at which the endpoint stops its work.
RESPONSE_GRACE_MS = 60.0
# Fraction of an endpoint's connection limit that all instances use together.
USED_CONNECTION_FRACTION = 0.7
MIN_CONNECTIONS = 2


class EndpointCodec(Protocol):
    """Codec for requests to endpoints and their responses."""

    def format_request(
        self, request: ClientRequest, endpoint: Endpoint, timeout_ms: float
    ) -> bytes:
        """Return the bytes of a request."""

    def is_response_to(self, response: HttpResponse, request: ClientRequest) -> bool:
        """Return whether a response belongs to a request."""

    def parse_response(self, response: HttpResponse) -> EndpointResponse:
        """Convert an HTTP response to an endpoint response."""


class EndpointSender:
    """Implements :class:`persimmonspur.core.fleet.messages.Sender`.

    :ivar sharing_instances: number of instances that share the connections of each endpoint.
    """

    def __init__(
        self,
        codec: EndpointCodec,
        get_max_connections: Callable[[str], int],
        clock: Clock,
        timers: Timers,
        response_limits: ResponseLimits,
    ) -> None:
        """Create a sender; connections are opened on demand.

        :param get_max_connections: returns the number of connections that an endpoint of
            a service accepts.
        :param response_limits: limits of the responses of all endpoints.
        """
        self._codec = codec
        self._get_max_connections = get_max_connections
        self._clock = clock
        self._timers = timers
        self._response_limits = response_limits
        self._pools: dict[Lifetime, ConnectionPool] = {}
        self.sharing_instances = 1

    def send(
        self,
        endpoint: Endpoint,
        request: ClientRequest,
        timeout_ms: float,
        on_result: Callable[[SendResult], None],
    ) -> Call | None:
        """Send a request to an endpoint.

        :returns: ``None`` if all connections that this instance may open are in use.
        """
        pool = self._pools.get(endpoint.lifetime)
        if pool is None:
            pool = ConnectionPool(
                endpoint.address,
                0,
                self._clock,
                self._timers,
                self._response_limits.max_response_bytes,
                self._response_limits.memory,
            )
            self._pools[endpoint.lifetime] = pool
        limit = (
            self._get_max_connections(endpoint.service)
            * USED_CONNECTION_FRACTION
            / self.sharing_instances
        )
        pool.max_connections = max(MIN_CONNECTIONS, int(limit))

        def on_response(response: HttpResponse) -> None:
            on_result(self._parse_response(response))

        def on_failure(ran: Ran, reason: str) -> None:
            on_result(SendFailure(ran, reason, call.connection_lost))

        call = Call(
            self._codec.format_request(request, endpoint, timeout_ms),
            lambda response: self._codec.is_response_to(response, request),
            on_response,
            on_failure,
        )
        try:
            started = pool.start(call, timeout_ms + RESPONSE_GRACE_MS)
        except BaseException:
            call.cancel()
            raise
        return call if started else None

    def _parse_response(self, response: HttpResponse) -> SendResult:
        try:
            return self._codec.parse_response(response)
        except Exception as error:
            return SendFailure(Ran.UNKNOWN, f"unreadable response: {error!r}")

    def retain(self, lifetimes: frozenset[Lifetime]) -> None:
        """Close idle connections to endpoint processes that no longer exist.

        :param lifetimes: the processes that exist.
        """
        for lifetime, pool in list(self._pools.items()):
            if lifetime in lifetimes:
                continue
            pool.close_idle()
            if not pool.in_use:
                del self._pools[lifetime]

    def prepare_connections(self) -> None:
        """Open connections in advance to endpoints that were called lately.

        A request on a new connection waits for the endpoint to accept it, and a gather waits
        for the slowest of its requests.
        """
        now_ms = self._clock.now_ms()
        for pool in self._pools.values():
            pool.prepare(now_ms)

    @property
    def response_bytes(self) -> int:
        """Estimated memory of the responses that are being received."""
        return self._response_limits.memory.used_bytes

    def count_opened(self) -> int:
        """Return the number of connections opened so far to the current endpoints."""
        return sum(pool.opened_count for pool in self._pools.values())
