"""Connection limit and reconnection backoff of one endpoint, tracked by its owner."""

from random import Random

MIN_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 5_000.0
# Connections reserved for cancellations and probes, which must not wait for sub-requests.
CONTROL_CONNECTIONS = 1


class ConnectionBudget:
    """Limits the connections used for sub-requests and delays reconnection after losses."""

    def __init__(self, connections: int, connect_ms: float, rng: Random) -> None:
        """Create a budget without open connections.

        :param connections: maximum number of connections, control connections included.
        :param connect_ms: time to open a connection, in milliseconds.
        :param rng: random number generator for the backoff jitter.
        """
        self.connections = connections
        self.connect_ms = connect_ms
        self.retry_at_ms = 0.0
        self._rng = rng
        self._consecutive_losses = 0
        self._idle = 0
        self._opening = 0
        self._busy = 0

    @property
    def limit(self) -> int:
        """Maximum number of concurrent sub-requests; at least 1."""
        return max(1, self.connections - CONTROL_CONNECTIONS)

    def estimate_connect_delay(self, now_ms: float) -> float:
        """Return the time until a request can use a connection, in milliseconds."""
        if self._idle:
            return 0.0
        return max(0.0, self.retry_at_ms - now_ms) + self.connect_ms

    def can_acquire(self, now_ms: float, *, cold: bool) -> bool:
        """Return whether a request can use a connection now.

        :param cold: whether the endpoint is cold; new connections to it are opened one at a time.
        """
        if self._idle:
            return True
        if now_ms < self.retry_at_ms or self._busy + self._idle >= self.limit:
            return False
        return not (cold and self._opening)

    def acquire(self) -> bool:
        """Reserve a connection for a request.

        :returns: whether a new connection has to be opened.
        """
        self._busy += 1
        if self._idle:
            self._idle -= 1
            return False
        self._opening += 1
        return True

    def release(self, *, new: bool, lost: bool) -> None:
        """Return a connection after its request.

        :param new: the value that :meth:`acquire` returned.
        :param lost: whether the connection was closed.
        """
        self._busy -= 1
        if new:
            self._opening -= 1
        if not lost:
            self._idle += 1

    def discard_idle(self) -> None:
        """Discard idle connections that the endpoint has closed."""
        self._idle = 0

    def back_off(self, now_ms: float) -> None:
        """Delay the next new connection; the delay doubles with each consecutive loss."""
        # Connections often break together, so losses during the delay count as one.
        if now_ms < self.retry_at_ms:
            return
        delay_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0 ** min(self._consecutive_losses, 16))
        self._consecutive_losses += 1
        self.retry_at_ms = now_ms + max(MIN_BACKOFF_MS, delay_ms * (0.5 + 0.5 * self._rng.random()))

    def reset_backoff(self) -> None:
        """Reset the backoff after the endpoint has answered."""
        self._consecutive_losses = 0
