"""One client request from its route to its final answer.

Holds no sockets and no clock of its own: sends, timers and time are handed in, so
every decision can be tested without a network.
"""

import itertools
from collections.abc import Callable

from persimmonspur.core.fleet.context import ExchangeContext, learn_from_failure, learn_from_reply
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.merge import merge_greatest
from persimmonspur.core.fleet.messages import (
    AttemptKind,
    AttemptRecord,
    ClientRequest,
    ClientResponse,
    EndpointResponse,
    SendFailure,
    SendResult,
    ShardResult,
    TimerHandle,
)
from persimmonspur.core.fleet.progress import Attempt, ShardProgress
from persimmonspur.core.fleet.routes import Route, RouteTable
from persimmonspur.errors import Ran

# The final answer leaves this long before the deadline so that it arrives in time.
ANSWER_MARGIN_MS = 15.0
# Part of the latency objective after which a gather is answered without late shards.
PARTIAL_PART = 0.9
# Part of the objective after which a hedge is sent at the latest.
HEDGE_LATEST_PART = 0.45
HEDGE_EARLIEST_MS = 4.0
# Time between hedges of shards that could not be hedged before.
HEDGE_REPEAT_PART = 0.15
# A non-idempotent request is not sent with less than this left.
LEAST_SEND_MS = 5.0
# Part of the latency objective that a request may wait for a slot.
QUEUE_PART = 0.35
RETRY_AFTER_UNAVAILABLE_MS = 400.0
# When to come back after a refusal for want of room, in parts of the latency objective:
# about the time in which a full queue empties. The spread keeps callers apart.
RETRY_AFTER_LEAST_PART = 1.0
RETRY_AFTER_SPREAD_PART = 2.0

# Statuses that promise to a client that its request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

_attempt_numbers = itertools.count(1)


