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
        self.runs, self.finish, self.failure = [], gevent.event.Event(), None

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
        self.owner = self.instances["entry-2"].queries
        self.assign("entry-2", 1)

    def build(self, name):
        instance = build_instance(instance=name)
        instance.clock, instance.queries = Clock(), FakeQueries()
        instance.claims = ClaimController(instance)
        instance.view.services = {"s": None}
        classes = (PriorityClass("counter", 0, 1.0),)
        instance.holder._configuration = Configuration("d", (), classes, ())
        instance.cell.partition_usable_until = lambda number, now_ms: now_ms + 1_000.0
        instance.send = lambda receiver, body: self.send(name, receiver, body)
        instance.broadcast = self.log.append
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

    def wait_for(self, kind):
        while not any(type(body) is kind for body in self.log):
            gevent.sleep(0.001)


@pytest.fixture
def pair():
    return Pair()


def test_query_runs_at_the_claim_owner_and_repeats_get_its_answer(pair):
    tasks = [pair.run("entry-2"), pair.run("entry-2"), pair.run("entry-1")]
    pair.wait_for(ForwardedQuery)
    pair.owner.finish.set()
    assert {str(task.get()) for task in tasks} == {str(pair.run("entry-1").get())}
    assert pair.owner.runs == [("q", find_partition("q"))]
    assert pair.instances["entry-1"].queries.runs == []


def test_lost_forwards_and_answers_are_repeated_without_a_second_run(pair):
    pair.lost = {ForwardedQuery}
    task = pair.run()
    pair.wait_for(ForwardedQuery)
    pair.lost = {ForwardedAnswer}
    pair.owner.finish.set()
    pair.wait_for(ForwardedAnswer)
    pair.lost = set()
    assert task.get().failure is None
    assert len(pair.owner.runs) == 1


def test_no_answer_in_time_is_unknown(pair):
    pair.lost = {ForwardedQuery}
    failure = pair.run(timeout_ms=30.0).get().failure
    assert (failure.kind, failure.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)


@pytest.mark.parametrize(
    ("failure", "ran"),
    [("crash", Ran.UNKNOWN), (Failure.of(ErrorKind.NO_SNAPSHOT, "none", Ran.NO), Ran.NO)],
)
def test_recorded_failure_is_repeated_and_the_query_is_not(pair, failure, ran):
    pair.owner.failure = failure
    pair.owner.finish.set()
    assert pair.run(timeout_ms=200.0).get().failure.ran is ran
    pair.owner.failure = None
    assert pair.run("entry-2").get().failure.ran is ran
    assert len(pair.owner.runs) == 1


def test_epoch_above_the_table_fetches_the_newer_one(pair):
    task = pair.run("entry-2", epoch=2)
    pair.wait_for(FetchTable)
    assert pair.owner.runs == []
    pair.instances["entry-1"].queries.finish.set()
    pair.assign("entry-1", 2)
    assert task.get().failure is None
    assert pair.run("entry-2", "old", epoch=1).get().failure.kind is ErrorKind.STALE_EPOCH
