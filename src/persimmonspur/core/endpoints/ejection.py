"""Outlier ejection of one endpoint, based on the outcomes of its owner's requests."""

FAILURE_THRESHOLD = 5
MIN_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 60_000.0


class Ejection:
    """Ejects an endpoint after consecutive failures.

    After an ejection the endpoint is on probation: a success ends the probation, a
    single failure ejects the endpoint again for twice as long.
    """

    def __init__(self) -> None:
        """Create the state of an endpoint without failures."""
        self._consecutive_failures = 0
        self._duration_ms = MIN_EJECTION_MS
        self._ejected_until_ms: float | None = None
        self._on_probation = False

    @property
    def ejected(self) -> bool:
        """Whether the endpoint is ejected."""
        return self._ejected_until_ms is not None

    def observe_success(self) -> None:
        """Record a successful request; it ends a probation, but never an ongoing ejection."""
        self._consecutive_failures = 0
        if self._ejected_until_ms is None:
            self._on_probation = False
            self._duration_ms = MIN_EJECTION_MS

    def observe_failure(self, now_ms: float) -> None:
        """Record a failed request."""
        self._consecutive_failures += 1
        if self._ejected_until_ms is not None:
            return
        if self._consecutive_failures < FAILURE_THRESHOLD and not self._on_probation:
            return
        if self._on_probation:
            self._duration_ms = min(MAX_EJECTION_MS, 2 * self._duration_ms)
        self._ejected_until_ms = now_ms + self._duration_ms

    def end_if_due(self, now_ms: float) -> bool:
        """End the ejection if its duration has passed.

        :returns: whether it ended in this call, in which case the endpoint must warm up again.
        """
        if self._ejected_until_ms is None or now_ms < self._ejected_until_ms:
            return False
        self._ejected_until_ms = None
        self._consecutive_failures = 0
        self._on_probation = True
        return True
