"""Policies that choose among the replicas of a shard."""

from collections.abc import Callable, Collection
from random import Random

from persimmonspur.core.routing.view import EndpointView
from persimmonspur.model.query import SnapshotId
from persimmonspur.registry import Registry

Choose = Callable[[Collection[EndpointView], str, Random], EndpointView | None]

CHOICE_POLICIES: Registry[Choose] = Registry("choice policy")


def find_usable(
    replicas: Collection[EndpointView], snapshot: SnapshotId, excluded: Collection[str]
) -> list[EndpointView]:
    """Return the replicas that can serve a snapshot now.

    :param excluded: names of endpoints that were tried.
    """
    usable = []
    for view in replicas:
        if view.status is None or not view.status.usable or not view.owner:
            continue
        if view.endpoint.name in excluded or snapshot not in view.status.snapshots:
            continue
        usable.append(view)
    return usable


@CHOICE_POLICIES.register("random")
def choose_random(
    replicas: Collection[EndpointView], failure_domain: str, rng: Random
) -> EndpointView | None:
    """Choose any replica; the naive baseline."""
    if not replicas:
        return None
    return rng.choice(list(replicas))


@CHOICE_POLICIES.register("expected_wait")
def choose_expected_wait(
    replicas: Collection[EndpointView], failure_domain: str, rng: Random
) -> EndpointView | None:
    """Choose the replica with the lowest expected wait.

    :param failure_domain: the coordinator's, preferred by a small margin.
    """
    best: EndpointView | None = None
    best_wait_ms = 0.0
    for view in replicas:
        wait_ms = _estimate_wait(view, failure_domain) * (1 + 0.05 * rng.random())
        if best is None or wait_ms < best_wait_ms:
            best, best_wait_ms = view, wait_ms
    return best


def _estimate_wait(view: EndpointView, failure_domain: str) -> float:
    status = view.status
    if status is None:
        return float("inf")
    waiting = status.queue + status.running + view.outstanding
    wait_ms = status.service_ms * (1 + waiting / max(1, status.limit))
    if view.endpoint.failure_domain == failure_domain:
        wait_ms *= 0.9
    return wait_ms
