"""Compares the routing policies with a naive baseline in a simulation.

The bounds are those of section 1.7 of the design.
"""

from functools import cache

import pytest

from persimmonspur.core.requests.actions import SubRequestKind
from simulation import Simulation, build_service

SHARDS = 4
# Queries per second: 24 slots, 4 ms per sub-request and four sub-requests per query.
CAPACITY = 1_500.0
SEEDS = (1, 2, 3)


@cache
def simulate(policy, load, seed, stragglers=False, batch_rate=0.0, seconds=2.0):
    simulation = Simulation(build_service(SHARDS), policy, seed=seed, naive=policy == "random")
    if stragglers:
        for index in range(SHARDS):
            simulation.endpoints[f"s{index}-r{index % 3}"].slowdown = 10.0
    simulation.offer("counter", load * CAPACITY, seconds)
    if batch_rate:
        simulation.offer("batch", batch_rate, seconds, work_ms=40.0, timeout_ms=2_000.0)
    return simulation.run()


def average(values):
    values = list(values)
    return sum(values) / len(values)


def get_p99(policy, load, **options):
    return average(simulate(policy, load, seed, **options)["counter"].get_p99() for seed in SEEDS)


def get_goodput(policy, load):
    return average(simulate(policy, load, seed)["counter"].complete for seed in SEEDS)


def list_extra_load_ratios(**options):
    ratios = []
    for seed in SEEDS:
        kinds = simulate("expected_wait", 0.4, seed, **options)["counter"].kinds
        extras = kinds.get(SubRequestKind.HEDGE, 0) + kinds.get(SubRequestKind.RETRY, 0)
        ratios.append(extras / kinds[SubRequestKind.FIRST])
    return ratios


def test_one_straggler_per_shard_raises_the_p99_by_at_most_a_quarter():
    # The stragglers reduce the capacity by a third, so the load rises from 30% to 45%.
    fault_free_ms = get_p99("expected_wait", 0.3)
    assert get_p99("expected_wait", 0.3, stragglers=True) <= 1.25 * fault_free_ms
    assert get_p99("random", 0.3, stragglers=True) > 3 * fault_free_ms


def test_stragglers_cause_no_failures():
    for seed in SEEDS:
        result = simulate("expected_wait", 0.3, seed, stragglers=True)["counter"]
        assert result.failures == {}


@pytest.mark.parametrize(("stragglers", "most"), [(False, 0.03), (True, 0.05)])
def test_extra_load_is_limited(stragglers, most):
    assert max(list_extra_load_ratios(stragglers=stragglers)) <= most


def test_goodput_does_not_fall_at_one_and_a_half_times_capacity():
    at_capacity = get_goodput("expected_wait", 1.0)
    assert get_goodput("expected_wait", 1.5) >= 0.95 * at_capacity
    assert get_goodput("random", 1.5) < 0.5 * at_capacity


def test_counter_queries_are_served_while_batch_queries_saturate_the_endpoints():
    for seed in SEEDS:
        mixed = simulate("expected_wait", 0.3, seed, batch_rate=120.0)
        assert sum(mixed["counter"].failures.values()) <= 0.01 * mixed["counter"].complete
        assert mixed["batch"].complete > 0
    naive_ms = get_p99("random", 0.3, batch_rate=120.0)
    assert get_p99("expected_wait", 0.3, batch_rate=120.0) < 0.8 * naive_ms
