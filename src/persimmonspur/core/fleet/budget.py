"""Fleet-wide limits, divided so that each instance enforces its share without coordination."""

from collections import deque

from attrs import define, field

from persimmonspur.core.fleet.endpoints import Lifetime
from persimmonspur.core.rendezvous import rank_candidates

BUCKET_WIDTH_MS = 500.0
# Fraction of the fleet-wide ratio that instances use. The rest is a margin for the windows
# over which the limit is checked, which are not aligned with the windows here.
RATIO_FRACTION = 0.8
# Fraction of the fleet-wide slack that is divided among the instances. The other half is
# reserved for restarted instances, which lose their record of what they have spent.
SLACK_FRACTION = 0.5
# Hedges may use this fraction of the budget; the rest is left to retries after failures.
HEDGE_FRACTION = 0.8


@define
class _Bucket:
    start_ms: float
    first_attempts: int = 0
    extra_attempts: int = 0


@define
class _Window:
    buckets: deque[_Bucket] = field(factory=deque)
    first_attempts: int = 0
    extra_attempts: int = 0

    def advance(self, now_ms: float, window_ms: float) -> _Bucket:
        while self.buckets and self.buckets[0].start_ms <= now_ms - window_ms:
            expired = self.buckets.popleft()
            self.first_attempts -= expired.first_attempts
            self.extra_attempts -= expired.extra_attempts
        if not self.buckets or now_ms - self.buckets[-1].start_ms >= BUCKET_WIDTH_MS:
            self.buckets.append(_Bucket(now_ms))
        return self.buckets[-1]


class RetryBudget:
    """Bounds retries and hedges per service over a sliding window.

    The extra attempts of an instance are limited to a fixed ratio of its own first
    attempts, so the total over all instances keeps the ratio whatever their number.
    The constant slack is divided among the instances.

    :ivar sharing_instances: number of instances that the slack is divided by.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        """Create a budget with no attempts recorded.

        :param ratio: extra attempts (retries and hedges) per first attempt, over all instances.
        :param slack: extra attempts per window, over all instances, that are allowed without
            first attempts.
        :param window_ms: length of the sliding window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._windows: dict[str, _Window] = {}
        self.sharing_instances = 1

    def set_limits(self, ratio: float, slack: float) -> None:
        """Change the limits; attempts already recorded still count."""
        self._ratio = ratio
        self._slack = slack

    def record_first_attempt(self, service: str, now_ms: float) -> None:
        """Count the first attempt of a request to a service."""
        window = self._windows.setdefault(service, _Window())
        window.advance(now_ms, self._window_ms).first_attempts += 1
        window.first_attempts += 1

    def try_acquire(self, service: str, now_ms: float, hedge: bool) -> bool:
        """Count one extra attempt if the budget allows it.

        :param hedge: whether the attempt is a hedge rather than a retry.
        :returns: whether the attempt may be sent.
        """
        window = self._windows.setdefault(service, _Window())
        bucket = window.advance(now_ms, self._window_ms)
        allowance = self._compute_allowance(window)
        if hedge:
            allowance *= HEDGE_FRACTION
        if window.extra_attempts + 1 > allowance:
            return False
        bucket.extra_attempts += 1
        window.extra_attempts += 1
        return True

    def put_back(self, service: str, now_ms: float) -> None:
        """Take back an extra attempt that was counted at this time and not sent.

        :param now_ms: the time that was given to :meth:`try_acquire`.
        """
        window = self._windows[service]
        window.advance(now_ms, self._window_ms).extra_attempts -= 1
        window.extra_attempts -= 1

    def compute_used_ratio(self, now_ms: float) -> float:
        """Return the used fraction of the budget of the service that has used the most."""
        used_ratio = 0.0
        for window in self._windows.values():
            window.advance(now_ms, self._window_ms)
            used_ratio = max(
                used_ratio, window.extra_attempts / max(1.0, self._compute_allowance(window))
            )
        return used_ratio

    def _compute_allowance(self, window: _Window) -> float:
        slack = self._slack * SLACK_FRACTION / max(1, self.sharing_instances)
        return self._ratio * RATIO_FRACTION * window.first_attempts + slack


class ColdStartLimit:
    """Bounds the requests per second that all instances send to a cold endpoint.

    If there are more instances than allowed requests per second, only the instances
    that rank first for the endpoint send, one request per second each.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._participants: tuple[str, ...] = (instance,)
        self._next_allowed_ms: dict[Lifetime, float] = {}

    def set_participants(self, participants: tuple[str, ...]) -> None:
        """Set the names of the instances among which each limit is divided."""
        self._participants = (
            participants if self._instance in participants else (*participants, self._instance)
        )

    def try_acquire(self, lifetime: Lifetime, rate_per_s: float, now_ms: float) -> bool:
        """Return whether a request may be sent now, and count it if so.

        :param rate_per_s: requests per second that the cold endpoint can handle; 0 is unlimited.
        """
        if rate_per_s <= 0:
            return True
        share_per_s = rate_per_s / len(self._participants)
        if share_per_s < 1:
            ranked = rank_candidates(dict.fromkeys(self._participants, 1.0), lifetime)
            if ranked.index(self._instance) >= int(rate_per_s):
                return False
            share_per_s = 1.0
        if now_ms < self._next_allowed_ms.get(lifetime, 0.0):
            return False
        self._next_allowed_ms[lifetime] = now_ms + 1_000.0 / share_per_s
        return True

    def retain(self, lifetimes: frozenset[Lifetime]) -> None:
        """Drop the state of endpoint processes that no longer exist.

        :param lifetimes: the processes that exist.
        """
        for lifetime in list(self._next_allowed_ms):
            if lifetime not in lifetimes:
                del self._next_allowed_ms[lifetime]
