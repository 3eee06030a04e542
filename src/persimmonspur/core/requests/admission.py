"""Limits the concurrent queries of an instance, with a guaranteed share per priority class."""

import heapq

from attrs import define, field, frozen

from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.model.configuration import PriorityClass

# Length of a class's queue relative to its guaranteed slots. A longer queue only
# adds latency to queries that are rejected in the end.
QUEUE_LIMIT_RATIO = 0.5
MIN_QUEUE_LIMIT = 2
MEAN_EWMA_WEIGHT = 0.05
MIN_RETRY_AFTER_MS = 10.0
# A query is not started if the time to its deadline is shorter than this part of the class's
# mean duration.
MIN_REMAINING_TIME_RATIO = 0.5
# Priority of classes that are not declared, below all declared ones.
UNDECLARED_PRIORITY = 1_000


@frozen
class AdmissionRequest:
    """A query that requests admission.

    :param id: unique among the queries of the instance.
    :param deadline_ms: time at which the caller stops waiting.
    """

    id: int
    priority_class: str
    deadline_ms: float


@frozen
class Admit:
    """Start the query."""

    id: int


@frozen
class Reject:
    """Return the failure to the caller without running the query."""

    id: int
    failure: Failure


AdmissionAction = Admit | Reject


@define
class _ClassState:
    priority: int
    share: float
    guaranteed_slots: int = 0
    running: int = 0
    mean_duration_ms: float = 0.0
    queue: list[tuple[float, int]] = field(factory=list)


class Admission:
    """Decides which queries run, wait or are rejected.

    Each class has guaranteed slots according to its share. Beyond them, a class
    may use idle slots, except those guaranteed to more urgent classes: running
    queries are not preempted, so the urgent class could not reclaim its slot.
    Freed slots go first to classes that run fewer queries than guaranteed, then
    by priority, so that no class starves.
    """

    def __init__(self, concurrency: int) -> None:
        """Initialize without declared classes.

        :param concurrency: maximum number of queries that run at once.
        """
        self._concurrency = concurrency
        self._classes: dict[str, _ClassState] = {}
        self._running: dict[int, tuple[str, float]] = {}
        self._waiting: dict[int, AdmissionRequest] = {}

    @property
    def running(self) -> int:
        """Number of running queries."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of queued queries."""
        return len(self._waiting)

    def configure(self, classes: tuple[PriorityClass, ...]) -> None:
        """Apply the declared classes.

        Queries of removed classes continue; the classes lose their guaranteed slots.
        """
        for former in self._classes.values():
            former.priority, former.share, former.guaranteed_slots = UNDECLARED_PRIORITY, 0.0, 0
        for declared_class in classes:
            state = self._classes.get(declared_class.name)
            if state is None:
                state = self._classes[declared_class.name] = _ClassState(
                    declared_class.priority, declared_class.share
                )
            state.priority, state.share = declared_class.priority, declared_class.share
            state.guaranteed_slots = max(1, int(declared_class.share * self._concurrency))

    def offer(self, request: AdmissionRequest, now_ms: float) -> list[AdmissionAction]:
        """Admit, queue or reject a query."""
        state = self._get_class(request.priority_class)
        if not state.queue and self._may_run(state):
            return [self._admit(request, state, now_ms)]
        wait_ms = self._estimate_wait(state)
        queue_limit = max(MIN_QUEUE_LIMIT, int(QUEUE_LIMIT_RATIO * state.guaranteed_slots))
        cannot_finish = (
            now_ms + wait_ms + MIN_REMAINING_TIME_RATIO * state.mean_duration_ms
            > request.deadline_ms
        )
        if cannot_finish or len(state.queue) >= queue_limit:
            return [self._reject(request, wait_ms)]
        self._waiting[request.id] = request
        heapq.heappush(state.queue, (request.deadline_ms, request.id))
        return self._admit_waiting(now_ms)

    def complete(self, query_id: int, now_ms: float) -> list[AdmissionAction]:
        """Record that a running query finished or that a queued query was withdrawn."""
        waiting = self._waiting.pop(query_id, None)
        if waiting is not None:
            state = self._get_class(waiting.priority_class)
            state.queue = [entry for entry in state.queue if entry[1] != query_id]
            heapq.heapify(state.queue)
            return []
        run = self._running.pop(query_id, None)
        if run is None:
            return []
        name, started_ms = run
        state = self._get_class(name)
        state.running -= 1
        duration_ms = now_ms - started_ms
        weight = MEAN_EWMA_WEIGHT if state.mean_duration_ms > 0 else 1.0
        state.mean_duration_ms += weight * (duration_ms - state.mean_duration_ms)
        return self._admit_waiting(now_ms)

    def expire(self, now_ms: float) -> list[AdmissionAction]:
        """Reject queued queries that can no longer finish before their deadlines."""
        actions: list[AdmissionAction] = []
        for state in self._classes.values():
            self._reject_expired(state, now_ms, actions)
        return actions + self._admit_waiting(now_ms)

    def _admit_waiting(self, now_ms: float) -> list[AdmissionAction]:
        actions: list[AdmissionAction] = []
        while True:
            best: _ClassState | None = None
            for state in self._classes.values():
                self._reject_expired(state, now_ms, actions)
                if not state.queue or not self._may_run(state):
                    continue
                if best is None or _admission_order(state) < _admission_order(best):
                    best = state
            if best is None:
                return actions
            _, query_id = heapq.heappop(best.queue)
            actions.append(self._admit(self._waiting.pop(query_id), best, now_ms))

    def _reject_expired(
        self, state: _ClassState, now_ms: float, actions: list[AdmissionAction]
    ) -> None:
        min_deadline_ms = now_ms + MIN_REMAINING_TIME_RATIO * state.mean_duration_ms
        while state.queue and state.queue[0][0] <= min_deadline_ms:
            _, query_id = heapq.heappop(state.queue)
            request = self._waiting.pop(query_id)
            actions.append(self._reject(request, self._estimate_wait(state)))

    def _may_run(self, state: _ClassState) -> bool:
        running = len(self._running)
        if running >= self._concurrency:
            return False
        if state.running < state.guaranteed_slots:
            return True
        for other in self._classes.values():
            if other.priority < state.priority:
                running += max(0, other.guaranteed_slots - other.running)
        return running < self._concurrency

    def _estimate_wait(self, state: _ClassState) -> float:
        slots = max(1, state.guaranteed_slots, state.running)
        return (len(state.queue) + 1) * state.mean_duration_ms / slots

    def _get_class(self, name: str) -> _ClassState:
        state = self._classes.get(name)
        if state is None:
            state = self._classes[name] = _ClassState(UNDECLARED_PRIORITY, 0.0)
        return state

    def _admit(self, request: AdmissionRequest, state: _ClassState, now_ms: float) -> Admit:
        state.running += 1
        self._running[request.id] = (request.priority_class, now_ms)
        return Admit(request.id)

    def _reject(self, request: AdmissionRequest, wait_ms: float) -> Reject:
        message = f"class {request.priority_class}: no room for the query before its deadline"
        after_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
        return Reject(request.id, Failure.of(ErrorKind.OVERLOADED, message, Ran.NO, after_ms))


def _admission_order(state: _ClassState) -> tuple[bool, int]:
    return (state.running >= state.guaranteed_slots, state.priority)
