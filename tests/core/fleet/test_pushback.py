"""Endpoints that leave or want no requests for a while, at one instance."""

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from fleetsim import SimTier, make_gather_route, make_route
from persimmonspur.core.fleet import pushback as pushback_module
from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.pushback import (
    LEAVING_RETENTION_MS,
    MAX_RETRY_AFTER_MS,
    EndpointPushback,
    EndpointStart,
)
from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.errors import Ran

ENDPOINT = Endpoint("e", "s", "10.0.0.1:80", "d", 4, born_ms=7)
# Bound of the platform: requests that an instance may send from this time after the response
# until the end of the period that it names.
REACTION_MS = 500.0
MAX_REQUESTS_IN_PERIOD = 2


def make_directory(*endpoints):
    directory = EndpointDirectory()
    directory.replace_all(endpoints, False, 0.0)
    return directory


def identities(sends):
    return {send.endpoint.identity for send in sends}


@pytest.mark.parametrize(
    ("status", "ran"),
    [(200, Ran.YES), (200, Ran.NO), (404, Ran.YES), (500, Ran.YES), (503, Ran.NO)],
)
def test_endpoint_that_says_it_is_leaving_gets_nothing_more(status, ran):
    # Guards against the mark being read only in responses that answer the request.
    sim = SimTier()
    sim.add_service("single", replicas=2)
    sim.start(make_route())
    first = sim.sender.sends[0]
    first.reply(status, ran=ran, leaving=True)
    for _ in range(20):
        sim.start(make_route())
    assert first.endpoint.identity not in identities(sim.sender.sends[1:])


def test_mark_in_the_response_to_a_hedge_that_is_no_longer_needed_counts():
    # Guards against a mark that is lost because another endpoint answered first.
    sim = SimTier()
    sim.add_service("single", replicas=2)
    _, responses = sim.start(make_route())
    sim.timers.advance(200)
    first, hedge = sim.sender.sends
    first.reply()
    assert responses[0].status == 200
    hedge.reply(leaving=True)
    assert not sim.pushback.allows(hedge.endpoint, sim.clock.now_ms())
    assert sim.pushback.allows(first.endpoint, sim.clock.now_ms())


def test_response_of_another_endpoint_at_the_address_says_nothing_about_the_endpoint():
    sim = SimTier()
    sim.add_service("single", replicas=1)
    sim.start(make_route())
    send = sim.sender.sends[0]
    send.reply(421, ran=Ran.NO, misdirected=True, leaving=True, retry_after_ms=9_000.0)
    assert sim.pushback.allows(send.endpoint, sim.clock.now_ms())


def test_mark_survives_changes_of_the_view_and_ends_with_a_restart():
    # Guards against an endpoint in use again because its entry was written again, or lapsed
    # in an outage of the store and reappeared.
    pushback = EndpointPushback()
    pushback.mark_leaving(EndpointStart("e", 7), 0.0)
    pushback.expire(make_directory(), 5_000.0)
    pushback.expire(make_directory(ENDPOINT), 10_000.0)
    assert not pushback.allows(evolve(ENDPOINT, address="10.0.0.2:80", slots=9), 10_000.0)
    restarted = evolve(ENDPOINT, born_ms=6)
    assert pushback.allows(restarted, 10_000.0)
    pushback.expire(make_directory(restarted), 10_500.0)
    assert not pushback.allows(ENDPOINT, 10_500.0)


def test_mark_of_an_endpoint_that_is_gone_is_dropped_after_a_while():
    # Guards against memory that grows with every restart of an endpoint.
    pushback = EndpointPushback()
    pushback.mark_leaving(EndpointStart("e", 7), 0.0)
    pushback.expire(make_directory(ENDPOINT), 10_000.0)
    pushback.expire(make_directory(), 10_000.0 + LEAVING_RETENTION_MS)
    assert pushback.is_leaving(ENDPOINT)
    pushback.expire(make_directory(), 10_001.0 + LEAVING_RETENTION_MS)
    assert not pushback.is_leaving(ENDPOINT)


def test_number_of_marks_is_bounded(monkeypatch):
    monkeypatch.setattr(pushback_module, "MAX_LEAVING", 3)
    pushback = EndpointPushback()
    for born_ms in range(7, 12):
        pushback.mark_leaving(EndpointStart("e", born_ms), float(born_ms))
    assert not pushback.is_leaving(ENDPOINT)
    assert pushback.is_leaving(evolve(ENDPOINT, born_ms=11))


def test_leaving_is_reported_once():
    # Guards against a message to all instances for every response of a leaving endpoint.
    sim = SimTier()
    sim.add_service("single", replicas=1)
    reported = []
    sim.pushback.on_leaving = reported.append
    sim.start(make_route())
    sim.start(make_route())
    for send in list(sim.sender.sends):
        send.reply(leaving=True)
    assert reported == [EndpointStart("single-0", 0)]


def test_service_whose_endpoints_are_all_leaving_is_unavailable():
    sim = SimTier()
    sim.add_service("single", replicas=2)
    for index in range(2):
        sim.pushback.mark_leaving(EndpointStart(f"single-{index}", 0), sim.clock.now_ms())
    _, responses = sim.start(make_route())
    assert (responses[0].status, responses[0].outcome) == (503, "unavailable")
    assert sim.sender.sends == []


