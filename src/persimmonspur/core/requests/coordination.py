"""Coordinates the sub-requests of one query."""

from attrs import frozen

from persimmonspur.core.requests.actions import (
    CoordinationAction,
    Finish,
    SubRequestKind,
    WakeAt,
)
from persimmonspur.core.requests.answers import build_answer, build_rejection
from persimmonspur.core.requests.attempts import (
    MIN_RETRY_AFTER_MS,
    RECHECK_INTERVAL_MS,
    Attempts,
)
from persimmonspur.core.requests.context import CoordinationContext
from persimmonspur.core.requests.postponement import Postponements, is_transient_rejection
from persimmonspur.core.requests.progress import Attempt, ShardProgress
from persimmonspur.core.requests.replicas import ReplicaChoice
from persimmonspur.core.requests.snapshots import PinnedSnapshot
from persimmonspur.core.routing.choice import estimate_reply_time
from persimmonspur.core.routing.view import EndpointView
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.model.messages import SubReply
from persimmonspur.model.query import Query

__all__ = ["HOP_MARGIN_MS", "Coordination", "CoordinationContext"]

HOP_MARGIN_MS = 2.0
# Interval of looking for a replica again if none is available for a retry.
REPLICA_RECHECK_MS = 20.0
# After the process itself was stalled this long, replies may have arrived that are not read yet.
PROCESS_STALL_MS = 50.0
# Part of the remaining time that the expected wait may take. The rest covers the variation of
# service times, since the slowest of many shards determines the query's latency.
MAX_WAIT_RATIO = 0.6


@frozen
class _Target:
    progress: ShardProgress
    view: EndpointView


