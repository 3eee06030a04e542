"""Tests the choice among replicas, the routing view and outlier ejection."""

from collections import Counter
from random import Random

import pytest

from persimmonspur.core.routing.choice import (
    choose_expected_wait,
    estimate_reply_time,
    exclude_ejected,
    filter_for_first_attempt,
    filter_for_further_attempt,
    find_usable,
)
from persimmonspur.core.routing.outliers import OutlierDetector, count_ejectable
from persimmonspur.core.routing.view import OWNER_SILENCE_TIMEOUT_MS, STATUS_EXPIRY_MS
from persimmonspur.model.messages import EndpointStatus, SubRequest
from persimmonspur.model.query import SnapshotId
from simulation import SNAPSHOT, build_context, build_reply, build_service, report


@pytest.fixture
def context():
    return build_context(build_service(shards=1))


def list_replicas_of_shard(context):
    return context.view.list_replicas("desk", "s0")


def count_choices(context, times=300):
    replicas = list_replicas_of_shard(context)
    return Counter(
        choose_expected_wait(replicas, context.choice_context).endpoint.name for _ in range(times)
    )


def build_request(name):
    return SubRequest("r/s0/1", "r", "desk", "s0", name, SNAPSHOT, 90.0, 0, True, False, None)


@pytest.mark.parametrize(
    "figures", [{"queue": 4}, {"running": 2, "limit": 1}, {"service_ms": 12.0}], ids=str
)
def test_a_replica_with_a_longer_wait_is_avoided(context, figures):
    report(context.view, "s0-r0", 0.0, **figures)
    assert count_choices(context)["s0-r0"] < 10


def test_the_own_failure_domain_is_preferred_only_without_load(context):
    idle = count_choices(context)
    assert idle["s0-r0"] > idle["s0-r1"] and idle["s0-r0"] > idle["s0-r2"]
    report(context.view, "s0-r0", 0.0, queue=1, running=2)
    assert count_choices(context)["s0-r0"] < 10


def test_recent_errors_make_a_replica_less_attractive(context):
    for _ in range(3):
        list_replicas_of_shard(context)[0].observe_outcome(failed=True)
    assert count_choices(context)["s0-r0"] < 10


def test_the_expected_time_of_a_cold_replica_includes_a_connection(context):
    warm_ms = estimate_reply_time(list_replicas_of_shard(context)[0], 0.0)
    report(context.view, "s0-r0", 0.0, state="cold")
    assert estimate_reply_time(list_replicas_of_shard(context)[0], 0.0) == warm_ms + 1.0


def test_coordinators_with_the_same_statuses_do_not_herd():
    # Coordinators that counted only their own sub-requests would all choose the idle replica.
    sent = Counter()
    for seed in range(15):
        context = build_context(build_service(shards=1, slots=4), seed=seed, now_ms=0.0)
        context.view.coordinator_count = 15
        for name in ("s0-r1", "s0-r2"):
            report(context.view, name, 0.0, queue=4, running=4, limit=4)
        report(context.view, "s0-r0", 0.0, limit=4)
        for _ in range(6):
            view = choose_expected_wait(list_replicas_of_shard(context), context.choice_context)
            view.sent_since_report += 1
            sent[view.endpoint.name] += 1
    assert sent["s0-r0"] <= 2 / 3 * sum(sent.values())


def test_reported_queues_decay_over_time(context):
    view = list_replicas_of_shard(context)[0]
    report(context.view, "s0-r0", 0.0, queue=4)
    assert estimate_reply_time(view, 0.0) > estimate_reply_time(view, 20.0) > 0
    assert estimate_reply_time(view, 10_000.0) == view.base_reply_ms


def test_statuses_of_instances_that_do_not_own_the_endpoint_are_ignored(context):
    status = EndpointStatus("s0-r0", "warm", False, [], 0, 0, 2, 4.0)
    context.view.observe_status(status, "o1", 1.0)
    assert list_replicas_of_shard(context)[0].ready
    reply = build_reply(build_request("s0-r0"), queue=9)
    context.view.observe_reply(reply, "o1", 1.0)
    assert list_replicas_of_shard(context)[0].status.queue == 0


def test_the_status_of_a_former_owner_does_not_make_the_next_one_usable(context):
    view = list_replicas_of_shard(context)[0]
    view.owner = "o2"
    assert not view.ready
    report(context.view, "s0-r0", 0.0)
    assert view.ready


