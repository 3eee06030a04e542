"""Runs non-repeatable queries at the owner of their claim partition."""

import gevent
import msgspec
from attrs import define, field, frozen
from gevent.event import Event

from persimmonspur.core.claims.actions import ClaimAction, HandOver, ReadRecords, WriteRecords
from persimmonspur.core.claims.directory import ClaimDirectory, Tenure
from persimmonspur.core.claims.partition import Answered, Decision, Refused, Run
from persimmonspur.core.ownership.actions import ReleaseBudgets
from persimmonspur.core.ownership.table import CellTable
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Handler, PeerMessage
from persimmonspur.daemon.filters.chain import build_failure
from persimmonspur.daemon.instance import Instance
from persimmonspur.errors import ANSWERS, ErrorKind, Failure, Ran
from persimmonspur.model.messages import (
    FetchTable,
    ForwardedAnswer,
    ForwardedQuery,
    Release,
    find_partition,
)
from persimmonspur.model.query import Query, QueryAnswer

TICK_MS = 250.0
HOP_MARGIN_MS = 2.0
# A forward or its answer can be lost; the owner recognises a repeated one.
RESEND_MS = 1_000.0
RETRY_MS = 50.0
FETCH_MS = 500.0


@frozen
class _Result:
    """An answer, or the reason why there is none yet.

    :param retry: whether the owner did not decide.
    """

    answer: QueryAnswer
    retry: bool = False


@define(eq=False)
class _Waiter:
    """A forwarded query that waits for its answer."""

    result: _Result | None = None
    arrived: Event = field(factory=Event)


