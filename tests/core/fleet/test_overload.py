"""What callers get when the load comes near to what the endpoints can do, and beyond it.

Three instances share ten shards of three replicas with three slots each; a request takes
about 14 ms of a slot. All replicas of a shard together serve about 630 requests a second.
Callers retry once, after the time that a refusal names.
"""

import pytest

from fleetsim import LoadPlay, SimTier, make_gather_route, make_route

CAPACITY_PER_S = 630
WARM_UP_MS = 1_500
PLAY_MS = 2_500


def play_load(per_s, seed):
    route = make_gather_route(shards=10, objective_ms=145.0, timeout_ms=1_200.0)
    play = LoadPlay(route, seed=seed)
    play.play(100, WARM_UP_MS)
    since_ms = play.clock.now_ms()
    play.play(per_s, PLAY_MS)
    play.timers.advance(2_000)
    return play, since_ms


def test_load_near_capacity_is_served_in_time():
    # Guards against hedges that take the slots which waiting requests need.
    play, since_ms = play_load(600, seed=1)
    assert play.benefit(since_ms) >= 0.95


@pytest.mark.parametrize("per_s", [700, 900])
def test_overload_costs_little_more_than_what_lacks_capacity(per_s):
    # Guards against queues that grow until every answer is late.
    play, since_ms = play_load(per_s, seed=1)
    assert play.benefit(since_ms) >= 0.7 * CAPACITY_PER_S / per_s


def test_refusal_for_want_of_room_says_when_to_return():
    sim = SimTier()
    route = make_route(objective_ms=100.0)
    sim.add_service("single", replicas=1)
    answered = []
    for _ in range(60):
        _, answers = sim.start(route)
        answered += answers
    assert {answer.outcome for answer in answered} == {"full"}
    waits = [float(dict(answer.headers)[b"Retry-After"]) for answer in answered]
    assert min(waits) >= 100.0
    assert len(set(waits)) > len(waits) / 2


def test_request_is_refused_before_any_shard_gets_it():
    # Guards against work for an answer that cannot reach its least share.
    sim = SimTier()
    route = make_gather_route(shards=10, min_share=0.89)
    sim.add_route_services(route, replicas=1)
    for service in route.gather.shards[:2]:
        for attempt in range(60):
            sim.selector.record_sent(f"{service}-0", -attempt, sim.clock.now_ms())
    _, answers = sim.start(route)
    assert (answers[0].status, answers[0].outcome) == (503, "full")
    assert sim.sender.sends == []
