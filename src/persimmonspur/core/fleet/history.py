"""Recent changes of one kind of object, for instances that follow this one."""

from collections import deque
from typing import Generic, TypeVar

from attrs import frozen

T = TypeVar("T")

# A follower asks again at once after each answer; one that is further behind lists anew.
MAX_BATCHES = 64


@frozen
class ChangeBatch(Generic[T]):
    """Changes between two revisions of the store; a removed object is ``None``.

    :param after: revision from which they lead on.
    :param revision: revision to which they lead.
    :param newest: revision of the latest change among them; 0 without changes.
    :param recovering: whether the store was away shortly before, so that removed objects
        may come back.
    """

    after: int
    revision: int
    newest: int
    changes: tuple[tuple[str, T | None], ...]
    recovering: bool = False


class ChangeHistory(Generic[T]):
    """The latest batches of changes.

    :ivar revision: up to which all changes are known.
    """

    def __init__(self) -> None:
        self._batches: deque[ChangeBatch[T]] = deque()
        self._oldest = 0
        self.revision = 0

    def reset(self, revision: int) -> None:
        """Start anew from a list of all objects."""
        self._batches.clear()
        self._oldest = revision
        self.revision = revision

    def append(self, batch: ChangeBatch[T]) -> None:
        """Add the changes that follow the present revision."""
        self.revision = max(self.revision, batch.revision)
        if not batch.changes:
            return
        self._batches.append(batch)
        while len(self._batches) > MAX_BATCHES:
            self._oldest = self._batches.popleft().revision

    def collect_since(self, after: int) -> ChangeBatch[T] | None:
        """Return all changes after a revision in one batch.

        Changes that the follower has already may be among them: a batch leads from any
        revision inside it to its end.

        :returns: ``None`` if older changes are missing.
        """
        if not self.revision or after < self._oldest:
            return None
        changes: list[tuple[str, T | None]] = []
        newest = 0
        recovering = False
        for batch in self._batches:
            if batch.revision <= after:
                continue
            changes.extend(batch.changes)
            newest = max(newest, batch.newest)
            recovering = recovering or batch.recovering
        return ChangeBatch(after, max(after, self.revision), newest, tuple(changes), recovering)
