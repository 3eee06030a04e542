"""When a member may call the object API."""

SHORTEST_BACKOFF_MS = 1_000.0
# A cell of 24 members then calls at most 1.5 times per second during an outage.
LONGEST_BACKOFF_MS = 16_000.0


class StoreAccess:
    """Allows one call at a time and backs off after failures."""

    def __init__(self) -> None:
        self.busy = False
        self._backoff_ms = SHORTEST_BACKOFF_MS
        self._next_ms = 0.0
        self._stored: tuple[int, int] | None = None

    def begin(self, now_ms: float) -> bool:
        """Start a call if one may start.

        :returns: whether the caller must make it.
        """
        if self.busy or now_ms < self._next_ms:
            return False
        self.busy = True
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
