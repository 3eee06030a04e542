"""Bounds of rollouts over hundreds of seeds in simulated time; prints the rates of errors."""

import pytest

from persimmonspur.core.fleet.rollouts.orders import OrderState
from rolloutsim import SimFleet, is_in_time

SEEDS = 20
# Requests per second to a service that is a shard of a gather, in turn.
RATES = (20.0, 30.0, 40.0, 50.0, 60.0)
ORDER_MS = 12_000.0


def fail_partly(rate, status=500, factor=1.0, since_ms=0.0, route=None, load=0.0):
    """Return a fault of a part of the responses.

    :param load: share of the service's requests from which on an endpoint is faulty.
    """

    def fault(fleet, request_route, elapsed_ms, arrivals_per_s):
        if elapsed_ms < since_ms or (route is not None and request_route != route):
            return None
        if arrivals_per_s < load * fleet.per_s:
            return None
        return (status, factor) if fleet.rng.random() < rate else None

    return fault


BAD_VERSIONS = {
    "fails": fail_partly(1.0),
    "fails partly": fail_partly(0.4),
    "slow": fail_partly(1.0, 200, 4.0),
    "slow partly": fail_partly(0.5, 200, 6.0),
    "fails later": fail_partly(0.5, since_ms=5_000.0),
    "fails during the shift": fail_partly(0.6, since_ms=8_700.0),
    "fails late in the shift": fail_partly(0.6, since_ms=9_200.0),
    "fails on one route": fail_partly(0.8, route="r1"),
    "fails under load": fail_partly(0.6, load=0.2),
}


def run(seed, per_s, fault=None, shared=None):
    fleet = SimFleet(seed, per_s, fault, shared, ORDER_MS)
    fleet.order()
    fleet.run(ORDER_MS)
    return fleet


@pytest.mark.parametrize("name", BAD_VERSIONS)
def test_bad_version_gets_few_requests(name):
    # Guards against a bad version that reaches more clients than the bound allows.
    missed = 0
    worst = 0.0
    for seed in range(SEEDS):
        fleet = run(seed, RATES[seed % len(RATES)], BAD_VERSIONS[name])
        missed += not is_in_time(fleet, OrderState.ROLLED_BACK)
        worst = max(worst, fleet.count_exposed() / fleet.compute_allowed())
        assert fleet.count_exposed() <= fleet.compute_allowed(), seed
        if fleet.state is OrderState.ROLLED_BACK:
            assert not fleet.find_late_sends(), seed
    print(f"{name}: missed {missed} of {SEEDS}, exposure up to {worst:.2f} of the bound")
    assert missed <= 0.1 * SEEDS


def test_good_version_takes_over_in_time():
    # Guards against false rollbacks, and against an order that is not finished in its time.
    seeds = 3 * SEEDS
    failed = 0
    for seed in range(seeds):
        fleet = run(seed, RATES[seed % len(RATES)])
        failed += not is_in_time(fleet, OrderState.SUCCEEDED)
    print(f"good: {failed} of {seeds} not succeeded in time")
    assert failed <= 0.05 * seeds


@pytest.mark.parametrize("begin_ms", [1_500.0, 4_000.0, 7_000.0, 8_600.0])
def test_cause_that_both_versions_share_rolls_nothing_back(begin_ms):
    # Guards against a rollback because of a failure that the old version has as well.
    def shared(fleet, elapsed_ms):
        if not begin_ms <= elapsed_ms < begin_ms + 1_200.0:
            return None
        return (500, 1.0) if fleet.rng.random() < 0.5 else (200, 5.0)

    failed = 0
    for seed in range(SEEDS):
        failed += not is_in_time(run(seed, 40.0, shared=shared), OrderState.SUCCEEDED)
    print(f"shared cause at {begin_ms:.0f} ms: {failed} of {SEEDS} not succeeded in time")
    assert failed <= 0.1 * SEEDS


def test_service_with_few_requests():
    # Guards against an order that ends without any request to the new version.
    missed = failed = 0
    for seed in range(SEEDS):
        missed += not is_in_time(run(seed, 4.0, fail_partly(0.9)), OrderState.ROLLED_BACK)
        failed += not is_in_time(run(seed, 4.0), OrderState.SUCCEEDED)
    print(f"4/s: missed {missed} bad and rolled back {failed} good versions of {SEEDS} each")
    assert missed <= 0.1 * SEEDS and failed <= 0.1 * SEEDS
