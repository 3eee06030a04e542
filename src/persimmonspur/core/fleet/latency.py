"""Latency estimates per route, from histograms in which old observations decay."""

from persimmonspur.core.routing.latency import LatencyEstimator


class RouteLatencyEstimators:
    """Estimators of the latency of an endpoint's response, by route."""

    def __init__(self) -> None:
        self._estimators: dict[str, LatencyEstimator] = {}

    def get(self, route: str, objective_ms: float) -> LatencyEstimator:
        """Return the estimator for a route, a new one if there is none.

        :param objective_ms: latency objective of the route. A new estimator assumes that
            a sixth of it is typical.
        """
        estimator = self._estimators.get(route)
        if estimator is None:
            estimator = self._estimators[route] = LatencyEstimator(objective_ms / 6)
        return estimator

    def retain(self, routes: frozenset[str]) -> None:
        """Drop the estimators of routes that no longer exist.

        :param routes: names of the routes that exist.
        """
        for route in list(self._estimators):
            if route not in routes:
                del self._estimators[route]
