import random

import pytest
from attrs import evolve

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.selection import MAX_UNREACHABLE_BACKOFF_MS, ReplicaSelector

EXPECTED_MS = 20.0
LOCAL, NEAR, FAR = (
    Endpoint(f"e{index}", "s", f"10.0.0.{index}:80", f"d{index}", 4) for index in range(3)
)
ALL = (LOCAL, NEAR, FAR)
E0, E1, E2 = (endpoint.lifetime for endpoint in ALL)


@pytest.fixture
def selector():
    return ReplicaSelector("d0", random.Random(1))


def count_picks(selector, now_ms, times=200):
    picks = [selector.pick(ALL, EXPECTED_MS, now_ms).identity for _ in range(times)]
    return {endpoint.identity: picks.count(endpoint.identity) for endpoint in ALL}


def test_local_replica_is_preferred_while_all_are_equal(selector):
    counts = count_picks(selector, 0.0)
    assert counts["e0"] > 150


def test_loaded_local_replica_is_not_preferred(selector):
    # Guards against requests that queue at a local replica while remote ones are idle.
    for attempt in range(4):
        selector.record_sent(E0, attempt, 0.0)
    assert count_picks(selector, 1.0)["e0"] == 0


def test_replica_with_an_overdue_request_is_avoided_until_it_responds(selector):
    # Guards against sending one request after the other to a paused replica.
    selector.record_sent(E0, 1, 0.0)
    selector.record_sent(E1, 2, 0.0)
    selector.record_sent(E2, 3, 0.0)
    assert count_picks(selector, 5.0)["e0"] > 0
    for lifetime, attempt in ((E1, 2), (E2, 3)):
        selector.record_response(lifetime, attempt, EXPECTED_MS, False, 20.0)
        selector.record_sent(lifetime, attempt, 95.0)
    assert count_picks(selector, 100.0)["e0"] == 0
    selector.record_response(E0, 1, EXPECTED_MS, False, 200.0)
    for lifetime, attempt in ((E1, 2), (E2, 3)):
        selector.record_response(lifetime, attempt, EXPECTED_MS, False, 115.0)
    assert count_picks(selector, 8_000.0)["e0"] > 60
    assert count_picks(selector, 20_000.0)["e0"] > 150


def test_idle_replica_goes_before_one_that_owes_a_response(selector):
    # Guards against requests that pile up at a replica from the start of its pause until its
    # first request is overdue.
    selector.record_sent(E0, 1, 0.0)
    assert count_picks(selector, 1.0)["e0"] == 0


def test_replicas_that_are_faster_than_usual_share_the_requests(selector):
    # Guards against one replica that gets all requests because it answered the last one.
    for attempt in range(20):
        selector.record_sent(E1, attempt, 0.0)
        selector.record_response(E1, attempt, EXPECTED_MS, False, 0.5 * EXPECTED_MS)
    counts = count_picks(selector, 0.5 * EXPECTED_MS)
    assert counts["e0"] > counts["e1"] > 0


def test_slow_replica_is_avoided_and_tried_again_later(selector):
    for attempt in range(10):
        selector.record_sent(E0, attempt, 0.0)
        selector.record_response(E0, attempt, EXPECTED_MS, False, 100.0)
    assert count_picks(selector, 101.0)["e0"] == 0
    assert count_picks(selector, 15_000.0)["e0"] > 100


def test_reported_load_of_other_instances_decays(selector):
    selector.record_load(E0, 4, 6, 0.0)
    assert count_picks(selector, 1.0)["e0"] == 0
    assert count_picks(selector, 3_000.0)["e0"] > 150


def test_unreachable_replica_is_blocked_for_a_time(selector):
    # Guards against clients that wait for an endpoint that is down.
    for attempt in range(8):
        selector.record_unreachable(E0, attempt, 0.0)
    assert count_picks(selector, 100.0)["e0"] == 0
    assert count_picks(selector, 1.25 * MAX_UNREACHABLE_BACKOFF_MS + 1)["e0"] > 0


def test_pick_returns_none_if_all_replicas_are_unreachable(selector):
    for endpoint in ALL:
        selector.record_unreachable(endpoint.lifetime, 1, 0.0)
    assert selector.pick(ALL, EXPECTED_MS, 1.0) is None


