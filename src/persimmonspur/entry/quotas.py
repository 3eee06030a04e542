"""Quotas of client accounts: requests that wait for tokens, and messages between instances."""

import math
from collections import deque
from collections.abc import Callable, Iterable

import msgspec
from attrs import define

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.accounts import Account
from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.messages import TimerHandle, Timers
from persimmonspur.core.fleet.quotas import (
    MAX_WAIT_MS,
    TRICKLE_FRACTION,
    FleetShare,
    Quotas,
    Verdict,
)
from persimmonspur.core.fleet.roles import Member, weigh_relays
from persimmonspur.core.fleet.shares import GRANT_INTERVAL_MS, Grant, ShareTracker

# Interval at which requests that wait are checked: for tokens accrued here, and for their time.
POLL_INTERVAL_MS = 5.0
# Requests for tokens of several accounts go into one message, sent at most this often.
ASK_SPACING_MS = 10.0
# Keeps messages below the size of a datagram: 19 bytes for each account.
MAX_ACCOUNTS_PER_MESSAGE = 60
MAX_SILENT_PER_MESSAGE = 16
# Interval at which rejections are reported.
REPORT_INTERVAL_MS = 10_000.0

Amounts = list[tuple[bytes, float]]
SendMessage = Callable[[msgspec.Struct, Iterable[Member]], None]


class ShareMessage(msgspec.Struct, array_like=True, tag="quota-share"):
    """Grant of a part of all quotas by a relay.

    :param relays: number of relays among which the quotas are divided.
    :param fraction: fraction of the sender's part that the receiver gets.
    :param silent: names of the relays that the sender does not hear.
    :param age_ms: time since the sender started.
    """

    sender: str
    relays: int
    fraction: float
    silent: list[str]
    age_ms: float = math.inf


class TokenRequest(msgspec.Struct, array_like=True, tag="quota-ask"):
    """Request for tokens.

    :param number: repeated in the reply.
    :param wanted: tokens by account id.
    """

    sender: str
    number: int
    wanted: Amounts


class TokenReply(msgspec.Struct, array_like=True, tag="quota-give"):
    """Tokens that the sender has deducted from its buckets; also sent if there are none.

    :param number: number of the request.
    :param amounts: tokens by account id.
    """

    sender: str
    number: int
    amounts: Amounts


@define(eq=False)
class WaitingRequest:
    """A request that waits for a token.

    :param on_end: called with whether it got one.
    :param until_ms: local time at which it stops waiting.
    """

    account: Account
    on_end: Callable[[bool], None]
    until_ms: float