@CONTROLLERS.register("claims")
class ClaimController:
    """Connects :class:`ClaimDirectory` with queries, peers and the object API."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._directory = ClaimDirectory(instance.settings.instance)
        self._finished: dict[str, Event] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._forwards = 0
        self._next_fetch_ms = 0.0
        self._loop: gevent.Greenlet[[], None] | None = None

    def start(self) -> None:
        """Start to tick."""
        self._loop = gevent.spawn(self._run_loop)

    def stop(self) -> None:
        """Stop to tick."""
        if self._loop is not None:
            self._loop.kill()

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of forwarded queries."""
        return {ForwardedQuery: self._handle_query, ForwardedAnswer: self._handle_answer}

    @property
    def busy(self) -> bool:
        """Whether queries run here or records still have to be handed over."""
        return bool(self._finished) or self._directory.busy

    def run(self, query: Query, priority: int) -> QueryAnswer:
        """Run a non-repeatable query at most once, wherever its claim partition is owned.

        :param priority: 0 is the most urgent.
        """
        deadline_ms = self._instance.clock.now_ms() + query.timeout_ms
        waiter = _Waiter()
        forwards: list[str] = []
        try:
            while True:
                result = self._attempt(query, priority, deadline_ms, waiter, forwards)
                remaining_ms = deadline_ms - HOP_MARGIN_MS - self._instance.clock.now_ms()
                if not result.retry or remaining_ms <= RETRY_MS:
                    return result.answer
                gevent.sleep(RETRY_MS / 1000)
        finally:
            for forward in forwards:
                self._waiters.pop(forward, None)

    def refresh(self, table: CellTable) -> None:
        """Take the owners of a newer table."""
        own = self._instance.cell.member
        tenures = {}
        for number, assignment in table.claim_owners.items():
            is_own = (assignment.owner, assignment.incarnation) == (own.name, own.incarnation)
            first = assignment.previous == ""
            tenures[number] = Tenure(is_own, assignment.moved_at_version, first)
        self._execute(self._directory.adopt(tenures, self._instance.clock.now_ms()))

    def release(self, action: ReleaseBudgets) -> None:
        """Name the new owner of partitions that this member gave up."""
        for number in action.partitions:
            self._directory.release(number, action.receiver, action.version)
        self._tick()

    def take_over(self, partitions: dict[int, bytes]) -> None:
        """Take the records that a former owner handed over."""
        for number, value in partitions.items():
            self._directory.take_over(number, value, self._instance.clock.now_ms())

    def _attempt(
        self,
        query: Query,
        priority: int,
        deadline_ms: float,
        waiter: _Waiter,
        forwards: list[str],
    ) -> _Result:
        number = find_partition(query.request_id)
        owner = self._instance.cell.find_claim_owner(number)
        if owner is None:
            return _build_result(query, ErrorKind.NOT_READY, "no claim owner", retry=True)
        if owner.name == self._instance.settings.instance:
            return self._decide(query, priority, deadline_ms)
        self._forwards += 1
        own = self._instance.cell.member
        forward = f"{own.name}/{own.incarnation}/{self._forwards}"
        forwards.append(forward)
        self._waiters[forward] = waiter
        return self._forward(forward, owner.name, query, deadline_ms, waiter)

    def _forward(
        self, forward: str, owner: str, query: Query, deadline_ms: float, waiter: _Waiter
    ) -> _Result:
        remaining_ms = deadline_ms - HOP_MARGIN_MS - self._instance.clock.now_ms()
        message = ForwardedQuery(
            forward,
            query.service,
            query.priority_class,
            remaining_ms,
            query.request_id,
            query.epoch,
            query.allow_partial,
            query.key,
            query.body,
            query.limit,
        )
        if not self._instance.send(owner, message):
            text = f"no connection to the claim owner {owner}"
            return _build_result(query, ErrorKind.NOT_READY, text, retry=True)
        waiter.arrived.wait(max(0.0, min(remaining_ms, RESEND_MS)) / 1000)
        waiter.arrived.clear()
        result, waiter.result = waiter.result, None
        if result is not None:
            return result
        text = f"the claim owner {owner} did not answer in time"
        return _build_result(query, ErrorKind.OUTCOME_UNKNOWN, text, retry=True)

    def _decide(self, query: Query, priority: int, deadline_ms: float) -> _Result:
        """Decide as the owner of the claim partition."""
        while True:
            decision = self._claim(query)
            self._instance.metrics.claims.labels(type(decision).__name__.lower()).inc()
            match decision:
                case Run():
                    return _Result(self._coordinate(query, priority))
                case Answered():
                    return _Result(msgspec.json.decode(decision.document, type=QueryAnswer))
                case Refused():
                    failure = Failure.of(
                        decision.kind,
                        f"request {query.request_id}: {decision.message}",
                        decision.ran,
                        RETRY_MS if decision.retry else None,
                    )
                    return _Result(build_failure(query, failure), decision.retry)
            remaining_ms = deadline_ms - HOP_MARGIN_MS - self._instance.clock.now_ms()
            finished = self._finished.get(query.request_id)
            if finished is None or not finished.wait(max(0.0, remaining_ms) / 1000):
                return _build_result(query, ErrorKind.OUTCOME_UNKNOWN, "it still runs")

    def _claim(self, query: Query) -> Decision:
        instance = self._instance
        now_ms = instance.clock.now_ms()
        if query.epoch > instance.cell.table_version and now_ms >= self._next_fetch_ms:
            self._next_fetch_ms = now_ms + FETCH_MS
            instance.broadcast(FetchTable(instance.cell.table_version))
        number = find_partition(query.request_id)
        usable_until_ms = instance.cell.partition_usable_until(number, now_ms)
        decision = self._directory.claim(
            number,
            query.request_id,
            query.epoch,
            instance.cell.table_version,
            usable_until_ms,
            now_ms,
        )
        if isinstance(decision, Run):
            self._finished[query.request_id] = Event()
        return decision

    def _coordinate(self, query: Query, priority: int) -> QueryAnswer:
        number = find_partition(query.request_id)
        failure = Failure.of(ErrorKind.INTERNAL, "the query ended without an answer")
        answer = build_failure(query, failure)
        try:
            answer = self._instance.queries.run(query, priority, number)
            return answer
        finally:
            ran = answer.failure.ran if answer.failure is not None else Ran.YES
            document = msgspec.json.encode(answer)
            self._directory.finish(number, query.request_id, ran, _find_status(answer), document)
            self._finished.pop(query.request_id).set()

    def _handle_query(self, message: PeerMessage) -> None:
        gevent.spawn(self._answer, message)

    def _answer(self, message: PeerMessage) -> None:
        forwarded: ForwardedQuery = message.body
        timeout_ms = forwarded.timeout_ms - message.age_ms
        if timeout_ms <= 0:
            return
        query = Query(
            forwarded.service,
            forwarded.priority_class,
            timeout_ms,
            forwarded.request_id,
            forwarded.epoch,
            False,
            forwarded.allow_partial,
            forwarded.key,
            forwarded.body,
            forwarded.limit,
        )
        result = self._receive(query)
        document = msgspec.json.encode(result.answer)
        status = _find_status(result.answer)
        reply = ForwardedAnswer(forwarded.id, status, document, result.retry)
        self._instance.send(message.sender, reply)

    def _receive(self, query: Query) -> _Result:
        """Decide on a forwarded query, whose class may not be declared here yet."""
        configuration = self._instance.holder.configuration
        classes = configuration.classes if configuration is not None else ()
        priorities = {known.name: known.priority for known in classes}
        priority = priorities.get(query.priority_class)
        if priority is None or query.service not in self._instance.view.services:
            return _build_result(query, ErrorKind.NOT_READY, "not configured", retry=True)
        deadline_ms = self._instance.clock.now_ms() + query.timeout_ms
        return self._decide(query, priority, deadline_ms)

    def _handle_answer(self, message: PeerMessage) -> None:
        waiter = self._waiters.get(message.body.id)
        if waiter is None:
            return
        answer = msgspec.json.decode(message.body.document, type=QueryAnswer)
        waiter.result = _Result(answer, message.body.retry)
        waiter.arrived.set()

    def _run_loop(self) -> None:
        while True:
            self._tick()
            gevent.sleep(TICK_MS / 1000)

    def _tick(self) -> None:
        now_ms = self._instance.clock.now_ms()
        self._execute(self._directory.tick(self._instance.cell.table_version, now_ms))
        self._instance.metrics.claim_records.set(self._directory.count_records())

    def _execute(self, actions: list[ClaimAction]) -> None:
        for action in actions:
            match action:
                case ReadRecords():
                    gevent.spawn(self._read, action)
                case WriteRecords():
                    gevent.spawn(self._write, action)
                case HandOver():
                    release = Release(action.version, [], {action.partition: action.value})
                    self._instance.send(action.receiver, release)

    def _read(self, action: ReadRecords) -> None:
        result = self._instance.object_api.read(self._build_key(action.partition))
        now_ms = self._instance.clock.now_ms()
        if result.is_error():
            self._instance.timeline.record(events.STORE_FAILED, reason=result.error.message)
            self._directory.observe_read_failure(action.partition, now_ms)
            return
        stored = result.ok
        value, version = (stored.value, stored.version) if stored is not None else (None, 0)
        self._directory.observe_read(action.partition, value, version, now_ms)

    def _write(self, action: WriteRecords) -> None:
        key = self._build_key(action.partition)
        result = self._instance.object_api.write(key, action.value, action.expected_version)
        version = result.ok if result.is_ok() else None
        self._directory.observe_write(action.partition, version, self._instance.clock.now_ms())

    def _build_key(self, partition: int) -> str:
        return f"cells/{self._instance.settings.cell}/claims/{partition}"


def _build_result(query: Query, kind: ErrorKind, message: str, *, retry: bool = False) -> _Result:
    # The id may have run through another instance, so that "no" is not known.
    failure = Failure.of(kind, f"request {query.request_id}: {message}", Ran.UNKNOWN, RETRY_MS)
    return _Result(build_failure(query, failure), retry)


def _find_status(answer: QueryAnswer) -> int:
    return ANSWERS[answer.failure.kind].status if answer.failure is not None else 200
