"""Tests individual decisions in the coordination of a query."""

import pytest

from persimmonspur.core.requests.actions import (
    CancelSubRequest,
    Finish,
    SendSubRequest,
    SubRequestKind,
    WakeAt,
)
from persimmonspur.core.requests.coordination import HOP_MARGIN_MS, Coordination
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.query import Query, SnapshotId
from simulation import SNAPSHOT, build_context, build_reply, build_service, report

RECORDS = [{"id": "r", "score": 1.0}]


class QueryHarness:
    """Runs one query, by default of one shard with three replicas and a full retry budget."""

    def __init__(self, shards=1, priority=0, budget=10_000, replicas=3, seed=1, **options):
        self.context = build_context(build_service(shards, replicas), seed=seed)
        self.context.retry_budgets.get("desk").record_first_attempts(budget)
        self.view = self.context.view
        self.now_ms = 0.0
        self.sent = []
        self.cancelled = []
        self.answer = None
        self.wake_at_ms = None
        self.create_coordination(priority, **options)

    def create_coordination(self, priority=0, **options):
        name = "batch" if priority == 2 else "counter"
        self.query = Query("desk", name, 100.0, "q1", **options)
        self.coordination = Coordination(self.query, priority, self.context, self.now_ms)

    def start(self):
        self.execute(self.coordination.start(self.now_ms))
        return self

    def execute(self, actions):
        for action in actions:
            match action:
                case SendSubRequest():
                    self.sent.append(action)
                case CancelSubRequest():
                    self.cancelled.append(action.request_id)
                case WakeAt():
                    self.wake_at_ms = action.at_ms
                case Finish():
                    self.answer = action.answer

    def wake(self):
        self.now_ms = self.wake_at_ms
        self.execute(self.coordination.wake(self.now_ms))

    def reply(self, index=-1, **options):
        reply = build_reply(self.sent[index].request, RECORDS, **options)
        self.view.observe_reply(reply, None, self.now_ms)
        self.execute(self.coordination.handle_reply(reply, self.now_ms))

    def list_kinds(self):
        return [action.kind for action in self.sent]


def test_the_timeout_of_each_hop_leaves_a_margin():
    harness = QueryHarness().start()
    assert harness.sent[0].request.timeout_ms == 100.0 - HOP_MARGIN_MS


def test_ids_differ_between_two_runs_of_one_request():
    harness = QueryHarness().start()
    harness.create_coordination()
    harness.start()
    assert harness.sent[0].request.id != harness.sent[1].request.id


def test_a_hedge_goes_to_another_owner_and_domain_and_the_slower_attempt_is_cancelled():
    harness = QueryHarness().start()
    harness.wake()
    first, hedge = harness.sent
    assert hedge.kind is SubRequestKind.HEDGE and hedge.request.hedge
    assert first.owner != hedge.owner
    domains = [
        harness.view.endpoints[a.request.endpoint].endpoint.failure_domain for a in harness.sent
    ]
    assert domains[0] != domains[1]
    harness.reply()
    assert harness.answer.records == RECORDS
    assert harness.cancelled == [first.request.id]


def test_a_hedge_prefers_another_failure_domain():
    for seed in range(20):
        harness = QueryHarness(replicas=6, seed=seed).start()
        harness.wake()
        names = [action.request.endpoint for action in harness.sent]
        domains = [harness.view.endpoints[name].endpoint.failure_domain for name in names]
        assert len(names) == 2 and domains[0] != domains[1]


def test_the_hedge_delay_is_the_95th_percentile():
    harness = QueryHarness().start()
    assert (
        harness.wake_at_ms == harness.context.latency_estimators.get("desk", "counter", 4.0).p95_ms
    )


def test_a_hedge_without_budget_is_requested_again_later():
    harness = QueryHarness(budget=0)
    assert harness.context.retry_budgets.get("desk").try_acquire_hedge()
    harness.start()
    harness.wake()
    assert harness.list_kinds() == [SubRequestKind.FIRST]
    harness.context.retry_budgets.get("desk").record_first_attempts(100)
    harness.wake()
    assert harness.list_kinds() == [SubRequestKind.FIRST, SubRequestKind.HEDGE]


def test_a_frozen_owner_is_suspected_and_its_sub_request_is_retried_elsewhere():
    harness = QueryHarness(budget=0)
    while harness.context.retry_budgets.get("desk").try_acquire_hedge():
        pass
    harness.start()
    harness.context.retry_budgets.get("desk").record_first_attempts(25)
    while len(harness.sent) < 2 and harness.answer is None:
        harness.wake()
    assert harness.sent[1].kind is SubRequestKind.RETRY
    assert harness.sent[1].owner != harness.sent[0].owner
    assert harness.view.owners[harness.sent[0].owner].suspected
    harness.create_coordination()
    harness.start()
    assert harness.sent[2].owner != harness.sent[0].owner


