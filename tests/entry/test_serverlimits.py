import resource

from attrs import evolve

from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.features import NO_FEATURES
from persimmonspur.entry.requests import estimate_largest_request
from persimmonspur.entry.serverlimits import (
    CALLER_SHARE,
    FILE_DESCRIPTORS,
    MAX_DESCRIPTORS,
    OPERATIONS_SHARE,
    PEER_SHARE,
    build_request_memory,
    build_server_limits,
)

SMALL = ClientLimits(100, 100)
FLOOR = 2 * estimate_largest_request(SMALL)


class Holder:
    def __init__(self, budget, evictable=True):
        self.budget = budget
        self.evictable = evictable
        self.evicted = False

    def evict(self):
        self.evicted = True
        self.budget.update(self, 0)


def test_connection_that_takes_most_is_refused_first():
    # Guards against ordinary clients that are refused because others take all memory.
    budget = build_request_memory(FLOOR, lambda: SMALL)
    small, large, other = Holder(budget), Holder(budget), Holder(budget)
    budget.update(small, FLOOR // 10)
    budget.update(large, FLOOR // 2)
    budget.update(other, FLOOR // 4)
    assert not large.evicted
    budget.update(small, FLOOR // 3)
    assert large.evicted and not small.evicted and not other.evicted
    assert budget.used_bytes == FLOOR // 3 + FLOOR // 4


def test_requests_that_run_are_not_refused():
    # Guards against a refusal, which promises that nothing ran, of a request that runs.
    budget = build_request_memory(FLOOR, lambda: SMALL)
    running, new = Holder(budget, evictable=False), Holder(budget)
    budget.update(running, FLOOR)
    budget.update(new, 100)
    assert new.evicted and not running.evicted
    budget.update(running, 0)
    budget.update(new, 100)
    assert budget.used_bytes == 100


def test_many_evictions_at_once_do_not_recurse():
    # Guards against an error of the recursion limit when hundreds of connections are refused.
    budget = build_request_memory(10 * FLOOR, lambda: SMALL)
    holders = [Holder(budget) for _ in range(5_000)]
    for holder in holders:
        budget.update(holder, FLOOR // 500)
    running = Holder(budget, evictable=False)
    budget.update(running, 10 * FLOOR)
    assert all(holder.evicted for holder in holders)
    assert budget.used_bytes == 10 * FLOOR


def test_budget_has_room_for_the_largest_legal_requests():
    # Guards against a machine so small that a single legal request is refused.
    budget = build_request_memory(1, lambda: SMALL)
    holders = [Holder(budget) for _ in range(2)]
    for holder in holders:
        budget.update(holder, estimate_largest_request(SMALL))
    assert not any(holder.evicted for holder in holders)


def test_limits_follow_from_the_machine():
    features = evolve(NO_FEATURES, memory_mb=160.0, max_fds=1_000)
    limits = build_server_limits(CALLER_SHARE, features, lambda: SMALL)
    assert limits.memory.budget_bytes == 30_000_000
    assert limits.max_connections == 350


def test_limit_of_the_system_counts_if_it_is_lower():
    # Guards against a bound on connections that the process can never reach.
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    for max_fds in (0, 10_000_000):
        features = evolve(NO_FEATURES, max_fds=max_fds)
        limits = build_server_limits(CALLER_SHARE, features, lambda: SMALL)
        allowed = min(MAX_DESCRIPTORS, soft_limit) - FILE_DESCRIPTORS
        assert limits.max_connections == int(allowed * CALLER_SHARE.connections)


def test_shares_of_one_machine_leave_room_for_the_process_itself():
    # The addresses of a process: callers, peers, readiness, directory and metrics.
    shares = [CALLER_SHARE, PEER_SHARE, *[OPERATIONS_SHARE] * 3]
    assert sum(share.memory for share in shares) <= 0.25 + 1e-9
    assert sum(share.connections for share in shares) < 1.0
