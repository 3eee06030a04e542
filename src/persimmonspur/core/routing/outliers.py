"""Endpoints and owners that this coordinator avoids for a while on its own evidence."""

from random import Random

from attrs import define

BASE_EJECTION_MS = 500.0
MAX_EJECTION_MS = 30_000.0
EJECTION_JITTER_RATIO = 0.2


@define
class _FailureRecord:
    failures: int = 0
    ejections: int = 0
    ejection_ms: float = 0.0
    ejected_until_ms: float = 0.0


class OutlierDetector:
    """Counts consecutive failures by name and decides on periods of avoidance.

    The periods double with each return to failure and are jittered, so that
    the coordinators of a cell do not come back all at once.
    """

    def __init__(self, rng: Random, threshold: int) -> None:
        """Start without evidence.

        :param threshold: consecutive failures that lead to avoidance.
        """
        self._rng = rng
        self._threshold = threshold
        self._records: dict[str, _FailureRecord] = {}

    def observe_success(self, name: str, now_ms: float) -> None:
        """Take a success; former periods are forgotten after as long a time without failure."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures = 0
        if now_ms - record.ejected_until_ms > record.ejection_ms:
            del self._records[name]

    def observe_failure(self, name: str, now_ms: float) -> float:
        """Take a failure or a missing reply.

        :returns: until when to avoid the name, in milliseconds; 0 for not at all.
        """
        record = self._records.setdefault(name, _FailureRecord())
        record.failures += 1
        if now_ms < record.ejected_until_ms:
            return record.ejected_until_ms
        if record.failures < self._threshold:
            return 0.0
        record.ejection_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2**record.ejections)
        record.ejections += 1
        # One more failure after the period is enough to avoid the name again.
        record.failures = self._threshold - 1
        record.ejected_until_ms = now_ms + record.ejection_ms * self._rng.uniform(
            1 - EJECTION_JITTER_RATIO, 1 + EJECTION_JITTER_RATIO
        )
        return record.ejected_until_ms


def count_ejectable(replicas: int, usable: int) -> int:
    """Return how many replicas of a shard may be ejected at once.

    At most a third of a shard's replicas, and never the last usable one, so
    that lying reports cannot empty a service.

    :param replicas: all replicas of the shard.
    :param usable: replicas that could serve, ejected ones included.
    """
    return max(0, min(replicas // 3, usable - 1))