def test_replica_that_fails_part_of_its_requests_is_avoided(selector):
    for attempt in range(10):
        selector.record_sent(E0, attempt, 0.0)
        selector.record_response(E0, attempt, EXPECTED_MS, attempt % 2 == 0, 20.0)
    assert count_picks(selector, 21.0)["e0"] == 0


def test_capacity_depends_on_slots_and_on_load_of_other_instances(selector):
    selector.sharing_instances = 4
    selector.record_sent(E0, 1, 0.0)
    assert not selector.has_capacity(LOCAL, EXPECTED_MS, 0.0, 0.0)
    assert selector.has_capacity(LOCAL, EXPECTED_MS, EXPECTED_MS, 0.0)
    selector.record_load(E0, 1, 0, 0.0)
    assert selector.has_capacity(LOCAL, EXPECTED_MS, 0.0, 0.0)


def test_capacity_of_a_paused_endpoint_does_not_grow_with_the_age_of_its_report(selector):
    # Guards against a queue at an endpoint that reports nothing because it is paused.
    selector.sharing_instances = 4
    selector.record_load(E0, 1, 0, 0.0)
    for attempt in range(2):
        selector.record_sent(E0, attempt, 0.0)
    assert not selector.has_capacity(LOCAL, EXPECTED_MS, 0.0, 10_000.0)


def test_states_of_removed_endpoints_are_dropped(selector):
    selector.record_sent(E0, 1, 0.0)
    selector.record_load(E1, 1, 1, 0.0)
    selector.retain(frozenset())
    assert list(selector._states) == [E0]


def test_suspicion_is_reported_once_and_withdrawn():
    # Guards against logs that do not show when an endpoint became suspected, or that
    # repeat it with each failure.
    changes = []
    selector = ReplicaSelector("d0", random.Random(1), lambda *change: changes.append(change))
    for attempt in range(5):
        selector.record_sent(E0, attempt, 0.0)
        selector.record_connection_lost(E0, attempt, 1.0)
    selector.record_sent(E1, 9, 0.0)
    selector.record_unreachable(E1, 9, 1.0)
    assert [identity for identity, _ in changes] == ["e0", "e1"]
    assert selector.count_suspected() == 2
    for attempt in range(10, 20):
        selector.record_sent(E0, attempt, 10.0)
        selector.record_response(E0, attempt, EXPECTED_MS, False, 20.0)
    assert changes[2:] == [("e0", "")]
    assert selector.count_suspected() == 1


@pytest.mark.parametrize("change", [{"born_ms": 2}, {"address": "10.0.9.9:80"}])
def test_failures_before_a_restart_are_dropped(change):
    # Guards against blocking a restarted endpoint for the failures of its previous process.
    changes = []
    selector = ReplicaSelector("d0", random.Random(1), lambda *change: changes.append(change))
    before = evolve(LOCAL, born_ms=1)
    for attempt in range(5):
        selector.record_sent(before.lifetime, attempt, 0.0)
        selector.record_unreachable(before.lifetime, attempt, 0.0)
    assert selector.pick((before,), EXPECTED_MS, 1.0) is None
    after = evolve(before, **change)
    assert selector.pick((after,), EXPECTED_MS, 1.0) is after
    selector.retain(frozenset([after.lifetime]))
    assert selector.count_suspected() == 0
    assert changes == [("e0", "unreachable"), ("e0", "")]


@pytest.mark.parametrize("change", [{"born_ms": 2}, {"address": "10.0.9.9:80"}])
def test_late_results_of_a_former_process_concern_only_that_process(change):
    # Guards against a restarted endpoint that is avoided because sends to its former process
    # fail one after the other.
    selector = ReplicaSelector("d0", random.Random(1))
    before = evolve(LOCAL, born_ms=1)
    after = evolve(before, **change)
    for attempt in range(3):
        selector.record_sent(before.lifetime, attempt, 0.0)
    selector.record_load(before.lifetime, 50, 50, 1.0)
    assert selector.has_capacity(after, EXPECTED_MS, 0.0, 1.0)
    selector.pick((after,), EXPECTED_MS, 1.0)
    for attempt in range(3):
        selector.record_unreachable(before.lifetime, attempt, 2.0)
    assert selector.pick((after,), EXPECTED_MS, 3.0) is after
    assert not selector.get_state(after.lifetime).suspected
