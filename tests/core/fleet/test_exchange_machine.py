"""Requests of the direct path under any order of responses, failures, timers and disconnects.

The machine may stand still within any send.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fleetsim import SimTier, make_gather_route, make_route
from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.errors import Ran

NOT_RUN = (408, 421, 429, 503)
# How long the machine stands still after a send: not, or until little or no time is left.
PAUSES_MS = st.sampled_from([0.0, 1.0, 60.0, 400.0, 975.0, 979.0, 981.0, 2_000.0])


class ExchangeMachine(RuleBasedStateMachine):
    """Counts runs by itself and compares what the client is told."""

    @initialize(
        gather=st.booleans(),
        idempotent=st.booleans(),
        attempts=st.integers(min_value=1, max_value=3),
        shards=st.integers(min_value=1, max_value=5),
        replicas=st.integers(min_value=0, max_value=4),
        least=st.floats(min_value=0.1, max_value=1.0),
        pauses_ms=st.lists(PAUSES_MS, max_size=5),
    )
    def begin(self, gather, idempotent, attempts, shards, replicas, least, pauses_ms):
        self.sim = SimTier()
        self.sim.sender.pauses_ms = pauses_ms
        if gather:
            self.route = make_gather_route(shards, least, max_attempts=attempts)
        else:
            kind = RequestKind.IDEMPOTENT if idempotent else RequestKind.NON_IDEMPOTENT
            self.route = make_route(kind=kind, max_attempts=attempts)
        self.sim.add_route_services(self.route, replicas)
        self.runs = []
        self.certain = {}
        self.left = False
        self.exchange, self.answers = self.sim.start(self.route)

    def pending(self):
        return [send for send in self.sim.sender.sends if not send.ended]

    @rule(data=st.data(), status=st.sampled_from([200, 204, 404, 429, 500, 503]))
    def answer(self, data, status):
        if self.pending():
            send = data.draw(st.sampled_from(self.pending()))
            self.runs.append(send)
            send.reply(status, b"r" * 16)

    @rule(data=st.data())
    def reject(self, data):
        if self.pending():
            send = data.draw(st.sampled_from(self.pending()))
            send.reply(503, ran=Ran.NO)
            self.certain[id(send)] = True

    @rule(data=st.data())
    def take_over_address(self, data):
        if self.pending():
            send = data.draw(st.sampled_from(self.pending()))
            self.certain[id(send)] = True
            send.reply(421, ran=Ran.NO, misdirected=True)

    @rule(data=st.data(), ran=st.sampled_from([Ran.NO, Ran.UNKNOWN]))
    def fail(self, data, ran):
        if self.pending():
            send = data.draw(st.sampled_from(self.pending()))
            if ran is Ran.NO:
                self.certain[id(send)] = True
            else:
                self.runs.append(send)
            send.fail(ran)

    @rule(duration_ms=st.sampled_from([1, 20, 50, 120, 500]))
    def wait(self, duration_ms):
        self.sim.timers.advance(duration_ms)

    @rule(pause_ms=PAUSES_MS)
    def pause_in_the_next_send(self, pause_ms):
        self.sim.sender.pauses_ms.append(pause_ms)

    @rule()
    def leave(self):
        self.exchange.handle_disconnect()
        self.left = self.left or not self.answers

    def maybe_run(self):
        return [send for send in self.sim.sender.sends if id(send) not in self.certain]

    @invariant()
    def at_most_one_answer(self):
        if hasattr(self, "answers"):
            assert len(self.answers) <= 1
            assert not (self.left and self.answers)

    @invariant()
    def attempts_are_bounded(self):
        if not hasattr(self, "answers"):
            return
        for service in self.sim.services_of(self.route):
            sends = [send for send in self.maybe_run() if send.endpoint.service == service]
            assert len(sends) <= self.route.max_attempts
            endpoints = [send.endpoint.identity for send in self.sim.sender.to(service)]
            assert len(endpoints) == len(set(endpoints))

    @invariant()
    def non_idempotent_request_runs_at_most_once(self):
        if hasattr(self, "answers") and not self.route.repeatable:
            assert len(self.maybe_run()) <= 1

    @invariant()
    def refusal_is_true(self):
        if hasattr(self, "answers") and self.answers and self.answers[0].status in NOT_RUN:
            assert self.maybe_run() == []

    @invariant()
    def merged_answer_counts_its_parts(self):
        if not hasattr(self, "answers") or not self.answers or self.route.gather is None:
            return
        answer = self.answers[0]
        if answer.status != 200:
            return
        fields = dict(answer.headers)
        parts = fields[b"Parts"].decode().split(",")
        assert len(parts) == len(set(parts)) == answer.covered
        assert answer.covered + int(fields[b"Missing"]) == answer.total
        assert answer.covered >= self.route.gather.min_share * answer.total - 1e-6

    def teardown(self):
        if not hasattr(self, "answers"):
            return
        self.sim.timers.advance(2_000)
        assert self.answers or self.left


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
