"""Quotas of client accounts: token buckets whose tokens are conserved over all instances.

Each instance accrues its share of an account's rate and passes tokens that it does not need
to instances that ask for them. A token is deducted before it is sent, so a lost message loses
tokens and no message creates any.
"""

import hashlib
import math
from collections.abc import Iterable, Sequence
from enum import Enum, auto

from attrs import define, field, frozen

from persimmonspur.core.fleet.accounts import Account

ACCOUNT_ID_BYTES = 6
# A request without a token waits at most this long for one.
MAX_WAIT_MS = 25.0
# Interval at which tokens of one account are asked for, and its maximum while nobody has any.
ASK_INTERVAL_MS = 100.0
MAX_ASK_INTERVAL_MS = 1_600.0
# A reply that arrives later is dropped: its tokens would count in a later window.
REPLY_TIMEOUT_MS = 150.0
# Received tokens that are not used within this time go into the bucket, up to its capacity.
RECEIVED_LIFETIME_MS = 200.0
# Tokens are asked for ahead of the demand of this time, so that they last until the next reply.
ASK_AHEAD_MS = 150.0
# An instance keeps tokens for its own demand of this time.
RESERVE_MS = 150.0
# Time constant of the demand's moving average.
DEMAND_TIME_CONSTANT_MS = 500.0
# Part of the allowed overshoot by which buckets are larger than the burst, so that little is
# lost between two requests for tokens: 0.1 s of the rate with the usual bounds.
CAPACITY_OVERSHOOT_FRACTION = 0.2
# Without a share, an instance accrues this fraction of the rate divided by the instances.
TRICKLE_FRACTION = 0.05
# Fraction of the slack, in instances, that may hold one token each without a share.
TRICKLE_SLACK_FRACTION = 0.4
# Least capacity of a bucket with a share, as a fraction of the slack: with fewer than two
# tokens, an account with a low rate would lose what it accrues between two requests.
MIN_CAPACITY_SLACK_FRACTION = 0.1
# The share has to be confirmed in this time; it ends with a suspension of the process.
SHARE_TIMEOUT_MS = 1_000.0
# A token is returned only this long after it was taken: later it would count in another window.
RETURN_TIMEOUT_MS = 250.0
# Requests that may wait for tokens of one account: at least this many, or those of this time.
MIN_WAITING = 4
WAITING_MS = 50.0
# A request for tokens that brings less than this counts as fruitless.
MIN_GAIN = 0.25
# Amounts below this are not worth a reply.
MIN_AMOUNT = 0.001
# An account that had no quota is not limited for this long after it has one, or for half of the
# window: the instances have no shares while there are no quotas.
UNLIMITED_MS = 2_000.0
# Margin of the advice when to retry, for the time in which a token is fetched.
RETRY_MARGIN = 1.1
RETRY_MARGIN_MS = 10.0
# Bounds of the advice; a lower one would only cause more requests.
MIN_RETRY_AFTER_MS = 10.0
MAX_RETRY_AFTER_MS = 60_000.0


class Verdict(Enum):
    """What happens to a request of an account with a quota."""

    ADMITTED = auto()
    # Tokens may arrive in time.
    WAITING = auto()
    REJECTED = auto()


@frozen
class FleetShare:
    """What an instance accrues of every quota.

    :param share: fraction of each rate and burst; 0 without a share.
    :param trickle: fraction of each rate without a share, up to one token; 0 for none.
    :param has_peers: whether other instances can be asked for tokens.
    """

    share: float
    trickle: float
    has_peers: bool


NO_SHARE = FleetShare(0.0, 0.0, False)


