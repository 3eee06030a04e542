"""Replica selection based on the latencies and errors that this instance observes.

The replicas are the endpoints of one service. They differ in speed, pause for short times and
become slow. The expected latency of a replica therefore includes the age of its unanswered
requests, so that a paused replica is avoided after its first overdue request. Load reports are
older than a pause, so an instance ranks replicas first of all by its own unanswered requests;
see docs/design/load-balance.md.
"""

import math
import random
from collections.abc import Callable, Iterable

from attrs import define, field

from persimmonspur.core.fleet.endpoints import Endpoint, Lifetime, get_identity

LATENCY_SAMPLE_WEIGHT = 0.25
# Time constant with which the estimated latency of an unused replica returns to normal.
LATENCY_DECAY_MS = 2_500.0
# Time constant with which the reported load of other instances loses its weight.
LOAD_REPORT_DECAY_MS = 300.0
# An unanswered request counts as overdue beyond this multiple of the expected latency.
OVERDUE_RATIO = 1.5
ERROR_SAMPLE_WEIGHT = 0.25
ERROR_PENALTY = 10.0
# Time constant with which the error rate of an unused endpoint decays.
ERROR_RATE_DECAY_MS = 4_000.0
# An endpoint is suspected from the first error rate on, and trusted again once it responds
# and its error rate is below the second.
SUSPECT_ERROR_RATE = 0.4
TRUST_ERROR_RATE = 0.2
UNREACHABLE_BACKOFF_MS = 250.0
MAX_UNREACHABLE_BACKOFF_MS = 3_000.0
# Factor on the score of a replica in another failure domain.
REMOTE_DOMAIN_FACTOR = 1.1
# Spreads the requests over replicas that are nearly equal, also among instances that choose at
# the same moment.
SCORE_JITTER = 0.2
# Lower bound of the latency factor in a score, so that replicas which are as fast as usual share
# the requests. Without it the one that answered last a little faster gets most of them.
MIN_LATENCY_FACTOR = 1.15
# Increase of the score by each request that this instance waits for. A replica that it waits for
# may be pausing, and gets another request only if all others have as many.
OUTSTANDING_WEIGHT = 1.0
# Own requests count as at least this fraction of an even share of the endpoint's load, whatever
# it reports: its reports stop while it pauses. The rest allows for uneven demand.
EVEN_SHARE_FRACTION = 0.6
# Upper bound of a latency sample, as a multiple of the expected latency, so that a single
# pause does not exclude a replica.
MAX_LATENCY_SAMPLE = 8.0


@define(eq=False)
class ReplicaState:
    """Observations of one process of an endpoint by this instance.

    :param outstanding: send times of unanswered requests by attempt, oldest first.
    :param latency_factor: latency relative to the typical one of the service.
    :param other_instances_load: requests of other instances at the endpoint, when it last
        reported its load.
    :param suspected: whether it is avoided because it is unreachable or often fails.
    :param sent_count: requests sent to it since it is known.
    """

    outstanding: dict[int, float] = field(factory=dict)
    latency_factor: float = 1.0
    factor_updated_ms: float = 0.0
    other_instances_load: float = 0.0
    load_reported_ms: float = 0.0
    reports_load: bool = False
    error_rate: float = 0.0
    error_rate_updated_ms: float = 0.0
    consecutive_failures: int = 0
    suspected: bool = False
    blocked_until_ms: float = 0.0
    sent_count: int = 0


