"""Memory budget of messages that other processes send."""

from collections.abc import Callable
from typing import Protocol

from attrs import define, field


class MemoryHolder(Protocol):
    """A connection whose messages take memory."""

    @property
    def evictable(self) -> bool:
        """Whether its messages can be refused."""

    def evict(self) -> None:
        """Refuse its messages and release their memory."""


@define(eq=False)
class MemoryBudget:
    """Bounds the memory of all messages that are received, queued or handled.

    Over the budget, the connection that takes most is refused first, so that ordinary ones are
    served beside others that take as much as they can.

    :param budget_bytes: size of the budget.
    :param get_min_bytes: returns the size below which nothing is refused, whatever the budget.
    :ivar used_bytes: estimated memory of all messages.
    """

    budget_bytes: int
    _get_min_bytes: Callable[[], int]
    used_bytes: int = 0
    _holders: dict[MemoryHolder, int] = field(factory=dict)

    def update(self, holder: MemoryHolder, count: int) -> None:
        """Record the memory of one connection's messages, and refuse some over the budget.

        :param count: estimated memory of all its messages, in bytes.
        """
        added = count - self._holders.pop(holder, 0)
        self.used_bytes += added
        if count:
            self._holders[holder] = count
        if added > 0 and self.used_bytes > self.budget_bytes:
            self._evict_excess()

    def _evict_excess(self) -> None:
        budget_bytes = max(self.budget_bytes, self._get_min_bytes())
        while self.used_bytes > budget_bytes:
            evictable = [holder for holder in self._holders if holder.evictable]
            if not evictable:
                return
            victim = max(evictable, key=self._holders.__getitem__)
            victim.evict()
            # Whatever the holder does, it is not asked again.
            self.used_bytes -= self._holders.pop(victim, 0)
