"""Choice of an endpoint that has room for one request.

Answers overload, cold starts and departures: an endpoint whose queue is too long, that names a
rate limit or that is still cold gets no more than it can handle, one that is leaving or wants no
requests for a while gets none, and a request for which no endpoint has room is rejected before
anything is sent.
"""

from collections.abc import Collection, Iterable

from persimmonspur.core.fleet.context import ExchangeContext
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.routes import Route, RouteTable

# Fraction of the latency objective that a request may wait for a slot at an endpoint.
MAX_QUEUE_WAIT_FRACTION = 0.35


class EndpointChooser:
    """Chooses endpoints for the sends of one request."""

    def __init__(
        self, context: ExchangeContext, table: RouteTable, route: Route, expected_ms: float
    ) -> None:
        """Create a chooser.

        :param table: route table that selected the route.
        :param expected_ms: typical time that an endpoint takes for such a request.
        """
        self._context = context
        self._table = table
        self._max_wait_ms = MAX_QUEUE_WAIT_FRACTION * route.objective_ms
        self._expected_ms = expected_ms

    def choose(self, service: str, tried: Collection[str], now_ms: float) -> Endpoint | None:
        """Return the best endpoint of a service that may get the request now.

        :param tried: identities of the endpoints that the request was sent to before.
        """
        usable = self._context.endpoints.usable(service)
        rollouts = self._context.rollouts
        if rollouts is None:
            return self._choose_among(usable, tried, now_ms)
        for tier in rollouts.select_candidates(service, usable, not tried, now_ms):
            chosen = self._choose_among(tier, tried, now_ms)
            if chosen is not None:
                return chosen
        return None

    def _choose_among(
        self, endpoints: Iterable[Endpoint], tried: Collection[str], now_ms: float
    ) -> Endpoint | None:
        candidates = []
        for endpoint in endpoints:
            if endpoint.identity in tried:
                continue
            candidates.append(endpoint)
        while candidates:
            chosen = self._context.selector.pick(candidates, self._expected_ms, now_ms)
            if chosen is None:
                return None
            if self._try_admit(chosen, now_ms):
                return chosen
            candidates.remove(chosen)
        return None

    def has_staying_endpoint(self, service: str) -> bool:
        """Return whether a service has an endpoint that is not leaving."""
        is_leaving = self._context.pushback.is_leaving
        return any(not is_leaving(endpoint) for endpoint in self._context.endpoints.usable(service))

    def has_free_slot(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Return whether the endpoint would start to work on the request at once."""
        return self._context.selector.has_capacity(endpoint, self._expected_ms, 0.0, now_ms)

    def _try_admit(self, endpoint: Endpoint, now_ms: float) -> bool:
        context = self._context
        if not context.pushback.allows(endpoint, now_ms):
            return False
        if not context.selector.has_capacity(
            endpoint, self._expected_ms, self._max_wait_ms, now_ms
        ):
            return False
        if not context.rate_limit.allows(endpoint.lifetime, now_ms):
            return False
        if endpoint.cold_until_ms <= now_ms:
            return True
        limits = self._table.services.get(endpoint.service)
        rate_per_s = limits.cold_per_s if limits is not None else 0.0
        return context.cold_start_limit.try_acquire(endpoint.lifetime, rate_per_s, now_ms)
