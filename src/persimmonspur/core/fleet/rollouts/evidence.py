"""Responses of the new and the old version of a service, counted by all instances together."""

import hashlib
from collections import deque
from collections.abc import Mapping

from attrs import define, field

from persimmonspur.core.fleet.messages import EndpointResponse, SendFailure, SendResult
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.rollouts.statistics import Counts, sum_counts
from persimmonspur.errors import Ran

# A response is bad if it took longer than this multiple of the old version's typical latency.
SLOW_RATIO = 3.0
# Latest responses of the old version whose median is its typical latency, and the number of
# them without which latency shows nothing.
LATENCY_SAMPLES = 15
MIN_LATENCY_SAMPLES = 5
# Requests that one crash or pause of an endpoint delays or loses together count once.
SAME_EVENT_MS = 100.0
# A period of comparison ends after this time, if it has this many responses of the old version.
MIN_STRATUM_MS = 1_000.0
MIN_STRATUM_RESPONSES = 40
ROUTE_DIGEST_BYTES = 4
# Number of routes that fit into one datagram; the responses of others are counted together.
MAX_ROUTES = 24
OTHER_ROUTES = "other"


def compute_route_digest(route: str) -> str:
    """Return a short name of a route for messages between instances."""
    return hashlib.blake2b(route.encode(), digest_size=ROUTE_DIGEST_BYTES).hexdigest()


@define(eq=False)
class _PeerSeries:
    """Counters of a peer since it began to count.

    :param series: identifies the beginning; another series starts from zero.
    """

    series: tuple[int, int]
    counts: dict[str, Counts] = field(factory=dict)


