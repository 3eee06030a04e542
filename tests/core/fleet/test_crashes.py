"""Requests that crash endpoints, and requests that are caught in such a crash."""

import pytest

from fleetsim import SimTier, make_gather_route, make_route
from persimmonspur.core.fleet.quarantine import QUARANTINE_CRASHES, Standing
from persimmonspur.core.fleet.routes import RequestKind


def crash_all(sim):
    """Let the endpoint of each running send crash until nothing more is sent."""
    crashed = 0
    while True:
        running = [send for send in sim.sender.sends if not send.ended]
        if not running:
            return crashed
        for send in running:
            if not send.ended:
                send.lose_connection()
                crashed += 1


def test_repetitions_of_a_request_that_crashes_endpoints_are_not_sent():
    # Guards against one request that crashes endpoint after endpoint.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    _, responses = sim.start(route)
    assert crash_all(sim) <= len(sim.services_of(route)) + QUARANTINE_CRASHES
    assert responses[0].status == 502
    sent = len(sim.sender.sends)
    _, responses = sim.start(route)
    assert len(sim.sender.sends) == sent
    assert responses[0].status == 503 and responses[0].outcome == "quarantined"


@pytest.mark.parametrize("kind", list(RequestKind))
def test_single_request_that_crashes_endpoints_is_sent_to_three_of_them(kind):
    sim = SimTier()
    route = make_route(kind=kind)
    sim.add_service("single", replicas=20)
    for _ in range(10):
        sim.start(route)
        crash_all(sim)
    assert len(sim.sender.sends) == QUARANTINE_CRASHES


def test_request_caught_in_a_crash_is_sent_again_as_soon_as_one_shard_answers():
    # Guards against sound requests that are lost with the one that crashes the endpoint.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    _, responses = sim.start(route)
    first = list(sim.sender.sends)
    for send in first[:4]:
        send.lose_connection()
    assert len(sim.sender.sends) == len(first) + 1
    first[4].reply()
    assert len(sim.sender.sends) == len(first) + 4
    for send in sim.sender.sends:
        send.reply()
    assert responses[0].status == 200 and responses[0].covered == len(first)
    assert not any(sim.quarantine.count().values())


def test_request_that_lost_all_shards_at_once_is_still_served():
    # Guards against rejecting sound requests when all endpoints that have them crash together.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    _, responses = sim.start(route)
    first = list(sim.sender.sends)
    for send in first:
        send.lose_connection()
    (trial,) = [send for send in sim.sender.sends if not send.ended]
    trial.reply()
    for send in sim.sender.sends:
        send.reply()
    assert responses[0].status == 200 and responses[0].covered == len(first)


def test_suspected_request_is_tried_at_one_endpoint_first():
    # Guards against a repetition at another instance that crashes an endpoint of each shard.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    exchange, _ = sim.start(route)
    sim.quarantine.record_crash(exchange._guard.fingerprint, "e-1", False)
    for send in sim.sender.sends:
        send.cancel()
    sim.sender.sends.clear()
    _, responses = sim.start(route)
    assert len(sim.sender.sends) == 1
    sim.sender.sends[0].reply()
    for send in sim.sender.sends:
        send.reply()
    assert responses[0].status == 200
    assert sim.quarantine.get_standing(exchange._guard.fingerprint) is Standing.UNSUSPECTED


def test_trial_that_shows_nothing_is_followed_by_the_next():
    # Guards against shards that wait for a trial that was rejected or timed out.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    sim.start(route)
    first = list(sim.sender.sends)
    for send in first:
        send.lose_connection()
    for _ in range(2):
        (trial,) = [send for send in sim.sender.sends if not send.ended]
        trial.fail(reason="no response in time")
    assert len([send for send in sim.sender.sends if not send.ended]) == 1


def test_suspected_request_is_not_hedged():
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    sim.start(route)
    sim.sender.sends[0].lose_connection()
    sim.timers.advance(0.8 * route.objective_ms)
    assert sim.counts["hedge"] == 0


def test_request_in_progress_ends_when_a_repetition_is_quarantined():
    # Guards against endpoints that crash although another instance knows the request already.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    exchange, responses = sim.start(route)
    _, sound = sim.start(route, target=b"/sound")
    deadly = [send for send in sim.sender.sends if send.request.target != b"/sound"]
    for index in range(QUARANTINE_CRASHES):
        sim.quarantine.record_crash(exchange._guard.fingerprint, f"e-{index}", True)
    exchange.end_if_quarantined()
    assert all(send.cancelled for send in deadly)
    assert responses[0].status == 502 and responses[0].outcome == "quarantined"
    assert sound == []


def test_peers_learn_of_a_request_in_progress_that_loses_endpoints():
    # Guards against repetitions that crash endpoints at a peer before the first one has ended.
    sim, peer = SimTier(), SimTier()
    route = make_gather_route()
    for tier in (sim, peer):
        tier.add_route_services(route)
    _, responses = sim.start(route)
    for send in sim.sender.sends[:3]:
        send.lose_connection()
    assert responses == []
    peer.quarantine.merge(sim.quarantine.select_shared(1))
    peer.start(route)
    assert len(peer.sender.sends) == 1
