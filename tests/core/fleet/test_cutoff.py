"""Guards against gathers that wait for late shards until their response is late at the client."""

import pytest

from persimmonspur.core.fleet.cutoff import (
    EARLIEST_FRACTION,
    LATEST_FRACTION,
    MARGIN_MS,
    choose_partial_ms,
)
from persimmonspur.core.fleet.messages import ClientRequest
from persimmonspur.core.fleet.routes import Gather, RequestKind, Route

OBJECTIVE_MS = 100.0
TIMEOUT_MS = 1_000.0
ROUTE = Route(
    "lookup",
    "host.example",
    "/lookup/",
    RequestKind.IDEMPOTENT,
    TIMEOUT_MS,
    OBJECTIVE_MS,
    2,
    0,
    (),
    Gather(("a", "b"), 5, 0.5),
)


def make_request(timeout_ms=TIMEOUT_MS, round_trip_ms=0.0, handshake_ms=0.0):
    return ClientRequest(
        "1",
        "GET",
        "host.example",
        b"/lookup/x",
        [],
        b"",
        timeout_ms,
        0.0,
        round_trip_ms,
        handshake_ms,
    )


def test_client_nearby_gets_most_of_the_objective():
    assert choose_partial_ms(ROUTE, make_request()) == LATEST_FRACTION * OBJECTIVE_MS


def test_round_trip_is_left_for_the_network():
    cutoff_ms = choose_partial_ms(ROUTE, make_request(round_trip_ms=20.0))
    assert cutoff_ms == OBJECTIVE_MS - 20.0 - MARGIN_MS


def test_time_that_the_client_has_spent_is_taken_off():
    request = make_request(TIMEOUT_MS - 12.0, round_trip_ms=10.0, handshake_ms=10.0)
    assert choose_partial_ms(ROUTE, request) == OBJECTIVE_MS - 12.0 - 10.0 - MARGIN_MS


@pytest.mark.parametrize("timeout_ms", [None, TIMEOUT_MS, 500.0, 2 * TIMEOUT_MS])
def test_handshake_counts_if_the_time_budget_does_not_say_what_was_spent(timeout_ms):
    request = make_request(timeout_ms, round_trip_ms=10.0, handshake_ms=10.0)
    assert choose_partial_ms(ROUTE, request) == OBJECTIVE_MS - 20.0 - MARGIN_MS


def test_client_far_away_still_gets_a_part_of_the_objective():
    cutoff_ms = choose_partial_ms(ROUTE, make_request(round_trip_ms=300.0))
    assert cutoff_ms == EARLIEST_FRACTION * OBJECTIVE_MS
