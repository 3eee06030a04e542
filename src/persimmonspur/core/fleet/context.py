"""What all requests of one instance share, and what they learn about endpoints."""

import random
from collections.abc import Callable

from attrs import frozen

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.budget import ColdStartLimit, RetryBudget
from persimmonspur.core.fleet.endpoints import EndpointDirectory
from persimmonspur.core.fleet.formats import ResponseFormat
from persimmonspur.core.fleet.latency import RouteLatencies
from persimmonspur.core.fleet.messages import EndpointResponse, Sender, SendFailure, Timers
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.core.routing.latency import LatencyEstimator
from persimmonspur.errors import Ran


@frozen
class ExchangeContext:
    """What all requests of one instance share.

    :param on_decision: told of decisions about one request, by name and fields.
    :param count_send: counts sends by kind, and sends that the budget denied.
    """

    clock: Clock
    timers: Timers
    sender: Sender
    endpoints: EndpointDirectory
    selector: ReplicaSelector
    latencies: RouteLatencies
    retry_budget: RetryBudget
    cold_start_limit: ColdStartLimit
    response_format: ResponseFormat
    on_decision: Callable[..., None]
    count_send: Callable[[str], None]
    rng: random.Random


def learn_from_failure(
    selector: ReplicaSelector, attempt: Attempt, failure: SendFailure, now_ms: float
) -> None:
    """Take what a failed send says about its endpoint."""
    identity = attempt.endpoint.identity
    if failure.ran is Ran.NO:
        selector.note_unreachable(identity, attempt.number, now_ms)
    else:
        selector.note_broken(identity, attempt.number, now_ms)


def learn_from_reply(
    selector: ReplicaSelector,
    latency: LatencyEstimator,
    expected_ms: float,
    attempt: Attempt,
    reply: EndpointResponse,
    now_ms: float,
) -> None:
    """Take what a response says about its endpoint and about the route's latency.

    :param latency: estimate of the request's route.
    :param expected_ms: typical latency when the request was sent.
    """
    identity = attempt.endpoint.identity
    if reply.load is not None:
        selector.note_load(identity, reply.load[0], reply.load[1], now_ms)
    if reply.misdirected:
        selector.note_unreachable(identity, attempt.number, now_ms)
        return
    if reply.ran is Ran.NO:
        selector.note_rejected(identity, attempt.number, now_ms)
        return
    failed = reply.status >= 500
    selector.note_answered(identity, attempt.number, expected_ms, failed, now_ms)
    if failed:
        return
    took_ms = now_ms - attempt.record.sent_ms
    latency.observe(took_ms, now_ms)
    if reply.load is None or not reply.load[1]:
        # Without a queue at the endpoint the latency is the time of the work.
        latency.observe_service_time(took_ms)