def test_request_is_rejected_at_once_while_its_only_endpoint_wants_none():
    sim = SimTier()
    sim.add_service("single", replicas=1)
    sim.start(make_route(max_attempts=1))
    sim.sender.sends[0].reply(503, ran=Ran.NO, retry_after_ms=2_500.0)
    for _ in range(5):
        _, responses = sim.start(make_route())
        assert (responses[0].status, responses[0].outcome) == (503, "full")
        sim.timers.advance(499)
    sim.timers.advance(5)
    sim.start(make_route())
    assert len(sim.sender.sends) == 2


def test_request_goes_elsewhere_while_an_endpoint_wants_none():
    sim = SimTier()
    route = make_gather_route(shards=3)
    sim.add_route_services(route, replicas=2)
    sim.start(route)
    refusing = sim.sender.sends[0]
    refusing.reply(503, ran=Ran.NO, retry_after_ms=1_000.0)
    sent = len(sim.sender.sends)
    _, responses = sim.start(route)
    assert responses == []
    assert refusing.endpoint.identity not in identities(sim.sender.sends[sent:])


def test_shorter_period_of_a_later_response_does_not_shorten_an_earlier_one():
    # Guards against a period that ends early because responses arrive out of order.
    sim = SimTier()
    sim.add_service("single", replicas=1)
    sim.start(make_route())
    sim.start(make_route())
    first, second = list(sim.sender.sends)
    first.reply(503, ran=Ran.NO, retry_after_ms=3_000.0)
    second.reply(503, ran=Ran.NO, retry_after_ms=100.0)
    assert not sim.pushback.allows(first.endpoint, sim.clock.now_ms() + 2_999)
    assert sim.pushback.allows(first.endpoint, sim.clock.now_ms() + 3_000)


def test_absurd_period_is_capped():
    # Guards against an endpoint that stays unused for hours because of one wrong value.
    sim = SimTier()
    sim.add_service("single", replicas=1)
    sim.start(make_route())
    send = sim.sender.sends[0]
    send.reply(503, ran=Ran.NO, retry_after_ms=float("inf"))
    assert not sim.pushback.allows(send.endpoint, sim.clock.now_ms() + MAX_RETRY_AFTER_MS - 1)
    assert sim.pushback.allows(send.endpoint, sim.clock.now_ms() + MAX_RETRY_AFTER_MS)


def test_period_ends_with_a_restart():
    # Guards against a new process that stays unused because the former one was full.
    sim = SimTier()
    sim.add_service("single", replicas=1, born_ms=7)
    sim.start(make_route())
    send = sim.sender.sends[0]
    send.reply(503, ran=Ran.NO, retry_after_ms=5_000.0)
    assert not sim.pushback.allows(send.endpoint, sim.clock.now_ms())
    assert sim.pushback.allows(evolve(send.endpoint, born_ms=8), sim.clock.now_ms())


PERIODS_MS = st.one_of(
    st.none(), st.just(0.0), st.floats(1.0, 8_000.0), st.just(90_000.0), st.just(float("inf"))
)
REPLIES = st.tuples(
    st.floats(0.0, 900.0),
    st.sampled_from([200, 200, 500, 503, 503]),
    PERIODS_MS,
    st.booleans(),
)


@settings(max_examples=60, deadline=None)
@given(
    replicas=st.integers(1, 3),
    idempotent=st.booleans(),
    steps=st.lists(st.tuples(st.floats(0.0, 1_500.0), st.lists(REPLIES, max_size=3)), max_size=40),
)
def test_endpoint_gets_at_most_two_requests_in_the_period_that_it_names(
    replicas, idempotent, steps
):
    # Guards against requests to an endpoint that asked for a pause, as first sends, retries or
    # hedges, whatever the order of its responses.
    sim = SimTier()
    sim.add_service("single", replicas=replicas)
    route = make_route() if idempotent else make_route(kind=RequestKind.NON_IDEMPOTENT)
    periods = []

    def reply(send, status, period_ms, ran):
        named_ms = period_ms if status == 503 else None
        if named_ms and not send.ended:
            ended_ms = sim.clock.now_ms() + min(named_ms, MAX_RETRY_AFTER_MS)
            periods.append((send.endpoint.identity, sim.clock.now_ms() + REACTION_MS, ended_ms))
        send.reply(status, ran=Ran.YES if ran else Ran.NO, retry_after_ms=named_ms)

    answered = 0
    for pause_ms, replies in steps:
        sim.start(route)
        for delay_ms, *values in replies:
            if answered >= len(sim.sender.sends):
                break
            send = sim.sender.sends[answered]
            answered += 1
            sim.timers.call_later(delay_ms, lambda send=send, values=values: reply(send, *values))
        sim.timers.advance(pause_ms)
    for identity, from_ms, to_ms in periods:
        sent = sum(
            send.endpoint.identity == identity and from_ms <= send.sent_ms < to_ms
            for send in sim.sender.sends
        )
        assert sent <= MAX_REQUESTS_IN_PERIOD
