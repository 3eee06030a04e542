"""When a member may call the object API."""

SHORTEST_BACKOFF_MS = 1_000.0
# A cell of 24 members then calls at most 1.5 times per second during an outage.
LONGEST_BACKOFF_MS = 16_000.0

# A call without a result for so long is not waited for any more.
LOST_MS = 30_000.0

# A healthy round is confirmed soon after the next one is sent.
UNCONFIRMED_MS = 2_500.0
CONFIRM_INTERVAL_MS = 1_500.0

# Members whose confirmations collide try again at different times, at most
# this often before they wait for the whole interval.
CONFIRM_RETRIES = 3
CONFIRM_RETRY_MS = 150.0
CONFIRM_SPREAD_MS = 15.0


class StoreAccess:
    """Allows one call at a time and backs off after failures."""

    def __init__(self) -> None:
        self.busy = False
        self._begun_ms = 0.0
        self._backoff_ms = SHORTEST_BACKOFF_MS
        self._next_ms = 0.0
        self._stored: tuple[int, int] | None = None

    def is_busy(self, now_ms: float) -> bool:
        """Return whether the result of a call is still expected."""
        return self.busy and now_ms - self._begun_ms < LOST_MS

    def begin(self, now_ms: float) -> bool:
        """Start a call if one may start.

        :returns: whether the caller must make it.
        """
        if self.is_busy(now_ms) or now_ms < self._next_ms:
            return False
        self.busy = True
        self._begun_ms = now_ms
        return True

    def finish(self) -> None:
        """Take the end of a call that was answered."""
        self.busy = False
        self._backoff_ms = SHORTEST_BACKOFF_MS

    def fail(self, now_ms: float) -> None:
        """Take the end of a call that failed, and wait longer before the next."""
        self.busy = False
        self._next_ms = now_ms + self._backoff_ms
        self._backoff_ms = min(2 * self._backoff_ms, LONGEST_BACKOFF_MS)

    def remember(self, table_version: int, stored_version: int | None) -> None:
        """Note under which stored version a table version was last seen."""
        self._stored = None if stored_version is None else (table_version, stored_version)

    def find_stored_version(self, table_version: int) -> int | None:
        """Return the stored version of a table version, if known."""
        if self._stored is None or self._stored[0] != table_version:
            return None
        return self._stored[1]


class StoreConfirmation:
    """Paces the confirmations by the object API, for a member that no majority answers."""

    def __init__(self) -> None:
        self._next_ms = 0.0
        self._collisions = 0
        self._reading = False

    def is_due(self, confirmed_ms: float, now_ms: float) -> bool:
        """Return whether the table should be confirmed by the object API now.

        :param confirmed_ms: time from which the present validity counts.
        """
        return now_ms >= self._next_ms and now_ms - confirmed_ms >= UNCONFIRMED_MS

    def begin(self, now_ms: float) -> None:
        """Start with a read: other members without peers change the stored version too."""
        self._next_ms = now_ms + CONFIRM_INTERVAL_MS
        self._reading = True

    def finish_reading(self) -> bool:
        """Take the end of a read; returns whether it was for a confirmation."""
        reading, self._reading = self._reading, False
        return reading

    def succeed(self) -> None:
        """Take an update that took effect."""
        self._collisions = 0

    def collide(self, position: int, now_ms: float) -> None:
        """Take an update that lost a race or its reply.

        :param position: number of this member, which spreads the next attempts.
        """
        self._collisions += 1
        if self._collisions <= CONFIRM_RETRIES:
            self._next_ms = now_ms + CONFIRM_RETRY_MS + CONFIRM_SPREAD_MS * position
