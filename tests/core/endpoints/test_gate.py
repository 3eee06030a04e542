"""Tests individual rules of the gate that the randomized tests rarely isolate."""

from random import Random

from persimmonspur.core.endpoints.actions import Dispatch, Probe, Reply
from persimmonspur.core.endpoints.budget import ConnectionBudget
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.core.endpoints.warmup import WarmUp
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import DesiredState, Endpoint, EndpointLimits
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

SNAPSHOT = SnapshotId(1, 1)


def build_gate(slots=4, queue=8, level=4):
    endpoint = Endpoint("e", "s", "127.0.0.1:1", "d", ("a",))
    gate = EndpointGate(endpoint, EndpointLimits(slots, 65, 6.0, queue), 10.0)
    gate.restore(level, "i1")
    gate.set_usable_until(1e9, 0.0)
    return gate


def offer(gate, name, now=0.0, timeout_ms=1_000.0, priority=0):
    request = SubRequest(
        name, name, "s", "a", "e", SNAPSHOT, timeout_ms, priority, True, False, None
    )
    return gate.offer(request, now)


def report(incarnation="i1", state="warm"):
    return EndpointReport(incarnation, state, 0.1, (SNAPSHOT,))


def succeed(gate, name, now, duration_ms=10.0, **report_fields):
    outcome = EndpointOutcome(None, "", Ran.YES, [], SNAPSHOT, report(**report_fields), duration_ms)
    return gate.complete(name, outcome, now)


def fail(gate, name, now, kind=ErrorKind.ENDPOINT_FAILED, **fields):
    outcome = EndpointOutcome(kind, "", Ran.UNKNOWN, None, None, None, 10.0, **fields)
    return gate.complete(name, outcome, now)


def test_higher_priority_is_dispatched_first_and_evicts_the_last_entry():
    gate = build_gate(slots=1, queue=2, level=1)
    offer(gate, "running")
    offer(gate, "batch-late", timeout_ms=900.0, priority=2)
    offer(gate, "batch-soon", timeout_ms=500.0, priority=2)
    evicted = offer(gate, "counter", priority=0)
    assert [action.reply.id for action in evicted] == ["batch-late"]
    assert evicted[0].reply.ran is Ran.NO
    sent = [a for a in succeed(gate, "running", 5.0) if isinstance(a, Dispatch)]
    assert [action.request.id for action in sent] == ["counter"]


def test_entry_that_would_miss_its_deadline_is_rejected_with_a_retry_delay():
    gate = build_gate(slots=1, level=1)
    offer(gate, "running")
    for index in range(4):
        offer(gate, f"q{index}")
    (action,) = offer(gate, "late", timeout_ms=30.0, priority=1)
    assert (action.reply.error, action.reply.ran) == (ErrorKind.OVERLOADED, Ran.NO)
    assert action.reply.retry_after_ms >= 40.0


def test_report_of_a_former_incarnation_does_not_reset_the_warmup():
    gate = build_gate()
    offer(gate, "a")
    succeed(gate, "a", 5.0, incarnation="i2")
    for index in range(12):
        offer(gate, f"w{index}", 10.0)
        succeed(gate, f"w{index}", 20.0, incarnation="i2")
    gate.observe_report(report("i1"), 30.0)
    assert gate.state == "warm"


def test_failures_eject_and_one_failure_on_probation_ejects_again():
    gate = build_gate()
    for index in range(5):
        gate.tick(2_000.0 * index)
        offer(gate, f"f{index}", 2_000.0 * index)
        fail(gate, f"f{index}", 2_000.0 * index + 10.0)
    assert gate.state == "ejected"
    assert gate.limit == 1
    gate.tick(20_000.0)
    assert gate.state == "cold"
    offer(gate, "probe", 20_000.0)
    fail(gate, "probe", 20_010.0)
    assert gate.state == "ejected"


def test_reports_of_a_cold_endpoint_never_eject():
    gate = build_gate()
    for index in range(50):
        gate.tick(index * 1_000.0)
        gate.observe_report(EndpointReport("i1", "cold", 1.0, ()), index * 1_000.0)
    assert gate.state == "cold"


