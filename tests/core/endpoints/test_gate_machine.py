"""Checks the gate's invariants for random event orders, including duplicate and late events."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize

from persimmonspur.core.endpoints.actions import CancelAtEndpoint, Dispatch, Reply
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import DesiredState, Endpoint, EndpointLimits
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId
from walks import SOURCE, choose, step, walk

SNAPSHOT = SnapshotId(1, 1)
BOTH = [True, False]
STATES = ["warm"] * 18 + ["cold", "draining"]
ERRORS = {
    "shed": (ErrorKind.OVERLOADED, Ran.NO),
    "drain": (ErrorKind.ENDPOINT_DRAINING, Ran.NO),
    "bare": (ErrorKind.ENDPOINT_DRAINING, Ran.NO),
    "refused": (ErrorKind.UNREACHABLE, Ran.NO),
    "failed": (ErrorKind.ENDPOINT_FAILED, Ran.YES),
    "stale": (ErrorKind.ENDPOINT_FAILED, Ran.YES),
}


class GateMachine(RuleBasedStateMachine):
    """A gate, a fake endpoint, and an independent account of what the gate may do."""

    @initialize(slots=st.integers(1, 4), connections=st.integers(1, 9), queue=st.integers(1, 5))
    def begin(self, slots, connections, queue):
        self.now = 1_000.0
        self.endpoint = Endpoint("e", "s", "127.0.0.1:1", "d", ("a",))
        self.limits = EndpointLimits(slots, connections, 1.0, queue)
        self.gate = EndpointGate(self.endpoint, self.limits, 10.0, seed=3)
        self.desired, self.flagged_at = DesiredState.SERVING, None
        # The endpoint's incarnation, the latest one that was reported, and the
        # successes and the period of the warm-up since the endpoint last became cold.
        self.incarnation, self.seen, self.proven, self.period = 1, 0, 0, 0
        self.offered, self.offered_at, self.answered, self.dispatches = {}, {}, {}, {}
        self.open, self.unanswered, self.not_run = {}, set(), set()
        self.extend(10_000.0)

    def take(self, actions):
        for action in actions:
            if isinstance(action, Dispatch):
                self.check_dispatch(action, action.request.id)
            if isinstance(action, Reply):
                name = action.reply.id
                assert name in self.offered
                assert name not in self.answered, "a request was answered twice"
                self.answered[name] = action.reply
                if action.reply.ran is Ran.NO and name in self.dispatches:
                    assert name in self.not_run, "not run, although it was sent"

    def check_dispatch(self, action, name):
        assert name not in self.dispatches, "a request was sent twice"
        assert name not in self.answered, "sent after its answer"
        assert self.now < action.expires_ms <= self.usable, "sent without the right"
        assert self.desired is DesiredState.SERVING, "sent while out of service"
        assert self.flagged_at is None, "sent while the endpoint drains"
        running = sum(1 for expires in self.open.values() if self.now < expires)
        level = 1
        while level * (level + 1) // 2 <= self.proven:
            level += 1
        assert running < min(self.limits.slots, level), "more work than the limit"
        if self.offered[name].hedge:
            assert level >= self.limits.slots, "hedge sent to an endpoint that is not warm"
        self.dispatches[name] = (self.now, self.period, self.incarnation)
        self.open[name] = action.expires_ms
        self.unanswered.add(name)

    def report(self, state="warm", incarnation=None):
        name = f"i{incarnation or self.incarnation}"
        return EndpointReport(name, state, 0.5, (SNAPSHOT,))

    def note_cold(self):
        self.proven = 0
        self.period += 1

    def note_report(self, report, sent):
        number = int(report.incarnation[1:])
        if number < self.seen:
            return
        if self.seen and number > self.seen:
            self.note_cold()
        self.seen = number
        if report.state == "draining":
            self.flagged_at = self.now
        elif self.flagged_at is not None and sent >= self.flagged_at:
            self.flagged_at = None
            self.note_cold()

    def finish(self, name, outcome):
        sent, period, _ = self.dispatches[name]
        if name in self.unanswered:
            self.unanswered.discard(name)
            if outcome.reset:
                self.note_cold()
            if outcome.report is not None:
                self.note_report(outcome.report, sent)
            if outcome.error is None and period == self.period:
                self.proven += 1
            if outcome.error is ErrorKind.ENDPOINT_DRAINING:
                self.flagged_at = self.now
        if outcome.ran is Ran.NO or outcome.error is None or outcome.report is not None:
            self.open.pop(name, None)
        if outcome.ran is Ran.NO:
            self.not_run.add(name)
        self.take(self.gate.complete(name, outcome, self.now))

    @step(
        12, timeout=[5.0, 40.0, 1_000.0, 1_000.0], priority=[0, 1, 2], hedge=BOTH, repeatable=BOTH
    )
    def offer(self, timeout, priority, hedge, repeatable):
        name = f"r{len(self.offered):04d}"
        request = SubRequest(
            name, name, "s", "a", "e", SNAPSHOT, timeout, priority, repeatable, hedge, None
        )
        self.offered[name], self.offered_at[name] = request, self.now
        self.take(self.gate.offer(request, self.now))

    @step(0.5, lambda self: self.offered, data=SOURCE)
    def offer_again(self, data):
        name = choose(data, sorted(self.offered))
        recent = self.now - self.offered_at[name] < 60_000.0
        if name not in self.answered or (recent and not self.offered[name].repeatable):
            self.take(self.gate.offer(self.offered[name], self.now))

    @step(14, lambda self: self.dispatches, data=SOURCE, state=STATES, late=[True] + [False] * 9)
    def succeed(self, data, state, late):
        name = choose(
            data, sorted(self.dispatches if late or not self.unanswered else self.unanswered)
        )
        outcome = EndpointOutcome(None, "", Ran.YES, [], SNAPSHOT, self.report(state), 9.0)
        self.finish(name, outcome)

    @step(1, lambda self: self.dispatches, data=SOURCE, kind=sorted(ERRORS))
    def answer_error(self, data, kind):
        name = choose(data, sorted(self.dispatches))
        error, ran = ERRORS[kind]
        if ran is Ran.NO and name not in self.unanswered:
            return
        incarnation = self.dispatches[name][2] if kind == "stale" else None
        report = self.report("draining" if kind == "drain" else "warm", incarnation)
        report = None if kind in ("refused", "bare") else report
        outcome = EndpointOutcome(error, "", ran, None, None, report, 9.0, kind == "refused")
        self.finish(name, outcome)

    @step(1, lambda self: self.unanswered, data=SOURCE, reset=BOTH, known=BOTH)
    def lose_reply(self, data, reset, known):
        name = choose(data, sorted(self.unanswered))
        kind = ErrorKind.UNREACHABLE if reset else ErrorKind.DEADLINE_EXCEEDED
        connected = f"i{self.dispatches[name][2]}" if known else ""
        unknown = (kind, "", Ran.UNKNOWN, None, None, None, 40.0, reset, True, connected)
        self.finish(name, EndpointOutcome(*unknown))

    @step(0.5, lambda self: self.offered, data=SOURCE)
    def cancel(self, data):
        name = choose(data, sorted(self.offered))
        actions = self.gate.cancel(name, self.now)
        if name in self.dispatches:
            assert all(isinstance(action, CancelAtEndpoint) for action in actions)
        self.take(actions)

    @step(2, state=STATES, lost=[True, False, False, False])
    def probe(self, state, lost):
        self.take(self.gate.tick(self.now))
        report = None if lost else self.report(state)
        if report is not None:
            self.note_report(report, self.gate._probe_sent_ms)
        self.take(self.gate.observe_report(report, self.now))

    @step(0.5)
    def restart_endpoint(self):
        # Running requests end together with their process.
        for name in list(self.open):
            if self.dispatches[name][2] == self.incarnation:
                del self.open[name]
        self.incarnation += 1

    @step(0.5)
    def close_idle(self):
        self.take(self.gate.observe_idle_closed(self.now))

    @step(
        0.5,
        desired=[
            DesiredState.SERVING,
            DesiredState.SERVING,
            DesiredState.DRAINING,
            DesiredState.OUT,
        ],
    )
    def configure(self, desired):
        if self.desired is not DesiredState.SERVING and desired is DesiredState.SERVING:
            self.note_cold()
        self.desired = desired
        self.take(self.gate.configure(self.endpoint, self.limits, desired, self.now))

    @step(3, duration=[0.0, 10.0, 500.0, *[5_000.0] * 12])
    def extend(self, duration):
        self.usable = self.now + duration if duration else 0.0
        self.take(self.gate.set_usable_until(self.usable, self.now))

    @step(8, time=[1.0, 1.0, 5.0, 20.0, 60.0, 1_000.0, 1_000.0])
    def pass_time(self, time):
        self.now += time
        self.take(self.gate.tick(self.now))
        status = self.gate.get_status(self.now)
        assert 1 <= status.limit <= self.limits.slots
        assert status.usable <= (self.now < self.usable and self.desired is DesiredState.SERVING)

    def teardown(self):
        if not hasattr(self, "gate"):
            return
        self.extend(0.0)
        for name in sorted(self.unanswered):
            self.finish(name, EndpointOutcome(None, "", Ran.YES, [], SNAPSHOT, None, 9.0))
        self.pass_time(200_000.0)
        assert set(self.answered) == set(self.offered), "a request got no answer"
        assert self.gate.quiescent


GateMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestGateMachine = GateMachine.TestCase


@pytest.mark.parametrize("seed", range(150))
def test_gate_keeps_its_invariants_on_random_walks(seed):
    rng = Random(seed)
    machine = GateMachine()
    machine.begin(rng.randint(1, 4), rng.choice([1, 3, 9]), rng.randint(1, 5))
    walk(machine, rng, 250)
