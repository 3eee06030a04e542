"""How evenly the requests of this instance are spread over the replicas of each service."""

from persimmonspur.core.fleet.endpoints import EndpointDirectory, Lifetime
from persimmonspur.core.fleet.selection import ReplicaSelector

INTERVAL_MS = 10_000.0
# The ratio of a service with fewer requests per replica is mostly chance.
MIN_SENDS_PER_REPLICA = 20


class EvennessMeter:
    """Compares the requests to the busiest replica of a service with the mean of its replicas.

    :ivar mean_ratio: mean over the services in the last interval; 1 if all replicas got the same
        number of requests, 0 without a service that got enough requests.
    :ivar worst_ratio: the same of the least even service.
    """

    def __init__(self, selector: ReplicaSelector, directory: EndpointDirectory) -> None:
        self._selector = selector
        self._directory = directory
        self._counts: dict[Lifetime, int] = {}
        self._updated_ms: float | None = None
        self.mean_ratio = 0.0
        self.worst_ratio = 0.0

    def update(self, now_ms: float) -> None:
        """Begin a new interval if the current one has ended."""
        if self._updated_ms is not None and now_ms - self._updated_ms < INTERVAL_MS:
            return
        self._updated_ms = now_ms
        by_service: dict[str, list[int]] = {}
        counts: dict[Lifetime, int] = {}
        for endpoint in self._directory.list_all():
            lifetime = endpoint.lifetime
            counts[lifetime] = self._selector.count_sent(lifetime)
            sent = max(0, counts[lifetime] - self._counts.get(lifetime, 0))
            by_service.setdefault(endpoint.service, []).append(sent)
        self._counts = counts
        ratios = []
        for sends in by_service.values():
            if len(sends) > 1 and sum(sends) >= MIN_SENDS_PER_REPLICA * len(sends):
                ratios.append(max(sends) * len(sends) / sum(sends))
        self.mean_ratio = sum(ratios) / len(ratios) if ratios else 0.0
        self.worst_ratio = max(ratios, default=0.0)
