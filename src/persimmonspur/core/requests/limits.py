"""Limits on the outstanding sub-requests of bulk queries."""

from attrs import define, field

from persimmonspur.model.configuration import PriorityClass, Service

# Classes with this priority value or a higher one run bulk queries, whose sub-requests are
# deferred instead of being sent in a burst.
BULK_PRIORITY = 2
MAX_OUTSTANDING_PER_QUERY = 16
# Lets a class make progress at instances whose share of the slots is less than one.
MIN_GUARANTEED_OUTSTANDING = 1
DEFAULT_CLASS_SHARE = 0.2


# Window in which the completion rate is measured, long enough for several sub-requests of a
# class to complete.
RATE_WINDOW_MS = 500.0
RATE_EWMA_WEIGHT = 0.5


@define(eq=False)
class BulkLoad:
    """Outstanding and deferred sub-requests of one bulk class at one service.

    :param outstanding: number of sub-requests without a reply.
    :param deferred: number of first sub-requests that are not sent yet.
    :param queue: queries with deferred sub-requests, oldest first.
    """

    outstanding: int = 0
    deferred: int = 0
    queue: list[object] = field(factory=list)
    _completed: int = 0
    _window_start_ms: float = 0.0
    _always_deferred: bool = False
    _completion_rate: float = 0.0

    def defer(self, query: object) -> None:
        """Defer a sub-request of a query."""
        self.deferred += 1
        if query not in self.queue:
            self.queue.append(query)

    def release(self, query: object, *, last: bool) -> None:
        """Remove a deferred sub-request of a query.

        :param last: whether the query has no other deferred sub-request.
        """
        self.deferred -= 1
        if last:
            self.queue.remove(query)

    def is_near_front(self, query: object) -> bool:
        """Return whether a query is among the first two of the queue."""
        return query in self.queue[:2]

    def is_behind_older_query(self, query: object) -> bool:
        """Return whether an older query has deferred sub-requests.

        Queries send in order of arrival, since all of them would miss their
        deadlines if they shared the slots evenly.
        """
        return bool(self.queue) and self.queue[0] is not query

    def record_completion(self) -> None:
        """Record that a sub-request completed or was abandoned."""
        self.outstanding -= 1
        self._completed += 1

    def estimate_wait(self, now_ms: float) -> float:
        """Return how long a new first sub-request would be deferred, in milliseconds.

        The completion rate is measured only in windows in which sub-requests
        were deferred all the time. In other windows it reflects the demand and
        not the capacity.
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
    """Limits the outstanding sub-requests of bulk classes at this coordinator."""

    _shares: dict[str, float] = field(factory=dict)
    _loads: dict[tuple[str, str], BulkLoad] = field(factory=dict)

    def configure(self, classes: tuple[PriorityClass, ...]) -> None:
        """Apply the declared classes."""
        self._shares = {declared_class.name: declared_class.share for declared_class in classes}

    def compute_guaranteed_outstanding(
        self, service: Service, priority_class: str, coordinator_count: int
    ) -> int:
        """Return how many outstanding sub-requests a class is guaranteed at a service.

        :param coordinator_count: number of instances that share the service's slots.
        """
        slots = service.limits.slots * len(service.endpoints)
        share = self._shares.get(priority_class, DEFAULT_CLASS_SHARE)
        return max(MIN_GUARANTEED_OUTSTANDING, int(share * slots / max(1, coordinator_count)))

    def get(self, service: str, priority_class: str) -> BulkLoad:
        """Return the load of a class at a service, creating it on first use."""
        return self._loads.setdefault((service, priority_class), BulkLoad())
