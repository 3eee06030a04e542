"""Schedules a member's calls to the object API."""

MIN_BACKOFF_MS = 1_000.0
# Limits a cell of 24 members to 1.5 calls per second during an outage.
MAX_BACKOFF_MS = 16_000.0

# A call without a result after this time no longer blocks other calls.
CALL_TIMEOUT_MS = 30_000.0

# Normally, a heartbeat round is confirmed soon after the next one is sent. If the latest
# confirmed round is older than this, the object API is asked for a confirmation.
CONFIRM_AFTER_MS = 2_500.0
CONFIRM_INTERVAL_MS = 1_500.0

# Members whose confirmations conflict retry at different times, at most this many times
# before they wait for the whole interval.
CONFIRM_RETRIES = 3
CONFIRM_RETRY_MS = 150.0
CONFIRM_STAGGER_MS = 15.0


class StoreAccess:
    """Limits a member to one call at a time and backs off after failures."""

    def __init__(self) -> None:
        self.busy = False
        self._started_ms = 0.0
        self._backoff_ms = MIN_BACKOFF_MS
        self._next_ms = 0.0
        self._stored_versions: tuple[int, int] | None = None

    def is_busy(self, now_ms: float) -> bool:
        """Return whether a call is in progress and hasn't timed out."""
        return self.busy and now_ms - self._started_ms < CALL_TIMEOUT_MS

    def begin(self, now_ms: float) -> bool:
        """Reserve the next call, unless another is in progress or the backoff hasn't elapsed.

        :returns: whether the caller must make the call.
        """
        if self.is_busy(now_ms) or now_ms < self._next_ms:
            return False
        self.busy = True
        self._started_ms = now_ms
        return True

    def finish(self) -> None:
        """Record the end of a call that was answered."""
        self.busy = False
        self._backoff_ms = MIN_BACKOFF_MS

    def fail(self, now_ms: float) -> None:
        """Record a failed call and double the backoff for the next failure."""
        self.busy = False
        self._next_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)

    def record_stored_version(self, table_version: int, stored_version: int | None) -> None:
        """Record the stored version under which a table version was last seen.

        :param stored_version: version of the object in the store; ``None`` if unknown.
        """
        self._stored_versions = None if stored_version is None else (table_version, stored_version)

    def find_stored_version(self, table_version: int) -> int | None:
        """Return the stored version of a table version, if known."""
        if self._stored_versions is None or self._stored_versions[0] != table_version:
            return None
        return self._stored_versions[1]


class StoreConfirmation:
    """Schedules confirmations by the object API while no majority confirms this member."""

    def __init__(self) -> None:
        self._next_ms = 0.0
        self._conflicts = 0
        self._read_pending = False

    def is_due(self, confirmed_ms: float, now_ms: float) -> bool:
        """Return whether the table should be confirmed by the object API now.

        :param confirmed_ms: time at which the current validity started.
        """
        return now_ms >= self._next_ms and now_ms - confirmed_ms >= CONFIRM_AFTER_MS

    def begin(self, now_ms: float) -> None:
        """Start with a read, as other members that lack peers change the stored version too."""
        self._next_ms = now_ms + CONFIRM_INTERVAL_MS
        self._read_pending = True

    def finish_read(self) -> bool:
        """Record the end of a read and return whether it was for a confirmation."""
        read_pending, self._read_pending = self._read_pending, False
        return read_pending

    def observe_success(self) -> None:
        """Record an update that took effect."""
        self._conflicts = 0

    def observe_conflict(self, position: int, now_ms: float) -> None:
        """Record an update that lost a race or whose reply was lost.

        :param position: index of this member by name, which staggers the retries.
        """
        self._conflicts += 1
        if self._conflicts <= CONFIRM_RETRIES:
            self._next_ms = now_ms + CONFIRM_RETRY_MS + CONFIRM_STAGGER_MS * position