class QuotaGate:
    """Admits requests within the quotas of their accounts."""

    def __init__(
        self,
        quotas: Quotas,
        membership: Membership,
        clock: Clock,
        timers: Timers,
        on_exceeded: Callable[[str, int], None],
        on_share_change: Callable[[bool], None],
        first_start: bool = False,
    ) -> None:
        """Create a gate that is not connected to other instances.

        :param on_exceeded: called from time to time with an account and the number of its
            requests that were rejected since the last call.
        :param on_share_change: called with whether this instance now has a share of the
            quotas, when that changes.
        :param first_start: whether the whole deployment starts for the first time.
        """
        self.quotas = quotas
        self._membership = membership
        self._clock = clock
        self._timers = timers
        self._on_exceeded = on_exceeded
        self._on_share_change = on_share_change
        self._send: SendMessage | None = None
        self._started_ms = clock.now_ms()
        self._tracker = ShareTracker(first_start)
        self._peers: list[Member] = []
        self._waiting: dict[str, deque[WaitingRequest]] = {}
        self._due: set[str] = set()
        self._tick_timer: TimerHandle | None = None
        self._poll_timer: TimerHandle | None = None
        self._ask_timer: TimerHandle | None = None
        self._last_ask_ms = -ASK_SPACING_MS
        self._reported_ms = -REPORT_INTERVAL_MS

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a token."""
        return sum(len(queue) for queue in self._waiting.values())

    def connect(self, send: SendMessage) -> None:
        """Start to exchange messages with other instances.

        :param send: sends a message to some instances.
        """
        self._send = send
        self._start_ticks()

    def disconnect(self) -> None:
        """Stop all timers and reject the requests that wait; idempotent."""
        self._send = None
        for timer in (self._tick_timer, self._ask_timer):
            if timer is not None:
                timer.cancel()
        self._tick_timer = self._ask_timer = None
        self.reject_waiting()

    def set_accounts(self, accounts: Iterable[Account]) -> None:
        """Apply the accounts of a configuration version."""
        self.quotas.set_accounts(accounts, self._clock.now_ms())
        self._start_ticks()

    def acquire(
        self, account: Account, max_wait_ms: float, on_end: Callable[[bool], None]
    ) -> Verdict | WaitingRequest:
        """Take a token for a request.

        :param max_wait_ms: time that the request has to wait for one.
        :param on_end: called once with whether it got a token, if it has to wait.
        :returns: the waiting request, if it has to wait.
        """
        now_ms = self._clock.now_ms()
        wait_ms = min(MAX_WAIT_MS, max_wait_ms)
        verdict = self.quotas.decide(account, wait_ms > 0, now_ms)
        if verdict is not Verdict.REJECTED and self.quotas.needs_tokens(account, now_ms):
            self._due.add(account.name)
            self._schedule_ask(now_ms)
        if verdict is not Verdict.WAITING:
            return verdict
        waiting = WaitingRequest(account, on_end, now_ms + wait_ms)
        self._waiting.setdefault(account.name, deque()).append(waiting)
        self._schedule_poll()
        return waiting

    def cancel(self, waiting: WaitingRequest) -> None:
        """Stop waiting because the client disconnected."""
        self._remove(waiting, rejected=False)

    def reject_waiting(self) -> None:
        """Reject all requests that wait, because the process is about to exit."""
        for queue in list(self._waiting.values()):
            for waiting in list(queue):
                self._end(waiting)

    def put_back(self, account: Account, taken_ms: float) -> None:
        """Return the token of a request that was rejected before anything was sent.

        :param taken_ms: local time at which it took the token.
        """
        self.quotas.put_back(account, taken_ms, self._clock.now_ms())

    def get_retry_after_ms(self, account: Account) -> float:
        """Return when a request that is rejected now can expect a token."""
        return self.quotas.get_retry_after_ms(account, self._clock.now_ms())

    def handle_share(self, message: ShareMessage) -> None:
        """Record the grant of a relay."""
        if not 0 <= message.fraction <= 1:
            return
        grant = Grant(
            message.relays,
            message.fraction,
            frozenset(message.silent),
            self._clock.now_ms(),
            message.age_ms,
        )
        self._tracker.record_grant(message.sender, grant)

    def handle_request(self, message: TokenRequest) -> None:
        """Give spare tokens to an instance that asks for them."""
        if self._send is None:
            return
        peer = self._membership.find_peer(message.sender)
        if peer is None:
            return
        amounts = self.quotas.give(message.wanted, self._clock.now_ms())
        reply = TokenReply(self._membership.own.name, message.number, list(amounts.items()))
        self._send(reply, [peer])

    def handle_reply(self, message: TokenReply) -> None:
        """Use the tokens that another instance gave."""
        now_ms = self._clock.now_ms()
        self.quotas.receive(message.number, message.sender, message.amounts, now_ms)
        self._serve_waiting(now_ms)

    def _start_ticks(self) -> None:
        if self._tick_timer is None and self._send is not None and self.quotas.active:
            self._tick()

    def _tick(self) -> None:
        """Grant shares, if this instance is a relay, and compute the own one."""
        self._tick_timer = None
        if self._send is None or not self.quotas.active:
            return
        self._tick_timer = self._timers.call_later(GRANT_INTERVAL_MS, self._tick)
        now_ms = self._clock.now_ms()
        membership = self._membership
        own = membership.own
        entry_set = membership.entry_set(now_ms)
        weights = weigh_relays(membership.expected_relays())
        expected = list(weights)
        self._peers = [member for member in entry_set if member.name != own.name]
        if own.name in expected and membership.own_ready and entry_set:
            self._grant_shares(entry_set, expected, now_ms)
        if self._tracker.update(weights, membership.listed, now_ms):
            self.quotas.forfeit(now_ms)
        trickle = 0.0
        if own.name in expected[: self.quotas.trickle_holders]:
            trickle = TRICKLE_FRACTION / (1 + len(membership.peers()))
        if bool(self._tracker.share) != bool(self.quotas.share):
            self._on_share_change(bool(self._tracker.share))
        share = FleetShare(self._tracker.share, trickle, bool(self._peers))
        self.quotas.set_share(share, now_ms)
        self._report(now_ms)

    def _grant_shares(self, entry_set: list[Member], expected: list[str], now_ms: float) -> None:
        own = self._membership.own
        silent = []
        for name in expected:
            if name != own.name and not self._membership.is_heard(name, now_ms):
                silent.append(name)
        message = ShareMessage(
            own.name,
            len(expected),
            1 / len(entry_set),
            silent[:MAX_SILENT_PER_MESSAGE],
            now_ms - self._started_ms,
        )
        if own in entry_set:
            self.handle_share(message)
        if self._send is not None:
            self._send(message, self._peers)

    def _schedule_ask(self, now_ms: float) -> None:
        if self._ask_timer is not None:
            return
        delay_ms = self._last_ask_ms + ASK_SPACING_MS - now_ms
        if delay_ms <= 0:
            self._ask()
        else:
            self._ask_timer = self._timers.call_later(delay_ms, self._ask)

    def _ask(self) -> None:
        """Ask the other instances of the entry set for tokens."""
        self._ask_timer = None
        if self._send is None:
            return
        now_ms = self._last_ask_ms = self._clock.now_ms()
        names = list(self._due)
        self._due.clear()
        for start in range(0, len(names), MAX_ACCOUNTS_PER_MESSAGE):
            chunk = names[start : start + MAX_ACCOUNTS_PER_MESSAGE]
            peers = [peer.name for peer in self._peers]
            number, wanted = self.quotas.start_ask(chunk, peers, now_ms)
            if wanted:
                request = TokenRequest(self._membership.own.name, number, list(wanted.items()))
                self._send(request, self._peers)

    def _schedule_poll(self) -> None:
        if self._poll_timer is None:
            self._poll_timer = self._timers.call_later(POLL_INTERVAL_MS, self._poll)

    def _poll(self) -> None:
        self._poll_timer = None
        self._serve_waiting(self._clock.now_ms())
        if self._waiting:
            self._schedule_poll()

    def _serve_waiting(self, now_ms: float) -> None:
        """Hand tokens to the requests that wait, and end those that can get none in time."""
        for queue in list(self._waiting.values()):
            if not queue:
                # Emptied by a call that another request's end led to.
                continue
            account = queue[0].account
            while queue and self.quotas.take_for_waiting(account, now_ms):
                waiting = queue[0]
                self._forget(waiting)
                waiting.on_end(True)
            hopeless = bool(queue) and self.quotas.is_hopeless(account, now_ms)
            while queue and (hopeless or now_ms >= queue[0].until_ms):
                self._end(queue[0])

    def _end(self, waiting: WaitingRequest) -> None:
        self._remove(waiting, rejected=True)
        waiting.on_end(False)

    def _remove(self, waiting: WaitingRequest, rejected: bool) -> None:
        if self._forget(waiting):
            self.quotas.stop_waiting(waiting.account, rejected)

    def _forget(self, waiting: WaitingRequest) -> bool:
        queue = self._waiting.get(waiting.account.name)
        if queue is None or waiting not in queue:
            return False
        queue.remove(waiting)
        if not queue:
            del self._waiting[waiting.account.name]
        return True

    def _report(self, now_ms: float) -> None:
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        for name, count in self.quotas.collect_rejected().items():
            self._on_exceeded(name, count)
