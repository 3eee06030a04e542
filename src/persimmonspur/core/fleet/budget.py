"""Limits that all instances share, split so that no instance has to ask another."""

from collections import deque

from attrs import define, field

from persimmonspur.core.rendezvous import rank_candidates

BUCKET_MS = 500.0
# Part of the fleet's ratio that instances use; the rest covers windows that slide
# differently at the judge of the limit.
USED_RATIO = 0.8
# Part of the fleet's slack that is dealt out. Instances that restart forget what
# they spent, so half is kept back.
USED_SLACK = 0.5
# Hedges leave this part of the budget to retries after failures.
HEDGE_PART = 0.8


@define
class _Bucket:
    start_ms: float
    first: int = 0
    extra: int = 0


@define
class _Window:
    buckets: deque[_Bucket] = field(factory=deque)
    first: int = 0
    extra: int = 0

    def advance(self, now_ms: float, window_ms: float) -> _Bucket:
        while self.buckets and self.buckets[0].start_ms <= now_ms - window_ms:
            expired = self.buckets.popleft()
            self.first -= expired.first
            self.extra -= expired.extra
        if not self.buckets or now_ms - self.buckets[-1].start_ms >= BUCKET_MS:
            self.buckets.append(_Bucket(now_ms))
        return self.buckets[-1]


class RetryBudget:
    """Bounds the repeated sends per service over a sliding window.

    Each instance may repeat a fixed ratio of its own first sends, so the sum over
    all instances keeps the ratio whatever their number. The constant slack is
    divided by the number of registered instances.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        """Start with nothing spent.

        :param ratio: repeated sends per request over all instances.
        :param slack: repeated sends per window that need no requests.
        :param window_ms: length of the sliding window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._windows: dict[str, _Window] = {}
        self.sharing_instances = 1

    def set_limits(self, ratio: float, slack: float) -> None:
        """Change the limits; what was spent stays counted."""
        self._ratio = ratio
        self._slack = slack

    def record_first_send(self, service: str, now_ms: float) -> None:
        """Count the first send of a request to a service."""
        window = self._windows.setdefault(service, _Window())
        window.advance(now_ms, self._window_ms).first += 1
        window.first += 1

    def try_spend(self, service: str, now_ms: float, hedge: bool) -> bool:
        """Spend one repeated send.

        :param hedge: whether the send is speculative.
        :returns: whether there was room.
        """
        window = self._windows.setdefault(service, _Window())
        bucket = window.advance(now_ms, self._window_ms)
        room = self._measure_room(window)
        if hedge:
            room *= HEDGE_PART
        if window.extra + 1 > room:
            return False
        bucket.extra += 1
        window.extra += 1
        return True

    def compute_used_ratio(self, now_ms: float) -> float:
        """Return the spent part of the budget of the service that spent the largest part."""
        used = 0.0
        for window in self._windows.values():
            window.advance(now_ms, self._window_ms)
            used = max(used, window.extra / max(1.0, self._measure_room(window)))
        return used

    def _measure_room(self, window: _Window) -> float:
        slack = self._slack * USED_SLACK / max(1, self.sharing_instances)
        return self._ratio * USED_RATIO * window.first + slack


class ColdStartLimit:
    """Bounds requests per second to a cold endpoint over all instances.

    With more instances than requests per second, only the instances that rank
    first for the endpoint send, one request per second each.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._members: tuple[str, ...] = (instance,)
        self._next_ms: dict[str, float] = {}

    def set_participants(self, members: tuple[str, ...]) -> None:
        """Set the instances among which a limit is divided."""
        self._members = members if self._instance in members else (*members, self._instance)

    def try_acquire(self, identity: str, per_s: float, now_ms: float) -> bool:
        """Take the right to send one request.

        :param per_s: requests per second that the endpoint bears; 0 is unlimited.
        """
        if per_s <= 0:
            return True
        share = per_s / len(self._members)
        if share < 1:
            ranked = rank_candidates(dict.fromkeys(self._members, 1.0), identity)
            if ranked.index(self._instance) >= int(per_s):
                return False
            share = 1.0
        if now_ms < self._next_ms.get(identity, 0.0):
            return False
        self._next_ms[identity] = now_ms + 1_000.0 / share
        return True

    def retain(self, identities: frozenset[str]) -> None:
        """Drop the state of all endpoints but some.

        :param identities: the endpoints that exist.
        """
        for identity in list(self._next_ms):
            if identity not in identities:
                del self._next_ms[identity]
