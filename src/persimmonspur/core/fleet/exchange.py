"""Processing of one client request from its route to the response.

Uses no sockets and no clock directly: sends, timers and time are passed in, so every
decision can be tested without a network.
"""

import itertools
from collections.abc import Callable

from persimmonspur.core.fleet.admission import EndpointChooser
from persimmonspur.core.fleet.context import (
    ExchangeContext,
    record_endpoint_response,
    record_send_failure,
)
from persimmonspur.core.fleet.crashguard import CrashGuard
from persimmonspur.core.fleet.cutoff import choose_partial_ms
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.merge import reduce_to_top_records
from persimmonspur.core.fleet.messages import (
    AttemptKind,
    AttemptRecord,
    ClientRequest,
    ClientResponse,
    EndpointResponse,
    SendFailure,
    SendHandle,
    SendResult,
    ShardResult,
    TimerHandle,
)
from persimmonspur.core.fleet.progress import Attempt, ShardProgress
from persimmonspur.core.fleet.replies import (
    NOT_RUN_STATUSES,
    RETRY_AFTER_UNAVAILABLE_MS,
    ReplyBuilder,
    can_forward,
    choose_retry_after_ms,
)
from persimmonspur.core.fleet.routes import Route, RouteTable
from persimmonspur.errors import Ran

# The response is sent this long before the deadline so that it arrives in time.
RESPONSE_MARGIN_MS = 15.0
# Latest time of the first hedge, as a fraction of the latency objective.
MAX_HEDGE_DELAY_FRACTION = 0.45
MIN_HEDGE_DELAY_MS = 4.0
# The late shards of a gather are hedged once this share of the shards has responded and this
# multiple of the time has passed that those took.
HEDGE_QUORUM = 0.8
STRAGGLER_FACTOR = 1.2
# Time until shards that could not be hedged are tried again, as a fraction of the latency
# objective.
HEDGE_RECHECK_FRACTION = 0.15
# A request is not sent with less than this time left.
MIN_SEND_TIMEOUT_MS = 5.0
NO_TIME_LEFT = "no time left to send"

_attempt_numbers = itertools.count(1)


