"""Which replica a request goes to, from what this instance sees itself.

Answers the load of many replicas that differ in speed, pause for a moment and
turn slow: the expected latency counts the age of unanswered requests, so a
pausing replica is left after its first overdue request.
"""

import math
import random
from collections.abc import Callable, Iterable

from attrs import define, field

from persimmonspur.core.fleet.endpoints import Endpoint

SAMPLE_WEIGHT = 0.25
# A replica that is not used is assumed to become normal again with this time constant.
FORGET_MS = 2_500.0
# The reported load of other instances says little after this time.
LOAD_FORGET_MS = 300.0
# An unanswered request counts as overdue beyond this multiple of the expected latency.
OVERDUE_RATIO = 1.5
ERROR_WEIGHT = 0.25
ERROR_PENALTY = 10.0
# The error rate of an endpoint that is not used falls with this time constant.
ERROR_FORGET_MS = 4_000.0
# An endpoint is suspected from this error rate on, until it answers below the lower one.
SUSPECT_ERROR_RATE = 0.4
TRUST_ERROR_RATE = 0.2
FAILURE_BACKOFF_MS = 250.0
FAILURE_BACKOFF_MAX_MS = 3_000.0
# Expected latency of a replica in another failure domain relative to a local one.
REMOTE_FACTOR = 1.1
JITTER = 0.05
# Latency samples are cut at this multiple so that one pause does not ban a replica.
SAMPLE_MAX = 8.0


@define(eq=False)
class ReplicaState:
    """What this instance knows of one endpoint.

    :param outstanding: start times of unanswered requests by attempt, oldest first.
    :param born_ms: start of the endpoint's process that the state is about.
    :param factor: latency relative to the typical one of the service.
    :param suspected: whether it is avoided because it cannot be reached or fails often.
    """

    outstanding: dict[int, float] = field(factory=dict)
    born_ms: int = 0
    factor: float = 1.0
    sampled_ms: float = 0.0
    others_load: float = 0.0
    load_ms: float = 0.0
    reports_load: bool = False
    error_rate: float = 0.0
    error_ms: float = 0.0
    failures: int = 0
    suspected: bool = False
    blocked_until_ms: float = 0.0


