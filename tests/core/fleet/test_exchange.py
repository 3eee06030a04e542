"""Requests of the direct path against simulated endpoints."""

import random

import pytest

from fleetsim import SimTier, make_gather_route, make_route
from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.errors import Ran

POST = {"kind": RequestKind.NON_IDEMPOTENT}


def test_single_answer_is_passed_on():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].reply(200, b"body")
    assert answers[0].status == 200
    assert answers[0].body == b"body"
    assert len(answers) == 1


def test_no_endpoint_is_refused_at_once_as_not_run():
    # Guards against a request that waits for its deadline without an endpoint.
    sim = SimTier()
    _, answers = sim.start(make_route())
    assert answers[0].status == 503
    assert answers[0].headers[0][0] == b"Retry-After"
    assert sim.sender.sends == []


def test_endpoint_that_rejects_is_replaced_within_the_budget():
    sim = SimTier()
    route = make_route(**POST)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].reply(503, ran=Ran.NO)
    assert len(sim.sender.sends) == 2
    assert sim.sender.sends[0].endpoint != sim.sender.sends[1].endpoint
    sim.sender.sends[1].reply(200)
    assert answers[0].status == 200


def test_request_that_may_have_run_is_not_sent_again():
    # Guards against a bill that is paid twice after a lost answer.
    sim = SimTier()
    route = make_route(**POST)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].fail(Ran.UNKNOWN)
    assert len(sim.sender.sends) == 1
    assert answers[0].status == 502


def test_request_that_certainly_did_not_run_is_refused_when_no_endpoint_is_left():
    sim = SimTier()
    route = make_route(**POST)
    sim.add_service("single", replicas=1)
    _, answers = sim.start(route)
    sim.sender.sends[0].fail(Ran.NO, "refused")
    assert answers[0].status == 503


def test_non_idempotent_request_is_never_hedged():
    sim = SimTier()
    route = make_route(**POST)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.timers.advance(980)
    assert len(sim.sender.sends) == 1
    sim.timers.advance(20)
    assert answers[0].status == 504


def test_non_idempotent_request_goes_on_when_its_client_leaves():
    sim = SimTier()
    route = make_route(**POST)
    sim.add_route_services(route)
    exchange, answers = sim.start(route)
    exchange.handle_disconnect()
    assert not sim.sender.sends[0].abandoned
    sim.sender.sends[0].reply(200)
    assert answers == []


def test_idempotent_request_is_cancelled_when_its_client_leaves():
    # Guards against endpoints that work on for clients that are gone.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    exchange, answers = sim.start(route)
    exchange.handle_disconnect()
    assert all(send.abandoned for send in sim.sender.sends)
    sim.timers.advance(2_000)
    assert len(sim.sender.sends) == 10
    assert answers == []


def test_endpoint_with_another_owner_of_its_address_is_no_attempt():
    # Guards against an address that was given to another service.
    sim = SimTier()
    route = make_route(max_attempts=1, **POST)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].reply(421, ran=Ran.NO, misdirected=True)
    assert len(sim.sender.sends) == 2
    sim.sender.sends[1].reply(200)
    assert answers[0].status == 200


def test_attempts_are_bounded():
    sim = SimTier()
    route = make_route(max_attempts=2)
    sim.add_service("single", replicas=5)
    _, answers = sim.start(route)
    sim.sender.sends[0].fail()
    sim.sender.sends[1].fail()
    assert len(sim.sender.sends) == 2
    assert answers[0].status == 502


def test_error_of_the_endpoint_keeps_its_status_when_no_attempt_is_left():
    sim = SimTier()
    route = make_route(max_attempts=1)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].reply(500)
    assert answers[0].status == 500
    assert answers[0].headers[0][0] == b"Stamp"


def test_straggler_is_hedged_at_another_endpoint():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.timers.advance(60)
    assert len(sim.sender.sends) == 2
    sim.sender.sends[1].reply(200, b"hedge")
    assert answers[0].body == b"hedge"
    sim.sender.sends[0].reply(200, b"late")
    assert len(answers) == 1


