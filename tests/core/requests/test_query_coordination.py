"""Guards single decisions of a query's coordination."""

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


class Bench:
    """One query of one shard with three replicas, whose budget is full."""

    def __init__(self, shards=1, priority=0, budget=10_000, replicas=3, seed=1, **options):
        self.context = build_context(build_service(shards, replicas), seed=seed)
        self.context.retry_budgets.get("desk").record_first_attempts(budget)
        self.view = self.context.view
        self.now_ms = 0.0
        self.sent = []
        self.cancelled = []
        self.answer = None
        self.wake_at_ms = None
        self.begin(priority, **options)

    def begin(self, priority=0, **options):
        name = "batch" if priority == 2 else "counter"
        self.query = Query("desk", name, 100.0, "q1", **options)
        self.run = Coordination(self.query, priority, self.context, self.now_ms)

    def start(self):
        self.execute(self.run.start(self.now_ms))
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
        self.execute(self.run.wake(self.now_ms))

    def reply(self, index=-1, **options):
        reply = build_reply(self.sent[index].request, RECORDS, **options)
        self.view.observe_reply(reply, None, self.now_ms)
        self.execute(self.run.handle_reply(reply, self.now_ms))

    def list_kinds(self):
        return [action.kind for action in self.sent]


def test_the_timeout_of_each_hop_leaves_a_margin():
    bench = Bench().start()
    assert bench.sent[0].request.timeout_ms == 100.0 - HOP_MARGIN_MS


def test_ids_differ_between_two_runs_of_one_request():
    bench = Bench().start()
    bench.begin()
    bench.start()
    assert bench.sent[0].request.id != bench.sent[1].request.id


def test_a_hedge_goes_to_another_owner_and_domain_and_the_loser_is_cancelled():
    bench = Bench().start()
    bench.wake()
    first, hedge = bench.sent
    assert hedge.kind is SubRequestKind.HEDGE and hedge.request.hedge
    assert first.owner != hedge.owner
    domains = [bench.view.endpoints[a.request.endpoint].endpoint.failure_domain for a in bench.sent]
    assert domains[0] != domains[1]
    bench.reply()
    assert bench.answer.records == RECORDS
    assert bench.cancelled == [first.request.id]


def test_a_hedge_prefers_another_failure_domain():
    for seed in range(20):
        bench = Bench(replicas=6, seed=seed).start()
        bench.wake()
        names = [action.request.endpoint for action in bench.sent]
        domains = [bench.view.endpoints[name].endpoint.failure_domain for name in names]
        assert len(names) == 2 and domains[0] != domains[1]


def test_the_hedge_delay_is_the_95th_percentile():
    bench = Bench().start()
    assert bench.wake_at_ms == bench.context.latency_estimators.get("desk", "counter", 4.0).p95_ms


def test_no_hedge_without_budget_and_it_is_asked_for_again():
    bench = Bench(budget=0)
    assert bench.context.retry_budgets.get("desk").try_acquire_hedge()
    bench.start()
    bench.wake()
    assert bench.list_kinds() == [SubRequestKind.FIRST]
    bench.context.retry_budgets.get("desk").record_first_attempts(100)
    bench.wake()
    assert bench.list_kinds() == [SubRequestKind.FIRST, SubRequestKind.HEDGE]


def test_a_frozen_owner_is_suspected_and_its_sub_request_goes_elsewhere():
    bench = Bench(budget=0)
    while bench.context.retry_budgets.get("desk").try_acquire_hedge():
        pass
    bench.start()
    bench.context.retry_budgets.get("desk").record_first_attempts(25)
    while len(bench.sent) < 2 and bench.answer is None:
        bench.wake()
    assert bench.sent[1].kind is SubRequestKind.RETRY
    assert bench.sent[1].owner != bench.sent[0].owner
    assert bench.view.owners[bench.sent[0].owner].suspected
    bench.begin()
    bench.start()
    assert bench.sent[2].owner != bench.sent[0].owner


