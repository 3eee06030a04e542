"""Guards the owner's side of sub-requests: rights, claims, releases and statuses."""

import gevent
import pytest

from fakes import build_instance
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.core.ownership.actions import ReleaseBudgets
from persimmonspur.core.ownership.table import Assignment, CellTable
from persimmonspur.daemon.controllers.endpoints import EndpointController
from persimmonspur.daemon.controllers.statuses import REFRESH_MS, StatusPublisher
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Endpoint, Limits
from persimmonspur.model.member import Member
from persimmonspur.model.messages import (
    EndpointStatus,
    EndpointStatuses,
    Release,
    ReleasedBudget,
    SubRequest,
)
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

SNAPSHOT = SnapshotId(1, 1)
OWN, OTHER = "entry-1", "entry-2"


class FakeCalls:
    """Endpoint calls that answer when the test says so."""

    def __init__(self):
        self.searches, self.forgotten = [], []
        self.answer = gevent.event.Event()
        self.before = lambda: None

    def search(self, endpoint, request, timeout_ms):
        self.searches.append((request.id, timeout_ms))
        self.answer.wait()
        report = EndpointReport("i1", "warm", 0.1, (SNAPSHOT,))
        return EndpointOutcome(None, "", Ran.YES, [], SNAPSHOT, report, 5.0)

    def forget(self, name):
        self.forgotten.append(name)


class FakeQueries:
    def __init__(self):
        self.replies = []

    def deliver(self, sender, reply):
        self.replies.append((sender, reply))


class FakeClaims:
    busy = False


@pytest.fixture
def instance():
    made = build_instance()
    made.endpoint_calls = FakeCalls()
    made.queries = FakeQueries()
    made.claims = FakeClaims()
    made.sent = []
    made.send = lambda receiver, body: made.sent.append((receiver, body)) or True
    made.usable = {"e": 10_000.0}
    made.cell.usable_until = lambda name, now_ms: made.usable.get(name, 0.0)
    members = {name: Member(name, 1, "tcp://127.0.0.1:1", "", "d") for name in (OWN, OTHER)}
    owners = {3: Assignment(OTHER, 1, 1)}
    made.cell.table = CellTable("main", 1, "", members, frozenset(), {}, owners)
    made.cell.find_claim_owner = lambda number: members.get(owners[number].owner)
    made.endpoints = EndpointController(made)
    endpoint = Endpoint("e", "s", "127.0.0.1:1", "d", ("a",))
    gate = EndpointGate(endpoint, Limits(2, 65, 1.0), 10.0)
    gate.extend(10_000.0, 0.0)
    made.endpoints._gates["e"] = gate
    return made


def build_request(name, *, repeatable=True):
    partition = -1 if repeatable else 3
    return SubRequest(
        name, name, "s", "a", "e", SNAPSHOT, 1_000.0, 0, repeatable, False, partition, None
    )


def list_replies(instance):
    return [(reply.id, reply.error, reply.ran) for _, reply in instance.queries.replies]


def test_nothing_is_sent_when_the_right_expired_after_the_decision(instance):
    """The process may be paused between the gate's decision and the send."""
    instance.endpoints.offer(OTHER, [build_request("q")], 0.0, 1)
    instance.usable["e"] = 0.0
    gevent.sleep(0)
    assert instance.endpoint_calls.searches == []
    assert list_replies(instance) == [("q", ErrorKind.NOT_OWNER, Ran.NO)]


def test_request_never_lasts_longer_than_the_right(instance):
    instance.endpoints.offer(OTHER, [build_request("q")], 0.0, 1)
    instance.usable["e"] = 40.0
    gevent.sleep(0)
    assert instance.endpoint_calls.searches == [("q", 40.0)]
    instance.endpoint_calls.answer.set()


@pytest.mark.parametrize(("sender", "incarnation"), [(OWN, None), (OTHER, 7), ("entry-9", 1)])
def test_non_repeatable_work_is_only_taken_from_the_claim_owner(instance, sender, incarnation):
    request = build_request("q", repeatable=False)
    instance.endpoints.offer(sender, [request], 0.0, incarnation)
    gevent.sleep(0)
    assert instance.endpoint_calls.searches == []
    assert list_replies(instance) == [("q", ErrorKind.NOT_OWNER, Ran.NO)]


def test_repeated_message_of_the_claim_owner_runs_once(instance):
    instance.endpoint_calls.answer.set()
    for _ in range(2):
        request = build_request("q", repeatable=False)
        instance.endpoints.offer(OTHER, [request], 0.0, 1)
        gevent.sleep(0)
    assert len(instance.endpoint_calls.searches) == 1
    assert len(list_replies(instance)) == 1


def test_release_waits_for_running_work_and_rejects_the_queue(instance):
    instance.endpoints.offer(OTHER, [build_request("running"), build_request("queued")], 0.0, 1)
    gevent.sleep(0)
    instance.endpoints.release(ReleaseBudgets(OTHER, 4, ("e",), ()))
    assert list_replies(instance) == [("queued", ErrorKind.NOT_OWNER, Ran.NO)]
    assert instance.sent == []
    assert instance.endpoints.busy
    instance.endpoint_calls.answer.set()
    gevent.sleep(0.01)
    instance.endpoints._settle()
    ((receiver, message),) = instance.sent
    assert (receiver, message) == (OTHER, Release(4, [ReleasedBudget("e", 2, "i1")], {}))
    assert instance.endpoint_calls.forgotten == ["e"]
    assert not instance.endpoints.busy


def status(state="warm", queue=0):
    return EndpointStatus("e", state, True, [SNAPSHOT], queue, 0, 2, 10.0)


def test_statuses_are_sent_on_change_and_in_full_to_a_new_member(instance):
    sent = []
    instance.broadcast = sent.append
    publisher = StatusPublisher(instance)
    publisher.publish([status()], 0.0)
    publisher.publish([status(queue=1)], 200.0)
    assert len(sent) == 1
    publisher.publish([status("cold")], 400.0)
    assert sent[-1] == EndpointStatuses([status("cold")])
    publisher.publish([status("cold")], 20_000.0)
    count = len(sent)
    publisher.publish([status("cold")], 20_200.0)
    assert len(sent) == count
    publisher.publish([status("cold")], 20_000.0 + REFRESH_MS)
    assert len(sent) == count + 1
    publisher.inform("entry-3", 1, configured=False)
    assert instance.sent == []
    for _ in range(2):
        publisher.inform("entry-3", 1, configured=True)
    publisher.inform("entry-3", 2, configured=True)
    expected = ("entry-3", EndpointStatuses([status("cold")]))
    assert instance.sent == [expected, expected]
