import msgspec
import pytest

from fleetsim import SimTimers
from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet.accounts import Account
from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.quotas import MAX_WAIT_MS, Quotas, Verdict, compute_account_id
from persimmonspur.core.fleet.roles import Member
from persimmonspur.entry.heartbeats import MAX_DATAGRAM_BYTES, MESSAGE_PREFIX
from persimmonspur.entry.quotas import (
    MAX_ACCOUNTS_PER_MESSAGE,
    MAX_SILENT_PER_MESSAGE,
    QuotaGate,
    ShareMessage,
    TokenReply,
    TokenRequest,
    WaitingRequest,
)

ACCOUNT = Account("a", None, 10.0, 10.0)
ID = compute_account_id("a")
PEER = Member("peer", 1, "zone-b", "region", "peer", "peer")
NAME = "entry-instance-with-a-rather-long-name-0123456789"


class Gate:
    """A gate with one peer, which hears everything and answers only when told to."""

    def __init__(self, account=ACCOUNT):
        self.clock = ManualClock()
        self.timers = SimTimers(self.clock)
        self.sent = []
        self.exceeded = []
        own = Member("own", 1, "zone-a", "region", "own", "own")
        self.membership = Membership(own)
        self.membership.register(PEER, 0.0)
        self.membership.retain(frozenset(("own", "peer")), 0.0)
        self.membership.own_ready = True
        self.gate = QuotaGate(
            # Without slack, nothing accrues without a share.
            Quotas(5_000.0, 0.1, 0.0, 1),
            self.membership,
            self.clock,
            self.timers,
            lambda name, count: self.exceeded.append((name, count)),
            lambda has_share: None,
        )
        self.gate.set_accounts([account])
        self.gate.connect(lambda message, peers: self.sent.append((message, list(peers))))
        self.ended = []

    def run(self, duration_ms, grants=False):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            now_ms = self.clock.now_ms()
            self.membership.record_heartbeat(PEER, True, now_ms, 300.0)
            if grants:
                self.gate.handle_share(ShareMessage("peer", 2, 0.5, []))
            self.timers.advance(min(100.0, end_ms - now_ms))

    def acquire(self, max_wait_ms=1_000.0):
        return self.gate.acquire(ACCOUNT, max_wait_ms, self.ended.append)

    def list_asks(self):
        return [message for message, _ in self.sent if isinstance(message, TokenRequest)]


def test_request_waits_for_the_tokens_of_a_peer():
    gate = Gate()
    gate.run(1_000.0)
    assert isinstance(gate.acquire(), WaitingRequest)
    (ask,) = gate.list_asks()
    assert dict(ask.wanted)[ID] >= 1
    gate.gate.handle_reply(TokenReply("peer", ask.number, [(ID, 1.0)]))
    assert gate.ended == [True] and gate.gate.waiting == 0


def test_request_is_rejected_as_soon_as_no_peer_has_tokens():
    gate = Gate()
    gate.run(1_000.0)
    gate.acquire()
    gate.gate.handle_reply(TokenReply("peer", gate.list_asks()[0].number, []))
    assert gate.ended == [False] and gate.gate.waiting == 0
    # The peer is not asked again for each request.
    assert gate.acquire() is Verdict.REJECTED
    assert len(gate.list_asks()) == 1


@pytest.mark.parametrize("max_wait_ms", [10.0, 1_000.0])
def test_request_waits_no_longer_than_its_deadline_allows(max_wait_ms):
    # Guards against requests that wait for a reply that was lost.
    gate = Gate()
    gate.run(1_000.0)
    gate.acquire(max_wait_ms)
    limit_ms = min(max_wait_ms, MAX_WAIT_MS)
    gate.timers.advance(limit_ms - 6.0)
    assert gate.ended == []
    gate.timers.advance(11.0)
    assert gate.ended == [False]


def test_request_without_time_does_not_wait():
    gate = Gate()
    gate.run(1_000.0)
    assert gate.acquire(0.0) is Verdict.REJECTED


def test_request_whose_client_disconnects_takes_no_token():
    gate = Gate()
    gate.run(1_000.0)
    waiting = gate.acquire()
    gate.gate.cancel(waiting)
    gate.gate.cancel(waiting)
    gate.gate.handle_reply(TokenReply("peer", gate.list_asks()[0].number, [(ID, 1.0)]))
    gate.timers.advance(100.0)
    assert gate.ended == [] and gate.gate.waiting == 0
    assert gate.gate.quotas.count_available(ACCOUNT, gate.clock.now_ms()) == 1.0


def test_waiting_requests_are_rejected_when_the_instance_stops():
    gate = Gate()
    gate.run(1_000.0)
    gate.acquire()
    gate.gate.disconnect()
    assert gate.ended == [False] and gate.gate.waiting == 0
    gate.gate.disconnect()


def test_peer_gets_a_reply_also_if_there_are_no_tokens():
    gate = Gate()
    gate.run(1_000.0)
    gate.gate.handle_request(TokenRequest("peer", 7, [(ID, 1.0)]))
    gate.gate.handle_request(TokenRequest("unknown", 7, [(ID, 1.0)]))
    replies = [entry for entry in gate.sent if isinstance(entry[0], TokenReply)]
    assert replies == [(TokenReply("own", 7, []), [PEER])]


def test_gate_accrues_with_grants_and_reports_rejections():
    gate = Gate()
    gate.run(3_000.0, grants=True)
    assert gate.gate.quotas.share == 0.5
    while gate.acquire(0.0) is Verdict.ADMITTED:
        pass
    gate.run(12_000.0, grants=True)
    assert gate.exceeded == [("a", 1)]


def test_gate_without_quotas_sends_nothing():
    # Guards against messages in deployments without quotas.
    gate = Gate(Account("a"))
    gate.run(3_000.0)
    assert gate.sent == [] and gate.acquire() is Verdict.ADMITTED


def test_messages_fit_into_a_datagram():
    amounts = [(ID, 123.456)] * MAX_ACCOUNTS_PER_MESSAGE
    messages = [
        TokenRequest(NAME, 2**60, amounts),
        TokenReply(NAME, 2**60, amounts),
        ShareMessage(NAME, 30, 0.25, [NAME] * MAX_SILENT_PER_MESSAGE),
    ]
    for message in messages:
        assert len(MESSAGE_PREFIX + msgspec.msgpack.encode(message)) < MAX_DATAGRAM_BYTES
