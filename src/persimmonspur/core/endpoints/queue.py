"""Queue of the sub-requests that wait for a slot of one endpoint."""

from attrs import define

from persimmonspur.model.messages import SubRequest


@define
class QueueEntry:
    """A queued sub-request.

    :param deadline_ms: owner's monotonic time at which the sender stops waiting.
    """

    request: SubRequest
    deadline_ms: float

    @property
    def sort_key(self) -> tuple[int, float]:
        """Position in the queue: priority first, then deadline; lower values go first."""
        return (self.request.priority, self.deadline_ms)


class EndpointQueue:
    """A bounded queue, ordered by class priority and then by deadline."""

    def __init__(self, capacity: int) -> None:
        """Create an empty queue.

        :param capacity: maximum number of entries.
        """
        self.capacity = capacity
        self._entries: list[QueueEntry] = []

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a sub-request is queued."""
        return any(entry.request.id == request_id for entry in self._entries)

    def count_ahead(self, entry: QueueEntry) -> int:
        """Return how many queued entries would be served before a new entry."""
        return sum(1 for other in self._entries if other.sort_key <= entry.sort_key)

    def add(self, entry: QueueEntry) -> QueueEntry | None:
        """Insert an entry at its position.

        :returns: the last entry if the queue is over capacity, possibly the new one.
        """
        position = self.count_ahead(entry)
        self._entries.insert(position, entry)
        if len(self._entries) <= self.capacity:
            return None
        return self._entries.pop()

    def peek(self) -> QueueEntry | None:
        """Return the first entry without removing it."""
        return self._entries[0] if self._entries else None

    def pop(self) -> QueueEntry:
        """Remove and return the first entry."""
        return self._entries.pop(0)

    def remove(self, request_id: str) -> QueueEntry | None:
        """Remove and return the entry of a sub-request."""
        for entry in self._entries:
            if entry.request.id != request_id:
                continue
            self._entries.remove(entry)
            return entry
        return None

    def remove_all(self) -> list[QueueEntry]:
        """Remove and return all entries."""
        entries, self._entries = self._entries, []
        return entries

    def remove_hedges(self) -> list[QueueEntry]:
        """Remove and return the entries of hedges."""
        hedges = [entry for entry in self._entries if entry.request.hedge]
        self._entries = [entry for entry in self._entries if not entry.request.hedge]
        return hedges

    def remove_infeasible(self, now_ms: float, limit: int, service_ms: float) -> list[QueueEntry]:
        """Remove and return the entries that cannot finish before their deadline.

        :param limit: number of entries that are served concurrently.
        :param service_ms: expected service time in milliseconds.
        """
        infeasible = []
        kept: list[QueueEntry] = []
        for entry in self._entries:
            rounds = 1 + len(kept) // max(1, limit)
            # The first entry is kept until its deadline: only a request that is executed
            # can correct an estimate that is too high.
            expected_ms = rounds * service_ms if kept else 0.0
            if now_ms + expected_ms >= entry.deadline_ms:
                infeasible.append(entry)
                continue
            kept.append(entry)
        self._entries = kept
        return infeasible
