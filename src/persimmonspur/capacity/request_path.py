"""CPU cost of queries in the coordinator core alone, without I/O."""

import time
from random import Random

from attrs import frozen

from persimmonspur.core.requests.actions import CoordinationAction, SendSubRequest
from persimmonspur.core.requests.coordination import Coordination, CoordinationContext
from persimmonspur.core.routing.view import RoutingView
from persimmonspur.errors import Ran
from persimmonspur.model.configuration import (
    KEY_SPACE_UNITS,
    Configuration,
    Endpoint,
    EndpointLimits,
    FailureDomain,
    PriorityClass,
    Service,
    Shard,
    ShardMap,
)
from persimmonspur.model.messages import EndpointStatus, SubReply
from persimmonspur.model.query import Query, SnapshotId

REPLICAS = 3
OWNERS = 15
DOMAINS = ("a", "b", "c")
RECORDS = 10
WARM_UP_QUERIES = 20


@frozen
class RequestPathCost:
    """CPU time per query.

    :param shards: sub-requests per query.
    :param start_us: time to pin, choose and build the sub-requests, in microseconds.
    :param replies_us: time to take all replies, merge and answer, in microseconds.
    """

    shards: int
    queries: int
    start_us: float
    replies_us: float

    @property
    def total_us(self) -> float:
        """CPU time per query in microseconds."""
        return self.start_us + self.replies_us


def measure_request_path(
    shards: int, queries: int = 300, policy: str = "expected_wait", seed: int = 1
) -> RequestPathCost:
    """Run queries that succeed at once through the coordinator core.

    :param queries: number of queries that are measured.
    :param policy: name of the choice policy.
    """
    context = _build_context(shards, policy, seed)
    started_ns = replied_ns = 0
    now_ms = 1_000.0
    for number in range(WARM_UP_QUERIES + queries):
        now_ms += 1.0
        query = Query("bench", "counter", 140.0, f"query-{number}", limit=RECORDS)
        before_ns = time.process_time_ns()
        run = Coordination(query, 0, context, now_ms)
        actions = run.start(now_ms)
        between_ns = time.process_time_ns()
        replies = _build_replies(actions)
        now_ms += 4.0
        received_ns = time.process_time_ns()
        for sender, reply in replies:
            context.view.observe_reply(reply, sender, now_ms)
            run.handle_reply(reply, now_ms)
        after_ns = time.process_time_ns()
        if not run.finished:
            raise RuntimeError(f"query {number} of {shards} shards did not finish")
        if number >= WARM_UP_QUERIES:
            started_ns += between_ns - before_ns
            replied_ns += after_ns - received_ns
    return RequestPathCost(
        shards, queries, started_ns / queries / 1_000, replied_ns / queries / 1_000
    )


def main() -> None:
    """Print the cost for 10 and for 62 shards."""
    for policy in ("expected_wait", "random"):
        for shards in (10, 62):
            cost = measure_request_path(shards, policy=policy)
            print(
                f"{policy} {shards} shards: {cost.total_us:.0f} us per query"
                f" (start {cost.start_us:.0f}, replies {cost.replies_us:.0f})"
            )


def _build_context(shards: int, policy: str, seed: int) -> CoordinationContext:
    service = _build_service(shards)
    domains = tuple(FailureDomain(name) for name in DOMAINS)
    classes = (PriorityClass("counter", 0, 1.0),)
    view = RoutingView()
    view.configure(Configuration("bench", domains, classes, (service,)))
    for index, (name, endpoint) in enumerate(view.endpoints.items()):
        endpoint.owner = f"owner-{index % OWNERS}"
        status = EndpointStatus(name, "warm", True, [SnapshotId(1, 1)], 0, 0, 4, 4.0)
        view.observe_status(status, endpoint.owner, 1_000.0)
    return CoordinationContext(view, "a", Random(seed), policy, early_rejection=True)


def _build_service(shards: int) -> Service:
    bounds = [KEY_SPACE_UNITS * index // shards for index in range(shards + 1)]
    parts = tuple(
        Shard(f"bench-s{index}", bounds[index], bounds[index + 1]) for index in range(shards)
    )
    endpoints = []
    for index, part in enumerate(parts):
        for replica in range(REPLICAS):
            name = f"bench-{index}-{replica}"
            endpoints.append(Endpoint(name, "bench", "127.0.0.1:1", DOMAINS[replica], (part.name,)))
    return Service("bench", EndpointLimits(4, 75, 6.0), (ShardMap(1, parts),), tuple(endpoints))


def _build_replies(actions: list[CoordinationAction]) -> list[tuple[str, SubReply]]:
    replies = []
    for action in actions:
        if not isinstance(action, SendSubRequest):
            continue
        request = action.request
        records = [
            {"id": f"{request.shard}-{index}", "score": float(index)} for index in range(RECORDS)
        ]
        reply = SubReply(
            request.id,
            request.endpoint,
            request.snapshot,
            records,
            None,
            "",
            Ran.YES,
            4.0,
            0,
            1,
            4,
            0.0,
        )
        replies.append((action.owner, reply))
    return replies


if __name__ == "__main__":
    main()
