"""Latency estimates per route, in histograms whose old observations decay."""

from persimmonspur.core.routing.latency import LatencyEstimator


class RouteLatencies:
    """Estimates of the latency of an endpoint's response, by route."""

    def __init__(self) -> None:
        self._estimates: dict[str, LatencyEstimator] = {}

    def get(self, route: str, objective_ms: float) -> LatencyEstimator:
        """Return the estimate for a route, a new one if there is none.

        :param objective_ms: latency objective of the route. A new estimate assumes that
            a sixth of it is typical.
        """
        estimate = self._estimates.get(route)
        if estimate is None:
            estimate = self._estimates[route] = LatencyEstimator(objective_ms / 6)
        return estimate

    def retain(self, routes: frozenset[str]) -> None:
        """Drop the estimates of routes that no longer exist.

        :param routes: names of the routes that exist.
        """
        for route in list(self._estimates):
            if route not in routes:
                del self._estimates[route]
