"""Requests of the direct path under any order of responses, failures, timers and disconnects."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fleetsim import SimInstance, make_gather_route, make_route
from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.errors import Ran

NOT_RUN_STATUSES = (408, 421, 429, 503)


class ExchangeMachine(RuleBasedStateMachine):
    """Tracks which sends may have run, and compares them with the response to the client."""

    @initialize(
        gather=st.booleans(),
        idempotent=st.booleans(),
        attempts=st.integers(min_value=1, max_value=3),
        shards=st.integers(min_value=1, max_value=5),
        replicas=st.integers(min_value=0, max_value=4),
        least=st.floats(min_value=0.1, max_value=1.0),
    )
    def begin(self, gather, idempotent, attempts, shards, replicas, least):
        self.sim = SimInstance()
        if gather:
            self.route = make_gather_route(shards, least, max_attempts=attempts)
        else:
            kind = RequestKind.IDEMPOTENT if idempotent else RequestKind.NON_IDEMPOTENT
            self.route = make_route(kind=kind, max_attempts=attempts)
        self.sim.add_route_services(self.route, replicas)
        self.runs = []
        self.not_run = {}
        self.disconnected = False
        self.exchange, self.answers = self.sim.start(self.route)

    def pending_sends(self):
        return [send for send in self.sim.sender.sends if not send.ended]

    @rule(data=st.data(), status=st.sampled_from([200, 204, 404, 429, 500, 503]))
    def answer(self, data, status):
        if self.pending_sends():
            send = data.draw(st.sampled_from(self.pending_sends()))
            self.runs.append(send)
            send.respond(status, b"r" * 16)

    @rule(data=st.data())
    def reject(self, data):
        if self.pending_sends():
            send = data.draw(st.sampled_from(self.pending_sends()))
            send.respond(503, ran=Ran.NO)
            self.not_run[id(send)] = True

    @rule(data=st.data())
    def take_over_address(self, data):
        if self.pending_sends():
            send = data.draw(st.sampled_from(self.pending_sends()))
            self.not_run[id(send)] = True
            send.respond(421, ran=Ran.NO, misdirected=True)

    @rule(data=st.data(), ran=st.sampled_from([Ran.NO, Ran.UNKNOWN]))
    def fail(self, data, ran):
        if self.pending_sends():
            send = data.draw(st.sampled_from(self.pending_sends()))
            if ran is Ran.NO:
                self.not_run[id(send)] = True
            else:
                self.runs.append(send)
            send.fail(ran)

    @rule(duration_ms=st.sampled_from([1, 20, 50, 120, 500]))
    def wait(self, duration_ms):
        self.sim.timers.advance(duration_ms)

    @rule()
    def leave(self):
        self.exchange.handle_disconnect()
        self.disconnected = self.disconnected or not self.answers

    def possible_runs(self):
        return [send for send in self.sim.sender.sends if id(send) not in self.not_run]

    @invariant()
    def at_most_one_response(self):
        if hasattr(self, "answers"):
            assert len(self.answers) <= 1
            assert not (self.disconnected and self.answers)

    @invariant()
    def attempts_are_bounded(self):
        if not hasattr(self, "answers"):
            return
        for service in self.sim.services_of(self.route):
            sends = [send for send in self.possible_runs() if send.endpoint.service == service]
            assert len(sends) <= self.route.max_attempts
            endpoints = [send.endpoint.identity for send in self.sim.sender.sends_to(service)]
            assert len(endpoints) == len(set(endpoints))

    @invariant()
    def non_idempotent_request_runs_at_most_once(self):
        if hasattr(self, "answers") and not self.route.repeatable:
            assert len(self.possible_runs()) <= 1

    @invariant()
    def rejected_request_has_not_run(self):
        if hasattr(self, "answers") and self.answers and self.answers[0].status in NOT_RUN_STATUSES:
            assert self.possible_runs() == []

    @invariant()
    def merged_response_counts_its_shards(self):
        if not hasattr(self, "answers") or not self.answers or self.route.gather is None:
            return
        response = self.answers[0]
        if response.status != 200:
            return
        fields = dict(response.headers)
        stamps = fields[b"Parts"].decode().split(",")
        assert len(stamps) == len(set(stamps)) == response.covered
        assert response.covered + int(fields[b"Missing"]) == response.total
        assert response.covered >= self.route.gather.min_share * response.total - 1e-6

    def teardown(self):
        if not hasattr(self, "answers"):
            return
        self.sim.timers.advance(2_000)
        assert self.answers or self.disconnected


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