def test_an_owner_that_replies_to_others_is_not_suspected():
    harness = QueryHarness().start()
    owner = harness.view.owners[harness.sent[0].owner]
    while harness.answer is None:
        owner.last_reply_ms = harness.wake_at_ms
        harness.wake()
    assert not owner.suspected


def test_no_owner_is_suspected_after_the_coordinator_itself_was_stalled():
    harness = QueryHarness().start()
    harness.now_ms = harness.wake_at_ms + 60.0
    harness.execute(harness.coordination.wake(harness.now_ms))
    assert len(harness.sent) == 1
    assert not any(owner.suspected for owner in harness.view.owners.values())


@pytest.mark.parametrize("repeatable", [True, False])
def test_each_certain_rejection_leads_to_one_placement(repeatable):
    harness = QueryHarness(repeatable=repeatable).start()
    for _ in range(3):
        harness.reply(error=ErrorKind.CANCELLED, ran=Ran.NO)
    assert harness.list_kinds() == [
        SubRequestKind.FIRST,
        SubRequestKind.PLACEMENT,
        SubRequestKind.PLACEMENT,
    ]
    assert len({action.request.endpoint for action in harness.sent}) == 3
    assert not any(action.request.hedge for action in harness.sent)
    # No further reply is possible, so the query finishes before its deadline.
    assert harness.answer.failure.kind is ErrorKind.INCOMPLETE
    assert harness.answer.failure.ran is Ran.NO
    assert harness.answer.missing_shards == ("s0",)


def test_a_sub_request_of_a_lost_owner_is_retried_at_a_replica_that_rejected_it():
    harness = QueryHarness().start()
    lost = harness.sent[0].owner
    while len(harness.sent) < 2:
        harness.wake()
    rejected = {}
    while harness.answer is None:
        action = harness.sent[-1]
        if action.request.id not in harness.coordination._attempts.outstanding:
            harness.wake()
            continue
        if action.request.endpoint not in rejected:
            rejected[action.request.endpoint] = True
            harness.reply(error=ErrorKind.ENDPOINT_UNAVAILABLE, ran=Ran.NO)
            continue
        harness.reply()
    assert harness.answer.records == RECORDS
    assert all(action.owner != lost for action in harness.sent[1:])


def test_a_retry_goes_to_a_warming_replica_if_no_warm_one_is_left():
    harness = QueryHarness()
    harness.start()
    for name in ("s0-r0", "s0-r1", "s0-r2"):
        if name != harness.sent[0].request.endpoint:
            report(harness.view, name, 0.0, state="warming")
    while len(harness.sent) < 2 and harness.answer is None:
        harness.wake()
    assert harness.sent[1].kind is SubRequestKind.RETRY
    assert not harness.sent[1].request.hedge


@pytest.mark.parametrize("state", ["cold", "warming"])
@pytest.mark.parametrize("error", [ErrorKind.OVERLOADED, ErrorKind.ENDPOINT_FAILED])
def test_a_further_attempt_goes_to_a_cold_replica_only_if_no_warm_one_is_left(state, error):
    # Guards against placements (after a certain rejection) and retries that load a replica which
    # can handle little, and against queries that fail while the last replica warms up.
    ran = Ran.NO if error is ErrorKind.OVERLOADED else Ran.UNKNOWN
    for seed in range(20):
        harness = QueryHarness(seed=seed).start()
        others = {"s0-r0", "s0-r1", "s0-r2"} - {harness.sent[0].request.endpoint}
        cold = sorted(others)[seed % 2]
        report(harness.view, cold, 0.0, state=state)
        while len(harness.sent) < 3 and harness.answer is None:
            sent_count = len(harness.sent)
            harness.reply(error=error, ran=ran)
            while len(harness.sent) == sent_count and harness.answer is None:
                harness.wake()
        assert [action.request.endpoint == cold for action in harness.sent] == [False, False, True]
        assert SubRequestKind.HEDGE not in harness.list_kinds()


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_shard_whose_replicas_all_change_owners_is_tried_again_in_time(repeatable):
    harness = QueryHarness(repeatable=repeatable).start()
    for _ in range(3):
        harness.reply(error=ErrorKind.NOT_OWNER, ran=Ran.NO)
    assert harness.answer is None
    assert harness.wake_at_ms < 20.0
    harness.wake()
    assert harness.list_kinds()[3:] == [SubRequestKind.PLACEMENT]
    harness.reply()
    assert harness.answer.records == RECORDS