def test_an_owner_that_replies_to_others_is_not_suspected():
    bench = Bench().start()
    owner = bench.view.owners[bench.sent[0].owner]
    while bench.answer is None:
        owner.last_reply_ms = bench.wake_at_ms
        bench.wake()
    assert not owner.suspected


def test_no_owner_is_suspected_after_the_coordinator_itself_stood_still():
    bench = Bench().start()
    bench.now_ms = bench.wake_at_ms + 60.0
    bench.execute(bench.run.wake(bench.now_ms))
    assert len(bench.sent) == 1
    assert not any(owner.suspected for owner in bench.view.owners.values())


@pytest.mark.parametrize("repeatable", [True, False])
def test_each_certain_rejection_leads_to_one_placement(repeatable):
    bench = Bench(repeatable=repeatable).start()
    for _ in range(3):
        bench.reply(error=ErrorKind.CANCELLED, ran=Ran.NO)
    assert bench.list_kinds() == [
        SubRequestKind.FIRST,
        SubRequestKind.PLACEMENT,
        SubRequestKind.PLACEMENT,
    ]
    assert len({action.request.endpoint for action in bench.sent}) == 3
    assert not any(action.request.hedge for action in bench.sent)
    # Nothing more can come, so the answer does not wait for the deadline.
    assert bench.answer.failure.kind is ErrorKind.INCOMPLETE
    assert bench.answer.failure.ran is Ran.NO
    assert bench.answer.missing_shards == ("s0",)


def test_a_sub_request_of_a_lost_owner_finds_a_replica_that_refused_at_first():
    bench = Bench().start()
    lost = bench.sent[0].owner
    while len(bench.sent) < 2:
        bench.wake()
    rejected = {}
    while bench.answer is None:
        action = bench.sent[-1]
        if action.request.id not in bench.run._attempts.outstanding:
            bench.wake()
            continue
        if action.request.endpoint not in rejected:
            rejected[action.request.endpoint] = True
            bench.reply(error=ErrorKind.ENDPOINT_UNAVAILABLE, ran=Ran.NO)
            continue
        bench.reply()
    assert bench.answer.records == RECORDS
    assert all(action.owner != lost for action in bench.sent[1:])


def test_a_retry_goes_to_a_warming_replica_if_no_warm_one_is_left():
    bench = Bench()
    bench.start()
    for name in ("s0-r0", "s0-r1", "s0-r2"):
        if name != bench.sent[0].request.endpoint:
            report(bench.view, name, 0.0, state="warming")
    while len(bench.sent) < 2 and bench.answer is None:
        bench.wake()
    assert bench.sent[1].kind is SubRequestKind.RETRY
    assert not bench.sent[1].request.hedge


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_shard_whose_replicas_all_change_hands_is_tried_again_in_time(repeatable):
    bench = Bench(repeatable=repeatable).start()
    for _ in range(3):
        bench.reply(error=ErrorKind.NOT_OWNER, ran=Ran.NO)
    assert bench.answer is None
    assert bench.wake_at_ms < 20.0
    bench.wake()
    assert bench.list_kinds()[3:] == [SubRequestKind.PLACEMENT]
    bench.reply()
    assert bench.answer.records == RECORDS


def test_rejections_that_do_not_pass_end_the_query_before_its_deadline():
    bench = Bench().start()
    while bench.answer is None:
        if bench.run._attempts.outstanding:
            bench.reply(error=ErrorKind.NOT_OWNER, ran=Ran.NO)
        else:
            bench.wake()
    assert bench.now_ms < 100.0
    assert (bench.answer.failure.kind, bench.answer.failure.ran) == (ErrorKind.INCOMPLETE, Ran.NO)
    # Delays double, so that a long outage costs few messages.
    assert len(bench.sent) <= 12


def test_a_placement_prefers_warm_replicas_to_warming_ones():
    for seed in range(20):
        bench = Bench(budget=0)
        bench.context.rng.seed(seed)
        report(bench.view, "s0-r1", 0.0, state="warming")
        bench.start()
        if bench.sent[0].request.endpoint == "s0-r1":
            continue
        bench.reply(error=ErrorKind.ENDPOINT_DRAINING, ran=Ran.NO)
        assert bench.sent[1].request.endpoint != "s0-r1"
        bench.reply(error=ErrorKind.ENDPOINT_DRAINING, ran=Ran.NO)
        assert bench.sent[2].request.endpoint == "s0-r1"