def test_hedge_that_cannot_connect_is_sent_elsewhere_at_once():
    # Guards against a straggler without a second chance because its hedge met an
    # endpoint that had just crashed.
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.start(route)
    sim.timers.advance(60)
    sim.sender.sends[1].fail(Ran.NO, "refused")
    assert len(sim.sender.sends) == 3
    assert len({send.endpoint.identity for send in sim.sender.sends}) == 3


def test_gather_answers_when_all_shards_are_in():
    sim = SimTier()
    route = make_gather_route(shards=3, top_records=2)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    for index, send in enumerate(list(sim.sender.sends)):
        send.reply(200, bytes([index]) * 16)
    assert answers[0].status == 200
    assert answers[0].body == bytes([2]) * 16 + bytes([1]) * 16
    assert (answers[0].covered, answers[0].total) == (3, 3)


def test_gather_names_only_parts_of_good_answers():
    # Guards against a proof of a failed answer among the parts.
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    for send in sim.sender.sends[1:]:
        send.reply(200, b"r" * 16)
    sim.sender.sends[0].reply(500)
    assert answers[0].covered == 9
    parts = dict(answers[0].headers)[b"Parts"].decode().split(",")
    assert len(parts) == 9
    assert not any(part.startswith("shard-0-") for part in parts)
    assert dict(answers[0].headers)[b"Missing"] == b"1"


def test_gather_below_the_least_share_fails_at_once():
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].fail()
    sim.sender.sends[1].fail()
    assert answers[0].status == 502


def test_gather_without_enough_shards_sends_nothing():
    # Guards against load on endpoints for an answer that cannot be given.
    sim = SimTier()
    route = make_gather_route(shards=10)
    for service in route.gather.shards[:8]:
        sim.add_service(service)
    _, answers = sim.start(route)
    assert answers[0].status == 503
    assert sim.sender.sends == []


def test_gather_is_answered_without_the_last_shard_before_the_objective():
    # Guards against a caller that waits past the objective for one straggler.
    sim = SimTier()
    route = make_gather_route(shards=10)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    for send in sim.sender.sends[1:10]:
        send.reply(200)
    assert answers == []
    sim.timers.advance(100)
    assert answers[0].status == 200
    assert answers[0].covered == 9


def test_gather_waits_for_the_least_share_after_the_objective():
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    for send in sim.sender.sends[2:10]:
        send.reply(200)
    sim.timers.advance(300)
    assert answers == []
    sim.sender.sends[0].reply(200)
    assert answers[0].covered == 9


def test_deadline_of_the_client_ends_the_request_in_time():
    sim = SimTier()
    route = make_route(max_attempts=1)
    sim.add_route_services(route)
    _, answers = sim.start(route, deadline_ms=200.0)
    sim.timers.advance(199)
    assert answers[0].status == 504


def test_timeout_of_the_route_ends_the_request_in_time():
    sim = SimTier()
    route = make_route(timeout_ms=300.0, max_attempts=1)
    sim.add_route_services(route)
    _, answers = sim.start(route, deadline_ms=5_000.0)
    sim.timers.advance(300)
    assert answers[0].status == 504


def test_endpoint_never_gets_more_time_than_the_client_has():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.start(route, deadline_ms=400.0)
    sim.timers.advance(60)
    assert sim.sender.sends[0].timeout_ms <= 400
    assert sim.sender.sends[1].timeout_ms <= 340


def test_full_connections_send_the_request_elsewhere():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.sender.full = {"single-0", "single-1"}
    sim.start(route)
    assert [send.endpoint.identity for send in sim.sender.sends] == ["single-2"]


def test_all_connections_full_is_refused_as_not_run():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.sender.full = {"single-0", "single-1", "single-2"}
    _, answers = sim.start(route)
    assert answers[0].status == 503


