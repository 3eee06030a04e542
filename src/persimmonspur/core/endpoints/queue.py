"""Sub-requests that wait for a slot of one endpoint."""

from attrs import define

from persimmonspur.model.messages import SubRequest


@define
class Entry:
    """One waiting sub-request.

    :param deadline_ms: when its sender stops to wait, in the owner's monotonic milliseconds.
    """

    request: SubRequest
    deadline_ms: float

    @property
    def rank(self) -> tuple[int, float]:
        """The least rank is served first."""
        return (self.request.priority, self.deadline_ms)


class EndpointQueue:
    """A bounded queue, ordered by class priority and then by deadline."""

    def __init__(self, capacity: int) -> None:
        """Start empty.

        :param capacity: most entries.
        """
        self.capacity = capacity
        self._entries: list[Entry] = []

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a sub-request waits."""
        return any(entry.request.id == request_id for entry in self._entries)

    def count_ahead(self, entry: Entry) -> int:
        """Return how many entries would be served before a new one."""
        return sum(1 for other in self._entries if other.rank <= entry.rank)

    def add(self, entry: Entry) -> Entry | None:
        """Insert an entry.

        :returns: the entry that has no room: the last one, which may be the new one.
        """
        position = self.count_ahead(entry)
        self._entries.insert(position, entry)
        if len(self._entries) <= self.capacity:
            return None
        return self._entries.pop()

    def peek(self) -> Entry | None:
        """Return the entry that is next."""
        return self._entries[0] if self._entries else None

    def pop(self) -> Entry:
        """Remove the entry that is next."""
        return self._entries.pop(0)

    def remove(self, request_id: str) -> Entry | None:
        """Remove an entry by the id of its sub-request."""
        for entry in self._entries:
            if entry.request.id != request_id:
                continue
            self._entries.remove(entry)
            return entry
        return None

    def remove_all(self) -> list[Entry]:
        """Remove all entries."""
        entries, self._entries = self._entries, []
        return entries

    def remove_hedges(self) -> list[Entry]:
        """Remove hedges and retries."""
        hedges = [entry for entry in self._entries if entry.request.hedge]
        self._entries = [entry for entry in self._entries if not entry.request.hedge]
        return hedges

    def remove_late(self, now_ms: float, limit: int, service_ms: float) -> list[Entry]:
        """Remove entries that can no longer finish in time.

        :param limit: entries that are served at once.
        :param service_ms: expected service time in milliseconds.
        """
        late = []
        kept: list[Entry] = []
        for entry in self._entries:
            rounds = 1 + len(kept) // max(1, limit)
            # The first entry may always try: an estimate that was too high is
            # only corrected by requests that run.
            expected_ms = rounds * service_ms if kept else 0.0
            if now_ms + expected_ms >= entry.deadline_ms:
                late.append(entry)
                continue
            kept.append(entry)
        self._entries = kept
        return late
