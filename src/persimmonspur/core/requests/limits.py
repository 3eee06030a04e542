"""Bounds on the sub-requests that bulk queries have outstanding."""

from attrs import define, field

from persimmonspur.model.configuration import PriorityClass, Service

# Classes from this priority on read in bulk; they may wait, and get no burst.
BULK_PRIORITY = 2
MAX_OUTSTANDING_PER_QUERY = 16
# The class must progress at instances whose share of the slots is less than one.
MIN_GUARANTEED_OUTSTANDING = 1
DEFAULT_CLASS_SHARE = 0.2


# Long enough for several sub-requests of a class to finish.
RATE_WINDOW_MS = 500.0
RATE_EWMA_WEIGHT = 0.5


@define(eq=False)
class BulkLoad:
    """What one bulk class has outstanding at one service, and what it holds back.

    :param outstanding: sub-requests without a reply.
    :param deferred: first sub-requests that wait for room.
    :param queue: the queries that hold some back, oldest first.
    """

    outstanding: int = 0
    deferred: int = 0
    queue: list[object] = field(factory=list)
    _completed: int = 0
    _window_start_ms: float = 0.0
    _always_deferred: bool = False
    _completion_rate: float = 0.0

    def defer(self, query: object) -> None:
        """Hold back a sub-request of a query."""
        self.deferred += 1
        if query not in self.queue:
            self.queue.append(query)

    def release(self, query: object, *, last: bool) -> None:
        """Stop to hold back a sub-request of a query.

        :param last: whether the query holds back no other.
        """
        self.deferred -= 1
        if last:
            self.queue.remove(query)

    def is_near_front(self, query: object) -> bool:
        """Return whether a query is among the first two that wait."""
        return query in self.queue[:2]

    def is_behind_older_query(self, query: object) -> bool:
        """Return whether an older query waits.

        If all of them progressed at once, all of them would miss their deadlines.
        """
        return bool(self.queue) and self.queue[0] is not query

    def record_completion(self) -> None:
        """Count the end of a sub-request."""
        self.outstanding -= 1
        self._completed += 1

    def estimate_wait(self, now_ms: float) -> float:
        """Return how long a new first sub-request would be held, in milliseconds.

        The rate at which sub-requests finish is only declared from times in
        which some were held all along; without them it is the demand.
        """
        elapsed_ms = now_ms - self._window_start_ms
        self._always_deferred = self._always_deferred and self.deferred > 0
        if elapsed_ms >= RATE_WINDOW_MS:
            if self._always_deferred:
                rate = self._completed / elapsed_ms
                self._completion_rate += (
                    RATE_EWMA_WEIGHT if self._completion_rate > 0 else 1.0
                ) * (rate - self._completion_rate)
            self._window_start_ms, self._completed = now_ms, 0
            self._always_deferred = self.deferred > 0
        return self.deferred / self._completion_rate if self._completion_rate > 0 else 0.0


@define
class OutstandingLimits:
    """Bounds the outstanding sub-requests of bulk classes at this coordinator."""

    _shares: dict[str, float] = field(factory=dict)
    _loads: dict[tuple[str, str], BulkLoad] = field(factory=dict)

    def configure(self, classes: tuple[PriorityClass, ...]) -> None:
        """Take the declared classes."""
        self._shares = {declared.name: declared.share for declared in classes}

    def compute_guaranteed_outstanding(
        self, service: Service, priority_class: str, coordinator_count: int
    ) -> int:
        """Return how many sub-requests a class may always have outstanding at a service.

        :param coordinator_count: instances that share the service's slots.
        """
        slots = service.limits.slots * len(service.endpoints)
        share = self._shares.get(priority_class, DEFAULT_CLASS_SHARE)
        return max(MIN_GUARANTEED_OUTSTANDING, int(share * slots / max(1, coordinator_count)))

    def get(self, service: str, priority_class: str) -> BulkLoad:
        """Return the load of a class at a service."""
        return self._loads.setdefault((service, priority_class), BulkLoad())
