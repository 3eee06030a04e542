"""Requests that crash the endpoints that run them.

A crash ends the connections of all requests at the endpoint, so a lost connection alone makes
a request only suspected. A request is quarantined once further endpoints crashed that were sent
nothing but this request to find out. Instances exchange what they know as crash reports.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum

from attrs import evolve, frozen

from persimmonspur.clock import Clock

MAX_REPORTS = 256
# A request is quarantined after this many crashes, this many of them of sends that were made
# although it was suspected.
QUARANTINE_CRASHES = 3
QUARANTINE_TRIALS = 2
SUSPICION_MS = 60_000.0
# After this time a quarantined request may be tried again at one endpoint.
QUARANTINE_MS = 600_000.0


class Standing(StrEnum):
    """What is known about a request."""

    UNSUSPECTED = "unsuspected"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


@frozen
class CrashReport:
    """Crashes of endpoints while they had one request.

    :param fingerprint: identifies the request; see :mod:`persimmonspur.core.fleet.fingerprint`.
    :param lifetimes: digests of the lifetimes of the crashed endpoints, at most
        :data:`QUARANTINE_CRASHES`.
    :param failed_trials: crashes after sends that were made although it was suspected.
    :param crashed_ms: wall-clock time of the latest crash.
    :param cleared_ms: wall-clock time at which an endpoint last answered it; 0 if none did.
    """

    fingerprint: str
    lifetimes: tuple[str, ...] = ()
    failed_trials: int = 0
    crashed_ms: float = 0.0
    cleared_ms: float = 0.0

    @property
    def convicting(self) -> bool:
        """Whether the crashes suffice for a quarantine."""
        return len(self.lifetimes) >= QUARANTINE_CRASHES and self.failed_trials >= QUARANTINE_TRIALS

    def get_standing(self, now_ms: float) -> Standing:
        """Return the standing of the request.

        :param now_ms: current wall-clock time.
        """
        if self.crashed_ms <= self.cleared_ms:
            return Standing.UNSUSPECTED
        if self.convicting and now_ms - self.crashed_ms < QUARANTINE_MS:
            return Standing.QUARANTINED
        return Standing.SUSPECTED

    def add_crash(self, lifetime: str, is_trial: bool, now_ms: float) -> "CrashReport":
        """Return the report with one more crash."""
        return self.merge(
            CrashReport(self.fingerprint, (lifetime,), self.failed_trials + is_trial, now_ms)
        )

    def clear(self, now_ms: float) -> "CrashReport":
        """Return the report after an endpoint answered the request."""
        return CrashReport(self.fingerprint, crashed_ms=self.crashed_ms, cleared_ms=now_ms)

    def merge(self, other: "CrashReport") -> "CrashReport":
        """Return what both reports know together."""
        cleared_ms = max(self.cleared_ms, other.cleared_ms)
        merged = CrashReport(
            self.fingerprint,
            crashed_ms=max(self.crashed_ms, other.crashed_ms),
            cleared_ms=cleared_ms,
        )
        for report in (self, other):
            if report.crashed_ms <= cleared_ms:
                continue
            lifetimes = tuple(dict.fromkeys((*merged.lifetimes, *report.lifetimes)))
            merged = evolve(
                merged,
                lifetimes=lifetimes[:QUARANTINE_CRASHES],
                failed_trials=max(merged.failed_trials, report.failed_trials),
            )
        return merged

    def is_expired(self, now_ms: float) -> bool:
        """Return whether the report no longer says anything about the request."""
        lifetime_ms = 2 * QUARANTINE_MS if self.convicting else SUSPICION_MS
        return now_ms - max(self.crashed_ms, self.cleared_ms) > lifetime_ms


class Quarantine:
    """The crash reports that this instance knows, at most :data:`MAX_REPORTS`.

    Times are on the wall clock, since instances exchange reports and outlive each other.

    :ivar on_quarantined: called when a request gets into the quarantine.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[CrashReport, Standing], None] = lambda *_: None
    ) -> None:
        """Create a quarantine without reports.

        :param on_change: called with a report to send to the other instances and the new
            standing of its request.
        """
        self._clock = clock
        self._on_change = on_change
        self._reports: dict[str, CrashReport] = {}
        self._shared: dict[str, None] = {}
        self.on_quarantined: Callable[[], None] | None = None

    @property
    def empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._reports

    def get_standing(self, fingerprint: str) -> Standing:
        """Return the standing of a request."""
        report = self._reports.get(fingerprint)
        if report is None:
            return Standing.UNSUSPECTED
        return report.get_standing(self._clock.wall_ms())

    def get_remaining_ms(self, fingerprint: str) -> float:
        """Return the time until a quarantined request may be tried again."""
        report = self._reports.get(fingerprint)
        if report is None:
            return 0.0
        return max(0.0, report.crashed_ms + QUARANTINE_MS - self._clock.wall_ms())

    def record_crash(self, fingerprint: str, lifetime: str, is_trial: bool) -> Standing:
        """Record that an endpoint crashed while it had a request.

        :param lifetime: digest of the lifetime of the endpoint.
        :param is_trial: whether it was sent although it was suspected.
        :returns: the new standing of the request.
        """
        now_ms = self._clock.wall_ms()
        report = self._reports.pop(fingerprint, CrashReport(fingerprint))
        before = report.get_standing(now_ms)
        report = report.add_crash(lifetime, is_trial, now_ms)
        self._insert(report)
        standing = report.get_standing(now_ms)
        if standing is Standing.QUARANTINED and before is not standing:
            self.share(fingerprint)
            self._notify_quarantined()
        return standing

    def record_answer(self, fingerprint: str) -> None:
        """Record that an endpoint answered a request, which therefore crashes none."""
        report = self._reports.pop(fingerprint, None)
        if report is None or fingerprint not in self._shared:
            return
        self._insert(report.clear(self._clock.wall_ms()))
        self.share(fingerprint)

    def share(self, fingerprint: str) -> None:
        """Send a report to the other instances."""
        report = self._reports.get(fingerprint)
        if report is None:
            return
        self._mark_shared(fingerprint)
        self._on_change(report, report.get_standing(self._clock.wall_ms()))

    def merge(self, reports: Iterable[CrashReport]) -> None:
        """Add the reports of another instance."""
        now_ms = self._clock.wall_ms()
        quarantined = False
        for received in reports:
            if received.is_expired(now_ms):
                continue
            known = self._reports.get(received.fingerprint, CrashReport(received.fingerprint))
            merged = known.merge(received)
            if merged == known:
                continue
            self._reports.pop(received.fingerprint, None)
            self._insert(merged)
            self._mark_shared(received.fingerprint)
            quarantined = quarantined or merged.get_standing(now_ms) is Standing.QUARANTINED
        if quarantined:
            self._notify_quarantined()

    def select_shared(self, count: int) -> list[CrashReport]:
        """Return reports for the next message to the other instances.

        The latest changes come first; then all shared reports take turns, since messages may
        be lost and instances restart.
        """
        selected = list(self._shared)[:count]
        for fingerprint in selected:
            del self._shared[fingerprint]
            self._shared[fingerprint] = None
        return [self._reports[fingerprint] for fingerprint in selected]

    def expire(self) -> None:
        """Drop reports that no longer say anything."""
        now_ms = self._clock.wall_ms()
        for fingerprint, report in list(self._reports.items()):
            if report.is_expired(now_ms):
                self._drop(fingerprint)

    def count(self) -> dict[str, float]:
        """Return the number of requests of each standing."""
        now_ms = self._clock.wall_ms()
        counts = dict.fromkeys((Standing.SUSPECTED.value, Standing.QUARANTINED.value), 0.0)
        for report in self._reports.values():
            standing = report.get_standing(now_ms).value
            if standing in counts:
                counts[standing] += 1
        return counts

    def _insert(self, report: CrashReport) -> None:
        self._reports[report.fingerprint] = report
        if len(self._reports) > MAX_REPORTS:
            # The least recent one that does not keep a request away from endpoints.
            minor = [name for name, known in self._reports.items() if not known.convicting]
            self._drop(next(iter(minor or self._reports)))

    def _notify_quarantined(self) -> None:
        if self.on_quarantined is not None:
            self.on_quarantined()

    def _drop(self, fingerprint: str) -> None:
        self._reports.pop(fingerprint, None)
        self._shared.pop(fingerprint, None)

    def _mark_shared(self, fingerprint: str) -> None:
        if fingerprint in self._reports:
            self._shared = {fingerprint: None, **self._shared}
