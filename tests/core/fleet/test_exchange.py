"""Requests of the direct path to simulated endpoints."""

import random

import pytest
from attrs import evolve

from fleetsim import SimTier, make_gather_route, make_route
from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.errors import Ran

NON_IDEMPOTENT = {"kind": RequestKind.NON_IDEMPOTENT}


def test_response_of_an_endpoint_is_forwarded():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].reply(200, b"body")
    assert responses[0].status == 200
    assert responses[0].body == b"body"
    assert len(responses) == 1


def test_request_without_endpoints_is_rejected_at_once():
    # Guards against a request that waits for its deadline although there is no endpoint.
    sim = SimTier()
    _, responses = sim.start(make_route())
    assert responses[0].status == 503
    assert responses[0].headers[0][0] == b"Retry-After"
    assert sim.sender.sends == []


def test_rejected_request_is_retried_at_another_endpoint():
    sim = SimTier()
    route = make_route(**NON_IDEMPOTENT)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].reply(503, ran=Ran.NO)
    assert len(sim.sender.sends) == 2
    assert sim.sender.sends[0].endpoint != sim.sender.sends[1].endpoint
    sim.sender.sends[1].reply(200)
    assert responses[0].status == 200


def test_request_that_may_have_run_is_not_sent_again():
    # Guards against executing a payment twice after a lost response.
    sim = SimTier()
    route = make_route(**NON_IDEMPOTENT)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].fail(Ran.UNKNOWN)
    assert len(sim.sender.sends) == 1
    assert responses[0].status == 502


def test_request_that_did_not_run_is_rejected_when_no_endpoint_is_left():
    sim = SimTier()
    route = make_route(**NON_IDEMPOTENT)
    sim.add_service("single", replicas=1)
    _, responses = sim.start(route)
    sim.sender.sends[0].fail(Ran.NO, "refused")
    assert responses[0].status == 503


def test_non_idempotent_request_is_never_hedged():
    sim = SimTier()
    route = make_route(**NON_IDEMPOTENT)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.timers.advance(980)
    assert len(sim.sender.sends) == 1
    sim.timers.advance(20)
    assert responses[0].status == 504


def test_non_idempotent_request_continues_when_its_client_disconnects():
    sim = SimTier()
    route = make_route(**NON_IDEMPOTENT)
    sim.add_route_services(route)
    exchange, responses = sim.start(route)
    exchange.handle_disconnect()
    assert not sim.sender.sends[0].cancelled
    sim.sender.sends[0].reply(200)
    assert responses == []


def test_idempotent_request_is_cancelled_when_its_client_disconnects():
    # Guards against endpoints that keep working for disconnected clients.
    sim = SimTier()
    route = make_gather_route()
    sim.add_route_services(route)
    exchange, responses = sim.start(route)
    exchange.handle_disconnect()
    assert all(send.cancelled for send in sim.sender.sends)
    sim.timers.advance(2_000)
    assert len(sim.sender.sends) == 10
    assert responses == []


def test_misdirected_request_does_not_count_as_an_attempt():
    # Guards against failing a request because an address was reused by another service.
    sim = SimTier()
    route = make_route(max_attempts=1, **NON_IDEMPOTENT)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].reply(421, ran=Ran.NO, misdirected=True)
    assert len(sim.sender.sends) == 2
    sim.sender.sends[1].reply(200)
    assert responses[0].status == 200


def test_attempts_are_bounded():
    sim = SimTier()
    route = make_route(max_attempts=2)
    sim.add_service("single", replicas=5)
    _, responses = sim.start(route)
    sim.sender.sends[0].fail()
    sim.sender.sends[1].fail()
    assert len(sim.sender.sends) == 2
    assert responses[0].status == 502


def test_last_error_response_is_forwarded():
    sim = SimTier()
    route = make_route(max_attempts=1)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].reply(500)
    assert responses[0].status == 500
    assert responses[0].headers[0][0] == b"Stamp"


def test_slow_request_is_hedged_at_another_endpoint():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.timers.advance(60)
    assert len(sim.sender.sends) == 2
    sim.sender.sends[1].reply(200, b"hedge")
    assert responses[0].body == b"hedge"
    sim.sender.sends[0].reply(200, b"late")
    assert len(responses) == 1


def test_hedge_that_cannot_connect_is_sent_to_another_endpoint_at_once():
    # Guards against a slow request that is left without a hedge because the hedge was sent
    # to an endpoint that had just crashed.
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.start(route)
    sim.timers.advance(60)
    sim.sender.sends[1].fail(Ran.NO, "refused")
    assert len(sim.sender.sends) == 3
    assert len({send.endpoint.identity for send in sim.sender.sends}) == 3


def test_gather_responds_when_all_shards_have_responded():
    sim = SimTier()
    route = make_gather_route(shards=3, top_records=2)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    for index, send in enumerate(list(sim.sender.sends)):
        send.reply(200, bytes([index]) * 16)
    assert responses[0].status == 200
    assert responses[0].body == bytes([2]) * 16 + bytes([1]) * 16
    assert (responses[0].covered, responses[0].total) == (3, 3)