def test_persistent_rejections_end_the_query_before_its_deadline():
    harness = QueryHarness().start()
    while harness.answer is None:
        if harness.coordination._attempts.outstanding:
            harness.reply(error=ErrorKind.NOT_OWNER, ran=Ran.NO)
        else:
            harness.wake()
    assert harness.now_ms < 100.0
    assert (harness.answer.failure.kind, harness.answer.failure.ran) == (
        ErrorKind.INCOMPLETE,
        Ran.NO,
    )
    # Delays double, so that a long outage causes few messages.
    assert len(harness.sent) <= 12


def test_a_placement_prefers_warm_replicas_to_warming_ones():
    for seed in range(20):
        harness = QueryHarness(budget=0)
        harness.context.rng.seed(seed)
        report(harness.view, "s0-r1", 0.0, state="warming")
        harness.start()
        if harness.sent[0].request.endpoint == "s0-r1":
            continue
        harness.reply(error=ErrorKind.ENDPOINT_DRAINING, ran=Ran.NO)
        assert harness.sent[1].request.endpoint != "s0-r1"
        harness.reply(error=ErrorKind.ENDPOINT_DRAINING, ran=Ran.NO)
        assert harness.sent[2].request.endpoint == "s0-r1"


def test_a_failed_repeatable_sub_request_is_retried_and_others_are_not():
    harness = QueryHarness().start()
    harness.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert harness.list_kinds() == [SubRequestKind.FIRST, SubRequestKind.RETRY]
    harness = QueryHarness(repeatable=False).start()
    harness.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert len(harness.sent) == 1
    assert harness.answer.failure.ran is Ran.UNKNOWN


def test_a_retry_waits_for_the_budget():
    harness = QueryHarness(budget=0).start()
    while harness.context.retry_budgets.get("desk").try_acquire_retry():
        pass
    harness.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert len(harness.sent) == 1 and harness.answer is None
    harness.context.retry_budgets.get("desk").record_first_attempts(100)
    harness.wake()
    assert harness.list_kinds() == [SubRequestKind.FIRST, SubRequestKind.RETRY]


def test_unanswered_sub_requests_make_the_label_unknown_unless_others_ran():
    harness = QueryHarness(shards=2, repeatable=False).start()
    harness.reply(0, error=ErrorKind.ENDPOINT_FAILED, ran=Ran.NO)
    while harness.answer is None:
        harness.wake()
    assert harness.now_ms == 100.0 - HOP_MARGIN_MS
    assert harness.answer.failure.ran is Ran.UNKNOWN
    harness = QueryHarness(shards=2, repeatable=False).start()
    harness.reply(0)
    while harness.answer is None:
        harness.wake()
    assert harness.answer.failure.ran is Ran.YES


def test_a_result_of_another_snapshot_ran_but_is_not_merged():
    harness = QueryHarness(repeatable=False).start()
    harness.reply(snapshot=SnapshotId(1, 2))
    assert harness.answer.records == []
    assert harness.answer.failure.ran is Ran.YES


def test_a_partial_answer_names_what_is_missing():
    harness = QueryHarness(shards=2, allow_partial=True).start()
    harness.reply(1)
    while harness.answer is None:
        harness.wake()
    assert harness.answer.failure is None and harness.answer.records == RECORDS
    assert harness.answer.missing_shards == ("s0",)
    assert harness.answer.coverage.covered == harness.answer.coverage.total // 2


def test_the_last_overload_is_reported_with_its_retry_delay():
    harness = QueryHarness().start()
    for _ in range(3):
        harness.reply(error=ErrorKind.OVERLOADED, ran=Ran.NO, retry_after_ms=70.0)
    assert harness.answer.failure.kind is ErrorKind.OVERLOADED
    assert (harness.answer.failure.ran, harness.answer.failure.retry_after_ms) == (Ran.NO, 70.0)


def test_endpoints_that_fail_repeatedly_are_ejected():
    harness = QueryHarness()
    for _ in range(3):
        harness.create_coordination(repeatable=False)
        harness.sent.clear()
        for name in ("s0-r1", "s0-r2"):
            report(harness.view, name, 0.0, queue=20)
        report(harness.view, "s0-r0")
        harness.start()
        harness.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert harness.view.endpoints["s0-r0"].ejected_until_ms > 0