class ReplicaSelector:
    """Estimates each replica's latency and picks the best.

    :ivar sharing_instances: number of instances that send to the same endpoints.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        on_suspect: Callable[[str, str], None] = lambda identity, reason: None,
    ) -> None:
        """Know no endpoint yet.

        :param failure_domain: of this instance.
        :param on_suspect: told of an endpoint that is avoided from now on, with the reason,
            or with an empty one when it is trusted again.
        """
        self._on_suspect = on_suspect
        self._failure_domain = failure_domain
        self._rng = rng
        self._states: dict[str, ReplicaState] = {}
        self.sharing_instances = 1

    def get_state(self, identity: str) -> ReplicaState:
        """Return the state of an endpoint, a new one if there is none."""
        state = self._states.get(identity)
        if state is None:
            state = self._states[identity] = ReplicaState()
        return state

    def pick(
        self, candidates: Iterable[Endpoint], expected_ms: float, now_ms: float
    ) -> Endpoint | None:
        """Return the replica with the least expected latency.

        :param expected_ms: typical latency of this kind of request.
        :returns: ``None`` if all candidates are blocked after failures.
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
        state = self._find_state(endpoint)
        if now_ms < state.blocked_until_ms:
            return math.inf
        factor = 1.0 + (state.factor - 1.0) * math.exp((state.sampled_ms - now_ms) / FORGET_MS)
        load = self._estimate_load(state, now_ms)
        if state.outstanding:
            oldest_ms = next(iter(state.outstanding.values()))
            overdue = (now_ms - oldest_ms) / expected_ms
            if overdue > OVERDUE_RATIO * factor:
                factor = max(factor, 2.0 * overdue)
        slots = max(1, endpoint.slots)
        score = factor * (1.0 + 0.3 * load / slots + max(0.0, load + 1 - slots) / slots)
        score *= 1.0 + ERROR_PENALTY * _fade_error_rate(state, now_ms)
        if endpoint.cold_until_ms > now_ms:
            score *= 1.6
        if endpoint.failure_domain != self._failure_domain:
            score *= REMOTE_FACTOR
        return score * (1.0 + JITTER * self._rng.random())

    def _find_state(self, endpoint: Endpoint) -> ReplicaState:
        """Return the state of an endpoint; one that started again has no past failures."""
        state = self.get_state(endpoint.identity)
        if state.born_ms == endpoint.born_ms:
            return state
        if state.born_ms:
            if state.suspected:
                self._on_suspect(endpoint.identity, "")
            state = ReplicaState(state.outstanding)
            self._states[endpoint.identity] = state
        state.born_ms = endpoint.born_ms
        return state

    def has_capacity(
        self, endpoint: Endpoint, expected_ms: float, wait_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request would get a slot soon enough.

        Answers the load beyond what the endpoints can do: a request that waits behind
        too many others is answered too late and delays those behind it.

        :param expected_ms: typical latency of this kind of request.
        :param wait_ms: longest time in a queue that leaves the answer in time.
        """
        slots = max(1, endpoint.slots)
        limit = slots * (1.0 + wait_ms / expected_ms)
        return self._estimate_load(self.get_state(endpoint.identity), now_ms) < limit

    def _estimate_load(self, state: ReplicaState, now_ms: float) -> float:
        own = float(len(state.outstanding))
        if not state.reports_load:
            return own * self.sharing_instances
        return own + state.others_load * math.exp((state.load_ms - now_ms) / LOAD_FORGET_MS)

    def record_sent(self, identity: str, attempt: int, now_ms: float) -> None:
        """Count a request as unanswered."""
        self.get_state(identity).outstanding[attempt] = now_ms

    def record_response(
        self, identity: str, attempt: int, expected_ms: float, failed: bool, now_ms: float
    ) -> None:
        """Take the latency of an answer.

        :param failed: whether the answer is an error of the endpoint.
        """
        state = self.get_state(identity)
        started_ms = state.outstanding.pop(attempt, now_ms)
        state.failures = 0
        state.blocked_until_ms = 0.0
        self._count_outcome(identity, failed, now_ms)
        if not failed:
            self._sample(state, (now_ms - started_ms) / expected_ms, now_ms)

    def record_connection_lost(self, identity: str, attempt: int, now_ms: float) -> None:
        """Take a connection that broke after the request was sent.

        The endpoint may be sound but for some answers, so it is avoided in favour of
        others and not excluded.
        """
        state = self.get_state(identity)
        state.outstanding.pop(attempt, None)
        self._count_outcome(identity, True, now_ms)

    def record_unreachable(self, identity: str, attempt: int, now_ms: float) -> None:
        """Take a refused connection, or one to another endpoint; the endpoint rests."""
        state = self.get_state(identity)
        state.outstanding.pop(attempt, None)
        state.failures += 1
        rest_ms = min(FAILURE_BACKOFF_MAX_MS, FAILURE_BACKOFF_MS * 2 ** (state.failures - 1))
        state.blocked_until_ms = now_ms + rest_ms * (0.75 + 0.5 * self._rng.random())
        self._suspect(identity, "unreachable")

    def record_rejected(self, identity: str, attempt: int, now_ms: float) -> None:
        """Take an answer that says the request did not run; the endpoint is full."""
        state = self.get_state(identity)
        state.outstanding.pop(attempt, None)
        self._count_outcome(identity, True, now_ms)

    def record_cancelled(
        self, identity: str, attempt: int, expected_ms: float, now_ms: float
    ) -> None:
        """Forget an unanswered request; its age is a lower bound of the latency."""
        state = self.get_state(identity)
        started_ms = state.outstanding.pop(attempt, now_ms)
        ratio = (now_ms - started_ms) / expected_ms
        if ratio > OVERDUE_RATIO * state.factor:
            self._sample(state, ratio, now_ms)

    def record_load(self, identity: str, running: int, waiting: int, now_ms: float) -> None:
        """Take the load that an endpoint reports with an answer."""
        state = self.get_state(identity)
        state.others_load = max(0.0, running + waiting - 1.0 - len(state.outstanding))
        state.load_ms = now_ms
        state.reports_load = True

    def retain(self, identities: frozenset[str]) -> None:
        """Drop the state of endpoints that no longer exist.

        :param identities: the endpoints that exist.
        """
        for identity in list(self._states):
            if identity not in identities and not self._states[identity].outstanding:
                del self._states[identity]

    def count_suspected(self) -> int:
        """Return the number of endpoints that are avoided."""
        return sum(state.suspected for state in self._states.values())

    def count_outstanding(self) -> int:
        """Return the number of unanswered requests."""
        return sum(len(state.outstanding) for state in self._states.values())

    def _suspect(self, identity: str, reason: str) -> None:
        state = self.get_state(identity)
        if not state.suspected:
            state.suspected = True
            self._on_suspect(identity, reason)

    def _count_outcome(self, identity: str, failed: bool, now_ms: float) -> None:
        state = self.get_state(identity)
        rate = _fade_error_rate(state, now_ms)
        state.error_rate = rate + ERROR_WEIGHT * (float(failed) - rate)
        state.error_ms = now_ms
        if failed and state.error_rate >= SUSPECT_ERROR_RATE:
            self._suspect(identity, f"error rate {state.error_rate:.2f}")
        elif not failed and state.suspected and state.error_rate < TRUST_ERROR_RATE:
            state.suspected = False
            self._on_suspect(identity, "")

    def _sample(self, state: ReplicaState, ratio: float, now_ms: float) -> None:
        ratio = min(ratio, SAMPLE_MAX)
        past = 1.0 + (state.factor - 1.0) * math.exp((state.sampled_ms - now_ms) / FORGET_MS)
        state.factor = past + SAMPLE_WEIGHT * (ratio - past)
        state.sampled_ms = now_ms


def _fade_error_rate(state: ReplicaState, now_ms: float) -> float:
    return state.error_rate * math.exp((state.error_ms - now_ms) / ERROR_FORGET_MS)
