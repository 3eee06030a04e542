"""Recent changes to one kind of object, kept for instances that follow this one."""

from collections import deque
from typing import Generic, TypeVar

from attrs import frozen

T = TypeVar("T")

# A follower polls again right after each response; one that is further behind than this
# has to list all objects.
MAX_BATCHES = 64


@frozen
class ChangeBatch(Generic[T]):
    """Changes between two revisions of the store; a removed object is ``None``.

    :param after: revision before the changes.
    :param revision: revision after the changes.
    :param newest_revision: revision of the latest change among them; 0 without changes.
    :param recovering: whether the store was recently unavailable, so that removed objects
        may reappear.
    """

    after: int
    revision: int
    newest_revision: int
    changes: tuple[tuple[str, T | None], ...]
    recovering: bool = False


class ChangeHistory(Generic[T]):
    """The most recent batches of changes.

    :ivar revision: revision of the store up to which all changes are known.
    """

    def __init__(self) -> None:
        self._batches: deque[ChangeBatch[T]] = deque()
        self._oldest = 0
        self.revision = 0

    def reset(self, revision: int) -> None:
        """Drop all changes, since a list of all objects at a revision was received."""
        self._batches.clear()
        self._oldest = revision
        self.revision = revision

    def append(self, batch: ChangeBatch[T]) -> None:
        """Add the changes that follow the current revision."""
        self.revision = max(self.revision, batch.revision)
        if not batch.changes:
            return
        self._batches.append(batch)
        while len(self._batches) > MAX_BATCHES:
            self._oldest = self._batches.popleft().revision

    def collect_since(self, after: int) -> ChangeBatch[T] | None:
        """Return all changes after a revision as one batch.

        The result may include changes that the follower has already applied: applying a
        whole batch leads to the same state from any revision inside it.

        :returns: ``None`` if the changes right after the revision are not known.
        """
        if not self.revision or after < self._oldest:
            return None
        changes: list[tuple[str, T | None]] = []
        newest_revision = 0
        recovering = False
        for batch in self._batches:
            if batch.revision <= after:
                continue
            changes.extend(batch.changes)
            newest_revision = max(newest_revision, batch.newest_revision)
            recovering = recovering or batch.recovering
        return ChangeBatch(
            after, max(after, self.revision), newest_revision, tuple(changes), recovering
        )
