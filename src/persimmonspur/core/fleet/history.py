"""Recent changes to one kind of object, kept for instances that follow this one."""

from collections import deque
from typing import Generic, TypeVar

from attrs import frozen

from persimmonspur.core.fleet.position import NO_POSITION, StorePosition

T = TypeVar("T")

# A follower polls again right after each response; one that is further behind than this
# has to list all objects.
MAX_BATCHES = 64


@frozen
class ChangeBatch(Generic[T]):
    """Changes between two positions in the store; a removed object is ``None``.

    :param after: position before the changes.
    :param position: position after the changes.
    :param newest: position of the latest change among them; unknown without changes.
    :param recovering: whether the store was recently unavailable, so that removed objects
        may reappear.
    """

    after: StorePosition
    position: StorePosition
    newest: StorePosition
    changes: tuple[tuple[str, T | None], ...]
    recovering: bool = False


class ChangeHistory(Generic[T]):
    """The most recent batches of changes.

    :ivar position: position in the store up to which all changes are known.
    """

    def __init__(self) -> None:
        self._batches: deque[ChangeBatch[T]] = deque()
        self._oldest = NO_POSITION
        self.position = NO_POSITION

    def reset(self, position: StorePosition) -> None:
        """Drop all changes, since a list of all objects at a position was received."""
        self._batches.clear()
        self._oldest = position
        self.position = position

    def append(self, batch: ChangeBatch[T]) -> None:
        """Add the changes that follow the current position."""
        self.position = max(self.position, batch.position)
        if not batch.changes:
            return
        self._batches.append(batch)
        while len(self._batches) > MAX_BATCHES:
            self._oldest = self._batches.popleft().position

    def collect_since(self, after: StorePosition) -> ChangeBatch[T] | None:
        """Return all changes after a position as one batch.

        The result may include changes that the follower has already applied: applying a
        whole batch leads to the same state from any position inside it.

        :returns: ``None`` if the changes right after the position are not known, as those of
            another era.
        """
        if not self.position.revision or after < self._oldest or after.era != self.position.era:
            return None
        changes: list[tuple[str, T | None]] = []
        newest = NO_POSITION
        recovering = False
        for batch in self._batches:
            if batch.position <= after:
                continue
            changes.extend(batch.changes)
            newest = max(newest, batch.newest)
            recovering = recovering or batch.recovering
        position = max(after, self.position)
        return ChangeBatch(after, position, newest, tuple(changes), recovering)
