"""HTTP handlers for client requests and for fixed paths such as readiness and addresses."""

from collections.abc import Callable
from typing import Protocol

from persimmonspur.core.fleet.context import ExchangeContext
from persimmonspur.core.fleet.exchange import Exchange
from persimmonspur.core.fleet.messages import ClientRequest, ClientResponse, Headers
from persimmonspur.core.fleet.routes import RouteTableHolder, WeightedRotation
from persimmonspur.entry.observer import FinishedRequest
from persimmonspur.entry.server import HttpRequest, Respond, ServerResponse

UNCONFIGURED_RETRY_AFTER_MS = 500.0

OnFinished = Callable[[FinishedRequest], None]


class ClientCodec(Protocol):
    """Codec for client requests."""

    def parse_request(self, request: HttpRequest) -> ClientRequest:
        """Convert an HTTP request to a client request."""


class RequestHandler:
    """Routes client requests to endpoints."""

    def __init__(
        self,
        exchange_context: ExchangeContext,
        routes: RouteTableHolder,
        codec: ClientCodec,
        on_finished: OnFinished,
    ) -> None:
        """Create a handler for the routes in a holder.

        :param on_finished: called when a request ended.
        """
        self._exchange_context = exchange_context
        self._routes = routes
        self._codec = codec
        self._on_finished = on_finished
        self._rotation = WeightedRotation()
        self._running: set[Exchange] = set()

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._running)

    def end_quarantined(self) -> None:
        """End the requests in progress that are now known to crash endpoints."""
        for exchange in list(self._running):
            exchange.end_if_quarantined()

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Start to handle one request."""
        client_request = self._codec.parse_request(request)
        table = self._routes.table
        if table is None:
            headers = self._exchange_context.response_format.format_rejection(
                UNCONFIGURED_RETRY_AFTER_MS
            )
            self._reject(client_request, respond, 503, headers, "no_configuration", 0)
            return None
        if not client_request.host or not client_request.target.startswith(b"/"):
            self._reject(client_request, respond, 400, [], "malformed", table.version)
            return None
        route = table.find(client_request.host, client_request.path)
        if route is None:
            self._reject(client_request, respond, 404, [], "no_route", table.version)
            return None
        if route.gather is not None:
            services = route.gather.shards
        elif route.targets:
            services = (self._rotation.pick(route),)
        else:
            headers = self._exchange_context.response_format.format_rejection(
                UNCONFIGURED_RETRY_AFTER_MS
            )
            self._reject(client_request, respond, 503, headers, "no_target", table.version)
            return None

        def record_end(response: ClientResponse) -> None:
            self._running.discard(exchange)
            duration_ms = self._exchange_context.clock.now_ms() - client_request.arrived_ms
            self._on_finished(
                FinishedRequest(client_request, route, table.version, response, duration_ms)
            )

        def send_response(response: ClientResponse) -> None:
            record_end(response)
            respond(ServerResponse(response.status, response.headers, response.body))

        exchange = Exchange(
            self._exchange_context, table, route, services, client_request, send_response
        )
        self._running.add(exchange)

        def on_disconnect() -> None:
            if exchange.done:
                return
            exchange.handle_disconnect()
            record_end(ClientResponse(0, [], b"", "client_left"))

        exchange.start()
        return on_disconnect

    def _reject(
        self,
        request: ClientRequest,
        respond: Respond,
        status: int,
        headers: Headers,
        outcome: str,
        version: int,
    ) -> None:
        response = ClientResponse(status, headers, outcome.encode(), outcome)
        self._on_finished(FinishedRequest(request, None, version, response, 0.0))
        respond(ServerResponse(status, response.headers, response.body))


class PathHandler:
    """Returns the same response to every request for one path, and 404 for other paths."""

    def __init__(self, path: str, build_response: Callable[[], ServerResponse]) -> None:
        """Handle one path.

        :param build_response: returns the current response, the same for every client.
        """
        self._path = path
        self._build_response = build_response

    def handle(self, request: HttpRequest, respond: Respond) -> None:
        """Handle one request."""
        if request.target.partition(b"?")[0].decode("latin-1") != self._path:
            respond(ServerResponse(404))
            return
        respond(self._build_response())