class Coordination:
    """Coordinates one running query.

    Each event handler returns the actions that the daemon must carry out.
    """

    def __init__(
        self,
        query: Query,
        priority: int,
        context: CoordinationContext,
        now_ms: float,
    ) -> None:
        """Initialize the coordination of a query."""
        self.query = query
        self.finished = False
        self.restarted = False
        self.pinned: PinnedSnapshot | None = None
        self._context = context
        self._answer_by_ms = now_ms + query.timeout_ms - HOP_MARGIN_MS
        self._attempts = Attempts.prepare(query, priority, context, self._answer_by_ms, now_ms)
        self._service = self._attempts.service
        self._retry_budget = self._attempts.retry_budget
        self._replicas = ReplicaChoice(context, self._service, self._answer_by_ms)
        # Hedges and retries may run a sub-request twice.
        self._extra_attempts_allowed = query.repeatable and context.extra_attempts
        self._shards: dict[str, ShardProgress] = {}
        self._open_shards = 0
        self._postponed = Postponements()
        # Whether a retry waits for the retry budget.
        self._retry_pending = False
        self._next_wake_ms = float("inf")

    def start(self, now_ms: float) -> list[CoordinationAction]:
        """Pin a snapshot and send the first sub-requests."""
        context = self._context
        pinned = context.pin_cache.pin(context.view, self._service, self.query.key)
        if pinned is None:
            return self._reject(ErrorKind.NO_SNAPSHOT, "no endpoint holds a snapshot", None)
        return self._send_first_attempts(pinned, now_ms)

    def handle_reply(
        self, reply: SubReply, now_ms: float, sender: str | None = None
    ) -> list[CoordinationAction]:
        """Process a reply; those that are unrelated to an outstanding attempt are ignored.

        :param sender: name of the sender; ``None`` if it is known to be the attempt's owner.
        """
        attempt = self._attempts.outstanding.get(reply.id)
        if attempt is None or reply.endpoint != attempt.request.endpoint or self.pinned is None:
            return []
        if sender is not None and sender != attempt.owner.name:
            return []
        self._attempts.complete(attempt, reply, now_ms)
        progress = attempt.progress
        actions: list[CoordinationAction] = []
        if reply.error is None and reply.snapshot == self.pinned.snapshot:
            self._complete_shard(progress, reply, now_ms, actions)
        elif not progress.attempts:
            self._handle_failed_attempt(progress, reply, now_ms, actions)
        if self._attempts.deferred and self._open_shards:
            self._send_deferred(now_ms, actions)
        if not actions and self._open_shards and not self._retry_pending and not self._postponed:
            return actions
        return self._finish_or_schedule_wake(now_ms, actions)

    def wake(self, now_ms: float) -> list[CoordinationAction]:
        """Check for late replies; finish the query with the available records at its deadline."""
        if self.finished:
            return []
        if now_ms >= self._answer_by_ms:
            return self._finish(now_ms)
        actions: list[CoordinationAction] = []
        stalled = now_ms - self._next_wake_ms > PROCESS_STALL_MS
        self._next_wake_ms = float("inf")
        outstanding = self._attempts.outstanding
        for attempt in list(outstanding.values()):
            if attempt.next_check_ms > now_ms or attempt.request.id not in outstanding:
                continue
            if stalled:
                attempt.next_check_ms = now_ms + RECHECK_INTERVAL_MS
                continue
            self._handle_late_reply(attempt, now_ms, actions)
        if self._retry_pending:
            self._retry_pending_shards(now_ms, actions)
        if self._attempts.deferred and self._open_shards:
            self._send_deferred(now_ms, actions)
        if self._postponed:
            self._send_postponed(now_ms, actions)
        self._attempts.update_next_check()
        return self._finish_or_schedule_wake(now_ms, actions)

    def _send_first_attempts(
        self, pinned: PinnedSnapshot, now_ms: float
    ) -> list[CoordinationAction]:
        context = self._context
        self.pinned = pinned
        context.choice_context.now_ms = now_ms
        targets: list[_Target] = []
        for shard in pinned.shards:
            progress = self._shards[shard.name] = ShardProgress(shard.name)
            holders = pinned.holders.get(shard.name, [])
            view = self._replicas.choose_first(progress.name, holders)
            if view is None:
                progress.given_up = True
                continue
            targets.append(_Target(progress, view))
        self._open_shards = len(targets)
        if context.early_rejection and not self.restarted:
            excess_ms = self._compute_excess_wait(targets, now_ms)
            if excess_ms > 0:
                message = f"service {self._service.name}: its queues are too long for the deadline"
                after_ms = max(MIN_RETRY_AFTER_MS, excess_ms)
                return self._reject(ErrorKind.OVERLOADED, message, after_ms)
        actions: list[CoordinationAction] = []
        attempts = self._attempts
        sent = attempts.sent
        attempts.hedge_delay_ms = self._retry_budget.compute_hedge_delay_ms(
            attempts.latency_estimator
        )
        for target in targets:
            if not attempts.may_send(target.view):
                attempts.defer(target.progress)
                continue
            kind = SubRequestKind.FIRST
            attempts.send(target.progress, target.view, pinned.snapshot, kind, now_ms, actions)
        self._retry_budget.record_first_attempts(attempts.sent - sent)
        return self._finish_or_schedule_wake(now_ms, actions)

    def _compute_excess_wait(self, targets: list[_Target], now_ms: float) -> float:
        """Return by how much the longest expected wait exceeds the allowed time."""
        load = self._attempts.bulk_load
        max_wait_ms = load.estimate_wait(now_ms) if load is not None else 0.0
        for target in targets:
            view = target.view
            # Only the queue wait is used: the endpoint's mean service time is that of
            # all classes and may differ considerably from that of this class.
            max_wait_ms = max(max_wait_ms, estimate_reply_time(view, now_ms) - view.base_reply_ms)
        if max_wait_ms <= 0:
            return 0.0
        max_wait_ms += self._attempts.latency_estimator.mean_service_ms
        return max_wait_ms - MAX_WAIT_RATIO * (self._answer_by_ms - now_ms)

    def _send_deferred(self, now_ms: float, actions: list[CoordinationAction]) -> None:
        """Send first sub-requests that the limits of bulk queries deferred."""
        assert self.pinned is not None
        context = self._context
        load = self._attempts.bulk_load
        if load is None or load.is_behind_older_query(self._attempts):
            return
        context.choice_context.now_ms = now_ms
        for progress in list(self._shards.values()):
            if not progress.deferred:
                continue
            usable = self._replicas.list_usable(progress.name, self.pinned.snapshot)
            view = self._replicas.choose_first(progress.name, usable)
            if view is None:
                self._attempts.release(progress)
                self._give_up_shard(progress, now_ms, actions)
                continue
            if not self._attempts.may_send(view):
                continue
            self._attempts.release(progress)
            kind = SubRequestKind.FIRST
            self._attempts.send(progress, view, self.pinned.snapshot, kind, now_ms, actions)
            self._retry_budget.record_first_attempts(1)

    def _complete_shard(
        self,
        progress: ShardProgress,
        reply: SubReply,
        now_ms: float,
        actions: list[CoordinationAction],
    ) -> None:
        progress.records = reply.records if reply.records is not None else []
        self._open_shards -= 1
        for superseded in list(progress.attempts):
            self._attempts.abandon(superseded, now_ms, actions)

    def _handle_failed_attempt(
        self,
        progress: ShardProgress,
        reply: SubReply,
        now_ms: float,
        actions: list[CoordinationAction],
    ) -> None:
        """Replace the last attempt, which failed, or postpone the shard or give it up."""
        assert self.pinned is not None
        if reply.error is not None and reply.ran is Ran.NO:
            view = self._replicas.choose_untried(progress, self.pinned.snapshot, now_ms)
            if view is not None:
                kind = SubRequestKind.PLACEMENT
                self._attempts.send(progress, view, self.pinned.snapshot, kind, now_ms, actions)
                return
            if is_transient_rejection(reply) and self._postpone(progress, now_ms):
                return
        elif self._extra_attempts_allowed:
            self._retry(progress, now_ms, actions)
            return
        self._give_up_shard(progress, now_ms, actions)

    def _postpone(self, progress: ShardProgress, now_ms: float) -> bool:
        """Postpone a shard, unless its snapshot was lost or the time does not suffice."""
        if self._find_newer_snapshot(progress, now_ms) is not None:
            return False
        return self._postponed.add(progress, now_ms, self._answer_by_ms)

    def _send_postponed(self, now_ms: float, actions: list[CoordinationAction]) -> None:
        assert self.pinned is not None
        for progress in self._postponed.pop_due(now_ms):
            view = self._replicas.choose_untried(progress, self.pinned.snapshot, now_ms)
            if view is not None:
                kind = SubRequestKind.PLACEMENT
                self._attempts.send(progress, view, self.pinned.snapshot, kind, now_ms, actions)
            elif not self._postpone(progress, now_ms):
                self._give_up_shard(progress, now_ms, actions)

    def _retry(
        self, progress: ShardProgress, now_ms: float, actions: list[CoordinationAction]
    ) -> None:
        """Send a retry to a shard, or keep it pending until the budget allows it."""
        assert self.pinned is not None
        progress.retry_pending = False
        view = self._replicas.choose_untried(progress, self.pinned.snapshot, now_ms)
        if view is None or self._retry_budget.saturated:
            self._give_up_shard(progress, now_ms, actions)
            return
        if not self._retry_budget.try_acquire_retry():
            progress.retry_pending = self._retry_pending = True
            return
        kind = SubRequestKind.RETRY
        self._attempts.send(progress, view, self.pinned.snapshot, kind, now_ms, actions)

    def _retry_pending_shards(self, now_ms: float, actions: list[CoordinationAction]) -> None:
        self._retry_pending = False
        for progress in list(self._shards.values()):
            if progress.retry_pending:
                self._retry(progress, now_ms, actions)

    def _handle_late_reply(
        self, attempt: Attempt, now_ms: float, actions: list[CoordinationAction]
    ) -> None:
        """Send a hedge or a retry for an attempt whose reply is late."""
        assert self.pinned is not None
        if attempt.hedgeable and now_ms < attempt.sent_ms + self._attempts.overdue_after_ms:
            self._hedge(attempt, now_ms, actions)
            return
        attempt.overdue = True
        attempt.next_check_ms = now_ms + RECHECK_INTERVAL_MS
        # An owner that sent any reply since then is alive, so only its endpoint is slow.
        if attempt.owner.last_reply_ms < attempt.sent_ms:
            self._attempts.suspect_owner(attempt, now_ms)
        elif self._retry_budget.saturated:
            return
        if not self._extra_attempts_allowed or not all(
            other.overdue for other in attempt.progress.attempts
        ):
            return
        snapshot = self.pinned.snapshot
        view = self._replicas.choose_untried(attempt.progress, snapshot, now_ms, attempt)
        if view is None:
            # Replicas that rejected the sub-request or failed may accept it later.
            attempt.progress.reset_tried()
            attempt.next_check_ms = now_ms + REPLICA_RECHECK_MS
        elif self._retry_budget.try_acquire_retry():
            kind = SubRequestKind.RETRY
            self._attempts.send(attempt.progress, view, snapshot, kind, now_ms, actions)

    def _hedge(self, attempt: Attempt, now_ms: float, actions: list[CoordinationAction]) -> None:
        assert self.pinned is not None
        attempt.next_check_ms = attempt.sent_ms + self._attempts.overdue_after_ms
        view = None
        if self._extra_attempts_allowed and len(attempt.progress.attempts) == 1:
            view = self._replicas.choose_warm_untried(
                attempt.progress, self.pinned.snapshot, now_ms, attempt
            )
        if view is None:
            attempt.hedgeable = False
        elif self._retry_budget.try_acquire_hedge():
            attempt.hedgeable = False
            kind = SubRequestKind.HEDGE
            snapshot = self.pinned.snapshot
            self._attempts.send(attempt.progress, view, snapshot, kind, now_ms, actions)
        else:
            attempt.next_check_ms = min(attempt.next_check_ms, now_ms + RECHECK_INTERVAL_MS)

    def _give_up_shard(
        self, progress: ShardProgress, now_ms: float, actions: list[CoordinationAction]
    ) -> None:
        """Give up a shard, or restart the query if the pinned snapshot was lost."""
        progress.given_up = True
        self._open_shards -= 1
        newer = self._find_newer_snapshot(progress, now_ms)
        if newer is None:
            return
        self.restarted = True
        self._attempts.abandon_all(now_ms, actions)
        self._clear_pending()
        self._shards.clear()
        actions.extend(self._send_first_attempts(newer, now_ms))

    def _clear_pending(self) -> None:
        self._postponed.clear()
        for progress in self._shards.values():
            progress.retry_pending = False
            if progress.deferred:
                self._attempts.release(progress)

    def _find_newer_snapshot(self, progress: ShardProgress, now_ms: float) -> PinnedSnapshot | None:
        """Return a newer snapshot if the pinned one was lost and the time allows a restart."""
        assert self.pinned is not None
        if not self.query.repeatable or self.restarted:
            return None
        if now_ms + self._attempts.latency_estimator.p95_ms > self._answer_by_ms:
            return None
        if self._replicas.list_usable(progress.name, self.pinned.snapshot):
            return None
        newer = self._context.pin_cache.pin(self._context.view, self._service, self.query.key)
        if newer is None or not newer.complete or newer.snapshot <= self.pinned.snapshot:
            return None
        return newer

    def _finish_or_schedule_wake(
        self, now_ms: float, actions: list[CoordinationAction]
    ) -> list[CoordinationAction]:
        """Finish the query if no shard is open, otherwise request the next wake-up."""
        if self.finished:
            return actions
        if self._open_shards <= 0:
            actions.extend(self._finish(now_ms))
            return actions
        wake_ms = min(
            self._answer_by_ms, self._attempts.next_check_ms, self._postponed.get_next_due_ms()
        )
        if self._retry_pending or self._attempts.deferred:
            wake_ms = min(wake_ms, now_ms + self._attempts.get_recheck_interval_ms())
        if wake_ms < self._next_wake_ms:
            self._next_wake_ms = wake_ms
            actions.append(WakeAt(wake_ms))
        return actions

    def _finish(self, now_ms: float) -> list[CoordinationAction]:
        assert self.pinned is not None
        self.finished = True
        attempts = self._attempts
        actions: list[CoordinationAction] = []
        attempts.abandon_all(now_ms, actions)
        if attempts.deferred:
            self._clear_pending()
        answer = build_answer(
            self.query,
            self.pinned,
            self._shards.values(),
            attempts.execution.get(),
            attempts.overload_retry_after_ms,
            attempts.sent,
        )
        actions.append(Finish(answer))
        return actions

    def _reject(
        self, kind: ErrorKind, message: str, retry_after_ms: float | None
    ) -> list[CoordinationAction]:
        self.finished = True
        failure = Failure.of(kind, message, self._attempts.execution.get(), retry_after_ms)
        return [Finish(build_rejection(self.query, self.pinned, failure))]