@pytest.mark.parametrize("seed", range(3))
def test_pausing_replicas_cost_few_late_answers(seed):
    # The load: ten shards of three replicas; each pauses for 200 ms every 4.5 s.
    # Guards against choices that keep sending to a pausing replica.
    sim = SimTier(seed=seed)
    route = make_gather_route(shards=10, objective_ms=150.0)
    sim.add_route_services(route)
    phases = {}

    def answer_after(send):
        phase = phases.setdefault(send.endpoint.identity, len(phases) * 731.0 % 4_500)
        into = (sim.clock.now_ms() + phase) % 4_500
        pause = 200 - into if into < 200 else 0
        return 20.0 + pause

    sim.sender.latency_ms = answer_after
    results = []
    for _ in range(2_000):
        started_ms = sim.clock.now_ms()
        _, answers = sim.start(route)
        results.append((started_ms, answers))
        sim.timers.advance(17)
    sim.timers.advance(1_000)
    complete = sum(answers[0].covered == 10 for _, answers in results)
    assert complete / len(results) > 0.97
    extra = len(sim.sender.sends) - 10 * len(results)
    assert extra / (10 * len(results)) < 0.05


@pytest.mark.parametrize("seed", range(3))
def test_replicas_that_lose_answers_are_avoided(seed):
    # The load: 15 shards of three replicas, half of all replicas reset 40% of what
    # they ran. Guards against a retry budget that is spent on the same bad replicas
    # while a good one of the shard has room.
    sim = SimTier(seed=seed, slack=10.0)
    route = make_gather_route(shards=15, objective_ms=180.0)
    sim.add_route_services(route)
    rng = random.Random(seed)
    bad = set()
    for service in route.gather.shards:
        bad.update(rng.sample([f"{service}-{index}" for index in range(3)], rng.choice([1, 2])))
    sim.sender.latency_ms = lambda send: rng.uniform(20.0, 40.0)
    results = []
    for step in range(1_000):
        if step == 400:
            sim.sender.resets = lambda send: send.endpoint.identity in bad and rng.random() < 0.4
        _, answers = sim.start(route)
        results.append(answers)
        sim.timers.advance(20)
    sim.timers.advance(1_500)
    trouble = results[420:]
    full = sum(answers[0].covered == 15 for answers in trouble)
    assert full / len(trouble) > 0.98
    failed = sum(answers[0].status != 200 for answers in trouble)
    assert failed == 0


def test_all_replicas_that_reset_are_still_tried():
    # Guards against a shard that is given up because each replica broke one connection.
    sim = SimTier()
    route = make_route(max_attempts=1)
    sim.add_route_services(route)
    for identity in ("single-0", "single-1", "single-2"):
        sim.selector.record_sent(identity, 0, sim.clock.now_ms())
        sim.selector.record_connection_lost(identity, 0, sim.clock.now_ms())
    _, answers = sim.start(route)
    sim.sender.sends[-1].reply(200)
    assert answers[0].status == 200


def test_endpoint_that_refuses_connections_rests():
    # Guards against callers that wait for an endpoint that is down.
    sim = SimTier()
    route = make_route()
    sim.add_service("single", replicas=1)
    sim.start(route)
    sim.sender.sends[0].fail(Ran.NO, "refused")
    _, answers = sim.start(route)
    assert answers[0].status == 503
    sim.timers.advance(400)
    sim.start(route)
    assert len(sim.sender.sends) == 2


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_promises_no_run_is_not_passed_on_after_a_run(status):
    # Guards against a client that repeats a request which has run.
    sim = SimTier()
    route = make_route(**POST)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].reply(status, ran=Ran.YES)
    assert answers[0].status == 502
    assert len(sim.sender.sends) == 1


def test_success_without_a_proof_is_no_answer():
    # Guards against a part that no searcher vouches for.
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, answers = sim.start(route)
    sim.sender.sends[0].reply(200, proof=False)
    for send in sim.sender.sends[1:10]:
        send.reply(200)
    assert answers[0].covered == 9
