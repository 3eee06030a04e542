"""Postpones shards whose replicas all rejected a sub-request for a transient reason."""

from attrs import define, field

from persimmonspur.core.requests.progress import ShardProgress
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.messages import SubReply

# Moving an endpoint's budget to a new owner or returning from a drain takes some hundred
# milliseconds.
INITIAL_DELAY_MS = 10.0
MAX_DELAY_MS = 160.0

# Overload is excluded, so that its rejections reach the caller early.
_TRANSIENT_ERRORS = frozenset(
    (
        ErrorKind.NOT_OWNER,
        ErrorKind.ENDPOINT_DRAINING,
        ErrorKind.ENDPOINT_UNAVAILABLE,
        ErrorKind.UNREACHABLE,
    )
)


@define
class _Postponement:
    progress: ShardProgress
    due_ms: float


@define
class Postponements:
    """Shards whose replicas are tried again after an exponentially growing delay.

    Only sub-requests that certainly did not run are postponed, so non-repeatable
    requests may be postponed as well.
    """

    _pending: dict[str, _Postponement] = field(factory=dict)
    _delays: dict[str, float] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of postponed shards."""
        return len(self._pending)

    def add(self, progress: ShardProgress, now_ms: float, answer_by_ms: float) -> bool:
        """Postpone a shard and allow all of its replicas to be tried again.

        :param answer_by_ms: latest time at which the query is answered.
        :returns: ``False`` if the delay would end after that time.
        """
        delay_ms = self._delays.get(progress.name, INITIAL_DELAY_MS)
        if now_ms + delay_ms >= answer_by_ms:
            return False
        self._delays[progress.name] = min(MAX_DELAY_MS, 2 * delay_ms)
        self._pending[progress.name] = _Postponement(progress, now_ms + delay_ms)
        progress.tried.clear()
        return True

    def pop_due(self, now_ms: float) -> list[ShardProgress]:
        """Remove and return the shards whose delay has elapsed."""
        due = [
            postponement.progress
            for postponement in self._pending.values()
            if postponement.due_ms <= now_ms
        ]
        for progress in due:
            del self._pending[progress.name]
        return due

    def get_next_due_ms(self) -> float:
        """Return when the next shard is due, or infinity if none is postponed."""
        return min(
            (postponement.due_ms for postponement in self._pending.values()), default=float("inf")
        )

    def clear(self) -> None:
        """Remove all shards, because the query restarts."""
        self._pending.clear()


def is_transient_rejection(reply: SubReply) -> bool:
    """Return whether the same replica may soon accept the rejected sub-request."""
    return reply.ran is Ran.NO and reply.error in _TRANSIENT_ERRORS