def test_gather_names_only_stamps_of_merged_shards():
    # Guards against the stamp of an error response among those of the merged shards.
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    for send in sim.sender.sends[1:]:
        send.reply(200, b"r" * 16)
    sim.sender.sends[0].reply(500)
    assert responses[0].covered == 9
    stamps = dict(responses[0].headers)[b"Parts"].decode().split(",")
    assert len(stamps) == 9
    assert not any(stamp.startswith("shard-0-") for stamp in stamps)
    assert dict(responses[0].headers)[b"Missing"] == b"1"


def test_gather_below_its_minimum_share_fails_at_once():
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].fail()
    sim.sender.sends[1].fail()
    assert responses[0].status == 502


def test_gather_without_enough_shards_sends_nothing():
    # Guards against load on endpoints for a response that cannot be given.
    sim = SimTier()
    route = make_gather_route(shards=10)
    for service in route.gather.shards[:8]:
        sim.add_service(service)
    _, responses = sim.start(route)
    assert responses[0].status == 503
    assert sim.sender.sends == []


def test_gather_responds_without_the_last_shard_before_the_objective():
    # Guards against a client that waits beyond the objective for one slow shard.
    sim = SimTier()
    route = make_gather_route(shards=10)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    for send in sim.sender.sends[1:10]:
        send.reply(200)
    assert responses == []
    sim.timers.advance(100)
    assert responses[0].status == 200
    assert responses[0].covered == 9


def test_gather_waits_for_its_minimum_share_after_the_objective():
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    for send in sim.sender.sends[2:10]:
        send.reply(200)
    sim.timers.advance(300)
    assert responses == []
    sim.sender.sends[0].reply(200)
    assert responses[0].covered == 9


def test_request_ends_before_the_deadline_of_the_client():
    sim = SimTier()
    route = make_route(max_attempts=1)
    sim.add_route_services(route)
    _, responses = sim.start(route, timeout_ms=200.0)
    sim.timers.advance(199)
    assert responses[0].status == 504


def test_request_ends_before_the_timeout_of_the_route():
    sim = SimTier()
    route = make_route(timeout_ms=300.0, max_attempts=1)
    sim.add_route_services(route)
    _, responses = sim.start(route, timeout_ms=5_000.0)
    sim.timers.advance(300)
    assert responses[0].status == 504


def test_endpoint_never_gets_more_time_than_the_client_has():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.start(route, timeout_ms=400.0)
    sim.timers.advance(60)
    assert sim.sender.sends[0].timeout_ms <= 400
    assert sim.sender.sends[1].timeout_ms <= 340


def test_endpoints_without_free_connections_are_skipped():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.sender.exhausted = {"single-0", "single-1"}
    sim.start(route)
    assert [send.endpoint.identity for send in sim.sender.sends] == ["single-2"]


def test_request_is_rejected_if_no_endpoint_has_a_free_connection():
    sim = SimTier()
    route = make_route()
    sim.add_route_services(route)
    sim.sender.exhausted = {"single-0", "single-1", "single-2"}
    _, responses = sim.start(route)
    assert responses[0].status == 503


@pytest.mark.parametrize("seed", range(3))
def test_pausing_replicas_cause_few_late_responses(seed):
    # Load: ten shards with three replicas; each replica pauses for 200 ms every 4.5 s.
    # Guards against a selection that keeps sending to a paused replica.
    sim = SimTier(seed=seed)
    route = make_gather_route(shards=10, objective_ms=150.0)
    sim.add_route_services(route)
    phases = {}

    def compute_latency(send):
        phase = phases.setdefault(send.endpoint.identity, len(phases) * 731.0 % 4_500)
        elapsed_ms = (sim.clock.now_ms() + phase) % 4_500
        pause_ms = 200 - elapsed_ms if elapsed_ms < 200 else 0
        return 20.0 + pause_ms

    sim.sender.latency_ms = compute_latency
    results = []
    for _ in range(2_000):
        started_ms = sim.clock.now_ms()
        _, responses = sim.start(route)
        results.append((started_ms, responses))
        sim.timers.advance(17)
    sim.timers.advance(1_000)
    complete = sum(responses[0].covered == 10 for _, responses in results)
    assert complete / len(results) > 0.97
    extra = len(sim.sender.sends) - 10 * len(results)
    assert extra / (10 * len(results)) < 0.05


