"""Limits that endpoints name, at one instance and summed over several."""

import pytest

from fleetsim import LoadSimulation, SimTier, make_gather_route, make_route
from persimmonspur.core.fleet.ratelimit import EndpointRateLimit
from persimmonspur.errors import Ran

# Bound of the platform: requests that an endpoint may get in any window, beyond its limit.
WINDOW_MS = 4_000.0
OVERSHOOT = 1.5
SLACK = 5
# Time after which the bound holds.
STABILITY_WINDOW_MS = 4_000.0


def find_busiest_window(times_ms, since_ms):
    times_ms = [time_ms for time_ms in times_ms if time_ms >= since_ms]
    busiest = 0
    first = 0
    for index, time_ms in enumerate(times_ms):
        while times_ms[first] <= time_ms - WINDOW_MS:
            first += 1
        busiest = max(busiest, index - first + 1)
    return busiest


@pytest.mark.parametrize("rate_per_s", [0.0, 0.7, 9.8, 40.0])
def test_limited_endpoint_gets_no_more_than_it_names(rate_per_s):
    # Guards against an endpoint in trouble that gets as many requests as before.
    route = make_gather_route(shards=10, objective_ms=145.0, timeout_ms=1_200.0)
    simulation = LoadSimulation(route, instances=4)
    for sim in simulation.sims:
        sim.rate_limit.sharing_instances = 4
    limited = [simulation.models["shard-0-0"], simulation.models["shard-0-1"]]
    simulation.run(100, 500)
    for model in limited:
        model.rate_limit_per_s = rate_per_s
    named_ms = simulation.clock.now_ms()
    simulation.run(100, 16_000)
    simulation.timers.advance(2_000)
    allowed = OVERSHOOT * rate_per_s * WINDOW_MS / 1_000 + SLACK
    for model in limited:
        assert find_busiest_window(model.arrivals_ms, named_ms + STABILITY_WINDOW_MS) <= allowed
    assert simulation.compute_mean_value(named_ms) >= 0.95


def test_limit_ends_with_a_response_without_one():
    limit = EndpointRateLimit()
    limit.record_response("e", 1.0, Ran.YES, 0.0, 10.0)
    assert not limit.allows("e", 1_009.0)
    limit.record_response("e", None, Ran.YES, 20.0, 1_009.0)
    assert limit.allows("e", 1_009.0)


def test_response_to_an_earlier_request_does_not_end_a_limit():
    # Guards against a limit that is lost because responses arrive out of order.
    limit = EndpointRateLimit()
    limit.record_response("e", 1.0, Ran.YES, 0.0, 10.0)
    limit.record_response("e", None, Ran.YES, 9.0, 30.0)
    assert not limit.allows("e", 40.0)


def test_rejection_does_not_end_a_limit():
    # Guards against an endpoint that gets more requests the more it rejects.
    limit = EndpointRateLimit()
    limit.record_response("e", 1.0, Ran.YES, 0.0, 10.0)
    limit.record_response("e", None, Ran.NO, 20.0, 30.0)
    assert not limit.allows("e", 40.0)


def test_endpoint_that_takes_nothing_is_still_asked_now_and_then():
    # Guards against an endpoint that stays unused because nobody learns that its limit ended.
    limit = EndpointRateLimit()
    limit.sharing_instances = 4
    limit.record_response("e", 0.0, Ran.YES, 0.0, 0.0)
    assert not limit.allows("e", 4_000.0)
    assert limit.allows("e", 8_000.0)


def test_request_that_is_not_sent_does_not_count_towards_a_limit():
    # Guards against requests that use up the limit of an endpoint without reaching it.
    sim = SimTier()
    route = make_gather_route(shards=2, min_share=1.0)
    sim.add_service("shard-0", replicas=1)
    sim.rate_limit.record_response(
        sim.get_lifetime("shard-0-0"), 1.0, Ran.YES, 0.0, sim.clock.now_ms()
    )
    sim.timers.advance(1_000)
    _, responses = sim.start(route)
    assert responses[0].status == 503
    sim.add_service("shard-1", replicas=1)
    sim.start(route)
    assert [send.endpoint.identity for send in sim.sender.sends] == ["shard-0-0", "shard-1-0"]


def test_request_is_rejected_at_once_if_all_endpoints_reached_their_limit():
    sim = SimTier()
    sim.add_service("single", replicas=1)
    sim.rate_limit.record_response(
        sim.get_lifetime("single-0"), 1.0, Ran.YES, 0.0, sim.clock.now_ms()
    )
    _, responses = sim.start(make_route())
    assert (responses[0].status, responses[0].outcome) == (503, "full")
    assert sim.sender.sends == []
