"""Limits how often the followers of relays call the store while it does not answer.

In an outage, calls of every feed of every instance would only burden a store that is about to
return. The relays notice its return for all, so a follower calls it just often enough to find
out whether only the relays cannot reach it.
"""

# Time between the calls of one instance, over all feeds, while none of them succeeds.
PROBE_INTERVAL_MS = 1_500.0


class StoreFallback:
    """Calls that one follower makes to the store because its relays failed."""

    def __init__(self) -> None:
        self._failing = False
        self._next_probe_ms = 0.0

    def try_acquire(self, now_ms: float) -> bool:
        """Return whether the store may be called now, and count the call if so."""
        if not self._failing:
            return True
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def record_result(self, failed: bool, now_ms: float) -> None:
        """Record whether a call failed; after a success, calls are not limited."""
        if failed and not self._failing:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        self._failing = failed
