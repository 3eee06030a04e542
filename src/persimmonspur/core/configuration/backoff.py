"""Exponential backoff with jitter."""

from random import Random


class Backoff:
    """Delays that double up to a maximum; jitter keeps instances from retrying in step."""

    def __init__(self, random: Random, initial_ms: float, max_ms: float) -> None:
        """Start at the initial delay.

        :param initial_ms: upper bound of the first delay, in milliseconds.
        :param max_ms: upper bound of all delays, in milliseconds.
        """
        self._random = random
        self._initial_ms = initial_ms
        self._max_ms = max_ms
        self._next_ms = initial_ms

    def next_ms(self) -> float:
        """Return the next delay in milliseconds, between half and all of its upper bound."""
        wait_ms = self._next_ms * (0.5 + 0.5 * self._random.random())
        self._next_ms = min(self._max_ms, self._next_ms * 2)
        return wait_ms

    def reset(self) -> None:
        """Return to the initial delay after a success."""
        self._next_ms = self._initial_ms
