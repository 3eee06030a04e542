"""Benchmark of the processor time per query in the coordinator core, without I/O."""

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

REPLICAS_PER_SHARD = 3
OWNER_COUNT = 15
FAILURE_DOMAINS = ("a", "b", "c")
RECORDS_PER_REPLY = 10
WARMUP_QUERIES = 20


@frozen
class RequestPathCost:
    """Processor time per query.

    :param shards: sub-requests per query.
    :param start_us: time to pin a snapshot, choose replicas and build the sub-requests.
    :param replies_us: time to handle all replies, merge them and build the result.
    """

    shards: int
    queries: int
    start_us: float
    replies_us: float

    @property
    def total_us(self) -> float:
        """Total processor time per query in microseconds."""
        return self.start_us + self.replies_us


def measure_request_path(
    shards: int, queries: int = 300, policy: str = "expected_wait", seed: int = 1
) -> RequestPathCost:
    """Run queries whose sub-requests all succeed through the coordinator core.

    :param queries: number of measured queries.
    :param policy: name of the choice policy.
    """
    context = _build_context(shards, policy, seed)
    total_start_ns = total_replies_ns = 0
    now_ms = 1_000.0
    for number in range(WARMUP_QUERIES + queries):
        now_ms += 1.0
        query = Query("bench", "counter", 140.0, f"query-{number}", limit=RECORDS_PER_REPLY)
        start_begin_ns = time.process_time_ns()
        coordination = Coordination(query, 0, context, now_ms)
        actions = coordination.start(now_ms)
        start_end_ns = time.process_time_ns()
        replies = _build_replies(actions)
        now_ms += 4.0
        replies_begin_ns = time.process_time_ns()
        for owner, reply in replies:
            context.view.observe_reply(reply, owner, now_ms)
            coordination.handle_reply(reply, now_ms)
        replies_end_ns = time.process_time_ns()
        if not coordination.finished:
            raise RuntimeError(f"query {number} of {shards} shards did not finish")
        if number >= WARMUP_QUERIES:
            total_start_ns += start_end_ns - start_begin_ns
            total_replies_ns += replies_end_ns - replies_begin_ns
    return RequestPathCost(
        shards, queries, total_start_ns / queries / 1_000, total_replies_ns / queries / 1_000
    )


def main() -> None:
    """Print the cost of queries over 10 and over 62 shards."""
    for policy in ("expected_wait", "random"):
        for shards in (10, 62):
            cost = measure_request_path(shards, policy=policy)
            print(
                f"{policy} {shards} shards: {cost.total_us:.0f} us per query"
                f" (start {cost.start_us:.0f}, replies {cost.replies_us:.0f})"
            )


def _build_context(shard_count: int, policy: str, seed: int) -> CoordinationContext:
    service = _build_service(shard_count)
    domains = tuple(FailureDomain(name) for name in FAILURE_DOMAINS)
    classes = (PriorityClass("counter", 0, 1.0),)
    view = RoutingView()
    view.configure(Configuration("bench", domains, classes, (service,)))
    for index, (name, endpoint) in enumerate(view.endpoints.items()):
        endpoint.owner = f"owner-{index % OWNER_COUNT}"
        status = EndpointStatus(name, "warm", True, [SnapshotId(1, 1)], 0, 0, 4, 4.0)
        view.observe_status(status, endpoint.owner, 1_000.0)
    return CoordinationContext(view, "a", Random(seed), policy, early_rejection=True)


def _build_service(shard_count: int) -> Service:
    bounds = [KEY_SPACE_UNITS * index // shard_count for index in range(shard_count + 1)]
    shards = tuple(
        Shard(f"bench-s{index}", bounds[index], bounds[index + 1]) for index in range(shard_count)
    )
    endpoints = []
    for index, shard in enumerate(shards):
        for replica in range(REPLICAS_PER_SHARD):
            name = f"bench-{index}-{replica}"
            endpoints.append(
                Endpoint(name, "bench", "127.0.0.1:1", FAILURE_DOMAINS[replica], (shard.name,))
            )
    return Service("bench", EndpointLimits(4, 75, 6.0), (ShardMap(1, shards),), tuple(endpoints))


def _build_replies(actions: list[CoordinationAction]) -> list[tuple[str, SubReply]]:
    replies = []
    for action in actions:
        if not isinstance(action, SendSubRequest):
            continue
        request = action.request
        records = [
            {"id": f"{request.shard}-{index}", "score": float(index)}
            for index in range(RECORDS_PER_REPLY)
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