def test_a_failed_repeatable_sub_request_is_retried_and_others_are_not():
    bench = Bench().start()
    bench.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert bench.list_kinds() == [SubRequestKind.FIRST, SubRequestKind.RETRY]
    bench = Bench(repeatable=False).start()
    bench.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert len(bench.sent) == 1
    assert bench.answer.failure.ran is Ran.UNKNOWN


def test_a_retry_waits_for_the_budget():
    bench = Bench(budget=0).start()
    while bench.context.retry_budgets.get("desk").try_acquire_retry():
        pass
    bench.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert len(bench.sent) == 1 and bench.answer is None
    bench.context.retry_budgets.get("desk").record_first_attempts(100)
    bench.wake()
    assert bench.list_kinds() == [SubRequestKind.FIRST, SubRequestKind.RETRY]


def test_unanswered_sub_requests_make_the_label_unknown_unless_others_ran():
    bench = Bench(shards=2, repeatable=False).start()
    bench.reply(0, error=ErrorKind.ENDPOINT_FAILED, ran=Ran.NO)
    while bench.answer is None:
        bench.wake()
    assert bench.now_ms == 100.0 - HOP_MARGIN_MS
    assert bench.answer.failure.ran is Ran.UNKNOWN
    bench = Bench(shards=2, repeatable=False).start()
    bench.reply(0)
    while bench.answer is None:
        bench.wake()
    assert bench.answer.failure.ran is Ran.YES


def test_a_result_of_another_snapshot_ran_but_is_not_merged():
    bench = Bench(repeatable=False).start()
    bench.reply(snapshot=SnapshotId(1, 2))
    assert bench.answer.records == []
    assert bench.answer.failure.ran is Ran.YES


def test_a_partial_answer_names_what_is_missing():
    bench = Bench(shards=2, allow_partial=True).start()
    bench.reply(1)
    while bench.answer is None:
        bench.wake()
    assert bench.answer.failure is None and bench.answer.records == RECORDS
    assert bench.answer.missing_shards == ("s0",)
    assert bench.answer.coverage.covered == bench.answer.coverage.total // 2


def test_the_last_overload_is_reported_with_the_time_to_come_back():
    bench = Bench().start()
    for _ in range(3):
        bench.reply(error=ErrorKind.OVERLOADED, ran=Ran.NO, retry_after_ms=70.0)
    assert bench.answer.failure.kind is ErrorKind.OVERLOADED
    assert (bench.answer.failure.ran, bench.answer.failure.retry_after_ms) == (Ran.NO, 70.0)


def test_endpoints_that_fail_are_ejected_by_own_evidence():
    bench = Bench()
    for _ in range(3):
        bench.begin(repeatable=False)
        bench.sent.clear()
        for name in ("s0-r1", "s0-r2"):
            report(bench.view, name, 0.0, queue=20)
        report(bench.view, "s0-r0")
        bench.start()
        bench.reply(error=ErrorKind.ENDPOINT_FAILED, ran=Ran.UNKNOWN)
    assert bench.view.endpoints["s0-r0"].ejected_until_ms > 0


def test_a_query_whose_slowest_shard_would_miss_the_deadline_is_rejected_at_once():
    bench = Bench(shards=2)
    for replica in range(3):
        report(bench.view, f"s1-r{replica}", queue=60, running=2)
    bench.start()
    failure = bench.answer.failure
    assert bench.sent == []
    assert (failure.kind, failure.ran) == (ErrorKind.OVERLOADED, Ran.NO)
    assert failure.retry_after_ms > 50
    assert bench.answer.missing_shards == ("s0", "s1")


