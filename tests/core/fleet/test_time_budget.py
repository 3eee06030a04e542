"""Requests whose time runs out between two decisions, as when the machine freezes in between."""

import pytest

from fleetsim import SimTier, make_gather_route, make_route
from persimmonspur.core.fleet.budget import SLACK_FRACTION
from persimmonspur.core.fleet.exchange import MIN_SEND_TIMEOUT_MS, RESPONSE_MARGIN_MS
from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.errors import Ran

# A request that arrives with less time than this is refused as too late.
SHORTEST_MS = RESPONSE_MARGIN_MS + MIN_SEND_TIMEOUT_MS
SLACK = 100.0
NON_IDEMPOTENT = {"kind": RequestKind.NON_IDEMPOTENT}
# A request that loops for ever fails its test after this many seconds.
pytestmark = pytest.mark.timeout(20)


class SlackTier(SimTier):
    """A tier whose retry budget has only its slack, so that it shows what was spent."""

    def __init__(self):
        super().__init__(ratio=0.0, slack=SLACK)

    def count_spent(self, service):
        """Return the retries and hedges that the budget has counted, and use up the rest."""
        left = 0
        while self.retry_budget.try_acquire(service, self.clock.now_ms(), hedge=False):
            left += 1
        return int(SLACK * SLACK_FRACTION) - left


def start_single(**fields):
    """Return a tier and a request that was sent to the first of three endpoints."""
    sim = SlackTier()
    route = make_route(max_attempts=3, **fields)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    return sim, responses


def leave_ms(sim, left_ms):
    """Let time pass until a request that was just started has this much left for a send."""
    sim.clock.advance(1_000.0 - RESPONSE_MARGIN_MS - left_ms)


@pytest.mark.parametrize("min_share", [0.1, 0.89])
@pytest.mark.parametrize("sent_before", [1, 7])
def test_gather_whose_time_runs_out_between_its_sends_is_answered(sent_before, min_share):
    # Guards against a process that loops for ever because it chooses an endpoint again and again
    # for a shard that it has no time to send to (review/7).
    sim = SlackTier()
    route = make_gather_route(15, min_share)
    sim.add_route_services(route)
    sim.sender.pauses_ms = [0.0] * (sent_before - 1) + [1_000.0]
    _, responses = sim.start(route)
    sim.timers.advance(0.0)
    assert len(sim.sender.sends) == sent_before
    assert [response.status for response in responses] == [504]
    assert all(sim.count_spent(service) == 0 for service in route.gather.shards)


@pytest.mark.parametrize("extra_ms", [0.0, 1.0, 3.0])
def test_gather_that_arrives_with_little_time_left_is_answered(extra_ms):
    # Guards against the same without a freeze: sending to the shards takes longer than is left.
    sim = SlackTier()
    route = make_gather_route(15)
    sim.add_route_services(route)
    sim.sender.pauses_ms = [0.4] * 15
    _, responses = sim.start(route, timeout_ms=SHORTEST_MS + extra_ms)
    sim.timers.advance(SHORTEST_MS)
    assert [response.status for response in responses] == [504]
    assert all(send.timeout_ms >= MIN_SEND_TIMEOUT_MS for send in sim.sender.sends)


def test_gather_with_enough_shards_is_answered_when_time_runs_out_before_the_last():
    # Guards against a whole gather that fails because of the last shard it had no time for.
    sim = SlackTier()
    route = make_gather_route(10, 0.89)
    sim.add_route_services(route)
    sim.sender.pauses_ms = [0.0] * 8 + [981.0]
    _, responses = sim.start(route)
    for send in sim.sender.sends:
        send.reply(200, b"r" * 16)
    sim.timers.advance(5.0)
    assert [(response.status, response.covered) for response in responses] == [(200, 9)]


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_connection_refused_at_the_end_of_a_request_is_answered(kind):
    # Guards against the same loop after a send that reached no endpoint.
    sim, responses = start_single(kind=kind)
    leave_ms(sim, MIN_SEND_TIMEOUT_MS - 1)
    sim.sender.sends[0].fail(Ran.NO, "refused")
    assert len(sim.sender.sends) == 1
    assert [response.status for response in responses] == [503]


def test_retry_without_time_costs_the_budget_nothing():
    # Guards against a request without time that takes retries from the others of its service:
    # the loop ended only when the whole budget was spent.
    sim, responses = start_single()
    leave_ms(sim, MIN_SEND_TIMEOUT_MS - 1)
    sim.sender.sends[0].fail(Ran.UNKNOWN, "reset")
    assert [response.status for response in responses] == [504]
    assert sim.count_spent("single") == 0


def test_rejected_request_without_time_costs_the_budget_nothing():
    sim, responses = start_single(**NON_IDEMPOTENT)
    leave_ms(sim, MIN_SEND_TIMEOUT_MS - 1)
    sim.sender.sends[0].reply(503, ran=Ran.NO)
    assert [response.status for response in responses] == [503]
    assert sim.count_spent("single") == 0


def test_retry_without_a_free_connection_costs_the_budget_nothing():
    # Guards against retries that are counted although none was sent.
    sim, responses = start_single()
    sim.sender.exhausted = {f"single-{index}" for index in range(3)}
    sim.sender.sends[0].fail(Ran.UNKNOWN, "reset")
    assert [response.status for response in responses] == [502]
    assert sim.count_spent("single") == 0


def test_hedge_that_is_not_sent_costs_the_budget_nothing():
    sim, _ = start_single()
    sim.sender.exhausted = {f"single-{index}" for index in range(3)}
    sim.timers.advance(60.0)
    assert sim.counts["hedge"] == 0
    assert sim.count_spent("single") == 0


def test_hedges_after_a_freeze_without_time_cost_the_budget_nothing():
    sim = SlackTier()
    route = make_gather_route(3)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    leave_ms(sim, MIN_SEND_TIMEOUT_MS - 1)
    sim.sender.sends[0].fail(Ran.UNKNOWN, "reset")
    sim.timers.advance(MIN_SEND_TIMEOUT_MS)
    assert len(responses) == 1
    assert all(sim.count_spent(service) == 0 for service in route.gather.shards)


@pytest.mark.parametrize("tried_before", [False, True])
def test_held_shards_without_time_are_answered(tried_before):
    # Guards against the loop when shards that waited for a suspected request are sent to late.
    sim = SlackTier()
    route = make_gather_route(3, 0.9)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.sends[0].lose_connection()
    sim.sender.sends[1].lose_connection()
    if tried_before:
        sim.sender.sends[2].reply(200, b"r" * 16)
    leave_ms(sim, MIN_SEND_TIMEOUT_MS - 1)
    sent = len(sim.sender.sends)
    sim.sender.sends[-1].reply(200, b"r" * 16)
    sim.timers.advance(MIN_SEND_TIMEOUT_MS)
    assert len(sim.sender.sends) == sent
    assert len(responses) == 1 and responses[0].status == 504


def test_route_without_an_objective_does_not_try_hedges_without_pause():
    # Guards against a request that uses the processor fully until its deadline.
    sim = SlackTier()
    route = make_route(objective_ms=0.0)
    sim.add_route_services(route)
    _, responses = sim.start(route)
    sim.sender.exhausted = {f"single-{index}" for index in range(3)}
    sim.timers.advance(1_000.0)
    assert [response.status for response in responses] == [504]
