"""Rates of false rollbacks, of missed bad versions and of exposure over the bound.

    PYTHONPATH=src:tests:tests/core/fleet python tests/benchmarks/rollout_rates.py [--seeds N]

Runs in simulated time (``tests/rolloutsim.py``) and prints one line for each kind of version and
rate of requests.
"""

import argparse

from test_rollout_bounds import BAD_VERSIONS, ORDER_MS, fail_partly

from persimmonspur.core.fleet.rollouts.orders import OrderState
from rolloutsim import SimFleet, is_in_time

RATES_PER_S = (5.0, 20.0, 60.0)
FIRST_SEED = 5_000
# Good versions are run this many times as often, since false rollbacks are rare.
GOOD_FACTOR = 3
# Requests of a service before its order, so that its latencies are known.
WARMUP_REQUESTS = 200


def main() -> None:
    """Print the rates."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=80)
    seeds = parser.parse_args().seeds
    versions = BAD_VERSIONS | {"fails in 15%": fail_partly(0.15)}
    for per_s in RATES_PER_S:
        failed = 0
        for index in range(GOOD_FACTOR * seeds):
            failed += not is_in_time(run(index, per_s, None), OrderState.SUCCEEDED)
        print(f"{per_s:.0f}/s good: {failed} of {GOOD_FACTOR * seeds} not succeeded", flush=True)
        for name, fault in versions.items():
            print(f"{per_s:.0f}/s {name}: {measure(seeds, per_s, fault)}", flush=True)


def measure(seeds, per_s, fault):
    """Return the rates of one kind of bad version."""
    missed = exceeded = late = 0
    worst = 0.0
    for index in range(seeds):
        fleet = run(index, per_s, fault)
        missed += not is_in_time(fleet, OrderState.ROLLED_BACK)
        exposure = fleet.count_exposed() / fleet.compute_allowed()
        exceeded += exposure > 1.0
        worst = max(worst, exposure)
        late += fleet.state is OrderState.ROLLED_BACK and bool(fleet.find_late_sends())
    return f"missed {missed} of {seeds}, over the bound {exceeded}, worst {worst:.2f}, late {late}"


def run(index, per_s, fault):
    """Return the fleet after one order."""
    fleet = SimFleet(FIRST_SEED + index, per_s, fault, None, ORDER_MS)
    fleet.order(warmup_ms=max(3_000.0, 1_000.0 * WARMUP_REQUESTS / per_s))
    fleet.run(ORDER_MS)
    return fleet


if __name__ == "__main__":
    main()
