"""Policies that choose among the replicas of a shard."""

from collections.abc import Callable, Collection, Sequence
from math import sqrt
from random import Random

from attrs import define

from persimmonspur.core.routing.outliers import count_ejectable
from persimmonspur.core.routing.view import EndpointView, RoutingView
from persimmonspur.model.query import SnapshotId
from persimmonspur.registry import Registry

WAIT_JITTER_RATIO = 0.2
# A reported queue is worked off while it ages, but others add to it. With 0.5 the simulated
# fault-cold_with_free_slots p99 was 12.9 ms, with 0.1 it was 11.1 ms (tests/simulation.py, 40% load).
QUEUE_DRAIN_RATE = 0.1
SUSPECTED_OWNER_PENALTY_MS = 200.0
# Endpoints that look slow get this share of the work, so that their recovery is seen.
EXPLORATION_PROBABILITY = 0.001
# A cold endpoint with a cold_with_free_slots slot gets this share of its shard's work, so that it warms up.
COLD_ENDPOINT_PROBABILITY = 0.05


@define
class ChoiceContext:
    """What a choice depends on besides the replicas.

    :param failure_domain: the coordinator's, preferred by a small margin.
    """

    view: RoutingView
    failure_domain: str
    rng: Random
    now_ms: float = 0.0


ChoicePolicy = Callable[[Sequence[EndpointView], ChoiceContext], EndpointView | None]

CHOICE_POLICIES: Registry[ChoicePolicy] = Registry("choice policy")


def find_usable(
    replicas: Collection[EndpointView], snapshot: SnapshotId, excluded: Collection[str]
) -> list[EndpointView]:
    """Return the replicas that can serve a snapshot now.

    :param excluded: names of endpoints that were tried.
    """
    usable = []
    for view in replicas:
        if not view.ready or snapshot not in view.snapshots:
            continue
        if excluded and view.endpoint.name in excluded:
            continue
        usable.append(view)
    return usable


def filter_for_first_attempt(
    usable: list[EndpointView], replicas: int, context: ChoiceContext
) -> list[EndpointView]:
    """Return the replicas that may get a first sub-request.

    Cold endpoints get a small share while they have a cold_with_free_slots slot, and more
    only if no warm replica is left.

    :param replicas: all replicas of the shard.
    """
    now_ms = context.now_ms
    not_ejected = exclude_ejected(usable, replicas, now_ms)
    warm = [view for view in not_ejected if view.warm]
    cold_with_free_slots = [
        view for view in not_ejected if not view.warm and view.count_free_slots() > 0
    ]
    if cold_with_free_slots and (not warm or context.rng.random() < COLD_ENDPOINT_PROBABILITY):
        return cold_with_free_slots
    return warm or not_ejected


def filter_for_redirect(
    usable: list[EndpointView], replicas: int, now_ms: float
) -> list[EndpointView]:
    """Return the replicas that may get hedges, retries and redirected work.

    :param replicas: all replicas of the shard.
    """
    return [view for view in exclude_ejected(usable, replicas, now_ms) if view.warm]


def exclude_ejected(usable: list[EndpointView], replicas: int, now_ms: float) -> list[EndpointView]:
    """Return the replicas without those that are ejected, as far as the bound allows.

    :param replicas: all replicas of the shard.
    """
    ejected = [view for view in usable if view.ejected_until_ms > now_ms]
    if not ejected:
        return usable
    ejected.sort(key=lambda view: view.ejected_until_ms, reverse=True)
    removed = ejected[: count_ejectable(replicas, len(usable))]
    return [view for view in usable if view not in removed]


@CHOICE_POLICIES.register("random")
def choose_random(replicas: Sequence[EndpointView], context: ChoiceContext) -> EndpointView | None:
    """ChoicePolicy any replica; the naive baseline."""
    if not replicas:
        return None
    return context.rng.choice(replicas)


@CHOICE_POLICIES.register("expected_wait")
def choose_expected_wait(
    replicas: Sequence[EndpointView], context: ChoiceContext
) -> EndpointView | None:
    """ChoicePolicy the replica with the lowest expected wait.

    All coordinators see the same statuses. Each therefore counts every
    sub-request that it sent since the latest figures several times, as the
    others probably did the same; otherwise all of them would send to the same
    replica until its next status. The square root of their number is enough
    to spread the work, and too little to make a straggler look attractive.
    """
    random = context.rng.random
    if not replicas:
        return None
    if random() < EXPLORATION_PROBABILITY:
        return context.rng.choice(replicas)
    now_ms = context.now_ms
    domain = context.failure_domain
    coordinator_factor = sqrt(context.view.coordinator_count)
    best: EndpointView | None = None
    best_ms = 0.0
    for view in replicas:
        wait_ms = view.base_reply_ms
        queue_wait_ms = (
            view.queue_wait_ms + view.sent_since_report * coordinator_factor * view.per_request_ms
        )
        queue_wait_ms -= QUEUE_DRAIN_RATE * (now_ms - view.reported_at_ms)
        if queue_wait_ms > 0:
            wait_ms += queue_wait_ms
        if view.endpoint.failure_domain != domain:
            wait_ms += view.remote_penalty_ms
        if view.owner_view.suspected:
            wait_ms += SUSPECTED_OWNER_PENALTY_MS
        wait_ms *= 1 + WAIT_JITTER_RATIO * random()
        if best is None or wait_ms < best_ms:
            best, best_ms = view, wait_ms
    return best


def estimate_reply_time(view: EndpointView, now_ms: float) -> float:
    """Return the expected time until an endpoint's reply, in milliseconds."""
    queue_wait_ms = view.queue_wait_ms + view.sent_since_report * view.per_request_ms
    queue_wait_ms -= QUEUE_DRAIN_RATE * (now_ms - view.reported_at_ms)
    return view.base_reply_ms + max(0.0, queue_wait_ms)
