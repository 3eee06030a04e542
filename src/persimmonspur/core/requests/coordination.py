"""Coordinates the sub-requests of one query."""

from random import Random
from typing import Any

from attrs import define, field

from persimmonspur.core.requests.actions import (
    CancelSubRequest,
    CoordinationAction,
    Finish,
    SendSubRequest,
    WakeAt,
)
from persimmonspur.core.requests.coverage import list_missing, measure_coverage
from persimmonspur.core.requests.merge import merge_records
from persimmonspur.core.requests.snapshots import PinnedSnapshot, pin_snapshot
from persimmonspur.core.routing.choice import CHOICE_POLICIES, find_usable
from persimmonspur.core.routing.view import EndpointView, RoutingView
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.model.configuration import Service
from persimmonspur.model.messages import SubReply, SubRequest
from persimmonspur.model.query import Coverage, Query, QueryAnswer

HOP_MARGIN_MS = 2.0


@define
class CoordinationContext:
    """What the queries of one instance share.

    :param failure_domain: the coordinator's own.
    :param policy: name of the choice policy.
    """

    view: RoutingView
    failure_domain: str
    rng: Random
    policy: str = "expected_wait"


@define
class _Attempt:
    request: SubRequest
    view: EndpointView


@define
class _ShardProgress:
    tried: set[str] = field(factory=set)
    records: list[Any] | None = None


class Coordination:
    """One running query.

    Every event method returns the actions that the daemon must carry out.
    """

    def __init__(
        self,
        query: Query,
        priority: int,
        context: CoordinationContext,
        now_ms: float,
        claim_partition: int = -1,
    ) -> None:
        """Prepare a query.

        :param claim_partition: partition of the claim; -1 for repeatable requests.
        """
        self.query = query
        self.finished = False
        self._priority = priority
        self._context = context
        self._deadline_ms = now_ms + query.timeout_ms
        self._claim_partition = claim_partition
        self._pinned: PinnedSnapshot | None = None
        self._shards: dict[str, _ShardProgress] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._sent = 0
        self._ran = Ran.NO

    def start(self, now_ms: float) -> list[CoordinationAction]:
        """Pin a snapshot and send the first sub-requests."""
        service = self._context.view.services[self.query.service]
        self._pinned = pin_snapshot(self._context.view, service, self.query.key)
        if self._pinned is None:
            return self._fail(ErrorKind.NO_SNAPSHOT, "no endpoint holds a snapshot")
        actions: list[CoordinationAction] = []
        for shard in self._pinned.shards:
            self._shards[shard.name] = _ShardProgress()
            actions.extend(self._send(service, shard.name, now_ms))
        if not self._attempts:
            return self._conclude()
        actions.append(WakeAt(self._deadline_ms - HOP_MARGIN_MS))
        return actions

    def observe_reply(self, reply: SubReply, now_ms: float) -> list[CoordinationAction]:
        """Take a reply; late and repeated replies are ignored."""
        attempt = self._attempts.pop(reply.id, None)
        if attempt is None or self.finished or self._pinned is None:
            return []
        attempt.view.outstanding -= 1
        if reply.ran is not Ran.NO:
            self._ran = Ran.YES if reply.ran is Ran.YES else self._ran
        progress = self._shards[attempt.request.shard]
        if reply.error is None and reply.snapshot == self._pinned.snapshot:
            progress.records = reply.records
        if self._attempts:
            return []
        return self._conclude()

    def wake(self, now_ms: float) -> list[CoordinationAction]:
        """Act on the time; answers at the deadline with what there is."""
        if self.finished:
            return []
        if now_ms < self._deadline_ms - HOP_MARGIN_MS:
            return [WakeAt(self._deadline_ms - HOP_MARGIN_MS)]
        actions: list[CoordinationAction] = []
        for attempt in self._attempts.values():
            attempt.view.outstanding -= 1
            self._ran = Ran.UNKNOWN
            actions.append(CancelSubRequest(attempt.view.owner, attempt.request.id))
        self._attempts.clear()
        return actions + self._conclude()

    def _send(self, service: Service, shard: str, now_ms: float) -> list[CoordinationAction]:
        assert self._pinned is not None
        context = self._context
        progress = self._shards[shard]
        usable = find_usable(
            context.view.list_replicas(service.name, shard), self._pinned.snapshot, progress.tried
        )
        choose = CHOICE_POLICIES.get(context.policy)
        view = choose(usable, context.failure_domain, context.rng)
        if view is None:
            return []
        self._sent += 1
        request = SubRequest(
            f"{self.query.request_id}/{shard}/{self._sent}",
            self.query.request_id,
            service.name,
            shard,
            view.endpoint.name,
            self._pinned.snapshot,
            self._deadline_ms - now_ms - HOP_MARGIN_MS,
            self._priority,
            self.query.repeatable,
            False,
            self._claim_partition,
            self.query.body,
        )
        progress.tried.add(view.endpoint.name)
        view.outstanding += 1
        self._attempts[request.id] = _Attempt(request, view)
        return [SendSubRequest(view.owner, request)]

    def _conclude(self) -> list[CoordinationAction]:
        assert self._pinned is not None
        self.finished = True
        answered = {name for name, progress in self._shards.items() if progress.records is not None}
        coverage = measure_coverage(self._pinned.shards, answered)
        missing = list_missing(self._pinned.shards, answered)
        failure = None
        if not coverage.complete and not self.query.allow_partial:
            failure = Failure.of(
                ErrorKind.INCOMPLETE, f"missing shards: {', '.join(missing)}", self._ran
            )
        parts = [
            progress.records for progress in self._shards.values() if progress.records is not None
        ]
        records = merge_records(parts, self.query.limit) if failure is None else []
        answer = QueryAnswer(
            self.query.request_id,
            self._pinned.snapshot,
            coverage,
            missing,
            records,
            failure,
            self._sent,
        )
        return [Finish(answer)]

    def _fail(self, kind: ErrorKind, message: str) -> list[CoordinationAction]:
        self.finished = True
        failure = Failure.of(kind, message, self._ran)
        return [Finish(QueryAnswer(self.query.request_id, None, Coverage(0), (), [], failure, 0))]
