"""Growing waits with jitter."""

from random import Random


class Backoff:
    """Waits that double up to a bound; each is varied so that instances spread."""

    def __init__(self, random: Random, first_ms: float, most_ms: float) -> None:
        """Start with the first wait.

        :param first_ms: the first wait in milliseconds.
        :param most_ms: longest wait in milliseconds.
        """
        self._random = random
        self._first_ms = first_ms
        self._most_ms = most_ms
        self._next_ms = first_ms

    def next_ms(self) -> float:
        """Return the next wait in milliseconds, between half and all of its bound."""
        wait_ms = self._next_ms * (0.5 + 0.5 * self._random.random())
        self._next_ms = min(self._most_ms, self._next_ms * 2)
        return wait_ms

    def reset(self) -> None:
        """Start over after a success."""
        self._next_ms = self._first_ms