@pytest.mark.parametrize("seed", range(3))
def test_replicas_that_lose_responses_are_avoided(seed):
    # Load: 15 shards with three replicas; half of all replicas reset the connections of 40%
    # of the requests that they ran. Guards against spending the retry budget on the same
    # faulty replicas while a healthy one of the shard has free capacity.
    sim = SimTier(seed=seed, slack=10.0)
    route = make_gather_route(shards=15, objective_ms=180.0)
    sim.add_route_services(route)
    rng = random.Random(seed)
    faulty = set()
    for service in route.gather.shards:
        faulty.update(rng.sample([f"{service}-{index}" for index in range(3)], rng.choice([1, 2])))
    sim.sender.latency_ms = lambda send: rng.uniform(20.0, 40.0)
    results = []
    for step in range(1_000):
        if step == 400:
            sim.sender.is_reset = lambda send: (
                send.endpoint.identity in faulty and rng.random() < 0.4
            )
        _, responses = sim.start(route)
        results.append(responses)
        sim.timers.advance(20)
    sim.timers.advance(1_500)
    during_faults = results[420:]
    complete = sum(responses[0].covered == 15 for responses in during_faults)
    assert complete / len(during_faults) > 0.98
    failed = sum(responses[0].status != 200 for responses in during_faults)
    assert failed == 0


def test_replicas_that_reset_connections_are_still_tried():
    # Guards against giving up a shard because each replica lost one connection.
    sim = SimTier()
    route = make_route(max_attempts=1)
    sim.add_route_services(route)
    for identity in ("single-0", "single-1", "single-2"):
        lifetime = sim.get_lifetime(identity)
        sim.selector.record_sent(lifetime, 0, sim.clock.now_ms())
        sim.selector.record_connection_lost(lifetime, 0, sim.clock.now_ms())
    _, responses = sim.start(route)
    sim.sender.sends[-1].reply(200)
    assert responses[0].status == 200


def test_endpoint_that_refuses_connections_is_blocked_for_a_time():
    # Guards against clients that wait for an endpoint that is down.
    sim = SimTier()
    route = make_route()
    sim.add_service("single", replicas=1)
    sim.start(route)
    sim.sender.sends[0].fail(Ran.NO, "refused")
    _, responses = sim.start(route)
    assert responses[0].status == 503
    sim.timers.advance(400)
    sim.start(route)
    assert len(sim.sender.sends) == 2


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_means_not_run_is_not_forwarded_after_a_run(status):
    # Guards against a client that repeats a request that has run.
    sim = SimTier()
    route = make_route(**NON_IDEMPOTENT)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].reply(status, ran=Ran.YES)
    assert responses[0].status == 502
    assert len(sim.sender.sends) == 1


def test_success_without_a_stamp_is_not_merged():
    # Guards against merging a response without the proof that an endpoint ran the request.
    sim = SimTier()
    route = make_gather_route(shards=10, max_attempts=1)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].reply(200, stamped=False)
    for send in sim.sender.sends[1:10]:
        send.reply(200)
    assert responses[0].covered == 9


class RaisingSender:
    """Raises for some endpoints; other sends go to the sender of a simulated instance."""

    def __init__(self, sender, identities):
        self.sender = sender
        self.identities = identities
        self.raised = []

    def send(self, endpoint, request, timeout_ms, on_result):
        if endpoint.identity in self.identities:
            self.raised.append(endpoint.identity)
            raise TypeError("unreadable address")
        return self.sender.send(endpoint, request, timeout_ms, on_result)


def make_raising_tier(route, identities, replicas=2):
    sim = SimTier()
    sim.add_route_services(route, replicas)
    sender = RaisingSender(sim.sender, identities)
    sim.context = evolve(sim.context, sender=sender)
    return sim, sender


def test_request_whose_send_raises_is_answered():
    # Guards against a request without a deadline because its first send raised.
    route = make_route(max_attempts=1)
    sim, sender = make_raising_tier(route, {"single-0", "single-1"})
    _, responses = sim.start(route)
    sim.timers.advance(1.0)
    assert [response.status for response in responses] == [502]
    assert len(sender.raised) == 1
    name, fields = sim.decisions[0]
    assert name == "send_failed" and fields["reason"] == "TypeError: unreadable address"


def test_send_that_raises_is_repeated_at_another_endpoint():
    route = make_route()
    sim, sender = make_raising_tier(route, {"single-0"})
    for _ in range(4):
        _, responses = sim.start(route)
        sim.timers.advance(1.0)
        sim.sender.sends[-1].reply()
        assert responses[0].status == 200
    assert sender.raised


def test_non_idempotent_request_whose_send_raised_is_not_sent_again():
    # Guards against a second run, since a send may raise after its first bytes.
    route = make_route(**NON_IDEMPOTENT)
    sim, sender = make_raising_tier(route, {"single-0", "single-1"})
    _, responses = sim.start(route)
    sim.timers.advance(1.0)
    assert responses[0].status == 502
    assert len(sender.raised) == 1 and sim.sender.sends == []


def test_gather_with_a_send_that_raises_gets_its_other_shards():
    route = make_gather_route(4, 0.75, max_attempts=1)
    sim, _ = make_raising_tier(route, {"shard-2-0", "shard-2-1"})
    _, responses = sim.start(route)
    sim.timers.advance(1.0)
    for send in sim.sender.sends:
        send.reply(body=b"r" * 16)
    assert responses[0].status == 200 and responses[0].covered == 3
