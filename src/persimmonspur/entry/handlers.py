"""HTTP handlers for client requests and for fixed paths such as readiness and addresses."""

from collections.abc import Callable
from typing import Protocol

from attrs import evolve, field, frozen

from persimmonspur.core.fleet.accounts import NO_ACCOUNTS, Account, AccountDirectory
from persimmonspur.core.fleet.context import ExchangeContext
from persimmonspur.core.fleet.exchange import (
    MIN_SEND_TIMEOUT_MS,
    RESPONSE_MARGIN_MS,
    Exchange,
)
from persimmonspur.core.fleet.freshness import ConfigurationStanding
from persimmonspur.core.fleet.messages import ClientRequest, ClientResponse, Headers
from persimmonspur.core.fleet.quotas import Verdict
from persimmonspur.core.fleet.routes import Route, RouteTable, RouteTableHolder, WeightedRotation
from persimmonspur.entry.observer import FinishedRequest
from persimmonspur.entry.quotas import QuotaGate, WaitingRequest
from persimmonspur.entry.server import HttpRequest, Respond, ServerResponse

UNCONFIGURED_RETRY_AFTER_MS = 500.0
# Another instance may have a current configuration.
UNCONFIRMED_RETRY_AFTER_MS = 200.0
# A client that looks up addresses again finds other instances at once.
LEAVING_RETRY_AFTER_MS = 50.0

OnFinished = Callable[[FinishedRequest], None]


class ClientCodec(Protocol):
    """Codec for client requests."""

    def parse_request(self, request: HttpRequest, accounts: AccountDirectory) -> ClientRequest:
        """Convert an HTTP request to a client request.

        :param accounts: client accounts among which the request's API key is looked up.
        """


@frozen
class _Refusal:
    """Why a request is answered without being sent to endpoints.

    :param retry_after_ms: when the client may try again; ``None`` if it would not help.
    :param is_challenge: whether the client needs an API key that is known.
    """

    status: int
    outcome: str
    retry_after_ms: float | None = None
    is_challenge: bool = False


@frozen(eq=False)
class _RoutedRequest:
    """A request that is to be sent to endpoints.

    :param taken_ms: local time at which it took a token of its account's quota; ``None``
        without a quota.
    """

    request: ClientRequest
    respond: Respond
    table: RouteTable
    route: Route
    taken_ms: float | None = field(default=None)


_UNCONFIRMED = _Refusal(503, "unconfirmed", UNCONFIRMED_RETRY_AFTER_MS)