class Exchange:
    """One client request and its sends to endpoints."""

    def __init__(
        self,
        context: ExchangeContext,
        table: RouteTable,
        route: Route,
        services: tuple[str, ...],
        request: ClientRequest,
        respond: Callable[[ClientResponse], None],
    ) -> None:
        """Prepare a request; nothing is sent yet.

        :param table: route table that selected the route.
        :param services: one service per shard of a gather, or the one service of the route.
        :param respond: called once with the response, unless the client disconnects first.
        """
        self._context = context
        self._route = route
        self._request = request
        self._respond = respond
        self._shards = [ShardProgress(service) for service in services]
        self._latency_estimator = context.latency_estimators.get(route.name, route.objective_ms)
        self._expected_ms = max(0.5, self._latency_estimator.mean_service_ms)
        self._chooser = EndpointChooser(context, table, route, self._expected_ms)
        wait_ms = route.timeout_ms
        if request.timeout_ms is not None:
            wait_ms = min(wait_ms, request.timeout_ms)
        self._deadline_ms = request.arrived_ms + wait_ms
        self._started_ms = request.arrived_ms
        self._replies = ReplyBuilder(context.response_format, route, self._shards)
        self._guard = CrashGuard(context.quarantine, request)
        self._timers: list[TimerHandle] = []
        self._hedge_timer: TimerHandle | None = None
        self._hedge_due_ms = 0.0
        self._done = False
        self._partial_allowed = False
        self._covered_count = 0
        self._failed_count = 0
        self._has_held_shards = False
        self._watches_stragglers = False
        self._attempts: list[AttemptRecord] = []

    @property
    def done(self) -> bool:
        """Whether the request was answered or its client disconnected."""
        return self._done

    @property
    def sent(self) -> bool:
        """Whether the request was sent to any endpoint."""
        return bool(self._attempts)

    def start(self) -> None:
        """Send to every service, or reject the request if too few have a usable endpoint."""
        self._guard.begin()
        if self._guard.quarantined:
            self._finish(self._replies.reject("quarantined", self._guard.get_retry_after_ms()))
            return
        now_ms = self._started_ms = self._context.clock.now_ms()
        choose = self._chooser.choose
        endpoints = [choose(shard.service, shard.tried, now_ms) for shard in self._shards]
        if not self._is_enough(sum(chosen is not None for chosen in endpoints)):
            self._reject_at_start()
            return
        if not self._has_time_to_send(now_ms):
            self._reject("too_late")
            return
        # Before the first send, so that the request ends whatever a send raises.
        self._set_timers(now_ms)
        for shard, endpoint in zip(self._shards, endpoints, strict=True):
            if endpoint is None:
                self._fail_shard(shard, "no usable endpoint")
                continue
            if not self._guard.may_send():
                self._hold_shard(shard)
                continue
            self._send_first(shard, endpoint)
        self._respond_if_settled()

    def handle_disconnect(self) -> None:
        """Stop because the client closed its connection.

        A non-idempotent request is not cancelled at its endpoint: that would only hide
        its outcome.
        """
        if self._done:
            return
        self._cancel_timers()
        self._done = True
        self._guard.finish()
        if self._route.repeatable:
            self._cancel_attempts()

    def end_now(self) -> None:
        """Respond with what is known, because this instance is about to exit."""
        self._handle_deadline()
        self._cancel_timers()

    def end_if_quarantined(self) -> None:
        """Stop if a repetition of the request got it into the quarantine meanwhile."""
        self._guard.begin()
        if not self._done and self._guard.quarantined:
            self._end_quarantined()

    def _set_timers(self, now_ms: float) -> None:
        timers = self._context.timers
        remaining_ms = self._compute_remaining_ms(now_ms)
        self._timers.append(timers.call_later(remaining_ms, self._handle_deadline))
        if not self._route.repeatable:
            return
        objective_ms = self._route.objective_ms
        hedge_ms = min(MAX_HEDGE_DELAY_FRACTION * objective_ms, self._latency_estimator.p95_ms)
        if self._route.max_attempts > 1:
            delay_ms = max(MIN_HEDGE_DELAY_MS, hedge_ms)
            self._schedule_hedges(delay_ms)
        if self._route.gather is not None:
            elapsed_ms = now_ms - self._request.arrived_ms
            delay_ms = max(0.0, choose_partial_ms(self._route, self._request) - elapsed_ms)
            self._timers.append(timers.call_later(delay_ms, self._allow_partial))

    def _compute_remaining_ms(self, now_ms: float) -> float:
        """Return the time until the response has to be sent."""
        return self._deadline_ms - now_ms - RESPONSE_MARGIN_MS

    def _has_time_to_send(self, now_ms: float) -> bool:
        return self._compute_remaining_ms(now_ms) >= MIN_SEND_TIMEOUT_MS

    def _send_first(self, shard: ShardProgress, endpoint: Endpoint) -> None:
        """Send for a shard to the endpoint that was chosen at the start."""
        now_ms = self._context.clock.now_ms()
        if not self._has_time_to_send(now_ms):
            # The process may have stood still since the start.
            self._fail_shard(shard, NO_TIME_LEFT)
            return
        self._context.retry_budget.record_first_attempt(shard.service, now_ms)
        if not self._send(shard, endpoint, AttemptKind.FIRST, now_ms):
            self._send_to_another(shard, is_retry=False)

    def _send(
        self, shard: ShardProgress, endpoint: Endpoint, kind: AttemptKind, now_ms: float
    ) -> bool:
        """Send for a shard; the caller has checked that there is time.

        :returns: whether it was sent; if not, no connection to the endpoint was free.
        """
        number = next(_attempt_numbers)
        remaining_ms = self._compute_remaining_ms(now_ms)

        def handle_result(result: SendResult) -> None:
            self._handle_result(shard, number, result)

        send: SendHandle | None
        try:
            send = self._context.sender.send(endpoint, self._request, remaining_ms, handle_result)
        except Exception as error:
            # How far the send got is unknown. The failure is handled once it is recorded.
            failure = SendFailure(Ran.UNKNOWN, f"{type(error).__name__}: {error}")
            send = self._context.timers.call_later(0.0, lambda: handle_result(failure))
        shard.tried.append(endpoint.identity)
        if send is None:
            return False
        record = self._record_attempt(endpoint, kind, now_ms)
        shard.running[number] = Attempt(number, endpoint, record, send)
        shard.send_count += 1
        self._guard.record_sent(number)
        self._attempts.append(record)
        self._context.selector.record_sent(endpoint.lifetime, number, now_ms)
        self._context.rate_limit.record_sent(endpoint.lifetime, now_ms)
        if self._context.rollouts is not None:
            self._context.rollouts.record_sent(endpoint, len(shard.tried) == 1, now_ms)
        return True

    def _record_attempt(
        self, endpoint: Endpoint, kind: AttemptKind, now_ms: float
    ) -> AttemptRecord:
        state = self._context.selector.get_state(endpoint.lifetime)
        self._context.count_send(kind.value)
        return AttemptRecord(
            endpoint.identity,
            endpoint.service,
            kind,
            now_ms,
            state.latency_factor,
            now_ms - state.factor_updated_ms if state.factor_updated_ms else -1.0,
            len(state.outstanding),
        )

    def _send_to_another(self, shard: ShardProgress, is_retry: bool) -> None:
        """Send to another endpoint of a shard after a failed send.

        :param is_retry: whether an endpoint of the service may have seen the request, so
            that the send counts towards the retry budget.
        """
        kind = AttemptKind.RETRY if is_retry else AttemptKind.FIRST
        # Each endpoint is tried once, so this ends at the latest when none is left.
        while shard.send_count < self._route.max_attempts:
            now_ms = self._context.clock.now_ms()
            if not self._has_time_to_send(now_ms):
                shard.reason = f"{shard.reason}; {NO_TIME_LEFT}" if shard.reason else NO_TIME_LEFT
                break
            endpoint = self._chooser.choose(shard.service, shard.tried, now_ms)
            if endpoint is None:
                break
            if is_retry and not self._acquire_retry(shard, now_ms):
                break
            if self._send(shard, endpoint, kind, now_ms):
                return
            if is_retry:
                self._context.retry_budget.put_back(shard.service, now_ms)
        if not shard.running:
            self._fail_shard(shard, shard.reason or "no other endpoint")

    def _acquire_retry(self, shard: ShardProgress, now_ms: float) -> bool:
        if self._context.retry_budget.try_acquire(shard.service, now_ms, hedge=False):
            return True
        shard.reason += "; retry budget exhausted"
        self._context.count_send("retry_denied")
        return False

    def _handle_result(self, shard: ShardProgress, number: int, result: SendResult) -> None:
        attempt = shard.running.pop(number, None)
        if attempt is None:
            return
        now_ms = self._context.clock.now_ms()
        attempt.record.took_ms = now_ms - attempt.record.sent_ms
        if self._context.rollouts is not None:
            self._context.rollouts.record_result(attempt, self._route.name, result, now_ms)
        if isinstance(result, SendFailure):
            attempt.record.result = result.reason
            self._handle_failure(shard, attempt, result, now_ms)
        else:
            attempt.record.result = str(result.status)
            self._handle_response(shard, attempt, result, now_ms)
        if self._done:
            self._guard.finish()
            return
        if self._guard.quarantined:
            self._end_quarantined()
            return
        self._resume_held_shards()
        self._respond_if_settled()

    def _resume_held_shards(self) -> None:
        """Send for the shards that were held, as far as the request is no longer suspected."""
        if not self._has_held_shards:
            return
        for shard in self._shards:
            if not shard.held or shard.settled:
                continue
            if not self._guard.may_send():
                return
            shard.held = False
            if not shard.tried:
                now_ms = self._context.clock.now_ms()
                self._context.retry_budget.record_first_attempt(shard.service, now_ms)
            self._send_to_another(shard, is_retry=bool(shard.tried))
        self._has_held_shards = any(shard.held for shard in self._shards)

    def _hold_shard(self, shard: ShardProgress) -> None:
        shard.held = True
        self._has_held_shards = True

    def _end_quarantined(self) -> None:
        """End a request that crashes endpoints, before those that still have it run it."""
        if self._route.repeatable:
            self._cancel_attempts()
        self._finish(self._replies.report_unknown("quarantined", 502))

    def _handle_failure(
        self, shard: ShardProgress, attempt: Attempt, failure: SendFailure, now_ms: float
    ) -> None:
        record_send_failure(self._context.selector, attempt, failure, now_ms)
        if failure.connection_lost:
            self._guard.record_lost(attempt)
        else:
            self._guard.record_ended(attempt.number)
        identity = attempt.endpoint.identity
        shard.reason = f"{identity}: {failure.reason}"
        if failure.ran is Ran.NO:
            shard.send_count -= 1
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
            connection_lost=failure.connection_lost,
            fingerprint=self._guard.fingerprint if failure.connection_lost else "",
        )
        self._retry_or_fail(shard, reached_endpoint=failure.ran is not Ran.NO)

    def _handle_response(
        self, shard: ShardProgress, attempt: Attempt, response: EndpointResponse, now_ms: float
    ) -> None:
        record_endpoint_response(
            self._context,
            self._latency_estimator,
            self._expected_ms,
            attempt,
            response,
            now_ms,
        )
        if response.misdirected:
            # No endpoint of the service has seen the request.
            shard.send_count -= 1
        if response.ran is Ran.NO:
            self._guard.record_ended(attempt.number)
        else:
            self._guard.record_answered()
            shard.may_have_run = True
        if shard.settled or self._done:
            return
        identity = attempt.endpoint.identity
        if response.misdirected:
            shard.reason = f"{identity}: address belongs to another endpoint"
        elif response.ran is Ran.NO:
            shard.reason = f"{identity}: rejected with status {response.status}"
        else:
            self._evaluate_response(shard, identity, response)
        if not shard.settled:
            self._retry_or_fail(shard, reached_endpoint=True)

    def _evaluate_response(
        self, shard: ShardProgress, identity: str, response: EndpointResponse
    ) -> None:
        """Handle the response of an endpoint that ran the request."""
        gather = self._route.gather
        body = response.body
        if gather is None:
            shard.last_response = response
        else:
            # The rest would take memory until the last shard has responded.
            body = reduce_to_top_records(body, gather.top_records)
        shard.reason = f"{identity}: status {response.status}"
        if 200 <= response.status < 300:
            if response.stamp:
                shard.result = ShardResult(shard.service, response.stamp, body)
                shard.reason = ""
                self._covered_count += 1
                self._watch_stragglers()
            else:
                shard.reason = f"{identity}: successful status without a stamp"
        elif response.status < 500 and response.status not in NOT_RUN_STATUSES:
            # Another endpoint of the service would respond in the same way.
            self._fail_shard(shard, shard.reason)

    def _retry_or_fail(self, shard: ShardProgress, reached_endpoint: bool) -> None:
        if shard.running:
            if self._route.repeatable and shard.send_count < self._route.max_attempts:
                self._hedge_shard(shard, self._context.clock.now_ms())
            return
        if shard.may_have_run and not self._route.repeatable:
            self._fail_shard(shard, shard.reason)
            return
        if not self._guard.may_send():
            self._hold_shard(shard)
            return
        self._send_to_another(shard, is_retry=reached_endpoint)

    def _fail_shard(self, shard: ShardProgress, reason: str) -> None:
        if not shard.failed:
            self._failed_count += 1
        shard.failed = True
        shard.reason = reason

    def _hedge_pending_shards(self) -> None:
        self._hedge_timer = None
        if self._done:
            return
        now_ms = self._context.clock.now_ms()
        recheck = False
        for shard in self._shards:
            if shard.settled or not shard.running or shard.send_count >= self._route.max_attempts:
                continue
            if not self._hedge_shard(shard, now_ms):
                recheck = True
        if recheck:
            recheck_ms = HEDGE_RECHECK_FRACTION * self._route.objective_ms
            self._schedule_hedges(max(MIN_HEDGE_DELAY_MS, recheck_ms))

    def _watch_stragglers(self) -> None:
        """Schedule hedges for the last shards once most of a gather has responded."""
        if self._covered_count < HEDGE_QUORUM * len(self._shards) or self._watches_stragglers:
            return
        self._watches_stragglers = True
        if self._route.gather is None or self._route.max_attempts < 2:
            return
        took_ms = self._context.clock.now_ms() - self._started_ms
        delay_ms = max(MIN_HEDGE_DELAY_MS, (STRAGGLER_FACTOR - 1) * took_ms)
        self._schedule_hedges(delay_ms)

    def _schedule_hedges(self, delay_ms: float) -> None:
        """Hedge the pending shards after a delay, unless they will be hedged before."""
        due_ms = self._context.clock.now_ms() + delay_ms
        if self._hedge_timer is not None:
            if self._hedge_due_ms <= due_ms:
                return
            self._hedge_timer.cancel()
        self._hedge_due_ms = due_ms
        self._hedge_timer = self._context.timers.call_later(delay_ms, self._hedge_pending_shards)

    def _hedge_shard(self, shard: ShardProgress, now_ms: float) -> bool:
        if self._guard.suspected or not self._has_time_to_send(now_ms):
            return False
        endpoint = self._chooser.choose(shard.service, shard.tried, now_ms)
        if endpoint is None:
            return False
        if not self._chooser.has_free_slot(endpoint, now_ms):
            # Without a free slot a hedge would only delay other requests.
            return False
        if not self._context.retry_budget.try_acquire(shard.service, now_ms, hedge=True):
            self._context.count_send("hedge_denied")
            return False
        if self._send(shard, endpoint, AttemptKind.HEDGE, now_ms):
            return True
        self._context.retry_budget.put_back(shard.service, now_ms)
        return False

    def _allow_partial(self) -> None:
        self._partial_allowed = True
        if not self._done:
            self._respond_if_settled()

    def _handle_deadline(self) -> None:
        if self._done:
            return
        if self._route.gather is not None and self._is_enough(self._covered_count):
            self._finish(self._replies.merge("partial"))
            return
        if any(shard.send_count or shard.may_have_run for shard in self._shards):
            self._finish(self._replies.report_unknown("timeout", 504))
        else:
            self._reject("timeout_unsent")

    def _respond_if_settled(self) -> None:
        """Respond if no better response can be expected."""
        if self._done:
            return
        if self._route.gather is None:
            self._respond_if_shard_settled(self._shards[0])
            return
        if self._covered_count == len(self._shards):
            self._finish(self._replies.merge("complete"))
            return
        possible = len(self._shards) - self._failed_count
        if not self._is_enough(possible):
            self._respond_failed("failed")
            return
        all_settled = self._covered_count == possible
        if self._is_enough(self._covered_count) and (self._partial_allowed or all_settled):
            self._finish(self._replies.merge("partial"))

    def _respond_if_shard_settled(self, shard: ShardProgress) -> None:
        if shard.result is not None:
            assert shard.last_response is not None
            self._finish(self._replies.forward(shard.last_response, "complete"))
            return
        if shard.failed:
            self._respond_failed("failed")

    def _is_enough(self, shard_count: int) -> bool:
        gather = self._route.gather
        if gather is None:
            return shard_count > 0
        return shard_count > 0 and shard_count >= gather.min_share * len(self._shards) - 1e-9

    def _respond_failed(self, outcome: str) -> None:
        if not any(shard.may_have_run or shard.running for shard in self._shards):
            self._reject(outcome)
            return
        shard = self._shards[0]
        response = shard.last_response
        if self._route.gather is None and response is not None and can_forward(response):
            self._finish(self._replies.forward(response, "endpoint_error"))
            return
        if not self._has_time_to_send(self._context.clock.now_ms()):
            self._finish(self._replies.report_unknown("timeout", 504))
            return
        self._finish(self._replies.report_unknown(outcome, 502))

    def _reject_at_start(self) -> None:
        """Reject the request before anything was sent."""
        has_staying = self._chooser.has_staying_endpoint
        available = sum(has_staying(shard.service) for shard in self._shards)
        if self._is_enough(available):
            self._reject("full")
        else:
            self._finish(self._replies.reject("unavailable", RETRY_AFTER_UNAVAILABLE_MS))

    def _reject(self, outcome: str) -> None:
        retry_after_ms = choose_retry_after_ms(self._route, self._context.rng)
        self._finish(self._replies.reject(outcome, retry_after_ms))

    def _finish(self, response: ClientResponse) -> None:
        self._done = True
        self._cancel_timers()
        self._guard.finish()
        reasons = "; ".join(shard.reason for shard in self._shards if shard.reason)
        self._respond(
            ClientResponse(
                response.status,
                response.headers,
                response.body,
                response.outcome,
                response.covered,
                response.total,
                tuple(self._attempts),
                reasons,
            )
        )

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
            self._hedge_timer = None

    def _cancel_attempts(self) -> None:
        now_ms = self._context.clock.now_ms()
        for shard in self._shards:
            for attempt in shard.running.values():
                self._context.selector.record_cancelled(
                    attempt.endpoint.lifetime, attempt.number, self._expected_ms, now_ms
                )
                attempt.send.cancel()
            shard.running.clear()
