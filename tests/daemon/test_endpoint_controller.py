"""Tests the owner's side of sub-requests: validity checks, releases and statuses."""

from types import SimpleNamespace

import gevent
import pytest

from fakes import build_instance
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.core.ownership.actions import ReleaseBudgets
from persimmonspur.daemon.controllers.endpoints import EndpointController
from persimmonspur.daemon.controllers.statuses import REFRESH_INTERVAL_MS, StatusPublisher
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Endpoint, EndpointLimits
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
REJECTED = [("q", ErrorKind.NOT_OWNER, Ran.NO)]


class FakeEndpointClient:
    """An endpoint client whose searches finish when the test sets an event."""

    def __init__(self):
        self.searches, self.disconnected, self.response_ready = [], [], gevent.event.Event()

    def search(self, endpoint, request, timeout_ms, expires_at_ms):
        self.searches.append((request.id, timeout_ms))
        self.expires_at_ms = expires_at_ms
        self.response_ready.wait()
        report = EndpointReport("i1", "warm", 0.1, (SNAPSHOT,))
        return EndpointOutcome(None, "", Ran.YES, [], SNAPSHOT, report, 5.0)

    def disconnect(self, name):
        self.disconnected.append(name)


@pytest.fixture
def instance():
    fake_instance = build_instance()
    fake_instance.endpoint_client = FakeEndpointClient()
    fake_instance.replies, fake_instance.sent = [], []
    fake_instance.query_controller = SimpleNamespace(
        deliver=lambda sender, reply: fake_instance.replies.append(reply)
    )
    fake_instance.send = lambda receiver, body: fake_instance.sent.append((receiver, body)) or True
    fake_instance.usable = {"e": 10_000.0}
    fake_instance.cell.usable_until = lambda name, now_ms: fake_instance.usable[name]
    fake_instance.endpoint_controller = EndpointController(fake_instance)
    gate = EndpointGate(
        Endpoint("e", "s", "127.0.0.1:1", "d", ()), EndpointLimits(2, 65, 1.0), 10.0
    )
    gate.set_usable_until(10_000.0, 0.0)
    fake_instance.endpoint_controller._gates["e"] = gate
    return fake_instance


def offer(instance, *names, sender=OTHER, repeatable=True):
    fields = (SNAPSHOT, 1_000.0, 0, repeatable, False, None)
    requests = [SubRequest(name, name, "s", "a", "e", *fields) for name in names]
    instance.endpoint_controller.offer(sender, requests, 0.0)


def list_replies(instance):
    return [(reply.id, reply.error, reply.ran) for reply in instance.replies]


def test_nothing_is_sent_when_the_right_expired_after_the_decision(instance):
    """Guards against a send after a pause between the gate's decision and the call."""
    offer(instance, "q")
    instance.usable["e"] = 0.0
    gevent.sleep(0)
    assert (instance.endpoint_client.searches, list_replies(instance)) == ([], REJECTED)
    # A connection that was never opened must not count as open.
    assert instance.endpoint_controller._gates["e"]._connections.estimate_connect_delay(0.0) == 1.0


def test_request_timeout_is_capped_by_the_validity(instance):
    offer(instance, "q")
    instance.usable["e"] = 40.0
    gevent.sleep(0)
    assert instance.endpoint_client.searches == [("q", 40.0)]


def test_a_pause_between_the_check_and_the_call_does_not_move_the_expiry(instance):
    offer(instance, "q")

    def check_and_pause(name, now_ms):
        instance.clock.advance(60_000.0)
        return 40.0

    instance.cell.usable_until = check_and_pause
    gevent.sleep(0)
    assert instance.endpoint_client.expires_at_ms == 40.0


@pytest.mark.parametrize("gone", [False, True])
def test_repeated_message_neither_runs_nor_answers_again(instance, gone):
    """Guards against a duplicate that is rejected as not run although the original ran.

    This could happen if the gate was removed between the two messages.
    """
    instance.endpoint_client.response_ready.set()
    offer(instance, "q", repeatable=False)
    gevent.sleep(0)
    if gone:
        del instance.endpoint_controller._gates["e"]
    offer(instance, "q", repeatable=False)
    gevent.sleep(0)
    assert len(instance.endpoint_client.searches) == 1
    assert list_replies(instance) == [("q", None, Ran.YES)]


def test_release_waits_for_running_requests_and_rejects_queued_ones(instance):
    offer(instance, "running", "q")
    gevent.sleep(0)
    instance.endpoint_controller.release(ReleaseBudgets(OTHER, 4, ("e",)))
    assert (instance.sent, list_replies(instance)) == ([], REJECTED)
    assert instance.endpoint_controller.busy
    instance.endpoint_client.response_ready.set()
    gevent.sleep(0.01)
    instance.endpoint_controller._complete_releases()
    assert instance.sent == [(OTHER, Release(4, [ReleasedBudget("e", 2, "i1")]))]
    assert instance.endpoint_client.disconnected == ["e"]
    assert not instance.endpoint_controller.busy


def test_statuses_are_sent_on_change_periodically_and_all_to_a_new_member(instance):
    def publish(state, now, queue=0):
        message = EndpointStatus("e", state, True, [SNAPSHOT], queue, 0, 2, 10.0)
        publisher.publish([message], now)
        return EndpointStatuses([message])

    sent = []
    instance.broadcast = sent.append
    publisher = StatusPublisher(instance)
    publish("warm", 0.0)
    publish("warm", 200.0, queue=1)
    assert len(sent) == 1
    cold = publish("cold", 400.0)
    assert sent[1:] == [cold]
    publish("cold", 20_000.0)
    count = len(sent)
    publish("cold", 20_200.0)
    assert len(sent) == count
    publish("cold", 20_000.0 + REFRESH_INTERVAL_MS)
    assert len(sent) == count + 1
    publisher.publish_to_member("entry-3", 1, configured=False)
    assert instance.sent == []
    for incarnation in (1, 1, 2):
        publisher.publish_to_member("entry-3", incarnation, configured=True)
    assert instance.sent == [("entry-3", cold)] * 2