class ReplicaSelector:
    """Estimates the latency of each replica and picks the best one.

    :ivar sharing_instances: number of instances that send to the same endpoints.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        on_suspicion_change: Callable[[str, str], None] = lambda identity, reason: None,
    ) -> None:
        """Create a selector without observations.

        :param failure_domain: failure domain of this instance.
        :param on_suspicion_change: called with the identity of an endpoint and the reason
            when it becomes suspected, and with an empty reason when it is trusted again.
        """
        self._on_suspicion_change = on_suspicion_change
        self._failure_domain = failure_domain
        self._rng = rng
        self._states: dict[Lifetime, ReplicaState] = {}
        self.sharing_instances = 1

    def get_state(self, lifetime: Lifetime) -> ReplicaState:
        """Return the state of an endpoint, a new one if there is none."""
        state = self._states.get(lifetime)
        if state is None:
            state = self._states[lifetime] = ReplicaState()
        return state

    def pick(
        self, candidates: Iterable[Endpoint], expected_ms: float, now_ms: float
    ) -> Endpoint | None:
        """Return the replica with the lowest expected latency.

        :param expected_ms: typical latency of this kind of request.
        :returns: ``None`` if all candidates are blocked because they were unreachable.
        """
        best = None
        best_score = math.inf
        for endpoint in candidates:
            score = self._score(endpoint, expected_ms, now_ms)
            if score < best_score:
                best = endpoint
                best_score = score
        return best

    def _score(self, endpoint: Endpoint, expected_ms: float, now_ms: float) -> float:
        state = self.get_state(endpoint.lifetime)
        if now_ms < state.blocked_until_ms:
            return math.inf
        factor = MIN_LATENCY_FACTOR
        if state.latency_factor > factor:
            factor = max(factor, _decay_latency_factor(state, now_ms))
        load = self._estimate_load(state, now_ms)
        own_weight = 1.0
        if state.outstanding:
            own_weight += OUTSTANDING_WEIGHT * len(state.outstanding)
            oldest_ms = next(iter(state.outstanding.values()))
            overdue = (now_ms - oldest_ms) / expected_ms
            if overdue > OVERDUE_RATIO * factor:
                factor = max(factor, 2.0 * overdue)
        slots = max(1, endpoint.slots)
        score = (
            factor * own_weight * (1.0 + 0.3 * load / slots + max(0.0, load + 1 - slots) / slots)
        )
        if state.error_rate:
            score *= 1.0 + ERROR_PENALTY * _decay_error_rate(state, now_ms)
        if endpoint.cold_until_ms > now_ms:
            score *= 1.6
        if endpoint.failure_domain != self._failure_domain:
            score *= REMOTE_DOMAIN_FACTOR
        return score * (1.0 + SCORE_JITTER * self._rng.random())

    def has_capacity(
        self, endpoint: Endpoint, expected_ms: float, wait_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request would get a slot soon enough.

        Limits the queues under overload: a request queued behind too many others is
        answered too late and delays those behind it.

        :param expected_ms: typical latency of this kind of request.
        :param wait_ms: longest time in the queue with which the response is still in time.
        """
        slots = max(1, endpoint.slots)
        limit = slots * (1.0 + wait_ms / expected_ms)
        state = self.get_state(endpoint.lifetime)
        load = self._estimate_load(state, now_ms)
        if state.outstanding:
            even_share = EVEN_SHARE_FRACTION * self.sharing_instances * len(state.outstanding)
            load = max(load, even_share)
        return load < limit

    def _estimate_load(self, state: ReplicaState, now_ms: float) -> float:
        own_load = float(len(state.outstanding))
        if not state.reports_load:
            return own_load * self.sharing_instances
        if not state.other_instances_load:
            return own_load
        return own_load + state.other_instances_load * math.exp(
            (state.load_reported_ms - now_ms) / LOAD_REPORT_DECAY_MS
        )

    def record_sent(self, lifetime: Lifetime, attempt: int, now_ms: float) -> None:
        """Record a request as unanswered."""
        state = self.get_state(lifetime)
        state.outstanding[attempt] = now_ms
        state.sent_count += 1

    def record_response(
        self, lifetime: Lifetime, attempt: int, expected_ms: float, failed: bool, now_ms: float
    ) -> None:
        """Update the latency and error rate from a response.

        :param failed: whether the response is an error of the endpoint.
        """
        state = self.get_state(lifetime)
        sent_ms = state.outstanding.pop(attempt, now_ms)
        state.consecutive_failures = 0
        state.blocked_until_ms = 0.0
        self._update_error_rate(lifetime, failed, now_ms)
        if not failed:
            self._update_latency_factor(state, (now_ms - sent_ms) / expected_ms, now_ms)

    def record_connection_lost(self, lifetime: Lifetime, attempt: int, now_ms: float) -> None:
        """Record a connection that was lost after the request was sent.

        The endpoint may fail only for some requests, so others are preferred to it but
        it is not blocked.
        """
        state = self.get_state(lifetime)
        state.outstanding.pop(attempt, None)
        self._update_error_rate(lifetime, True, now_ms)

    def record_unreachable(self, lifetime: Lifetime, attempt: int, now_ms: float) -> None:
        """Record a refused connection, or one to another endpoint, and block the endpoint."""
        state = self.get_state(lifetime)
        state.outstanding.pop(attempt, None)
        state.consecutive_failures += 1
        backoff_ms = min(
            MAX_UNREACHABLE_BACKOFF_MS,
            UNREACHABLE_BACKOFF_MS * 2 ** (state.consecutive_failures - 1),
        )
        state.blocked_until_ms = now_ms + backoff_ms * (0.75 + 0.5 * self._rng.random())
        self._mark_suspected(lifetime, "unreachable")

    def record_rejected(self, lifetime: Lifetime, attempt: int, now_ms: float) -> None:
        """Record a response that says that the request did not run: the endpoint is full."""
        state = self.get_state(lifetime)
        state.outstanding.pop(attempt, None)
        self._update_error_rate(lifetime, True, now_ms)

    def record_cancelled(
        self, lifetime: Lifetime, attempt: int, expected_ms: float, now_ms: float
    ) -> None:
        """Remove an unanswered request; its age is a lower bound of the latency."""
        state = self.get_state(lifetime)
        sent_ms = state.outstanding.pop(attempt, now_ms)
        ratio = (now_ms - sent_ms) / expected_ms
        if ratio > OVERDUE_RATIO * state.latency_factor:
            self._update_latency_factor(state, ratio, now_ms)

    def record_load(self, lifetime: Lifetime, running: int, waiting: int, now_ms: float) -> None:
        """Record the load that an endpoint reports with a response."""
        state = self.get_state(lifetime)
        state.other_instances_load = max(0.0, running + waiting - 1.0 - len(state.outstanding))
        state.load_reported_ms = now_ms
        state.reports_load = True

    def retain(self, lifetimes: frozenset[Lifetime]) -> None:
        """Drop the state of endpoint processes that no longer exist.

        :param lifetimes: the processes that exist.
        """
        for lifetime, state in list(self._states.items()):
            if lifetime in lifetimes or state.outstanding:
                continue
            del self._states[lifetime]
            if state.suspected:
                self._on_suspicion_change(get_identity(lifetime), "")

    def count_sent(self, lifetime: Lifetime) -> int:
        """Return the number of requests sent to an endpoint process since it is known."""
        state = self._states.get(lifetime)
        return state.sent_count if state is not None else 0

    def count_suspected(self) -> int:
        """Return the number of suspected endpoints."""
        return sum(state.suspected for state in self._states.values())

    def count_outstanding(self) -> int:
        """Return the number of unanswered requests."""
        return sum(len(state.outstanding) for state in self._states.values())

    def _mark_suspected(self, lifetime: Lifetime, reason: str) -> None:
        state = self.get_state(lifetime)
        if not state.suspected:
            state.suspected = True
            self._on_suspicion_change(get_identity(lifetime), reason)

    def _update_error_rate(self, lifetime: Lifetime, failed: bool, now_ms: float) -> None:
        state = self.get_state(lifetime)
        if not (failed or state.error_rate or state.suspected):
            return
        rate = _decay_error_rate(state, now_ms)
        state.error_rate = rate + ERROR_SAMPLE_WEIGHT * (float(failed) - rate)
        state.error_rate_updated_ms = now_ms
        if failed and state.error_rate >= SUSPECT_ERROR_RATE:
            self._mark_suspected(lifetime, f"error rate {state.error_rate:.2f}")
        elif not failed and state.suspected and state.error_rate < TRUST_ERROR_RATE:
            state.suspected = False
            self._on_suspicion_change(get_identity(lifetime), "")

    def _update_latency_factor(self, state: ReplicaState, ratio: float, now_ms: float) -> None:
        ratio = min(ratio, MAX_LATENCY_SAMPLE)
        decayed = _decay_latency_factor(state, now_ms)
        state.latency_factor = decayed + LATENCY_SAMPLE_WEIGHT * (ratio - decayed)
        state.factor_updated_ms = now_ms


def _decay_latency_factor(state: ReplicaState, now_ms: float) -> float:
    return 1.0 + (state.latency_factor - 1.0) * math.exp(
        (state.factor_updated_ms - now_ms) / LATENCY_DECAY_MS
    )


def _decay_error_rate(state: ReplicaState, now_ms: float) -> float:
    return state.error_rate * math.exp((state.error_rate_updated_ms - now_ms) / ERROR_RATE_DECAY_MS)
