import random

import pytest
from attrs import evolve

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.selection import FAILURE_BACKOFF_MAX_MS, ReplicaSelector

EXPECTED_MS = 20.0
LOCAL, NEAR, FAR = (
    Endpoint(f"e{index}", "s", f"10.0.0.{index}:80", f"d{index}", 4) for index in range(3)
)
ALL = (LOCAL, NEAR, FAR)


@pytest.fixture
def selector():
    return ReplicaSelector("d0", random.Random(1))


def count_picks(selector, now_ms, times=200):
    picks = [selector.pick(ALL, EXPECTED_MS, now_ms).identity for _ in range(times)]
    return {endpoint.identity: picks.count(endpoint.identity) for endpoint in ALL}


def test_local_replica_is_preferred_while_all_are_equal(selector):
    counts = count_picks(selector, 0.0)
    assert counts["e0"] > 150


def test_preference_yields_to_load(selector):
    # Guards against a local replica that queues while remote ones are idle.
    for attempt in range(4):
        selector.record_sent("e0", attempt, 0.0)
    assert count_picks(selector, 1.0)["e0"] == 0


def test_replica_with_an_overdue_request_is_left_until_it_answers(selector):
    # Guards against requests that follow one another into a pausing replica.
    selector.record_sent("e0", 1, 0.0)
    assert count_picks(selector, 5.0)["e0"] > 0
    assert count_picks(selector, 100.0)["e0"] == 0
    selector.record_response("e0", 1, EXPECTED_MS, False, 200.0)
    assert count_picks(selector, 8_000.0)["e0"] > 150


def test_slow_replica_is_used_less_and_tried_again(selector):
    for attempt in range(10):
        selector.record_sent("e0", attempt, 0.0)
        selector.record_response("e0", attempt, EXPECTED_MS, False, 100.0)
    assert count_picks(selector, 101.0)["e0"] == 0
    assert count_picks(selector, 15_000.0)["e0"] > 100


def test_reported_load_of_other_instances_counts_by_its_age(selector):
    selector.record_load("e0", 4, 6, 0.0)
    assert count_picks(selector, 1.0)["e0"] == 0
    assert count_picks(selector, 3_000.0)["e0"] > 150


def test_unreachable_replica_rests_and_returns(selector):
    # Guards against callers that wait for an endpoint that is down.
    for attempt in range(8):
        selector.record_unreachable("e0", attempt, 0.0)
    assert count_picks(selector, 100.0)["e0"] == 0
    assert count_picks(selector, 1.25 * FAILURE_BACKOFF_MAX_MS + 1)["e0"] > 0


def test_all_unreachable_is_none(selector):
    for endpoint in ALL:
        selector.record_unreachable(endpoint.identity, 1, 0.0)
    assert selector.pick(ALL, EXPECTED_MS, 1.0) is None


def test_replica_that_fails_part_of_its_requests_is_avoided(selector):
    for attempt in range(10):
        selector.record_sent("e0", attempt, 0.0)
        selector.record_response("e0", attempt, EXPECTED_MS, attempt % 2 == 0, 20.0)
    assert count_picks(selector, 21.0)["e0"] == 0


def test_room_depends_on_slots_and_on_who_else_sends(selector):
    selector.sharing_instances = 4
    selector.record_sent("e0", 1, 0.0)
    assert not selector.has_capacity(LOCAL, EXPECTED_MS, 0.0, 0.0)
    assert selector.has_capacity(LOCAL, EXPECTED_MS, EXPECTED_MS, 0.0)
    selector.record_load("e0", 1, 0, 0.0)
    assert selector.has_capacity(LOCAL, EXPECTED_MS, 0.0, 0.0)


def test_states_of_gone_endpoints_are_dropped(selector):
    selector.record_sent("e0", 1, 0.0)
    selector.record_load("e1", 1, 1, 0.0)
    selector.retain(frozenset())
    assert list(selector._states) == ["e0"]


def test_suspicion_is_told_once_and_taken_back():
    # Guards against logs that do not show when an endpoint was left, or that say it again
    # with each failure.
    told = []
    selector = ReplicaSelector("d0", random.Random(1), lambda *fields: told.append(fields))
    for attempt in range(5):
        selector.record_sent("e0", attempt, 0.0)
        selector.record_connection_lost("e0", attempt, 1.0)
    selector.record_sent("e1", 9, 0.0)
    selector.record_unreachable("e1", 9, 1.0)
    assert [identity for identity, _ in told] == ["e0", "e1"]
    assert selector.count_suspected() == 2
    for attempt in range(10, 20):
        selector.record_sent("e0", attempt, 10.0)
        selector.record_response("e0", attempt, EXPECTED_MS, False, 20.0)
    assert told[2:] == [("e0", "")]
    assert selector.count_suspected() == 1


def test_endpoint_that_started_again_has_no_past(selector):
    # Guards against an endpoint that returned and still rests for what its last process did.
    before = evolve(LOCAL, born_ms=1)
    selector.pick((before,), EXPECTED_MS, 0.0)
    for attempt in range(5):
        selector.record_sent("e0", attempt, 0.0)
        selector.record_unreachable("e0", attempt, 0.0)
    assert selector.pick((before,), EXPECTED_MS, 1.0) is None
    after = evolve(LOCAL, born_ms=2)
    assert selector.pick((after,), EXPECTED_MS, 1.0) is after
    assert selector.count_suspected() == 0
