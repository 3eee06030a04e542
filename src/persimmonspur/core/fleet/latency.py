"""Typical latencies per service and route, in histograms that forget."""

from persimmonspur.core.routing.latency import LatencyEstimator


class RouteLatencies:
    """Latency of one endpoint's answer, by route."""

    def __init__(self) -> None:
        self._estimates: dict[str, LatencyEstimator] = {}

    def get(self, route: str, objective_ms: float) -> LatencyEstimator:
        """Return the estimate of a route.

        :param objective_ms: latency objective; without observations a sixth of it
            is assumed to be typical.
        """
        estimate = self._estimates.get(route)
        if estimate is None:
            estimate = self._estimates[route] = LatencyEstimator(objective_ms / 6)
        return estimate

    def retain(self, routes: frozenset[str]) -> None:
        """Drop the estimates of all routes but some.

        :param routes: names of the routes that exist.
        """
        for route in list(self._estimates):
            if route not in routes:
                del self._estimates[route]
