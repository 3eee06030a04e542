"""Guards the way of non-repeatable queries to their claim owner and back."""

import gevent
import pytest

from fakes import build_instance
from persimmonspur.clock import Clock
from persimmonspur.core.ownership.table import Assignment, CellTable
from persimmonspur.daemon.controllers.claims import ClaimController
from persimmonspur.daemon.controllers.registry import PeerMessage
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.model.configuration import Configuration, PriorityClass
from persimmonspur.model.member import Member
from persimmonspur.model.messages import FetchTable, ForwardedAnswer, ForwardedQuery, find_partition
from persimmonspur.model.query import Coverage, Query, QueryAnswer

NAMES = ("entry-1", "entry-2")


class FakeQueries:
    """Coordination that ends when the test says so."""

    def __init__(self):
        self.runs, self.finish = [], gevent.event.Event()
        self.failure = None

    def run(self, query, priority, partition):
        self.runs.append((query.request_id, partition))
        self.finish.wait()
        if self.failure == "crash":
            raise RuntimeError("a defect")
        records = [{"id": len(self.runs)}]
        return QueryAnswer(query.request_id, None, Coverage(9, 9), (), records, self.failure, 1)


class Pair:
    """Two instances whose messages pass through the test."""

    def __init__(self):
        self.lost, self.log = set(), []
        self.instances = {name: self.build(name) for name in NAMES}
        self.assign("entry-2", 1)

    def build(self, name):
        instance = build_instance(instance=name)
        instance.clock = Clock()
        instance.queries = FakeQueries()
        instance.claims = ClaimController(instance)
        instance.view.services = {"s": None}
        classes = (PriorityClass("counter", 0, 1.0),)
        instance.holder._configuration = Configuration("d", (), classes, ())
        instance.cell.partition_usable_until = lambda number, now_ms: now_ms + 1_000.0
        instance.send = lambda receiver, body: self.send(name, receiver, body)
        instance.broadcast = lambda body: self.log.append(body)
        return instance

    def assign(self, owner, version):
        members = {name: Member(name, 1, "", "", "d") for name in NAMES}
        previous = "" if version == 1 else "entry-9"
        owners = {number: Assignment(owner, 1, version, previous) for number in range(32)}
        table = CellTable("main", version, "", members, frozenset(), {}, owners)
        for instance in self.instances.values():
            instance.cell.table = table
            instance.cell.find_claim_owner = lambda number: members[owner]
            instance.claims.refresh(table)

    def send(self, sender, receiver, body):
        self.log.append(body)
        if type(body) not in self.lost:
            handler = self.instances[receiver].claims.list_handlers()[type(body)]
            handler(PeerMessage(sender, 1, 1, body, 0.0))
        return True

    def run(self, name="entry-1", request_id="q", epoch=1, timeout_ms=60_000.0):
        query = Query("s", "counter", timeout_ms, request_id, epoch, False)
        return gevent.spawn(self.instances[name].claims.run, query, 0)


@pytest.fixture
def pair():
    return Pair()


def count(pair, kind):
    return sum(1 for body in pair.log if type(body) is kind)


def wait_until(condition):
    while not condition():
        gevent.sleep(0.001)


def test_query_runs_at_the_claim_owner_and_repeats_get_its_answer(pair):
    tasks = [pair.run("entry-1"), pair.run("entry-2"), pair.run("entry-1")]
    owner = pair.instances["entry-2"].queries
    wait_until(lambda: owner.runs)
    owner.finish.set()
    assert {str(task.get()) for task in tasks} == {str(pair.run("entry-1").get())}
    assert owner.runs == [("q", find_partition("q"))]
    assert pair.instances["entry-1"].queries.runs == []


def test_lost_forwards_and_answers_are_repeated_without_a_second_run(pair):
    pair.lost = {ForwardedQuery}
    task = pair.run()
    wait_until(lambda: count(pair, ForwardedQuery) == 1)
    pair.lost = {ForwardedAnswer}
    pair.instances["entry-2"].queries.finish.set()
    wait_until(lambda: count(pair, ForwardedAnswer) == 1)
    pair.lost = set()
    assert task.get().failure is None
    assert len(pair.instances["entry-2"].queries.runs) == 1


def test_no_answer_in_time_is_unknown(pair):
    pair.lost = {ForwardedQuery}
    failure = pair.run(timeout_ms=30.0).get().failure
    assert (failure.kind, failure.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)


def test_crashed_coordination_is_unknown_and_not_repeated(pair):
    owner = pair.instances["entry-2"].queries
    owner.failure = "crash"
    owner.finish.set()
    task = pair.run(timeout_ms=200.0)
    assert task.get().failure.ran is Ran.UNKNOWN
    assert pair.run("entry-2").get().failure.ran is Ran.UNKNOWN
    assert len(owner.runs) == 1


def test_recorded_rejection_is_repeated_word_for_word(pair):
    owner = pair.instances["entry-2"].queries
    owner.failure = Failure.of(ErrorKind.NO_SNAPSHOT, "none", Ran.NO)
    owner.finish.set()
    assert pair.run().get().failure.ran is Ran.NO
    owner.failure = None
    assert pair.run().get().failure.ran is Ran.NO
    assert len(owner.runs) == 1


def test_epoch_above_the_table_fetches_the_newer_one(pair):
    task = pair.run("entry-2", epoch=2)
    wait_until(lambda: count(pair, FetchTable))
    assert pair.instances["entry-2"].queries.runs == []
    pair.instances["entry-1"].queries.finish.set()
    pair.assign("entry-1", 2)
    assert task.get().failure is None
    assert pair.run("entry-2", "old", epoch=1).get().failure.kind is ErrorKind.STALE_EPOCH
