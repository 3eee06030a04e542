"""Load-balancing policies that choose among the replicas of a shard."""

from collections.abc import Callable, Collection, Sequence
from math import sqrt
from random import Random

from attrs import define

from persimmonspur.core.routing.outliers import count_ejectable
from persimmonspur.core.routing.view import EndpointView, RoutingView
from persimmonspur.model.query import SnapshotId
from persimmonspur.registry import Registry

WAIT_JITTER_RATIO = 0.2
# Milliseconds of queue wait assumed to drain per millisecond since the last report. Other
# coordinators refill the queue meanwhile: at 0.5 the simulated fault-free p99 is 12.9 ms, at 0.1
# it is 11.1 ms (tests/simulation.py, 40% load).
QUEUE_DRAIN_RATE = 0.1
SUSPECTED_OWNER_PENALTY_MS = 200.0
# Chance of choosing a random replica, which detects the recovery of endpoints that looked slow.
EXPLORATION_PROBABILITY = 0.001
# Chance of sending to a cold endpoint that has a free slot, so that it warms up.
COLD_ENDPOINT_PROBABILITY = 0.05


@define
class ChoiceContext:
    """Inputs of a choice policy other than the replicas.

    :param failure_domain: failure domain of the coordinator; replicas in it are slightly preferred.
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
    """Return the replicas that are ready and hold a snapshot.

    :param excluded: names of endpoints that were already tried.
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
    usable: list[EndpointView], replica_count: int, context: ChoiceContext
) -> list[EndpointView]:
    """Return the replicas that a first sub-request may be sent to.

    Cold endpoints receive a small share of the requests while they have a
    free slot. They receive more only if no warm replica is left.

    :param replica_count: number of all replicas of the shard.
    """
    now_ms = context.now_ms
    not_ejected = exclude_ejected(usable, replica_count, now_ms)
    warm = [view for view in not_ejected if view.warm]
    cold_with_free_slots = [
        view for view in not_ejected if not view.warm and view.count_free_slots() > 0
    ]
    if cold_with_free_slots and (not warm or context.rng.random() < COLD_ENDPOINT_PROBABILITY):
        return cold_with_free_slots
    return warm or not_ejected


def filter_for_further_attempt(
    usable: list[EndpointView], replica_count: int, now_ms: float
) -> list[EndpointView]:
    """Return the warm replicas, which are preferred for hedges, retries and placements.

    Ejected replicas are excluded.

    :param replica_count: number of all replicas of the shard.
    """
    return [view for view in exclude_ejected(usable, replica_count, now_ms) if view.warm]


def exclude_ejected(
    usable: list[EndpointView], replica_count: int, now_ms: float
) -> list[EndpointView]:
    """Remove ejected replicas, up to the limit of :func:`count_ejectable`.

    The replicas whose ejection ends last are removed first.

    :param replica_count: number of all replicas of the shard.
    """
    ejected = [view for view in usable if view.ejected_until_ms > now_ms]
    if not ejected:
        return usable
    ejected.sort(key=lambda view: view.ejected_until_ms, reverse=True)
    removed = ejected[: count_ejectable(replica_count, len(usable))]
    return [view for view in usable if view not in removed]


@CHOICE_POLICIES.register("random")
def choose_random(replicas: Sequence[EndpointView], context: ChoiceContext) -> EndpointView | None:
    """Choose a random replica; the baseline that other policies are compared with."""
    if not replicas:
        return None
    return context.rng.choice(replicas)


@CHOICE_POLICIES.register("expected_wait")
def choose_expected_wait(
    replicas: Sequence[EndpointView], context: ChoiceContext
) -> EndpointView | None:
    """Choose the replica with the lowest expected time to reply.

    All coordinators see the same statuses and would all send to the same
    replica until its next status (herding). To spread the load, a coordinator
    multiplies the number of its own sub-requests since the last report by a
    factor that stands for those of the others. The factor is the square root
    of the number of coordinators, which is enough to spread the load and too
    little to make a straggler look attractive.
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
        reply_ms = view.base_reply_ms
        queue_wait_ms = (
            view.queue_wait_ms + view.sent_since_report * coordinator_factor * view.per_request_ms
        )
        queue_wait_ms -= QUEUE_DRAIN_RATE * (now_ms - view.reported_at_ms)
        if queue_wait_ms > 0:
            reply_ms += queue_wait_ms
        if view.endpoint.failure_domain != domain:
            reply_ms += view.remote_penalty_ms
        if view.owner_view.suspected:
            reply_ms += SUSPECTED_OWNER_PENALTY_MS
        reply_ms *= 1 + WAIT_JITTER_RATIO * random()
        if best is None or reply_ms < best_ms:
            best, best_ms = view, reply_ms
    return best


def estimate_reply_time(view: EndpointView, now_ms: float) -> float:
    """Return the expected time from sending a sub-request to its reply, in milliseconds."""
    queue_wait_ms = view.queue_wait_ms + view.sent_since_report * view.per_request_ms
    queue_wait_ms -= QUEUE_DRAIN_RATE * (now_ms - view.reported_at_ms)
    return view.base_reply_ms + max(0.0, queue_wait_ms)
