"""Versions of one service that may get requests without an order for them.

Endpoints of a new version start beside the old ones, often before the order that allows
requests to them has arrived here.
"""

from collections.abc import Iterable

from persimmonspur.core.fleet.endpoints import Endpoint

# Time for which a version that no order names gets no requests beside the established one. An
# order that an instance can learn of at all has arrived by then; afterwards the version counts
# as deployed without an order.
UNORDERED_HOLD_MS = 60_000.0


class ServiceVersions:
    """The established versions of one service, and those that must get no requests.

    :ivar barred: versions that were rolled back, replaced, or whose order was removed.
    """

    def __init__(self) -> None:
        self.barred: set[str] = set()
        self._established: set[str] = set()
        self._first_seen_ms: dict[str, float] = {}
        self._next_release_ms = float("inf")

    @property
    def next_release_ms(self) -> float:
        """Local time at which the next version that is held back is released."""
        return self._next_release_ms

    def allow_only(self, version: str, others: Iterable[str]) -> None:
        """Record that a version has replaced all others.

        :param others: other versions of which endpoints are known.
        """
        self.barred |= set(others) | self._established
        self.barred.discard(version)
        self._established = {version}

    def bar(self, version: str) -> None:
        """Record that a version must get no requests until it is ordered anew."""
        self.barred.add(version)
        self._established.discard(version)

    def select(
        self, endpoints: Iterable[Endpoint], orders_known: bool, now_ms: float
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints that may get requests.

        :param endpoints: usable endpoints, without those of a version that is ordered.
        :param orders_known: whether all orders were read, so that a missing one does not
            exist or has not arrived yet.
        """
        allowed = [endpoint for endpoint in endpoints if endpoint.version not in self.barred]
        versions = {endpoint.version for endpoint in allowed}
        self._next_release_ms = float("inf")
        if len(versions) < 2:
            if not self._established:
                self._established = versions
            return tuple(allowed)
        if not self._established & versions:
            # Endpoints of the earlier version have been running for longer.
            self._established = {min(allowed, key=lambda endpoint: endpoint.born_ms).version}
        for version in versions - self._established:
            self._release_in_time(version, orders_known, now_ms)
        return tuple(endpoint for endpoint in allowed if endpoint.version in self._established)

    def _release_in_time(self, version: str, orders_known: bool, now_ms: float) -> None:
        if not orders_known:
            return
        release_ms = self._first_seen_ms.setdefault(version, now_ms) + UNORDERED_HOLD_MS
        if now_ms >= release_ms:
            self._established.add(version)
            return
        self._next_release_ms = min(self._next_release_ms, release_ms)
