"""State shared by all requests of one instance, and its updates from their results."""

import random
from collections.abc import Callable

from attrs import frozen

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.budget import ColdStartLimit, RetryBudget
from persimmonspur.core.fleet.endpoints import EndpointDirectory
from persimmonspur.core.fleet.formats import ResponseFormat
from persimmonspur.core.fleet.latency import RouteLatencyEstimators
from persimmonspur.core.fleet.messages import EndpointResponse, Sender, SendFailure, Timers
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.pushback import EndpointPushback
from persimmonspur.core.fleet.quarantine import Quarantine
from persimmonspur.core.fleet.ratelimit import EndpointRateLimit
from persimmonspur.core.fleet.rollouts.fleet import Rollouts
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.core.routing.latency import LatencyEstimator
from persimmonspur.errors import Ran


@frozen
class ExchangeContext:
    """State and dependencies shared by all requests of one instance.

    :param on_decision: called with the name and the fields of a decision about one request.
    :param count_send: called with the kind of each send, and for each send that the retry
        budget denied.
    :param rollouts: orders to move services to other versions; ``None`` in deployments without.
    """

    clock: Clock
    timers: Timers
    sender: Sender
    endpoints: EndpointDirectory
    selector: ReplicaSelector
    latency_estimators: RouteLatencyEstimators
    retry_budget: RetryBudget
    cold_start_limit: ColdStartLimit
    rate_limit: EndpointRateLimit
    pushback: EndpointPushback
    quarantine: Quarantine
    response_format: ResponseFormat
    on_decision: Callable[..., None]
    count_send: Callable[[str], None]
    rng: random.Random
    rollouts: Rollouts | None = None


def record_send_failure(
    selector: ReplicaSelector, attempt: Attempt, failure: SendFailure, now_ms: float
) -> None:
    """Update the state of an endpoint from a failed send."""
    lifetime = attempt.endpoint.lifetime
    if failure.ran is Ran.NO:
        selector.record_unreachable(lifetime, attempt.number, now_ms)
    else:
        selector.record_connection_lost(lifetime, attempt.number, now_ms)


def record_endpoint_response(
    context: ExchangeContext,
    estimator: LatencyEstimator,
    expected_ms: float,
    attempt: Attempt,
    response: EndpointResponse,
    now_ms: float,
) -> None:
    """Update the state of an endpoint and the latency of a route from a response.

    :param estimator: latency estimator for the route of the request.
    :param expected_ms: typical latency when the request was sent.
    """
    lifetime = attempt.endpoint.lifetime
    selector = context.selector
    if response.load is not None:
        selector.record_load(lifetime, response.load[0], response.load[1], now_ms)
    if response.misdirected:
        selector.record_unreachable(lifetime, attempt.number, now_ms)
        return
    context.pushback.record_response(attempt.endpoint, response, now_ms)
    sent_ms = attempt.record.sent_ms
    context.rate_limit.record_response(
        lifetime, response.rate_limit_per_s, response.ran, sent_ms, now_ms
    )
    if response.ran is Ran.NO:
        selector.record_rejected(lifetime, attempt.number, now_ms)
        return
    failed = response.status >= 500
    selector.record_response(lifetime, attempt.number, expected_ms, failed, now_ms)
    if failed:
        return
    took_ms = now_ms - sent_ms
    estimator.observe(took_ms, now_ms)
    if response.load is None or not response.load[1]:
        # Without a queue at the endpoint, the latency is the service time.
        estimator.observe_service_time(took_ms)
