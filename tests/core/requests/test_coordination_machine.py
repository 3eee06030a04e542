"""Checks a query's answer under lost, repeated, late, foreign and failing replies."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from persimmonspur.core.requests.actions import (
    CancelSubRequest,
    Finish,
    SendSubRequest,
    SubRequestKind,
    WakeAt,
)
from persimmonspur.core.requests.coordination import Coordination
from persimmonspur.core.routing.choice import estimate_reply_time
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Endpoint, EndpointLimits, Service, Shard, ShardMap
from persimmonspur.model.query import Query, SnapshotId
from simulation import build_context, build_reply, report

UNITS = 65_536
MAPS = (
    ShardMap(1, (Shard("s0", 0, 20_000), Shard("s1", 20_000, 40_000), Shard("s2", 40_000, UNITS))),
    ShardMap(2, (Shard("t0", 0, 30_000), Shard("t1", 30_000, UNITS))),
)
SHARDS = {shard.name: shard for shard_map in MAPS for shard in shard_map.shards}
# Two snapshots of epoch 1 and one of epoch 2.
SNAPSHOTS = (SnapshotId(1, 1), SnapshotId(1, 2), SnapshotId(2, 3))
ENDPOINTS = tuple(
    Endpoint(
        f"e{index}", "desk", "127.0.0.1:1", "abc"[index % 3], (f"s{index % 3}", f"t{index % 2}")
    )
    for index in range(8)
)
OWNERS = ("o0", "o1", "o2", "o3")
ERRORS = (
    ErrorKind.OVERLOADED,
    ErrorKind.NOT_OWNER,
    ErrorKind.ENDPOINT_DRAINING,
    ErrorKind.SNAPSHOT_NOT_HELD,
    ErrorKind.ENDPOINT_FAILED,
    ErrorKind.UNREACHABLE,
    ErrorKind.DEADLINE_EXCEEDED,
)
names = st.sampled_from([endpoint.name for endpoint in ENDPOINTS])


def list_shard_records(shard, snapshot):
    return [
        {"id": f"{shard}/{snapshot}/{index}", "score": (index * 7 + len(shard)) % 5}
        for index in range(3)
    ]


class CoordinationMachine(RuleBasedStateMachine):
    @initialize(min_replicas=st.integers(1, 2), seed=st.integers(0, 9))
    def set_up(self, min_replicas, seed):
        service = Service(
            "desk",
            EndpointLimits(2, 8, 1.0),
            MAPS,
            ENDPOINTS,
            min_replicas=min_replicas,
            typical_ms=4.0,
        )
        owners = {endpoint.name: f"o{index % 4}" for index, endpoint in enumerate(ENDPOINTS)}
        self.service = service
        self.context = build_context(service, owners, seed)
        self.view = self.context.view
        self.now_ms = 0.0
        self.states = {}
        for endpoint in ENDPOINTS:
            self.set_status(endpoint.name, "warm", True, [0, 1])
        self.firsts = 0
        self.extras = {SubRequestKind.HEDGE: 0, SubRequestKind.RETRY: 0}
        self.queries = 0
        self.run = None

    def set_status(self, name, state, usable, held):
        snapshots = [SNAPSHOTS[index] for index in held]
        self.states[name] = (state, usable, snapshots)
        report(self.view, name, self.now_ms, state, usable, snapshots)

    @rule(
        change=st.sampled_from(["cold", "unusable", "holds", "moves", "all", "all"]),
        name=names,
        held=st.sampled_from([[0], [0, 1], [0, 1, 2], [2], []]),
        owner=st.sampled_from(OWNERS),
    )
    def change_endpoints(self, change, name, held, owner):
        if change == "all":
            for endpoint in ENDPOINTS:
                self.set_status(endpoint.name, "warm", True, held or [0, 1])
        elif change == "moves":
            self.view.endpoints[name].owner = owner
            self.set_status(name, *self.states[name][:2], [0, 1])
        elif change == "holds":
            self.set_status(name, "warm", True, held)
        else:
            self.set_status(name, "cold" if change == "cold" else "warm", change == "cold", [0, 1])

    @precondition(lambda self: self.run is not None and self.sent)
    @rule(data=st.data())
    def replace_snapshots(self, data):
        """Every endpoint moves on to the newest snapshot while a sub-request is on its way."""
        for endpoint in ENDPOINTS:
            self.set_status(endpoint.name, "warm", True, [2])
        request = data.draw(st.sampled_from(self.sent)).request
        self.deliver(build_reply(request, error=ErrorKind.SNAPSHOT_NOT_HELD, ran=Ran.NO))

    @rule(count=st.sampled_from([20, 100, 400]))
    def run_other_queries(self, count):
        self.context.retry_budgets.get("desk").record_first_attempts(count)
        self.firsts += count

    @precondition(lambda self: self.run is None)
    @rule(
        repeatable=st.booleans(),
        allow_partial=st.booleans(),
        key=st.sampled_from([None, None, 0, 35_000]),
        limit=st.sampled_from([None, 4]),
        timeout_ms=st.sampled_from([30.0, 100.0, 1_000.0]),
        priority=st.sampled_from([0, 2]),
    )
    def start_query(self, repeatable, allow_partial, key, limit, timeout_ms, priority):
        self.queries += 1
        self.query = Query(
            "desk",
            ("counter", "interactive", "batch")[priority],
            timeout_ms,
            f"q{self.queries}",
            repeatable=repeatable,
            allow_partial=allow_partial,
            key=key,
            limit=limit,
        )
        expected = self.find_expected_pin()
        self.deadline_ms = self.now_ms + timeout_ms
        self.sent = []
        self.cancelled = set()
        self.replies = {}
        self.wake_at_ms = float("inf")
        self.answer = None
        self.run = Coordination(self.query, priority, self.context, self.now_ms)
        self.execute(self.run.start(self.now_ms))
        if expected is not None and self.sent:
            assert self.sent[0].request.snapshot == expected

    def find_expected_pin(self):
        """The newest snapshot that enough usable endpoints of every needed shard hold."""
        for snapshot in sorted(SNAPSHOTS, reverse=True):
            shards = self.list_needed(snapshot.epoch)
            if all(
                self.count_holders(shard, snapshot) >= self.service.min_replicas for shard in shards
            ):
                return snapshot
        return None

    def count_holders(self, shard, snapshot):
        count = 0
        for endpoint in ENDPOINTS:
            _, usable, snapshots = self.states[endpoint.name]
            view = self.view.endpoints[endpoint.name]
            held = snapshot in snapshots and snapshot in view.snapshots
            count += usable and held and shard.name in endpoint.shards
        return count

    def list_needed(self, epoch):
        key = self.query.key
        shards = MAPS[epoch - 1].shards
        return [shard for shard in shards if key is None or key in range(shard.start, shard.stop)]

    def execute(self, actions):
        for action in actions:
            assert self.answer is None, "an action followed the answer"
            match action:
                case SendSubRequest():
                    self.observe_send(action)
                case CancelSubRequest():
                    self.cancelled.add(action.request_id)
                case WakeAt():
                    self.wake_at_ms = min(self.wake_at_ms, action.at_ms)
                case Finish():
                    self.answer = action.answer
        if self.answer is not None:
            self.check_answer()
            self.run = None
            self.view_is_idle()

    def observe_send(self, action):
        request = action.request
        assert request.id not in [other.request.id for other in self.sent]
        assert request.shard in self.view.endpoints[request.endpoint].endpoint.shards
        assert SHARDS[request.shard] in MAPS[request.snapshot.epoch - 1].shards
        state, usable, _ = self.states[request.endpoint]
        assert usable
        assert action.owner == self.view.endpoints[request.endpoint].owner
        if action.kind is SubRequestKind.FIRST:
            self.firsts += 1
        elif state != "warm":
            # Section 6 of the design: hedges go to warm endpoints only, retries and placements
            # to others only if no warm one is left for the shard.
            assert action.kind is not SubRequestKind.HEDGE, f"hedge to a {state} endpoint"
            assert not self.list_warm_untried(action), "a warm replica was left"
        if action.kind in self.extras:
            assert self.query.repeatable
            self.extras[action.kind] += 1
        if action.kind is SubRequestKind.HEDGE:
            firsts = [
                other.owner
                for other in self.sent
                if other.request.shard == request.shard
                and other.request.id not in self.replies
                and other.request.id not in self.cancelled
            ]
            assert action.owner not in firsts
        self.sent.append(action)
        if not self.query.repeatable:
            self.check_single(request.shard)

    def list_warm_untried(self, action):
        """Replicas that could take a placement or retry before a cold one does."""
        request = action.request
        sent = [other for other in self.sent if other.request.shard == request.shard]
        tried = [other.request.endpoint for other in sent]
        silent_owners = []
        if action.kind is SubRequestKind.RETRY:
            # A retry beside an overdue sub-request avoids its owner, which may be frozen.
            silent_owners = [
                other.owner
                for other in sent
                if other.request.id not in self.replies and other.request.id not in self.cancelled
            ]
        return [
            endpoint.name
            for endpoint in ENDPOINTS
            if request.shard in endpoint.shards
            and endpoint.name not in tried
            and self.view.endpoints[endpoint.name].owner not in silent_owners
            and self.states[endpoint.name][:2] == ("warm", True)
            and request.snapshot in self.view.endpoints[endpoint.name].snapshots
            and self.view.endpoints[endpoint.name].ejected_until_ms <= self.now_ms
            and estimate_reply_time(self.view.endpoints[endpoint.name], self.now_ms)
            < request.timeout_ms
        ]

    def check_single(self, shard):
        """A non-repeatable sub-request is repeated only after a certain rejection."""
        sent = [action.request.id for action in self.sent if action.request.shard == shard]
        for request_id in sent[:-1]:
            reply = self.replies.get(request_id)
            assert reply is not None and reply.error is not None and reply.ran is Ran.NO

    @precondition(lambda self: self.run is not None and self.sent)
    @rule(data=st.data(), wrong=st.sampled_from([None, None, None, *SNAPSHOTS]))
    def reply_with_records(self, data, wrong):
        request = data.draw(st.sampled_from(self.sent)).request
        snapshot = wrong or request.snapshot
        records = list_shard_records(request.shard, snapshot)
        self.deliver(build_reply(request, records, snapshot=snapshot))

    @precondition(lambda self: self.run is not None and self.sent)
    @rule(data=st.data(), error=st.sampled_from(ERRORS), ran=st.sampled_from(list(Ran)))
    def reply_with_error(self, data, error, ran):
        request = data.draw(st.sampled_from(self.sent)).request
        if request.id not in self.replies and error is ErrorKind.SNAPSHOT_NOT_HELD:
            state, usable, held = self.states[request.endpoint]
            if request.id not in self.cancelled:
                held = [snapshot for snapshot in held if snapshot != request.snapshot]
            self.states[request.endpoint] = (state, usable, held)
        self.deliver(build_reply(request, error=error, ran=ran))

    @precondition(lambda self: self.run is not None and self.sent)
    @rule(data=st.data(), unknown_id=st.booleans())
    def reply_foreign(self, data, unknown_id):
        request = data.draw(st.sampled_from(self.sent)).request
        reply = build_reply(request, [{"id": "foreign", "score": 99}])
        if unknown_id:
            reply.id = "other/s0/1"
        else:
            reply.endpoint = "elsewhere"
        self.view.observe_reply(reply, None, self.now_ms)
        self.execute(self.run.handle_reply(reply, self.now_ms))

    def deliver(self, reply):
        if reply.id not in self.cancelled:
            self.replies.setdefault(reply.id, reply)
        self.view.observe_reply(reply, None, self.now_ms)
        self.execute(self.run.handle_reply(reply, self.now_ms))

    @rule(duration_ms=st.sampled_from([1.0, 12.0, 45.0, 300.0, 3_000.0]))
    def advance(self, duration_ms):
        """Owners that do not reply meanwhile are frozen or their messages were lost."""
        self.now_ms += duration_ms
        while self.run is not None and self.now_ms >= self.wake_at_ms:
            self.wake_at_ms = float("inf")
            self.execute(self.run.wake(self.now_ms))
            if self.run is not None:
                assert self.now_ms < self.deadline_ms, "no answer at the deadline"
                assert self.wake_at_ms > self.now_ms, "no later wake was asked for"
        for name, (state, usable, snapshots) in self.states.items():
            report(self.view, name, self.now_ms, state, usable, snapshots)

    def check_answer(self):
        answer = self.answer
        if answer.snapshot is None:
            assert answer.failure is not None and answer.coverage.covered == 0
            assert answer.failure.ran is Ran.NO and not self.sent
            return
        needed = self.list_needed(answer.snapshot.epoch)
        merged = {
            action.request.shard
            for action in self.sent
            if (reply := self.replies.get(action.request.id)) is not None
            and reply.error is None
            and reply.snapshot == action.request.snapshot == answer.snapshot
        }
        units = set()
        covered = set()
        for shard in needed:
            units.update(range(shard.start, shard.stop))
            if shard.name in merged:
                covered.update(range(shard.start, shard.stop))
        assert (answer.coverage.covered, answer.coverage.total) == (len(covered), len(units))
        assert list(answer.missing_shards) == [s.name for s in needed if s.name not in merged]
        assert answer.sub_requests == len(self.sent)
        if answer.failure is not None:
            assert not answer.coverage.complete and not self.query.allow_partial
            self.check_ran(answer.failure.ran)
            return
        assert answer.coverage.complete or self.query.allow_partial
        records = [r for name in merged for r in list_shard_records(name, answer.snapshot)]
        records.sort(key=lambda record: (-record["score"], record["id"]))
        assert answer.records == records[: self.query.limit]

    def check_ran(self, ran):
        seen = [self.replies.get(action.request.id) for action in self.sent]
        if ran is Ran.NO:
            assert all(r is not None and r.error is not None and r.ran is Ran.NO for r in seen)
        if ran is Ran.YES:
            assert any(r is not None and (r.error is None or r.ran is Ran.YES) for r in seen)

    def view_is_idle(self):
        for view in self.view.endpoints.values():
            assert view.outstanding == 0
        load = self.context.outstanding_limits.get("desk", "batch")
        assert (load.outstanding, load.deferred) == (0, 0)

    @invariant()
    def extra_load_is_within_the_budget(self):
        if not hasattr(self, "firsts"):
            return
        hedges = self.extras[SubRequestKind.HEDGE]
        assert hedges <= 1 + 0.02 * self.firsts + 1e-6
        assert hedges + self.extras[SubRequestKind.RETRY] <= 2 + 0.05 * self.firsts + 1e-6


CoordinationMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=60)
TestCoordinationMachine = CoordinationMachine.TestCase
