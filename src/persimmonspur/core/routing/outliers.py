"""Ejects endpoints and owners temporarily after consecutive failures seen by this coordinator."""

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
    """Counts consecutive failures by name and decides how long to eject it.

    The ejection time doubles with each repeated ejection. Jitter prevents all
    coordinators of a cell from returning at the same moment.
    """

    def __init__(self, rng: Random, threshold: int) -> None:
        """Initialize a detector without recorded failures.

        :param threshold: consecutive failures that lead to an ejection.
        """
        self._rng = rng
        self._threshold = threshold
        self._records: dict[str, _FailureRecord] = {}

    def observe_success(self, name: str, now_ms: float) -> None:
        """Record a success.

        The ejection history is dropped once the last ejection ended longer ago than it lasted.
        """
        record = self._records.get(name)
        if record is None:
            return
        record.failures = 0
        if now_ms - record.ejected_until_ms > record.ejection_ms:
            del self._records[name]

    def observe_failure(self, name: str, now_ms: float) -> float:
        """Record a failure or a missing reply.

        :returns: end of the ejection in milliseconds, or 0 if the name is not ejected.
        """
        record = self._records.setdefault(name, _FailureRecord())
        record.failures += 1
        if now_ms < record.ejected_until_ms:
            return record.ejected_until_ms
        if record.failures < self._threshold:
            return 0.0
        record.ejection_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2**record.ejections)
        record.ejections += 1
        # After the ejection a single failure ejects the name again.
        record.failures = self._threshold - 1
        record.ejected_until_ms = now_ms + record.ejection_ms * self._rng.uniform(
            1 - EJECTION_JITTER_RATIO, 1 + EJECTION_JITTER_RATIO
        )
        return record.ejected_until_ms


def count_ejectable(replica_count: int, usable_count: int) -> int:
    """Return how many replicas of a shard may be ejected at once.

    The limit is a third of the shard's replicas and never includes the last
    usable one, so that false failure reports cannot leave a shard without replicas.

    :param replica_count: number of all replicas of the shard.
    :param usable_count: number of replicas that can serve, including ejected ones.
    """
    return max(0, min(replica_count // 3, usable_count - 1))