def test_a_query_whose_slowest_shard_would_miss_the_deadline_is_rejected_immediately():
    harness = QueryHarness(shards=2)
    for replica in range(3):
        report(harness.view, f"s1-r{replica}", queue=60, running=2)
    harness.start()
    failure = harness.answer.failure
    assert harness.sent == []
    assert (failure.kind, failure.ran) == (ErrorKind.OVERLOADED, Ran.NO)
    assert failure.retry_after_ms > 50
    assert harness.answer.missing_shards == ("s0", "s1")


def test_bulk_queries_leave_the_last_slot_free_and_send_the_rest_later():
    harness = QueryHarness(shards=24, priority=2)
    for view in harness.view.endpoints.values():
        report(harness.view, view.endpoint.name, running=1)
    harness.start()
    # A share of 0.2 of 144 slots, divided among three coordinators.
    assert len(harness.sent) == 9
    for index in range(24):
        harness.reply(index)
    assert len(harness.sent) == 24 and harness.answer.coverage.complete


def test_a_bulk_query_is_limited_even_if_all_slots_are_free():
    harness = QueryHarness(shards=24, priority=2).start()
    assert len(harness.sent) == 16
    assert len(QueryHarness(shards=24).start().sent) == 24


def test_bulk_queries_send_in_order_of_arrival():
    first = QueryHarness(shards=24, priority=2).start()
    second = QueryHarness(priority=2)
    second.context = first.context
    second.create_coordination(2)
    second.start()
    # The first query has eight deferred sub-requests, so the second waits despite free slots.
    assert (len(first.sent), len(second.sent)) == (16, 0)
    for index in range(8):
        first.reply(index)
    second.wake()
    assert (len(first.sent), len(second.sent)) == (24, 16)


def test_a_bulk_query_is_rejected_if_deferred_ones_will_not_finish_in_time():
    harness = QueryHarness(priority=2)
    load = harness.context.outstanding_limits.get("desk", "batch")
    for _ in range(20):
        load.defer(load)
    assert load.estimate_wait(500.0) == 0.0
    for _ in range(50):
        load.outstanding += 1
        load.record_completion()
    # 50 sub-requests completed in 500 ms, and 20 are deferred.
    assert load.estimate_wait(1_000.0) == pytest.approx(200.0)
    harness.now_ms = 1_000.0
    harness.create_coordination(2)
    harness.start()
    assert harness.answer.failure.kind is ErrorKind.OVERLOADED and harness.sent == []


def test_the_completion_rate_of_a_bulk_class_is_not_measured_at_low_demand():
    load = QueryHarness().context.outstanding_limits.get("desk", "batch")
    load.estimate_wait(500.0)
    load.outstanding += 1
    load.record_completion()
    load.defer(load)
    assert load.estimate_wait(1_000.0) == 0.0


def test_the_query_restarts_once_if_its_snapshot_is_lost():
    newer = SnapshotId(1, 2)
    harness = QueryHarness(shards=2).start()
    for name in harness.view.endpoints:
        report(harness.view, name, snapshots=[newer])
    harness.reply(0, error=ErrorKind.SNAPSHOT_NOT_HELD, ran=Ran.NO)
    assert [action.request.snapshot for action in harness.sent] == [SNAPSHOT] * 2 + [newer] * 2
    assert harness.cancelled == [harness.sent[1].request.id]
    harness.reply(1)
    assert harness.answer is None
    harness.reply(2)
    harness.reply(3)
    assert harness.answer.snapshot == newer and harness.answer.coverage.complete


@pytest.mark.parametrize("names", [("s0", "s1"), ("s0",)])
def test_the_query_does_not_restart_with_an_older_or_incomplete_snapshot(names):
    harness = QueryHarness(shards=2, allow_partial=True)
    pinned, other = SnapshotId(1, 5), SnapshotId(1, 4 if len(names) == 2 else 6)
    for name in harness.view.endpoints:
        report(harness.view, name, snapshots=[pinned])
    harness.start()
    for name in harness.view.endpoints:
        if name.startswith(names):
            report(harness.view, name, snapshots=[other])
    harness.reply(0, error=ErrorKind.SNAPSHOT_NOT_HELD, ran=Ran.NO)
    harness.reply(1)
    assert len(harness.sent) == 2
    assert (harness.answer.snapshot, harness.answer.missing_shards) == (pinned, ("s0",))


def test_a_non_repeatable_query_does_not_restart():
    harness = QueryHarness(repeatable=False).start()
    for name in harness.view.endpoints:
        report(harness.view, name, snapshots=[SnapshotId(1, 2)])
    harness.reply(error=ErrorKind.SNAPSHOT_NOT_HELD, ran=Ran.NO)
    assert len(harness.sent) == 1 and harness.answer.failure.ran is Ran.NO
