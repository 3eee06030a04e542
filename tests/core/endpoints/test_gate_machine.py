"""Guards the gate's promises against any order of events, repeated and late ones included."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from persimmonspur.core.endpoints.actions import CancelAtEndpoint, Dispatch, Reply
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Desired, Endpoint, Limits
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId
from walks import choose, walk

SNAPSHOT = SnapshotId(1, 1)


def build_request(name, timeout_ms=1_000.0, priority=0, *, repeatable=True, hedge=False):
    return SubRequest(
        name, name, "s", "a", "e", SNAPSHOT, timeout_ms, priority, repeatable, hedge, -1, None
    )


class GateMachine(RuleBasedStateMachine):
    """A gate, a fake endpoint, and an independent account of what the gate may do."""

    @initialize(slots=st.integers(1, 4), connections=st.integers(1, 6), queue=st.integers(1, 5))
    def begin(self, slots, connections, queue):
        self.now = 1_000.0
        self.endpoint = Endpoint("e", "s", "127.0.0.1:1", "d", ("a",))
        self.limits = Limits(slots, connections, 1.0, queue)
        self.gate = EndpointGate(self.endpoint, self.limits, 10.0, seed=3)
        self.desired, self.usable, self.flagged_at = Desired.SERVING, 0.0, None
        self.incarnation, self.seen, self.proven = 1, 0, 0
        self.names, self.offered, self.offered_at, self.answered = 0, {}, {}, {}
        self.dispatches, self.open, self.unanswered, self.refused = {}, {}, set(), set()
        self.order = 0
        self.extend(10_000.0)

    def take(self, actions, now=None):
        for action in actions:
            if isinstance(action, Dispatch):
                self.check_dispatch(action)
            if isinstance(action, Reply):
                name = action.reply.id
                assert name not in self.answered, "a request was answered twice"
                assert name in self.offered
                self.answered[name] = action.reply
                if action.reply.ran is Ran.NO and name in self.dispatches:
                    assert name in self.refused, "not run, although it was sent"

    def check_dispatch(self, action):
        name = action.request.id
        assert name not in self.dispatches, "a request was sent twice"
        assert name not in self.answered, "sent after its answer"
        assert self.now < self.usable, "sent without the right"
        assert action.expires_ms <= self.usable
        assert self.desired is Desired.SERVING, "sent while out of service"
        assert self.flagged_at is None, "sent while the endpoint drains"
        running = sum(1 for expires in self.open.values() if self.now < expires)
        level = 1
        while level * (level + 1) // 2 <= self.proven:
            level += 1
        assert running < min(self.limits.slots, level), "more work than the limit"
        if self.offered[name].hedge:
            assert level >= self.limits.slots, "hedge sent to an endpoint that is not warm"
        self.dispatches[name] = (self.now, self.order)
        self.open[name] = action.expires_ms
        self.unanswered.add(name)

    def build_report(self, state="warm", incarnation=None):
        number = incarnation or self.incarnation
        return EndpointReport(f"i{number}", state, 0.5, (SNAPSHOT,))

    def note_cold(self):
        self.proven = 0
        self.order += 1

    def note_report(self, report, sent):
        number = int(report.incarnation[1:])
        if number < self.seen:
            return
        if self.seen and number > self.seen:
            self.note_cold()
        self.seen = max(self.seen, number)
        if report.state == "draining":
            self.flagged_at = self.now
        elif self.flagged_at is not None and sent >= self.flagged_at:
            self.flagged_at = None
            self.note_cold()

    def finish(self, name, outcome):
        first = name in self.unanswered
        sent, order = self.dispatches[name]
        if first:
            self.unanswered.discard(name)
            if outcome.reset:
                self.note_cold()
            if outcome.report is not None:
                self.note_report(outcome.report, sent)
            if outcome.error is None and order == self.order:
                self.proven += 1
            if outcome.error is ErrorKind.ENDPOINT_DRAINING:
                self.flagged_at = self.now
        if outcome.ran is Ran.NO or outcome.error is None or outcome.report is not None:
            self.open.pop(name, None)
        if outcome.ran is Ran.NO:
            self.refused.add(name)
        self.take(self.gate.complete(name, outcome, self.now))

    def pick(self, data):
        if isinstance(data, Random) and self.unanswered and data.random() < 0.9:
            return choose(data, sorted(self.unanswered))
        return choose(data, sorted(self.dispatches))

    @rule(
        timeout=st.sampled_from([5.0, 40.0, 1_000.0]),
        priority=st.integers(0, 2),
        hedge=st.booleans(),
        repeatable=st.booleans(),
    )
    def offer(self, timeout, priority, hedge, repeatable):
        self.names += 1
        name = f"r{self.names:04d}"
        request = build_request(name, timeout, priority, repeatable=repeatable, hedge=hedge)
        self.offered[name], self.offered_at[name] = request, self.now
        self.take(self.gate.offer(request, self.now))

    @precondition(lambda self: self.offered)
    @rule(data=st.data())
    def offer_again(self, data):
        name = choose(data, sorted(self.offered))
        recent = self.now - self.offered_at[name] < 60_000.0
        if name not in self.answered or (recent and not self.offered[name].repeatable):
            self.take(self.gate.offer(self.offered[name], self.now))

    @precondition(lambda self: self.dispatches)
    @rule(data=st.data(), state=st.sampled_from(["warm", "warm", "warm", "cold", "draining"]))
    def succeed(self, data, state):
        name = self.pick(data)
        report = self.build_report(state)
        self.finish(name, EndpointOutcome(None, "", Ran.YES, [], SNAPSHOT, report, 9.0))

    @precondition(lambda self: self.dispatches)
    @rule(
        data=st.data(),
        kind=st.sampled_from(["shed", "drain", "bare", "refused", "failed", "stale"]),
    )
    def answer_error(self, data, kind):
        name = self.pick(data)
        report = self.build_report("draining" if kind == "drain" else "warm")
        if kind == "stale":
            report = self.build_report("warm", max(1, self.incarnation - 1))
        error, ran = {
            "shed": (ErrorKind.OVERLOADED, Ran.NO),
            "drain": (ErrorKind.ENDPOINT_DRAINING, Ran.NO),
            "bare": (ErrorKind.ENDPOINT_DRAINING, Ran.NO),
            "refused": (ErrorKind.UNREACHABLE, Ran.NO),
            "failed": (ErrorKind.ENDPOINT_FAILED, Ran.YES),
            "stale": (ErrorKind.ENDPOINT_FAILED, Ran.YES),
        }[kind]
        if ran is Ran.NO and name not in self.unanswered:
            return
        reset = kind == "refused"
        report = None if kind in ("refused", "bare") else report
        outcome = EndpointOutcome(error, "", ran, None, None, report, 9.0, reset)
        self.finish(name, outcome)

    @precondition(lambda self: self.unanswered)
    @rule(data=st.data(), reset=st.booleans())
    def lose_reply(self, data, reset):
        name = choose(data, sorted(self.unanswered))
        kind = ErrorKind.UNREACHABLE if reset else ErrorKind.DEADLINE_EXCEEDED
        outcome = EndpointOutcome(kind, "", Ran.UNKNOWN, None, None, None, 40.0, reset)
        self.finish(name, outcome)

    @precondition(lambda self: self.offered)
    @rule(data=st.data())
    def cancel(self, data):
        name = choose(data, sorted(self.offered))
        actions = self.gate.cancel(name, self.now)
        if name in self.dispatches:
            assert all(isinstance(action, CancelAtEndpoint) for action in actions)
        self.take(actions)

    @rule(state=st.sampled_from(["warm", "cold", "draining"]), lost=st.booleans())
    def probe(self, state, lost):
        self.take(self.gate.tick(self.now))
        if lost:
            self.take(self.gate.observe_report(None, self.now))
            return
        report = self.build_report(state)
        self.note_report(report, self.gate._probe_sent_ms)
        self.take(self.gate.observe_report(report, self.now))

    @rule()
    def restart_endpoint(self):
        self.incarnation += 1

    @rule()
    def close_idle(self):
        self.take(self.gate.observe_idle_closed(self.now))

    @rule(desired=st.sampled_from(list(Desired)))
    def configure(self, desired):
        if self.desired is not Desired.SERVING and desired is Desired.SERVING:
            self.note_cold()
        self.desired = desired
        self.take(self.gate.configure(self.endpoint, self.limits, desired, self.now))

    @rule(duration=st.sampled_from([0.0, 10.0, 500.0, 5_000.0]))
    def extend(self, duration):
        self.usable = self.now + duration if duration else 0.0
        self.take(self.gate.extend(self.usable, self.now))

    @rule(step=st.sampled_from([1.0, 20.0, 60.0, 1_000.0, 70_000.0]))
    def pass_time(self, step):
        self.now += step
        self.take(self.gate.tick(self.now))

    @invariant()
    def status_tells_the_limit(self):
        if not hasattr(self, "gate"):
            return
        status = self.gate.get_status(self.now)
        assert 1 <= status.limit <= self.limits.slots
        assert status.usable <= (self.now < self.usable and self.desired is Desired.SERVING)

    def teardown(self):
        if not hasattr(self, "gate"):
            return
        self.extend(0.0)
        for name in sorted(self.unanswered):
            self.finish(name, EndpointOutcome(None, "", Ran.YES, [], SNAPSHOT, None, 9.0))
        self.pass_time(200_000.0)
        assert set(self.answered) == set(self.offered), "a request got no answer"
        assert self.gate.settled


GateMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=40)
TestGateMachine = GateMachine.TestCase


@pytest.mark.parametrize("seed", range(150))
def test_gate_keeps_its_promises_on_random_walks(seed):
    rng = Random(seed)
    m = GateMachine()
    m.begin(rng.randint(1, 4), rng.choice([1, 3, 9]), rng.randint(1, 5))
    states = ["warm"] * 18 + ["cold", "draining"]
    errors = ["shed", "drain", "bare", "refused", "failed", "stale"]
    wanted = [Desired.SERVING, Desired.SERVING, Desired.DRAINING, Desired.OUT]

    def offer(r):
        timeout = r.choice([5.0, 40.0, 1_000.0, 1_000.0])
        m.offer(timeout, r.randint(0, 2), r.random() < 0.3, r.random() < 0.7)

    def succeed(r):
        if m.dispatches:
            m.succeed(r, r.choice(states))

    def fail(r):
        if m.dispatches:
            m.answer_error(r, r.choice(errors))

    def lose(r):
        if m.unanswered:
            m.lose_reply(r, r.random() < 0.4)

    def repeat(r):
        if m.offered:
            r.choice([m.offer_again, m.cancel])(r)

    steps = [
        (12, offer),
        (14, succeed),
        (1, fail),
        (1, lose),
        (1, repeat),
        (2, lambda r: m.probe(r.choice(states), r.random() < 0.2)),
        (0.5, lambda r: m.restart_endpoint()),
        (0.5, lambda r: m.close_idle()),
        (0.5, lambda r: m.configure(r.choice(wanted))),
        (3, lambda r: m.extend(r.choice([0.0, 10.0, 500.0, *[5_000.0] * 12]))),
        (8, lambda r: m.pass_time(r.choice([1.0, 1.0, 5.0, 20.0, 60.0, 1_000.0]))),
    ]
    walk(m, steps, rng, 250)