def test_a_silent_owner_is_avoided_and_then_its_statuses_expire(context):
    view = list_replicas_of_shard(context)[0]
    late_ms = OWNER_SILENCE_TIMEOUT_MS + 200.0
    for name in ("s0-r1", "s0-r2"):
        report(context.view, name, late_ms)
    context.view.refresh(late_ms)
    context.choice_context.now_ms = late_ms
    assert view.ready and count_choices(context)["s0-r0"] < 10
    context.view.refresh(STATUS_EXPIRY_MS + 200.0)
    assert not view.ready
    report(context.view, "s0-r0", STATUS_EXPIRY_MS + 201.0)
    assert view.ready and not view.owner_view.suspected


def test_a_reply_ends_the_suspicion_of_its_owner(context):
    owner = list_replicas_of_shard(context)[0].owner_view
    owner.suspect(5_000.0)
    context.view.observe_reply(build_reply(build_request("s0-r0")), "o0", 100.0)
    assert not owner.suspected


def test_replicas_that_do_not_hold_the_snapshot_or_were_tried_are_not_usable(context):
    replicas = list_replicas_of_shard(context)
    report(context.view, "s0-r0", 0.0, snapshots=[SnapshotId(1, 2)])
    report(context.view, "s0-r1", 0.0, usable=False)
    assert [view.endpoint.name for view in find_usable(replicas, SNAPSHOT, ())] == ["s0-r2"]
    assert find_usable(replicas, SNAPSHOT, {"s0-r2"}) == []


def test_cold_replicas_get_a_small_share_within_their_limit_and_no_further_attempts(context):
    replicas = list_replicas_of_shard(context)
    report(context.view, "s0-r0", 0.0, state="cold", limit=1)
    cold = sum(
        filter_for_first_attempt(replicas, 3, context.choice_context) == [replicas[0]]
        for _ in range(1_000)
    )
    assert 20 <= cold <= 100
    replicas[0].outstanding = 1
    for _ in range(200):
        assert replicas[0] not in filter_for_first_attempt(replicas, 3, context.choice_context)
    assert replicas[0] not in filter_for_further_attempt(replicas, 3, 0.0)


def test_cold_replicas_serve_if_no_warm_one_is_left(context):
    replicas = list_replicas_of_shard(context)
    for name in ("s0-r0", "s0-r1", "s0-r2"):
        report(context.view, name, 0.0, state="cold", limit=1)
    replicas[0].outstanding = 1
    assert filter_for_first_attempt(replicas, 3, context.choice_context) == replicas[1:]


@pytest.mark.parametrize(
    ("replicas", "usable", "most"),
    [(3, 3, 1), (3, 1, 0), (2, 2, 0), (6, 2, 1), (9, 9, 3), (9, 3, 2)],
)
def test_at_most_a_third_and_never_the_last_replica_is_ejected(replicas, usable, most):
    assert count_ejectable(replicas, usable) == most


def test_ejection_keeps_the_replicas_beyond_the_limit(context):
    replicas = list_replicas_of_shard(context)
    for index, view in enumerate(replicas):
        view.ejected_until_ms = 100.0 + index
    assert exclude_ejected(replicas, 3, 0.0) == replicas[:2]
    assert exclude_ejected(replicas[2:], 3, 0.0) == replicas[2:]
    assert exclude_ejected(replicas, 3, 200.0) == replicas


def test_ejection_times_grow_are_jittered_and_expire():
    detector = OutlierDetector(Random(1), 3)
    assert detector.observe_failure("e", 0.0) == 0.0
    assert detector.observe_failure("e", 0.0) == 0.0
    ejection_times_ms = []
    now_ms = 0.0
    for _ in range(8):
        until_ms = detector.observe_failure("e", now_ms)
        ejection_times_ms.append(until_ms - now_ms)
        now_ms = until_ms + 1
    assert 400 <= ejection_times_ms[0] <= 600 and 800 <= ejection_times_ms[1] <= 1_200
    assert (
        all(ejection_ms <= 36_000 for ejection_ms in ejection_times_ms)
        and ejection_times_ms[-1] >= 24_000
    )
    others = {OutlierDetector(Random(seed), 1).observe_failure("e", 0.0) for seed in range(5)}
    assert len(others) == 5
    detector.observe_success("e", now_ms + 40_000)
    assert detector.observe_failure("e", now_ms + 40_000) == 0.0
    assert detector.observe_failure("e", now_ms + 40_000) == 0.0
    assert detector.observe_failure("e", now_ms + 40_000) <= now_ms + 40_600


def test_a_success_resets_consecutive_failures():
    detector = OutlierDetector(Random(1), 3)
    for _ in range(5):
        detector.observe_failure("e", 0.0)
        detector.observe_failure("e", 0.0)
        detector.observe_success("e", 0.0)
    assert detector.observe_failure("e", 0.0) == 0.0
