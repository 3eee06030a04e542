"""Blocks the greenlets of queries until admission control lets them run."""

from collections.abc import Iterator
from contextlib import contextmanager

from gevent.event import AsyncResult

from persimmonspur.clock import Clock
from persimmonspur.core.requests.admission import (
    Admission,
    AdmissionAction,
    AdmissionRequest,
    Admit,
)
from persimmonspur.errors import Failure
from persimmonspur.model.configuration import PriorityClass


class QueryAdmission:
    """Connects :class:`Admission` to the greenlets that wait for it."""

    def __init__(self, concurrency: int, clock: Clock) -> None:
        """Create the admission control without priority classes.

        :param concurrency: maximum number of queries that run concurrently.
        """
        self.admission = Admission(concurrency)
        self._clock = clock
        self._last_request_id = 0
        self._waiters: dict[int, AsyncResult[Failure | None]] = {}

    def configure(self, classes: tuple[PriorityClass, ...]) -> None:
        """Replace the priority classes."""
        self.admission.configure(classes)

    @contextmanager
    def wait_for_admission(
        self, priority_class: str, deadline_ms: float
    ) -> Iterator[Failure | None]:
        """Wait for admission; leaving the context releases the query's slot.

        :param deadline_ms: monotonic time in milliseconds at which the caller stops waiting.
        :returns: ``None`` if the query may run, otherwise the reason for the rejection.
        """
        self._last_request_id += 1
        request = AdmissionRequest(self._last_request_id, priority_class, deadline_ms)
        waiter: AsyncResult[Failure | None] = AsyncResult()
        self._waiters[request.id] = waiter
        try:
            self._execute(self.admission.offer(request, self._clock.now_ms()))
            yield self._wait(waiter, deadline_ms)
        finally:
            self._waiters.pop(request.id, None)
            self._execute(self.admission.complete(request.id, self._clock.now_ms()))

    def _wait(self, waiter: "AsyncResult[Failure | None]", deadline_ms: float) -> Failure | None:
        while not waiter.ready():
            wait_ms = max(1.0, deadline_ms - self._clock.now_ms())
            waiter.wait(wait_ms / 1000)
            if not waiter.ready():
                self._execute(self.admission.expire(self._clock.now_ms()))
        return waiter.get()

    def _execute(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            waiter = self._waiters.get(action.id)
            if waiter is not None:
                waiter.set(None if isinstance(action, Admit) else action.failure)