class Exchange:
    """State of one request."""

    def __init__(
        self,
        context: ExchangeContext,
        table: RouteTable,
        route: Route,
        services: tuple[str, ...],
        request: ClientRequest,
        respond: Callable[[ClientResponse], None],
    ) -> None:
        """Prepare a request.

        :param services: the shards, or the one service.
        :param respond: called once with the answer, unless the client leaves first.
        """
        self._context = context
        self._table = table
        self._route = route
        self._request = request
        self._respond = respond
        self._shards = [ShardProgress(service) for service in services]
        self._latency = context.latencies.get(route.name, route.objective_ms)
        self._expected_ms = max(0.5, self._latency.mean_service_ms)
        wait_ms = route.timeout_ms
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms)
        self._deadline_ms = request.arrived_ms + wait_ms
        self._timers: list[TimerHandle] = []
        self._done = False
        self._partial_due = False
        self._attempts: list[AttemptRecord] = []

    @property
    def done(self) -> bool:
        """Whether the request was answered or its client left."""
        return self._done

    def start(self) -> None:
        """Send to every service, or refuse if too few have a usable endpoint."""
        now_ms = self._context.clock.now_ms()
        choices = [self._choose(shard, now_ms) for shard in self._shards]
        if not self._suffices(sum(choice is not None for choice in choices)):
            self._refuse_start()
            return
        left_ms = self._deadline_ms - now_ms - ANSWER_MARGIN_MS
        if left_ms < LEAST_SEND_MS:
            self._refuse("too_late", self._choose_return_ms())
            return
        for shard, endpoint in zip(self._shards, choices, strict=True):
            if endpoint is None:
                self._fail_shard(shard, "no usable endpoint")
                continue
            self._context.retry_budget.record_first_send(shard.service, now_ms)
            if not self._send(shard, endpoint, AttemptKind.FIRST):
                self._send_elsewhere(shard, extra=False)
        self._set_timers(now_ms, left_ms)
        self._check()

    def handle_disconnect(self) -> None:
        """Stop because the client closed its connection.

        A request that must run at most once goes on at its endpoint; breaking it off
        would only hide its outcome.
        """
        if self._done:
            return
        self._finish_timers()
        self._done = True
        if self._route.repeatable:
            self._abandon_all()

    def _set_timers(self, now_ms: float, left_ms: float) -> None:
        if self._done:
            return
        timers = self._context.timers
        self._timers.append(timers.call_later(left_ms, self._expire))
        if not self._route.repeatable:
            return
        objective_ms = self._route.objective_ms
        hedge_ms = min(HEDGE_LATEST_PART * objective_ms, self._latency.p95_ms)
        if self._route.max_attempts > 1:
            delay_ms = max(HEDGE_EARLIEST_MS, hedge_ms)
            self._timers.append(timers.call_later(delay_ms, self._hedge))
        if self._route.gather is not None:
            used_ms = now_ms - self._request.arrived_ms
            delay_ms = max(0.0, PARTIAL_PART * objective_ms - used_ms)
            self._timers.append(timers.call_later(delay_ms, self._allow_partial))

    def _choose(self, shard: ShardProgress, now_ms: float) -> Endpoint | None:
        candidates = []
        for endpoint in self._context.endpoints.usable(shard.service):
            if endpoint.identity in shard.tried:
                continue
            candidates.append(endpoint)
        while candidates:
            chosen = self._context.selector.pick(candidates, self._expected_ms, now_ms)
            if chosen is None:
                return None
            if self._may_use(chosen, now_ms):
                return chosen
            candidates.remove(chosen)
        return None

    def _may_use(self, endpoint: Endpoint, now_ms: float) -> bool:
        wait_ms = QUEUE_PART * self._route.objective_ms
        if not self._context.selector.has_room(endpoint, self._expected_ms, wait_ms, now_ms):
            return False
        if endpoint.cold_until_ms <= now_ms:
            return True
        limits = self._table.services.get(endpoint.service)
        per_s = limits.cold_per_s if limits is not None else 0.0
        return self._context.cold_start_limit.try_acquire(endpoint.identity, per_s, now_ms)

    def _send(self, shard: ShardProgress, endpoint: Endpoint, kind: AttemptKind) -> bool:
        now_ms = self._context.clock.now_ms()
        number = next(_attempt_numbers)
        left_ms = self._deadline_ms - now_ms - ANSWER_MARGIN_MS
        if left_ms < LEAST_SEND_MS:
            return False

        def take_result(result: SendResult) -> None:
            self._take_result(shard, number, result)

        send = self._context.sender.send(endpoint, self._request, left_ms, take_result)
        shard.tried.append(endpoint.identity)
        if send is None:
            return False
        record = self._record_attempt(endpoint, kind, now_ms)
        shard.running[number] = Attempt(number, endpoint, record, send)
        shard.sent += 1
        self._attempts.append(record)
        self._context.selector.note_sent(endpoint.identity, number, now_ms)
        return True

    def _record_attempt(
        self, endpoint: Endpoint, kind: AttemptKind, now_ms: float
    ) -> AttemptRecord:
        state = self._context.selector.state(endpoint.identity)
        self._context.count_send(kind.value)
        return AttemptRecord(
            endpoint.identity,
            endpoint.service,
            kind,
            now_ms,
            state.factor,
            now_ms - state.sampled_ms if state.sampled_ms else -1.0,
            len(state.outstanding),
        )

    def _send_elsewhere(self, shard: ShardProgress, extra: bool) -> None:
        """Send a shard again after a send that failed.

        :param extra: whether the service sees it as a repeated send.
        """
        now_ms = self._context.clock.now_ms()
        while shard.sent < self._route.max_attempts:
            endpoint = self._choose(shard, now_ms)
            if endpoint is None:
                break
            if extra and not self._context.retry_budget.try_spend(
                shard.service, now_ms, hedge=False
            ):
                shard.reason += "; retry budget spent"
                self._context.count_send("retry_denied")
                break
            kind = AttemptKind.RETRY if extra else AttemptKind.FIRST
            if self._send(shard, endpoint, kind):
                return
        if not shard.running:
            self._fail_shard(shard, shard.reason or "no other endpoint")

    def _take_result(self, shard: ShardProgress, number: int, result: SendResult) -> None:
        attempt = shard.running.pop(number, None)
        if attempt is None:
            return
        now_ms = self._context.clock.now_ms()
        attempt.record.took_ms = now_ms - attempt.record.sent_ms
        if isinstance(result, SendFailure):
            attempt.record.result = result.reason
            self._take_failure(shard, attempt, result, now_ms)
        else:
            attempt.record.result = str(result.status)
            self._take_reply(shard, attempt, result, now_ms)
        if not self._done:
            self._check()

    def _take_failure(
        self, shard: ShardProgress, attempt: Attempt, failure: SendFailure, now_ms: float
    ) -> None:
        learn_from_failure(self._context.selector, attempt, failure, now_ms)
        identity = attempt.endpoint.identity
        shard.reason = f"{identity}: {failure.reason}"
        if failure.ran is Ran.NO:
            shard.sent -= 1
        else:
            shard.may_have_run = True
        if shard.settled or self._done:
            return
        self._context.on_decision(
            "send_failed",
            request_id=self._request.request_id,
            endpoint=identity,
            ran=failure.ran.value,
            reason=failure.reason,
        )
        self._recover(shard, arrived=failure.ran is not Ran.NO)

    def _take_reply(
        self, shard: ShardProgress, attempt: Attempt, reply: EndpointResponse, now_ms: float
    ) -> None:
        learn_from_reply(
            self._context.selector, self._latency, self._expected_ms, attempt, reply, now_ms
        )
        if reply.misdirected:
            # No endpoint of the service has seen the request.
            shard.sent -= 1
        if reply.ran is not Ran.NO:
            shard.may_have_run = True
        if shard.settled or self._done:
            return
        identity = attempt.endpoint.identity
        if reply.misdirected:
            shard.reason = f"{identity}: another endpoint has its address"
        elif reply.ran is Ran.NO:
            shard.reason = f"{identity}: rejected with status {reply.status}"
        else:
            self._take_outcome(shard, identity, reply)
        if not shard.settled:
            self._recover(shard, arrived=True)

    def _take_outcome(self, shard: ShardProgress, identity: str, reply: EndpointResponse) -> None:
        """Take the response of an endpoint that ran the request."""
        shard.last_reply = reply
        shard.reason = f"{identity}: status {reply.status}"
        if 200 <= reply.status < 300:
            if reply.stamp:
                shard.part = ShardResult(shard.service, reply.stamp, reply.body)
                shard.reason = ""
            else:
                shard.reason = f"{identity}: a success without a proof"
        elif reply.status < 500 and reply.status not in NOT_RUN_STATUSES:
            # Another endpoint of the service would answer the same.
            shard.failed = True

    def _recover(self, shard: ShardProgress, arrived: bool) -> None:
        if shard.running:
            if self._route.repeatable and shard.sent < self._route.max_attempts:
                self._hedge_shard(shard, self._context.clock.now_ms())
            return
        if shard.may_have_run and not self._route.repeatable:
            self._fail_shard(shard, shard.reason)
            return
        self._send_elsewhere(shard, extra=arrived)

    def _fail_shard(self, shard: ShardProgress, reason: str) -> None:
        shard.failed = True
        shard.reason = reason

    def _hedge(self) -> None:
        if self._done:
            return
        now_ms = self._context.clock.now_ms()
        waiting = False
        for shard in self._shards:
            if shard.settled or not shard.running or shard.sent >= self._route.max_attempts:
                continue
            if not self._hedge_shard(shard, now_ms):
                waiting = True
        if waiting:
            delay_ms = HEDGE_REPEAT_PART * self._route.objective_ms
            self._timers.append(self._context.timers.call_later(delay_ms, self._hedge))

    def _hedge_shard(self, shard: ShardProgress, now_ms: float) -> bool:
        endpoint = self._choose(shard, now_ms)
        if endpoint is None:
            return False
        if not self._context.selector.has_room(endpoint, self._expected_ms, 0.0, now_ms):
            # Without a free slot the hedge only delays other requests.
            return False
        if not self._context.retry_budget.try_spend(shard.service, now_ms, hedge=True):
            self._context.count_send("hedge_denied")
            return False
        return self._send(shard, endpoint, AttemptKind.HEDGE)

    def _allow_partial(self) -> None:
        self._partial_due = True
        if not self._done:
            self._check()

    def _expire(self) -> None:
        if self._done:
            return
        if self._route.gather is not None and self._suffices(self._covered()):
            self._answer_gather("partial")
            return
        if any(shard.sent or shard.may_have_run for shard in self._shards):
            self._give_up("timeout", 504)
        else:
            self._refuse("timeout_unsent", self._choose_return_ms())

    def _check(self) -> None:
        """Answer if nothing better can come."""
        if self._done:
            return
        if self._route.gather is None:
            self._check_single(self._shards[0])
            return
        covered = self._covered()
        if covered == len(self._shards):
            self._answer_gather("complete")
            return
        possible = sum(not shard.failed for shard in self._shards)
        if not self._suffices(possible):
            self._fail("failed")
            return
        unsettled = any(not shard.settled for shard in self._shards)
        if self._suffices(covered) and (self._partial_due or not unsettled):
            self._answer_gather("partial")

    def _check_single(self, shard: ShardProgress) -> None:
        if shard.part is not None:
            self._answer_reply(shard, "complete")
            return
        if shard.failed:
            self._fail("failed")

    def _covered(self) -> int:
        return sum(shard.part is not None for shard in self._shards)

    def _suffices(self, shard_count: int) -> bool:
        gather = self._route.gather
        if gather is None:
            return shard_count > 0
        return shard_count > 0 and shard_count >= gather.min_share * len(self._shards) - 1e-9

    def _fail(self, outcome: str) -> None:
        if not any(shard.may_have_run or shard.running for shard in self._shards):
            self._refuse(outcome, self._choose_return_ms())
            return
        shard = self._shards[0]
        reply = shard.last_reply
        if self._route.gather is None and reply is not None and _may_pass_on(reply):
            self._answer_reply(shard, "endpoint_error")
            return
        self._give_up(outcome, 502)

    def _answer_reply(self, shard: ShardProgress, outcome: str) -> None:
        assert shard.last_reply is not None
        reply = shard.last_reply
        headers = self._context.response_format.format_endpoint_response(reply)
        self._finish(ClientResponse(reply.status, headers, reply.body, outcome, 1, 1))

    def _answer_gather(self, outcome: str) -> None:
        gather = self._route.gather
        assert gather is not None
        parts = [shard.part for shard in self._shards if shard.part is not None]
        body = merge_greatest((part.body for part in parts), gather.top_records)
        headers = self._context.response_format.format_merged_response(
            parts, len(self._shards) - len(parts)
        )
        answer = ClientResponse(200, headers, body, outcome, len(parts), len(self._shards))
        self._finish(answer)

    def _refuse_start(self) -> None:
        """Refuse before anything was sent."""
        usable = self._context.endpoints.usable
        present = sum(bool(usable(shard.service)) for shard in self._shards)
        if self._suffices(present):
            self._refuse("full", self._choose_return_ms())
        else:
            self._refuse("unavailable", RETRY_AFTER_UNAVAILABLE_MS)

    def _choose_return_ms(self) -> float:
        spread = RETRY_AFTER_SPREAD_PART * self._context.rng.random()
        return (RETRY_AFTER_LEAST_PART + spread) * self._route.objective_ms

    def _refuse(self, outcome: str, retry_after_ms: float) -> None:
        headers = self._context.response_format.format_rejection(retry_after_ms)
        body = b"not run: " + outcome.encode()
        self._finish(ClientResponse(503, headers, body, outcome, 0, len(self._shards)))

    def _give_up(self, outcome: str, status: int) -> None:
        body = b"outcome unknown: " + outcome.encode()
        headers = self._context.response_format.format_failure()
        self._finish(
            ClientResponse(status, headers, body, outcome, self._covered(), len(self._shards))
        )

    def _finish(self, answer: ClientResponse) -> None:
        self._done = True
        self._finish_timers()
        reasons = "; ".join(shard.reason for shard in self._shards if shard.reason)
        self._respond(
            ClientResponse(
                answer.status,
                answer.headers,
                answer.body,
                answer.outcome,
                answer.covered,
                answer.total,
                tuple(self._attempts),
                reasons,
            )
        )

    def _finish_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _abandon_all(self) -> None:
        now_ms = self._context.clock.now_ms()
        for shard in self._shards:
            for attempt in shard.running.values():
                self._context.selector.note_abandoned(
                    attempt.endpoint.identity, attempt.number, self._expected_ms, now_ms
                )
                attempt.send.cancel()
            shard.running.clear()


def _may_pass_on(reply: EndpointResponse) -> bool:
    """Return whether an endpoint's failure can be the final answer.

    A status that promises that the request did not run would be untrue after a run.
    """
    return bool(reply.stamp) and reply.status >= 400 and reply.status not in NOT_RUN_STATUSES