class TypicalLatencies:
    """Latest latencies of the versions in use, by service and route.

    They are kept without an order as well, because a service with few requests would not have
    enough of them before the verdict.
    """

    def __init__(self) -> None:
        self._samples_ms: dict[tuple[str, str], deque[float]] = {}

    def observe(self, attempt: Attempt, route: str, result: SendResult, now_ms: float) -> None:
        """Add the latency of a successful response of an endpoint that is not cold."""
        if isinstance(result, SendFailure) or result.status >= 400:
            return
        sent_ms = attempt.record.sent_ms
        if attempt.endpoint.cold_until_ms <= sent_ms:
            self.add(attempt.endpoint.service, route, now_ms - sent_ms)

    def add(self, service: str, route: str, took_ms: float) -> None:
        """Add one latency."""
        key = (service, route)
        samples = self._samples_ms.get(key)
        if samples is None:
            samples = self._samples_ms[key] = deque(maxlen=LATENCY_SAMPLES)
        samples.append(took_ms)

    def is_slow(self, service: str, route: str, took_ms: float) -> bool:
        """Return whether a response took several times longer than is typical now."""
        samples = self._samples_ms.get((service, route))
        if samples is None or len(samples) < MIN_LATENCY_SAMPLES:
            return False
        typical_ms = sorted(samples)[len(samples) // 2]
        return took_ms > SLOW_RATIO * typical_ms


class Evidence:
    """Counts of responses, by route and period.

    Periods are kept apart because the share of the new version changes: a disturbance of both
    versions must not count against the one that has most of the requests at that time.

    :ivar own: counters of this instance by digest of the route.
    """

    def __init__(self, service: str, latencies: TypicalLatencies, now_ms: float) -> None:
        """Begin to count."""
        self._service = service
        self.own: dict[str, Counts] = {}
        self._digests: dict[str, str] = {}
        self._latencies = latencies
        self._peers: dict[str, _PeerSeries] = {}
        self._strata: dict[str, list[Counts]] = {}
        self._stratum_started_ms: dict[str, float] = {}
        self._last_event_ms: dict[str, float] = {}
        self._started_ms = now_ms
        self._since_shift: dict[str, Counts] | None = None

    def record(
        self, attempt: Attempt, route: str, is_new: bool, result: SendResult, now_ms: float
    ) -> bool:
        """Count the result of one send.

        :returns: whether it is a bad response of the new version.
        """
        bad = self._classify(attempt, route, is_new, result, now_ms)
        if bad is None:
            return False
        counts = Counts(1, int(bad)) if is_new else Counts(0, 0, 1, int(bad))
        digest = self._get_digest(route)
        self.own.setdefault(digest, Counts()).add(counts)
        self._add_to_stratum(digest, counts, now_ms)
        return bad and is_new

    def merge(
        self, sender: str, series: tuple[int, int], counts: Mapping[str, Counts], now_ms: float
    ) -> None:
        """Add what a peer has counted since its last report.

        Counters only rise, so lost, late and repeated reports do no harm.

        :param series: incarnation of the peer, and the time at which it began to count.
        """
        known = self._peers.get(sender)
        if known is not None and series < known.series:
            return
        if known is None or series > known.series:
            known = self._peers[sender] = _PeerSeries(series)
        for digest, total in counts.items():
            before = known.counts.get(digest, Counts())
            if total == before or total.new < before.new or total.old < before.old:
                continue
            known.counts[digest] = total
            self._add_to_stratum(digest, total.minus(before), now_ms)

    def get_route_name(self, digest: str) -> str:
        """Return the name of a route, or its digest if this instance has not seen it."""
        for route, known_digest in self._digests.items():
            if known_digest == digest != OTHER_ROUTES:
                return route
        return digest

    def begin_shift(self) -> None:
        """Count separately from now on, because the share of the new version rises."""
        self._since_shift = {}

    def get_periods(self) -> dict[str, list[Counts]]:
        """Return the counts of all instances before the shift, by route and period."""
        return self._strata

    def get_since_shift(self) -> dict[str, Counts]:
        """Return the counts of all instances since the shift, by route."""
        return self._since_shift or {}

    def compute_totals(self) -> dict[str, Counts]:
        """Return the counts of all instances by route."""
        totals = {digest: sum_counts(strata) for digest, strata in self._strata.items()}
        for digest, counts in self.get_since_shift().items():
            totals.setdefault(digest, Counts()).add(counts)
        return totals

    def _get_digest(self, route: str) -> str:
        digest = self._digests.get(route)
        if digest is None:
            full = len(self._digests) >= MAX_ROUTES
            digest = self._digests[route] = OTHER_ROUTES if full else compute_route_digest(route)
        return digest

    def _add_to_stratum(self, digest: str, counts: Counts, now_ms: float) -> None:
        if self._since_shift is not None:
            self._since_shift.setdefault(digest, Counts()).add(counts)
            return
        strata = self._strata.setdefault(digest, [Counts()])
        started_ms = self._stratum_started_ms.setdefault(digest, self._started_ms)
        is_full = strata[-1].old >= MIN_STRATUM_RESPONSES
        if is_full and now_ms - started_ms >= MIN_STRATUM_MS:
            strata.append(Counts())
            self._stratum_started_ms[digest] = now_ms
        strata[-1].add(counts)

    def _classify(
        self, attempt: Attempt, route: str, is_new: bool, result: SendResult, now_ms: float
    ) -> bool | None:
        """Return whether a result is bad, or ``None`` if it shows nothing about the version."""
        if isinstance(result, SendFailure):
            if result.ran is Ran.NO:
                return None
            return None if self._is_same_event(attempt, now_ms) else True
        is_cold = attempt.endpoint.cold_until_ms > attempt.record.sent_ms
        if result.misdirected or (result.ran is Ran.NO and (is_cold or result.status < 500)):
            return None
        if result.status >= 500 or _is_wrong(result):
            return True
        if is_cold:
            return False
        took_ms = now_ms - attempt.record.sent_ms
        is_slow = self._latencies.is_slow(self._service, route, took_ms)
        if not is_new:
            self._latencies.add(self._service, route, took_ms)
        if is_slow and self._is_same_event(attempt, now_ms):
            return None
        return is_slow

    def _is_same_event(self, attempt: Attempt, now_ms: float) -> bool:
        identity = attempt.endpoint.identity
        last_ms = self._last_event_ms.get(identity)
        if last_ms is not None and now_ms - last_ms < SAME_EVENT_MS:
            return True
        self._last_event_ms[identity] = now_ms
        return False


def _is_wrong(response: EndpointResponse) -> bool:
    return 200 <= response.status < 300 and not response.stamp
