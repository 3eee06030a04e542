"""Connections and reconnection of one endpoint, counted by its owner."""

from random import Random

BACKOFF_MIN_MS = 50.0
BACKOFF_MAX_MS = 5_000.0
# Cancellations and probes use one connection, so that they need not wait for searches.
CONTROL_CONNECTIONS = 1


class ConnectionBudget:
    """Counts the connections that searches use and delays reconnection after losses."""

    def __init__(self, connections: int, connect_ms: float, rng: Random) -> None:
        """Start without connections.

        :param connections: most connections over all uses.
        :param connect_ms: cost of a new connection in milliseconds.
        :param rng: source of the jitter.
        """
        self.connections = connections
        self.connect_ms = connect_ms
        self.retry_at_ms = 0.0
        self._rng = rng
        self._losses = 0
        self._idle = 0
        self._opening = 0
        self._busy = 0

    @property
    def limit(self) -> int:
        """Most searches at once; at least one, even if only one connection is allowed."""
        return max(1, self.connections - CONTROL_CONNECTIONS)

    def estimate_cost(self, now_ms: float) -> float:
        """Return the time until a request can have a connection, in milliseconds."""
        if self._idle:
            return 0.0
        return max(0.0, self.retry_at_ms - now_ms) + self.connect_ms

    def may_take(self, now_ms: float, *, cold: bool) -> bool:
        """Whether a request can have a connection now.

        :param cold: whether new connections are opened one at a time.
        """
        if self._idle:
            return True
        if now_ms < self.retry_at_ms or self._busy + self._idle >= self.limit:
            return False
        return not (cold and self._opening)

    def take(self) -> bool:
        """Take a connection for a request.

        :returns: whether it is a new one.
        """
        self._busy += 1
        if self._idle:
            self._idle -= 1
            return False
        self._opening += 1
        return True

    def give_back(self, *, new: bool, lost: bool) -> None:
        """Take a connection back after its request.

        :param new: what :meth:`take` returned.
        :param lost: whether the connection was closed.
        """
        self._busy -= 1
        if new:
            self._opening -= 1
        if not lost:
            self._idle += 1

    def drop_idle(self) -> None:
        """Forget idle connections that the endpoint closed."""
        self._idle = 0

    def observe_loss(self, now_ms: float) -> None:
        """Delay the next new connection, longer with each loss in a row."""
        # A burst of losses is one event: connections break together.
        if now_ms < self.retry_at_ms:
            return
        delay_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2.0 ** min(self._losses, 16))
        self._losses += 1
        self.retry_at_ms = now_ms + max(BACKOFF_MIN_MS, delay_ms * (0.5 + 0.5 * self._rng.random()))

    def observe_answer(self) -> None:
        """End the series of losses."""
        self._losses = 0