@define(eq=False)
class Bucket:
    """Tokens of one account at this instance.

    :param tokens: accrued tokens, up to the capacity.
    :param received: tokens from other instances that are not yet used.
    :param demand_per_s: moving average of the requests that arrive here.
    :param admitted_per_s: moving average of those that get a token.
    :param asked_ms: local time of the latest request for tokens.
    :param asked_peers: number of instances that were asked.
    :param answered: number of them that have replied.
    :param gained: tokens that it brought.
    :param ask_interval_ms: time until tokens are asked for again.
    :param rejected: requests rejected since they were last collected.
    :param unlimited_until_ms: local time from which the quota holds.
    """

    account: Account
    refilled_ms: float
    tokens: float = 0.0
    received: float = 0.0
    received_until_ms: float = 0.0
    waiting: int = 0
    demand_per_s: float = 0.0
    admitted_per_s: float = 0.0
    observed_ms: float = 0.0
    asked_ms: float = -math.inf
    answered: int = 0
    asked_peers: int = 0
    gained: float = 0.0
    ask_interval_ms: float = ASK_INTERVAL_MS
    rejected: int = 0
    unlimited_until_ms: float = -math.inf

    @property
    def available(self) -> float:
        """Tokens that may be spent now."""
        return self.tokens + self.received

    def observe(self, admitted: bool, now_ms: float) -> None:
        """Count one request in the moving averages."""
        factor = math.exp((self.observed_ms - now_ms) / DEMAND_TIME_CONSTANT_MS)
        weight = 1_000.0 / DEMAND_TIME_CONSTANT_MS
        self.demand_per_s = self.demand_per_s * factor + weight
        self.admitted_per_s = self.admitted_per_s * factor + (weight if admitted else 0.0)
        self.observed_ms = now_ms

    def get_demand(self, now_ms: float) -> float:
        """Return the current requests per second."""
        return self.demand_per_s * math.exp((self.observed_ms - now_ms) / DEMAND_TIME_CONSTANT_MS)

    def take(self) -> bool:
        """Take one token, if there is one, received ones first."""
        if self.available < 1 - 1e-9:
            return False
        from_received = min(1.0, self.received)
        self.received -= from_received
        self.tokens = max(0.0, self.tokens - (1 - from_received))
        return True

    def is_searching(self, now_ms: float) -> bool:
        """Return whether a request for tokens is in progress."""
        return self.answered < self.asked_peers and now_ms - self.asked_ms < MAX_WAIT_MS

    def start_search(self, peer_count: int, now_ms: float) -> None:
        """Record a request for tokens, and set the interval by the result of the one before."""
        if self.gained >= MIN_GAIN or now_ms - self.asked_ms > 2 * MAX_ASK_INTERVAL_MS:
            self.ask_interval_ms = ASK_INTERVAL_MS
        else:
            self.ask_interval_ms = min(MAX_ASK_INTERVAL_MS, 2 * self.ask_interval_ms)
        self.asked_ms = now_ms
        self.asked_peers = peer_count
        self.answered = 0
        self.gained = 0.0


@define(eq=False)
class _Ask:
    """One request for tokens to several peers.

    :param peers: names of the peers that have not replied.
    """

    number: int
    sent_ms: float
    peers: set[str]
    account_ids: frozenset[bytes] = field(factory=frozenset)


