"""Guards at-most-once execution over owners that crash, lag, race and lose messages."""

from random import Random

import pytest
from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from persimmonspur.core.claims import partition as partition_module
from persimmonspur.core.claims.actions import HandOver, ReadRecords, WriteRecords
from persimmonspur.core.claims.directory import ClaimDirectory, Tenure
from persimmonspur.core.claims.partition import Answered, Refused, Run
from persimmonspur.errors import Ran
from walks import choose, walk

NAMES = ("a", "b", "c")


@define
class Assigned:
    owner: str
    incarnation: int
    moved_at: int
    first: bool


@define(eq=False)
class Node:
    """A member with its own, possibly old, view of the table."""

    name: str
    incarnation: int
    directory: ClaimDirectory
    version: int = 0
    valid: bool = True
    running: dict = field(factory=dict)


class ClaimsMachine(RuleBasedStateMachine):
    """One partition, three members, the object API, and callers that repeat."""

    @initialize(limit=st.sampled_from([2, 100_000]))
    def begin(self, limit):
        partition_module.MAX_RECORDS = limit
        self.now = 0.0
        self.tables = {1: Assigned("a", 1, 1, True)}
        self.nodes = {name: Node(name, 1, ClaimDirectory(name)) for name in NAMES}
        self.stored, self.stored_version, self.down = None, 0, False
        self.operations, self.messages = [], []
        self.epochs, self.runs, self.denied, self.answers = {}, {}, {}, {}
        for name in NAMES:
            self.adopt(name, 1)

    def teardown(self):
        partition_module.MAX_RECORDS = 100_000

    @property
    def latest(self):
        return max(self.tables)

    def owns(self, node):
        table = self.tables[node.version]
        return (table.owner, table.incarnation) == (node.name, node.incarnation)

    def usable(self, node):
        """What the cell guarantees: two valid owners never exist at once."""
        if not self.owns(node) or not node.valid:
            return False
        return not any(
            other is not node and self.owns(other) and other.valid for other in self.nodes.values()
        )

    def adopt(self, name, version):
        node = self.nodes[name]
        if version <= node.version:
            return
        owned = node.version and self.owns(node)
        node.version = version
        table = self.tables[version]
        # A new owner waits for the end of the former one's validity.
        node.valid = True
        if owned and not self.owns(node):
            node.directory.release(0, table.owner, version)
        tenure = Tenure(self.owns(node), table.moved_at, table.first)
        self.do(node, node.directory.adopt({0: tenure}, self.now))

    def do(self, node, actions):
        for action in actions:
            if isinstance(action, HandOver):
                self.messages.append(action)
            else:
                self.operations.append((node, action))

    @rule(name=st.sampled_from(NAMES), data=st.data())
    def adopt_table(self, name, data):
        self.adopt(name, choose(data, list(range(1, self.latest + 1))))

    @rule(name=st.sampled_from(NAMES))
    def move(self, name):
        former, version = self.tables[self.latest], self.latest + 1
        node = self.nodes[name]
        if (former.owner, former.incarnation) == (name, node.incarnation):
            self.tables[version] = former
            return
        self.tables[version] = Assigned(name, node.incarnation, version, False)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name):
        old = self.nodes[name]
        self.nodes[name] = Node(name, old.incarnation + 1, ClaimDirectory(name))
        self.adopt(name, old.version)

    @rule(name=st.sampled_from(NAMES))
    def expire(self, name):
        self.nodes[name].valid = False

    @rule(duration=st.sampled_from([100.0, 2_000.0, 31_000.0, 700_000.0]))
    def pass_time(self, duration):
        self.now += duration
        for node in self.nodes.values():
            self.do(node, node.directory.tick(node.version, self.now))

    @rule(name=st.sampled_from(NAMES), zero=st.booleans())
    def create(self, name, zero):
        """A caller resolves at any member and sends a first attempt."""
        request_id = f"q{len(self.epochs):03d}"
        self.epochs[request_id] = 0 if zero else self.nodes[name].version
        self.runs[request_id] = 0

    @precondition(lambda self: self.epochs)
    @rule(data=st.data(), name=st.sampled_from(NAMES))
    def deliver_query(self, data, name):
        """A forward, first or repeated, arrives at some member at some time."""
        request_id = choose(data, sorted(self.epochs))
        if self.now - self.denied.get(request_id, self.now) > 60_000.0:
            return  # No copy of the request is on the way any more.
        node = self.nodes[name]
        until = self.now + 1.0 if self.usable(node) else 0.0
        decision = node.directory.claim(
            0, request_id, self.epochs[request_id], node.version, until, self.now
        )
        if isinstance(decision, Run):
            assert self.usable(node)
            node.running[request_id] = False
        if isinstance(decision, Refused) and decision.ran is Ran.NO:
            self.deny(request_id)
        if isinstance(decision, Answered):
            assert decision.document == self.answers[request_id]
            if decision.document == b"no":
                self.deny(request_id)

    def deny(self, request_id):
        assert self.runs[request_id] == 0, "told not run, although it ran"
        self.denied.setdefault(request_id, self.now)

    def pick_running(self, data):
        pairs = [(n.name, r) for n in self.nodes.values() for r in sorted(n.running)]
        name, request_id = choose(data, pairs)
        return self.nodes[name], request_id

    @precondition(lambda self: any(node.running for node in self.nodes.values()))
    @rule(data=st.data())
    def execute(self, data):
        """The coordinator runs a recorded request, even after it lost the partition."""
        node, request_id = self.pick_running(data)
        if node.running[request_id]:
            return
        node.running[request_id] = True
        self.runs[request_id] += 1
        assert self.runs[request_id] <= 1, "a request ran twice"
        assert request_id not in self.denied, "ran after it was told not run"

    @precondition(lambda self: any(node.running for node in self.nodes.values()))
    @rule(data=st.data())
    def finish(self, data):
        node, request_id = self.pick_running(data)
        ran = node.running.pop(request_id)
        self.answers[request_id] = b"yes" if ran else b"no"
        node.directory.finish(
            0, request_id, Ran.YES if ran else Ran.NO, 200, self.answers[request_id]
        )
        if not ran:
            self.deny(request_id)

    @rule()
    def toggle_outage(self):
        self.down = not self.down

    @precondition(lambda self: self.operations)
    @rule(data=st.data(), lost=st.booleans())
    def complete_operation(self, data, lost):
        index = choose(data, list(range(len(self.operations))))
        node, action = self.operations.pop(index)
        alive = self.nodes[node.name] is node
        if isinstance(action, ReadRecords):
            if not alive:
                return
            if self.down or lost:
                node.directory.observe_read_failure(0, self.now)
            else:
                node.directory.observe_read(0, self.stored, self.stored_version, self.now)
            return
        assert isinstance(action, WriteRecords)
        written = None
        if not self.down and action.expected_version == self.stored_version:
            self.stored, self.stored_version = action.value, self.stored_version + 1
            written = None if lost else self.stored_version
        if alive:
            node.directory.observe_write(0, written, self.now)

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), again=st.booleans())
    def deliver_release(self, data, again):
        message = choose(data, self.messages)
        if not again:
            self.messages.remove(message)
        self.nodes[message.receiver].directory.take_over(0, message.value, self.now)


ClaimsMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=50)
TestClaimsMachine = ClaimsMachine.TestCase


@pytest.mark.parametrize("seed", range(200))
def test_requests_run_at_most_once_on_random_walks(seed):
    rng = Random(seed)
    m = ClaimsMachine()
    m.begin(rng.choice([2, 100_000]))

    def adopt_latest(r):
        m.adopt(r.choice(NAMES), m.latest)

    def deliver_recent(r):
        if m.epochs:
            name = r.choice([m.tables[m.latest].owner, *NAMES])
            m.deliver_query(r, name)

    def run(r):
        if any(node.running for node in m.nodes.values()):
            r.choice([m.execute, m.execute, m.finish])(r)

    def operate(r):
        if m.operations:
            m.complete_operation(r, r.random() < 0.15)

    def release(r):
        if m.messages:
            m.deliver_release(r, r.random() < 0.2)

    steps = [
        (4, adopt_latest),
        (1, lambda r: m.adopt_table(r.choice(NAMES), r)),
        (1, lambda r: m.move(r.choice(NAMES))),
        (0.4, lambda r: m.kill(r.choice(NAMES))),
        (1, lambda r: m.expire(r.choice(NAMES))),
        (4, lambda r: m.pass_time(r.choice([100.0, 2_000.0, 31_000.0, 700_000.0]))),
        (3, lambda r: m.create(r.choice(NAMES), r.random() < 0.2)),
        (10, deliver_recent),
        (6, run),
        (6, operate),
        (3, release),
        (0.3, lambda r: m.toggle_outage()),
    ]
    walk(m, steps, rng, 250)