def test_bulk_queries_leave_the_last_slot_free_and_send_the_rest_later():
    bench = Bench(shards=24, priority=2)
    for view in bench.view.endpoints.values():
        report(bench.view, view.endpoint.name, running=1)
    bench.start()
    # 0.2 of 144 slots, shared by three coordinators.
    assert len(bench.sent) == 9
    for index in range(24):
        bench.reply(index)
    assert len(bench.sent) == 24 and bench.answer.coverage.complete


def test_a_bulk_query_is_bounded_even_if_all_slots_are_free():
    bench = Bench(shards=24, priority=2).start()
    assert len(bench.sent) == 16
    assert len(Bench(shards=24).start().sent) == 24


def test_bulk_queries_send_in_order_of_arrival():
    first = Bench(shards=24, priority=2).start()
    second = Bench(priority=2)
    second.context = first.context
    second.begin(2)
    second.start()
    # The first holds back eight sub-requests, so that the second waits in spite of free slots.
    assert (len(first.sent), len(second.sent)) == (16, 0)
    for index in range(8):
        first.reply(index)
    second.wake()
    assert (len(first.sent), len(second.sent)) == (24, 16)


def test_a_bulk_query_is_rejected_if_those_that_wait_will_not_be_done_in_time():
    bench = Bench(priority=2)
    load = bench.context.outstanding_limits.get("desk", "batch")
    for _ in range(20):
        load.defer(load)
    assert load.estimate_wait(500.0) == 0.0
    for _ in range(50):
        load.outstanding += 1
        load.record_completion()
    # 50 sub-requests in 500 ms, and 20 wait.
    assert load.estimate_wait(1_000.0) == pytest.approx(200.0)
    bench.now_ms = 1_000.0
    bench.begin(2)
    bench.start()
    assert bench.answer.failure.kind is ErrorKind.OVERLOADED and bench.sent == []


def test_the_rate_of_a_bulk_class_is_not_learned_from_low_demand():
    load = Bench().context.outstanding_limits.get("desk", "batch")
    load.estimate_wait(500.0)
    load.outstanding += 1
    load.record_completion()
    load.defer(load)
    assert load.estimate_wait(1_000.0) == 0.0


def test_the_query_restarts_once_if_its_snapshot_is_lost():
    newer = SnapshotId(1, 2)
    bench = Bench(shards=2).start()
    for name in bench.view.endpoints:
        report(bench.view, name, snapshots=[newer])
    bench.reply(0, error=ErrorKind.SNAPSHOT_NOT_HELD, ran=Ran.NO)
    assert [action.request.snapshot for action in bench.sent] == [SNAPSHOT] * 2 + [newer] * 2
    assert bench.cancelled == [bench.sent[1].request.id]
    bench.reply(1)
    assert bench.answer is None
    bench.reply(2)
    bench.reply(3)
    assert bench.answer.snapshot == newer and bench.answer.coverage.complete


@pytest.mark.parametrize("names", [("s0", "s1"), ("s0",)])
def test_the_query_does_not_go_back_to_an_older_or_incomplete_snapshot(names):
    bench = Bench(shards=2, allow_partial=True)
    pinned, other = SnapshotId(1, 5), SnapshotId(1, 4 if len(names) == 2 else 6)
    for name in bench.view.endpoints:
        report(bench.view, name, snapshots=[pinned])
    bench.start()
    for name in bench.view.endpoints:
        if name.startswith(names):
            report(bench.view, name, snapshots=[other])
    bench.reply(0, error=ErrorKind.SNAPSHOT_NOT_HELD, ran=Ran.NO)
    bench.reply(1)
    assert len(bench.sent) == 2
    assert (bench.answer.snapshot, bench.answer.missing_shards) == (pinned, ("s0",))


def test_a_non_repeatable_query_does_not_restart():
    bench = Bench(repeatable=False).start()
    for name in bench.view.endpoints:
        report(bench.view, name, snapshots=[SnapshotId(1, 2)])
    bench.reply(error=ErrorKind.SNAPSHOT_NOT_HELD, ran=Ran.NO)
    assert len(bench.sent) == 1 and bench.answer.failure.ran is Ran.NO
