"""Ejection of an endpoint by the outcomes that its owner saw."""

FAILURES = 5
EJECTION_MIN_MS = 1_000.0
EJECTION_MAX_MS = 60_000.0


class Ejection:
    """Marks an endpoint as ejected after failures in a row.

    After its time is over the endpoint is on probation: a success ends it, a
    single failure ejects the endpoint again for twice the time.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._failures = 0
        self._duration_ms = EJECTION_MIN_MS
        self._until_ms: float | None = None
        self._probation = False

    @property
    def ejected(self) -> bool:
        """Whether the endpoint is ejected."""
        return self._until_ms is not None

    def observe_success(self) -> None:
        """Take a success; it ends a probation, but not an ejection before its time."""
        self._failures = 0
        if self._until_ms is None:
            self._probation = False
            self._duration_ms = EJECTION_MIN_MS

    def observe_failure(self, now_ms: float) -> None:
        """Take a failed request."""
        self._failures += 1
        if self._until_ms is not None:
            return
        if self._failures < FAILURES and not self._probation:
            return
        if self._probation:
            self._duration_ms = min(EJECTION_MAX_MS, 2 * self._duration_ms)
        self._until_ms = now_ms + self._duration_ms

    def advance(self, now_ms: float) -> bool:
        """Let the ejection end when its time is over.

        :returns: whether it ended now, so that the endpoint warms up again.
        """
        if self._until_ms is None or now_ms < self._until_ms:
            return False
        self._until_ms = None
        self._failures = 0
        self._probation = True
        return True
