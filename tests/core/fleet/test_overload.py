"""Responses to clients under load close to the capacity of the endpoints and beyond it.

Three instances share ten shards with three replicas of three slots each. A request occupies
a slot for about 14 ms, so the replicas of a shard together serve about 630 requests per
second. Clients retry once, after the delay given in the rejection.
"""

import pytest

from fleetsim import LoadSimulation, SimTier, make_gather_route, make_route

CAPACITY_PER_S = 630
WARM_UP_MS = 1_500
RUN_MS = 2_500


def simulate_load(per_s, seed):
    route = make_gather_route(shards=10, objective_ms=145.0, timeout_ms=1_200.0)
    simulation = LoadSimulation(route, seed=seed)
    simulation.run(100, WARM_UP_MS)
    since_ms = simulation.clock.now_ms()
    simulation.run(per_s, RUN_MS)
    simulation.timers.advance(2_000)
    return simulation, since_ms


def test_load_near_capacity_is_served_in_time():
    # Guards against hedges that take the slots that waiting requests need.
    simulation, since_ms = simulate_load(600, seed=1)
    assert simulation.compute_mean_value(since_ms) >= 0.95


@pytest.mark.parametrize("per_s", [700, 900])
def test_overload_loses_little_more_than_the_load_above_capacity(per_s):
    # Guards against queues that grow until every response is late.
    simulation, since_ms = simulate_load(per_s, seed=1)
    assert simulation.compute_mean_value(since_ms) >= 0.7 * CAPACITY_PER_S / per_s


def test_rejection_of_a_full_service_gives_a_retry_delay():
    sim = SimTier()
    route = make_route(objective_ms=100.0)
    sim.add_service("single", replicas=1)
    all_responses = []
    for _ in range(60):
        _, responses = sim.start(route)
        all_responses += responses
    assert {response.outcome for response in all_responses} == {"full"}
    waits = [float(dict(response.headers)[b"Retry-After"]) for response in all_responses]
    assert min(waits) >= 100.0
    assert len(set(waits)) > len(waits) / 2


def test_request_is_refused_before_any_shard_gets_it():
    # Guards against work for a response that cannot reach its minimum share of shards.
    sim = SimTier()
    route = make_gather_route(shards=10, min_share=0.89)
    sim.add_route_services(route, replicas=1)
    for service in route.gather.shards[:2]:
        for attempt in range(60):
            sim.selector.record_sent(sim.get_lifetime(f"{service}-0"), -attempt, sim.clock.now_ms())
    _, responses = sim.start(route)
    assert (responses[0].status, responses[0].outcome) == (503, "full")
    assert sim.sender.sends == []