class RequestHandler:
    """Routes client requests to endpoints."""

    def __init__(
        self,
        exchange_context: ExchangeContext,
        routes: RouteTableHolder,
        codec: ClientCodec,
        on_finished: OnFinished,
        judge_configuration: Callable[[], ConfigurationStanding],
        quotas: QuotaGate,
    ) -> None:
        """Create a handler for the routes in a holder.

        :param on_finished: called when a request ended.
        :param judge_configuration: returns how far the table in the holder may be relied on;
            called where the configuration has client accounts.
        :param quotas: admits requests within the quotas of their accounts.
        """
        self._exchange_context = exchange_context
        self._routes = routes
        self._codec = codec
        self._on_finished = on_finished
        self._judge_configuration = judge_configuration
        self._quotas = quotas
        self._rotation = WeightedRotation()
        self._running: set[Exchange] = set()
        self._drain_deadline_ms: float | None = None
        self._rejecting = False

    @property
    def running(self) -> int:
        """Number of requests in progress, those included that wait for their quota."""
        return len(self._running) + self._quotas.waiting

    def start_draining(self, deadline_ms: float) -> None:
        """Give requests that arrive from now on only the time until a deadline.

        :param deadline_ms: local time by which all requests have to be answered.
        """
        self._drain_deadline_ms = deadline_ms

    def reject_new(self) -> None:
        """Reject requests that arrive from now on as not run."""
        self._rejecting = True

    def end_running(self) -> None:
        """Answer the requests in progress with what is known, before the process exits."""
        self._quotas.reject_waiting()
        for exchange in list(self._running):
            exchange.end_now()

    def end_quarantined(self) -> None:
        """End the requests in progress that are now known to crash endpoints."""
        for exchange in list(self._running):
            exchange.end_if_quarantined()

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Start to handle one request."""
        table = self._routes.table
        accounts = table.accounts if table is not None else NO_ACCOUNTS
        client_request = self._limit_to_drain(self._codec.parse_request(request, accounts))
        route = table.find(client_request.host, client_request.path) if table is not None else None
        refusal = self._find_refusal(client_request, table, route)
        if refusal is not None:
            self._refuse(client_request, respond, refusal, table)
            return None
        assert table is not None and route is not None
        routed = _RoutedRequest(client_request, respond, table, route)
        account = client_request.account
        if account is None or not account.rate_per_s:
            return self._start(routed)
        return self._start_within_quota(routed, account)

    def _start_within_quota(
        self, routed: _RoutedRequest, account: Account
    ) -> Callable[[], None] | None:
        """Send a request once it has a token of its account's quota, or reject it."""
        on_disconnect: Callable[[], None] | None = None

        def end_wait(admitted: bool) -> None:
            nonlocal on_disconnect
            on_disconnect = None
            if admitted:
                on_disconnect = self._start(self._record_token(routed))
            else:
                self._reject_over_quota(routed, account)

        acquired = self._quotas.acquire(account, self._compute_wait_ms(routed), end_wait)
        if acquired is Verdict.ADMITTED:
            return self._start(self._record_token(routed))
        if not isinstance(acquired, WaitingRequest):
            self._reject_over_quota(routed, account)
            return None
        waiting = acquired

        def stop_waiting() -> None:
            self._quotas.cancel(waiting)
            response = ClientResponse(0, [], b"", "client_left")
            self._record_end(routed, response)

        on_disconnect = stop_waiting
        return lambda: on_disconnect() if on_disconnect is not None else None

    def _record_token(self, routed: _RoutedRequest) -> _RoutedRequest:
        return evolve(routed, taken_ms=self._exchange_context.clock.now_ms())

    def _compute_wait_ms(self, routed: _RoutedRequest) -> float:
        """Return the time for which a request can wait and still be sent before its deadline."""
        timeout_ms = routed.route.timeout_ms
        if routed.request.timeout_ms is not None:
            timeout_ms = min(timeout_ms, routed.request.timeout_ms)
        elapsed_ms = self._exchange_context.clock.now_ms() - routed.request.arrived_ms
        return timeout_ms - elapsed_ms - RESPONSE_MARGIN_MS - MIN_SEND_TIMEOUT_MS

    def _reject_over_quota(self, routed: _RoutedRequest, account: Account) -> None:
        refusal = _Refusal(429, "quota", self._quotas.get_retry_after_ms(account))
        self._refuse(routed.request, routed.respond, refusal, routed.table)

    def _record_end(self, routed: _RoutedRequest, response: ClientResponse) -> None:
        duration_ms = self._exchange_context.clock.now_ms() - routed.request.arrived_ms
        self._on_finished(
            FinishedRequest(
                routed.request, routed.route, routed.table.version, response, duration_ms
            )
        )

    def _return_token(self, routed: _RoutedRequest) -> None:
        """Return the token of a request that was not sent to any endpoint."""
        if routed.taken_ms is None or routed.request.account is None:
            return
        self._quotas.put_back(routed.request.account, routed.taken_ms)

    def _start(self, routed: _RoutedRequest) -> Callable[[], None] | None:
        """Send a request to endpoints."""

        def record_end(response: ClientResponse) -> None:
            self._running.discard(exchange)
            if not exchange.sent:
                self._return_token(routed)
            self._record_end(routed, response)

        def send_response(response: ClientResponse) -> None:
            record_end(response)
            routed.respond(ServerResponse(response.status, response.headers, response.body))

        exchange = Exchange(
            self._exchange_context,
            routed.table,
            routed.route,
            self._choose_services(routed.route),
            routed.request,
            send_response,
        )
        self._running.add(exchange)

        def on_disconnect() -> None:
            if exchange.done:
                return
            exchange.handle_disconnect()
            record_end(ClientResponse(0, [], b"", "client_left"))

        exchange.start()
        return on_disconnect

    def _limit_to_drain(self, request: ClientRequest) -> ClientRequest:
        """Limit the time of a request to what is left until this instance exits."""
        if self._drain_deadline_ms is None:
            return request
        left_ms = max(0.0, self._drain_deadline_ms - self._exchange_context.clock.now_ms())
        if request.timeout_ms is not None and request.timeout_ms <= left_ms:
            return request
        return evolve(request, timeout_ms=left_ms)

    def _choose_services(self, route: Route) -> tuple[str, ...]:
        """Return one service per shard of a gather, or one of the route's targets.

        Called for each request that is sent, and for no other, so that the shares of the
        targets are exact.
        """
        if route.gather is not None:
            return route.gather.shards
        return (self._rotation.pick(route),)

    def _find_refusal(
        self,
        request: ClientRequest,
        table: RouteTable | None,
        route: Route | None,
    ) -> "_Refusal | None":
        """Return why a request is not sent to endpoints, or ``None`` if it is."""
        if self._rejecting:
            return _Refusal(503, "leaving", LEAVING_RETRY_AFTER_MS)
        if table is None:
            return _Refusal(503, "no_configuration", UNCONFIGURED_RETRY_AFTER_MS)
        if not request.host or not request.target.startswith(b"/"):
            return _Refusal(400, "malformed")
        if route is None:
            return self._qualify(_Refusal(404, "no_route"), table)
        if table.needs_key(route):
            if self._judge_configuration() is ConfigurationStanding.REVOKED:
                return _UNCONFIRMED
            if request.account is None:
                return self._qualify(_Refusal(401, "unauthorized", is_challenge=True), table)
        if not (route.gather.shards if route.gather is not None else route.targets):
            return _Refusal(503, "no_target", UNCONFIGURED_RETRY_AFTER_MS)
        return None

    def _qualify(self, refusal: "_Refusal", table: RouteTable) -> "_Refusal":
        """Return a refusal, or a temporary one if a newer configuration may allow the request."""
        if not table.accounts.active:
            return refusal
        if self._judge_configuration() is ConfigurationStanding.CURRENT:
            return refusal
        return _UNCONFIRMED

    def _refuse(
        self,
        request: ClientRequest,
        respond: Respond,
        refusal: "_Refusal",
        table: RouteTable | None,
    ) -> None:
        headers: Headers = []
        response_format = self._exchange_context.response_format
        if refusal.retry_after_ms is not None:
            headers = response_format.format_rejection(refusal.retry_after_ms)
        elif refusal.is_challenge:
            headers = response_format.format_challenge()
        outcome = refusal.outcome
        response = ClientResponse(refusal.status, headers, outcome.encode(), outcome)
        version = table.version if table is not None else 0
        self._on_finished(FinishedRequest(request, None, version, response, 0.0))
        respond(ServerResponse(response.status, response.headers, response.body))


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