class Quotas:
    """Decides on requests of accounts with a quota, and exchanges tokens with other instances.

    :ivar given: tokens given to other instances.
    :ivar received: tokens received from others.
    """

    def __init__(self, window_ms: float, overshoot: float, slack: float, first_ask: int) -> None:
        """Start without accounts and without a share.

        :param window_ms: window in which the bound on an account's requests holds.
        :param overshoot: fraction by which an account may exceed its quota in a window.
        :param slack: requests per window beyond that.
        :param first_ask: number of the first request for tokens; larger than any of an earlier
            incarnation, so that its replies are not taken for new ones.
        """
        self._extra_capacity_s = window_ms / 1000 * overshoot * CAPACITY_OVERSHOOT_FRACTION
        self._min_capacity = max(1.0, slack * MIN_CAPACITY_SLACK_FRACTION)
        self.trickle_holders = int(slack * TRICKLE_SLACK_FRACTION)
        self._unlimited_ms = min(UNLIMITED_MS, window_ms / 2)
        self._unlimited_names: frozenset[str] = frozenset()
        self._buckets: dict[str, Bucket] = {}
        self._by_id: dict[bytes, Bucket] = {}
        self._share = NO_SHARE
        self._share_set_ms = -math.inf
        self._next_ask = first_ask
        self._asks: dict[int, _Ask] = {}
        self.given = 0.0
        self.received = 0.0

    @property
    def active(self) -> bool:
        """Whether any account has a quota."""
        return bool(self._buckets)

    @property
    def share(self) -> float:
        """This instance's share of every quota."""
        return self._share.share

    def set_accounts(self, accounts: Iterable[Account], now_ms: float) -> None:
        """Apply the quotas of a configuration version; a lower one takes effect at once."""
        buckets: dict[str, Bucket] = {}
        unlimited_names = []
        for account in accounts:
            if not account.rate_per_s:
                unlimited_names.append(account.name)
                continue
            bucket = self._buckets.get(account.name)
            if bucket is None:
                bucket = Bucket(account, now_ms, observed_ms=now_ms)
                if account.name in self._unlimited_names:
                    bucket.unlimited_until_ms = now_ms + self._unlimited_ms
            else:
                self._refill(bucket, now_ms)
                bucket.account = account
                self._clamp(bucket)
            buckets[account.name] = bucket
        self._unlimited_names = frozenset(unlimited_names)
        self._buckets = buckets
        self._by_id = {compute_account_id(name): bucket for name, bucket in buckets.items()}

    def set_share(self, share: FleetShare, now_ms: float) -> None:
        """Confirm or change what this instance accrues; a lower share takes effect at once."""
        self._share_set_ms = now_ms
        if share == self._share:
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now_ms)
        self._share = share
        for bucket in self._buckets.values():
            self._clamp(bucket)

    def forfeit(self, now_ms: float) -> None:
        """Drop all tokens after a suspension, in which others may have accrued this share."""
        self._share = NO_SHARE
        for bucket in self._buckets.values():
            bucket.refilled_ms = now_ms
            bucket.tokens = bucket.received = 0.0

    def decide(self, account: Account, can_wait: bool, now_ms: float) -> Verdict:
        """Take a token for a request, or say whether it may wait for one.

        :param can_wait: whether the request has time to wait.
        """
        bucket = self._find(account, now_ms)
        if bucket is None or now_ms < bucket.unlimited_until_ms:
            return Verdict.ADMITTED
        admitted = not bucket.waiting and bucket.take()
        bucket.observe(admitted, now_ms)
        if admitted:
            return Verdict.ADMITTED
        if can_wait and self._may_get_tokens(bucket, now_ms):
            bucket.waiting += 1
            return Verdict.WAITING
        bucket.rejected += 1
        return Verdict.REJECTED

    def take_for_waiting(self, account: Account, now_ms: float) -> bool:
        """Take a token for a request that waits, and count it as no longer waiting if so."""
        bucket = self._find(account, now_ms)
        if bucket is None:
            return True
        if not bucket.take():
            return False
        bucket.waiting = max(0, bucket.waiting - 1)
        bucket.admitted_per_s += 1_000.0 / DEMAND_TIME_CONSTANT_MS
        return True

    def stop_waiting(self, account: Account, rejected: bool) -> None:
        """End the wait of a request that got no token.

        :param rejected: whether it was rejected for that reason.
        """
        bucket = self._buckets.get(account.name)
        if bucket is None:
            return
        bucket.waiting = max(0, bucket.waiting - 1)
        bucket.rejected += rejected

    def is_hopeless(self, account: Account, now_ms: float) -> bool:
        """Return whether the requests that wait for tokens cannot get any in time."""
        bucket = self._find(account, now_ms)
        if bucket is None or bucket.is_searching(now_ms) or self._is_ask_due(bucket, now_ms):
            return False
        return self._get_accrual_ms(bucket, 1.0) > MAX_WAIT_MS

    def put_back(self, account: Account, taken_ms: float, now_ms: float) -> None:
        """Return the token of a request that was rejected before anything was sent."""
        bucket = self._find(account, now_ms)
        if bucket is None or now_ms - taken_ms > RETURN_TIMEOUT_MS:
            return
        bucket.tokens += 1
        self._clamp(bucket)

    def get_retry_after_ms(self, account: Account, now_ms: float) -> float:
        """Return when a request that is rejected now can expect a token."""
        bucket = self._find(account, now_ms)
        if bucket is None:
            return MIN_RETRY_AFTER_MS
        # Tokens go where the demand is, so what an instance can expect is what it got lately.
        own_per_s = self._get_rate(bucket)
        rate_per_s = min(account.rate_per_s, max(own_per_s, bucket.admitted_per_s))
        if rate_per_s <= 0:
            rate_per_s = account.rate_per_s
        accrual_ms = max(0.0, 1.0 - bucket.available) / rate_per_s * 1000
        due_ms = bucket.asked_ms + bucket.ask_interval_ms - now_ms
        if self._share.has_peers:
            accrual_ms = max(accrual_ms, due_ms)
        wait_ms = RETRY_MARGIN * accrual_ms + RETRY_MARGIN_MS
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))

    def needs_tokens(self, account: Account, now_ms: float) -> bool:
        """Return whether it is time to ask other instances for tokens of an account."""
        bucket = self._find(account, now_ms)
        return bucket is not None and self._is_ask_due(bucket, now_ms)

    def start_ask(
        self, names: Iterable[str], peers: Sequence[str], now_ms: float
    ) -> tuple[int, dict[bytes, float]]:
        """Return the tokens to ask other instances for now.

        :param names: names of the accounts that may need tokens.
        :param peers: names of the instances that will be asked.
        :returns: number of the request, and the wanted tokens by account id; empty if none
            are needed.
        """
        self._expire_asks(now_ms)
        wanted: dict[bytes, float] = {}
        for name in names if peers else ():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            self._refill(bucket, now_ms)
            amount = self._compute_wanted(bucket, now_ms)
            if not self._is_ask_due(bucket, now_ms) or amount < MIN_AMOUNT:
                continue
            bucket.start_search(len(peers), now_ms)
            wanted[compute_account_id(name)] = amount
        if not wanted:
            return 0, wanted
        number = self._next_ask
        self._next_ask += 1
        self._asks[number] = _Ask(number, now_ms, set(peers), frozenset(wanted))
        return number, wanted

    def give(self, wanted: Iterable[tuple[bytes, float]], now_ms: float) -> dict[bytes, float]:
        """Deduct spare tokens that another instance asks for, and return their amounts."""
        amounts: dict[bytes, float] = {}
        for account_id, amount in wanted:
            bucket = self._by_id.get(account_id)
            if bucket is None or not 0 < amount < math.inf:
                continue
            self._lapse(now_ms)
            self._refill(bucket, now_ms)
            reserved = bucket.get_demand(now_ms) * RESERVE_MS / 1000 + bucket.waiting
            given = min(amount, bucket.tokens - reserved)
            if given < MIN_AMOUNT:
                continue
            bucket.tokens -= given
            self.given += given
            amounts[account_id] = given
        return amounts

    def receive(
        self, number: int, peer: str, amounts: Iterable[tuple[bytes, float]], now_ms: float
    ) -> None:
        """Add the tokens of a reply, unless it is late, repeated or was not asked for.

        :param number: number of the request that is answered.
        :param peer: name of the instance that gave the tokens.
        """
        self._expire_asks(now_ms)
        ask = self._asks.get(number)
        if ask is None or peer not in ask.peers:
            return
        ask.peers.discard(peer)
        received = dict(amounts)
        for account_id in ask.account_ids:
            bucket = self._by_id.get(account_id)
            if bucket is None:
                continue
            self._refill(bucket, now_ms)
            if bucket.asked_ms == ask.sent_ms:
                bucket.answered += 1
            amount = received.get(account_id, 0.0)
            if not MIN_AMOUNT <= amount < math.inf:
                continue
            bucket.received += amount
            bucket.received_until_ms = now_ms + RECEIVED_LIFETIME_MS
            bucket.gained += amount
            if bucket.gained >= MIN_GAIN:
                bucket.ask_interval_ms = ASK_INTERVAL_MS
            self.received += amount

    def collect_rejected(self) -> dict[str, int]:
        """Return the number of rejected requests by account since the last call."""
        rejected = {}
        for name, bucket in self._buckets.items():
            if bucket.rejected:
                rejected[name] = bucket.rejected
                bucket.rejected = 0
        return rejected

    def count_available(self, account: Account, now_ms: float) -> float:
        """Return the tokens of an account at this instance."""
        bucket = self._find(account, now_ms)
        return bucket.available if bucket is not None else math.inf

    def _find(self, account: Account, now_ms: float) -> Bucket | None:
        """Return the refilled bucket of an account, or ``None`` if it has no quota."""
        bucket = self._buckets.get(account.name)
        if bucket is None:
            return None
        self._lapse(now_ms)
        self._refill(bucket, now_ms)
        return bucket

    def _lapse(self, now_ms: float) -> None:
        """End the share if it was not confirmed in time, as after a suspension."""
        if self._share != NO_SHARE and now_ms - self._share_set_ms > SHARE_TIMEOUT_MS:
            self.forfeit(now_ms)

    def _refill(self, bucket: Bucket, now_ms: float) -> None:
        elapsed_ms = now_ms - bucket.refilled_ms
        if elapsed_ms > 0:
            bucket.tokens += self._get_rate(bucket) * elapsed_ms / 1000
            bucket.refilled_ms = now_ms
        if bucket.received and now_ms > bucket.received_until_ms:
            bucket.tokens += bucket.received
            bucket.received = 0.0
        self._clamp(bucket)

    def _clamp(self, bucket: Bucket) -> None:
        bucket.tokens = min(bucket.tokens, self._get_capacity(bucket))

    def _get_rate(self, bucket: Bucket) -> float:
        """Return the tokens per second that this instance accrues."""
        return bucket.account.rate_per_s * (self._share.share or self._share.trickle)

    def _get_capacity(self, bucket: Bucket) -> float:
        share = self._share.share
        if not share:
            return 1.0 if self._share.trickle else 0.0
        account = bucket.account
        extra = account.rate_per_s * self._extra_capacity_s
        return max(self._min_capacity, share * (account.burst + extra))

    def _get_accrual_ms(self, bucket: Bucket, tokens: float) -> float:
        """Return the time until this instance has accrued some tokens on its own."""
        missing = tokens - bucket.available
        if missing <= 0:
            return 0.0
        rate_per_s = self._get_rate(bucket)
        return missing / rate_per_s * 1000 if rate_per_s else math.inf

    def _may_get_tokens(self, bucket: Bucket, now_ms: float) -> bool:
        limit = max(MIN_WAITING, bucket.account.rate_per_s * WAITING_MS / 1000)
        if bucket.waiting >= limit:
            return False
        if bucket.is_searching(now_ms) or self._may_ask(bucket, now_ms):
            return True
        return self._get_accrual_ms(bucket, bucket.waiting + 1.0) <= MAX_WAIT_MS

    def _may_ask(self, bucket: Bucket, now_ms: float) -> bool:
        is_due = now_ms >= bucket.asked_ms + bucket.ask_interval_ms
        return is_due and self._share.has_peers

    def _is_ask_due(self, bucket: Bucket, now_ms: float) -> bool:
        if not self._may_ask(bucket, now_ms):
            return False
        if bucket.waiting:
            return True
        # Ahead of the demand, if more than one request is expected until the next time.
        expected = bucket.get_demand(now_ms) * ASK_INTERVAL_MS / 1000
        return expected >= 1 and bucket.available < expected

    def _compute_wanted(self, bucket: Bucket, now_ms: float) -> float:
        account = bucket.account
        expected = bucket.get_demand(now_ms) * ASK_AHEAD_MS / 1000
        limit = account.rate_per_s * ASK_AHEAD_MS / 1000 + account.burst
        return max(1.0, bucket.waiting, min(expected, limit)) - bucket.available

    def _expire_asks(self, now_ms: float) -> None:
        for number, ask in list(self._asks.items()):
            if now_ms - ask.sent_ms > REPLY_TIMEOUT_MS:
                del self._asks[number]


def compute_account_id(name: str) -> bytes:
    """Return the short id under which an account's tokens are exchanged."""
    return hashlib.blake2b(name.encode(), digest_size=ACCOUNT_ID_BYTES).digest()
