"""Counts and logs what is refused of clients, with bounded volume."""

from collections import Counter

from persimmonspur.clock import Clock
from persimmonspur.entry import events
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.entry.metrics import EntryMetrics

# At most one line in this time; it counts all refusals since the line before.
LOG_INTERVAL_MS = 1_000.0


class RefusalRecorder:
    """Records refused requests and connections of one instance."""

    def __init__(self, log: EventLog, metrics: EntryMetrics, clock: Clock) -> None:
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._unlogged: Counter[str] = Counter()
        self._logged_ms = -LOG_INTERVAL_MS

    def record(self, address: str, reason: str) -> None:
        """Record that a request or a connection was refused.

        :param address: kind of address, such as ``caller``.
        :param reason: short name of the cause.
        """
        self._metrics.count_refusal(address, reason)
        self._unlogged[f"{address}: {reason}"] += 1
        self.write_due()

    def write_due(self) -> None:
        """Log the refusals that are not logged yet, if the latest line is old enough."""
        now_ms = self._clock.now_ms()
        if not self._unlogged or now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        self._log.record(events.CLIENTS_REFUSED, refusals=dict(self._unlogged))
        self._unlogged.clear()
