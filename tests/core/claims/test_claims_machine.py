"""Guards at-most-once execution over owners that crash, lag, race and lose messages."""

from random import Random

import pytest
from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize

from persimmonspur.core.claims import partition as partition_module
from persimmonspur.core.claims.actions import HandOver, ReadRecords
from persimmonspur.core.claims.directory import ClaimDirectory, Tenure
from persimmonspur.core.claims.partition import Answered, Refused, Run
from persimmonspur.errors import Ran
from walks import SOURCE, choose, step, walk

NAMES = ["a", "b", "c"]
SELDOM = [True] + [False] * 5


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
        self.now, self.down = 0.0, False
        self.tables = {1: Assigned("a", 1, 1, True)}
        self.nodes = {name: Node(name, 1, ClaimDirectory(name)) for name in NAMES}
        self.stored, self.stored_version = None, 0
        self.operations, self.messages = [], []
        self.epochs, self.runs, self.denied, self.answers = {}, {}, {}, {}
        for name in NAMES:
            self.adopt_version(name, 1)

    def teardown(self):
        partition_module.MAX_RECORDS = 100_000

    def owns(self, node):
        table = self.tables[node.version]
        return (table.owner, table.incarnation) == (node.name, node.incarnation)

    def usable(self, node):
        """What the cell guarantees: two valid owners never exist at once."""
        return [n for n in self.nodes.values() if self.owns(n) and n.valid] == [node]

    def adopt_version(self, name, version):
        node, table = self.nodes[name], self.tables[version]
        if version <= node.version:
            return
        owned = node.version and self.owns(node)
        node.version, node.valid = version, True
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

    def deny(self, request_id):
        assert self.runs[request_id] == 0, "told not run, although it ran"
        self.denied.setdefault(request_id, self.now)

    @step(5, name=NAMES, data=SOURCE, latest=[True, True, True, True, False])
    def adopt(self, name, data, latest):
        versions = sorted(self.tables)
        self.adopt_version(name, versions[-1] if latest else choose(data, versions))

    @step(1, name=NAMES)
    def move(self, name):
        version, node = max(self.tables) + 1, self.nodes[name]
        former = self.tables[version - 1]
        same = (former.owner, former.incarnation) == (name, node.incarnation)
        new = Assigned(name, node.incarnation, version, False)
        self.tables[version] = former if same else new

    @step(0.4, name=NAMES)
    def kill(self, name):
        old = self.nodes[name]
        self.nodes[name] = Node(name, old.incarnation + 1, ClaimDirectory(name))
        self.adopt_version(name, old.version)

    @step(1, name=NAMES)
    def expire(self, name):
        self.nodes[name].valid = False

    @step(4, duration=[100.0, 2_000.0, 31_000.0, 700_000.0])
    def pass_time(self, duration):
        self.now += duration
        for node in self.nodes.values():
            self.do(node, node.directory.tick(node.version, self.now))

    @step(3, name=NAMES, zero=SELDOM)
    def create(self, name, zero):
        """A caller resolves at any member before its first attempt."""
        request_id = f"q{len(self.epochs):03d}"
        self.epochs[request_id] = 0 if zero else self.nodes[name].version
        self.runs[request_id] = 0

    @step(10, lambda self: self.epochs, data=SOURCE, name=[*NAMES, None])
    def deliver_query(self, data, name):
        """A forward, first or repeated, arrives at some member, often the owner."""
        request_id = choose(data, sorted(self.epochs))
        if self.now - self.denied.get(request_id, self.now) > 60_000.0:
            return  # No copy of the request is on the way any more.
        node = self.nodes[name or self.tables[max(self.tables)].owner]
        until = self.now + 1.0 if self.usable(node) else 0.0
        decision = node.directory.claim(
            0, request_id, self.epochs[request_id], node.version, until, self.now
        )
        if isinstance(decision, Run):
            assert self.usable(node)
            node.running[request_id] = False
        if isinstance(decision, Answered):
            assert decision.document == self.answers[request_id]
        answered_no = isinstance(decision, Answered) and decision.document == b"no"
        if answered_no or (isinstance(decision, Refused) and decision.ran is Ran.NO):
            self.deny(request_id)

    @step(6, lambda self: any(n.running for n in self.nodes.values()), data=SOURCE, end=SELDOM[:3])
    def run_or_finish(self, data, end):
        """The coordinator goes on with a recorded request, even if it lost the partition."""
        pairs = [(n.name, r) for n in self.nodes.values() for r in sorted(n.running)]
        name, request_id = choose(data, pairs)
        node = self.nodes[name]
        if not end and not node.running[request_id]:
            node.running[request_id] = True
            self.runs[request_id] += 1
            assert self.runs[request_id] <= 1, "a request ran twice"
            assert request_id not in self.denied, "ran after it was told not run"
        if not end:
            return
        ran = Ran.YES if node.running.pop(request_id) else Ran.NO
        self.answers[request_id] = ran.encode()
        node.directory.finish(0, request_id, ran, 200, self.answers[request_id])
        if ran is Ran.NO:
            self.deny(request_id)

    @step(0.3)
    def toggle_outage(self):
        self.down = not self.down

    @step(6, lambda self: self.operations, data=SOURCE, lost=SELDOM)
    def complete_operation(self, data, lost):
        index = choose(data, list(range(len(self.operations))))
        node, action = self.operations.pop(index)
        alive = self.nodes[node.name] is node
        if isinstance(action, ReadRecords):
            if alive and (self.down or lost):
                node.directory.observe_read_failure(0, self.now)
            elif alive:
                node.directory.observe_read(0, self.stored, self.stored_version, self.now)
            return
        written = None
        if not self.down and action.expected_version == self.stored_version:
            self.stored, self.stored_version = action.value, self.stored_version + 1
            written = None if lost else self.stored_version
        if alive:
            node.directory.observe_write(0, written, self.now)

    @step(3, lambda self: self.messages, data=SOURCE, again=SELDOM)
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
    machine = ClaimsMachine()
    machine.begin(rng.choice([2, 100_000]))
    walk(machine, rng, 250)