def test_endpoint_that_reports_cold_gets_one_request_at_a_time():
    gate = build_gate()
    for index in range(10):
        offer(gate, f"w{index}")
        succeed(gate, f"w{index}", 10.0, state="cold")
    assert (gate.state, gate.limit) == ("cold", 1)


def test_closed_idle_connections_limit_the_endpoint_until_its_next_report():
    gate = build_gate()
    gate.tick(0.0)
    gate.observe_idle_closed(10.0)
    assert gate.limit == 1
    # The probe was sent before the close, so its answer cannot show whether the endpoint restarted.
    gate.observe_report(report(), 11.0)
    assert gate.limit == 1
    assert any(isinstance(action, Probe) for action in gate.tick(12.0))
    gate.observe_report(report(), 13.0)
    assert gate.limit == 4


def test_timed_out_requests_block_their_slots_until_expiry():
    gate = build_gate(slots=1, level=1)
    offer(gate, "lost")
    fail(gate, "lost", 100.0, ErrorKind.DEADLINE_EXCEEDED)
    assert not gate.get_status(100.0).usable
    (action,) = offer(gate, "next", 100.0)
    assert isinstance(action, Reply)
    assert action.reply.ran is Ran.NO
    assert action.reply.retry_after_ms > 800.0
    assert isinstance(offer(gate, "later", 1_100.0)[0], Dispatch)


def test_slots_of_an_ended_process_are_released_only_by_a_later_report():
    gate = build_gate()
    gate.tick(0.0)
    for name in ("known", "unknown"):
        offer(gate, name)
    fail(gate, "known", 5.0, ErrorKind.UNREACHABLE, reset=True, connection_incarnation="i1")
    fail(gate, "unknown", 5.0, ErrorKind.UNREACHABLE, reset=True)
    assert gate.get_status(6.0).running == 2
    # The probe was sent before the reset, so its answer does not prove that the process has ended.
    gate.observe_report(report("i2"), 7.0)
    assert gate.get_status(8.0).running == 2
    assert any(isinstance(action, Probe) for action in gate.tick(200.0))
    gate.observe_report(report("i2"), 201.0)
    assert gate.get_status(202.0).running == 1


def test_slowness_halves_the_limit_once_per_period():
    warmup = WarmUp(8)
    warmup.restore(8)
    for _ in range(20):
        warmup.observe_success(warmup.period, 0, 10.0)
    period = warmup.period
    warmup.observe_success(period, 0, 31.0)
    warmup.observe_success(period, 0, 31.0)
    warmup.halve(period)
    assert warmup.limit == 4
    warmup.observe_success(warmup.period, 2, 31.0)
    assert warmup.limit == 4


def test_reconnection_backoff_with_jitter_stays_within_bounds():
    budget = ConnectionBudget(65, 6.0, Random(1))
    delays, now = [], 0.0
    for _ in range(12):
        budget.back_off(now)
        delays.append(budget.retry_at_ms - now)
        now = budget.retry_at_ms
    assert delays[0] >= 50.0
    assert max(delays) <= 5_000.0
    assert delays[-1] >= 2_500.0
    assert not budget.can_acquire(now - 1.0, cold=False)
    assert budget.estimate_connect_delay(now - 1.0) == 7.0


def test_cold_endpoint_gets_one_new_connection_at_a_time():
    budget = ConnectionBudget(65, 6.0, Random(1))
    assert budget.acquire()
    assert not budget.can_acquire(0.0, cold=True)
    assert budget.can_acquire(0.0, cold=False)
    budget.release(new=True, lost=False)
    assert budget.can_acquire(0.0, cold=True)


def test_explanation_names_the_limiting_condition():
    gate = build_gate(level=2)
    assert gate.explain(1.0) == "it has not reported yet"
    offer(gate, "a")
    succeed(gate, "a", 1.0)
    assert gate.explain(1.0) == "proved 2 of 4 concurrent requests"
    offer(gate, "b")
    succeed(gate, "b", 2.0, state="draining")
    assert gate.explain(2.0) == "it said that it drains"
    gate.configure(gate.endpoint, gate.limits, DesiredState.OUT, 3.0)
    assert gate.explain(3.0) == "operators want it out"
    other = build_gate()
    other.set_usable_until(5.0, 0.0)
    assert other.explain(6.0) == "no confirmed right to send"
