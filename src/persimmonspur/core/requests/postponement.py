"""Shards whose replicas all rejected a sub-request for a reason that passes."""

from attrs import define, field

from persimmonspur.core.requests.progress import ShardProgress
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.messages import SubReply

# A hand-over of a budget or a return from a drain takes some hundred milliseconds.
FIRST_DELAY_MS = 10.0
LONGEST_DELAY_MS = 160.0

# Overload is not among them: its rejections must reach the caller early.
_PASSING = frozenset(
    (
        ErrorKind.NOT_OWNER,
        ErrorKind.ENDPOINT_DRAINING,
        ErrorKind.ENDPOINT_UNAVAILABLE,
        ErrorKind.UNREACHABLE,
    )
)


@define
class _Wait:
    progress: ShardProgress
    due_ms: float


@define
class Postponements:
    """When to try the replicas of such shards again.

    Only sub-requests that certainly did not run are postponed, so that even
    non-repeatable requests may wait here.
    """

    _waits: dict[str, _Wait] = field(factory=dict)
    _delays: dict[str, float] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of shards that wait."""
        return len(self._waits)

    def add(self, progress: ShardProgress, now_ms: float, conclude_ms: float) -> bool:
        """Let a shard wait and forget which replicas it tried.

        :param conclude_ms: when the query is answered at the latest.
        :returns: ``False`` if the time does not suffice.
        """
        delay_ms = self._delays.get(progress.name, FIRST_DELAY_MS)
        if now_ms + delay_ms >= conclude_ms:
            return False
        self._delays[progress.name] = min(LONGEST_DELAY_MS, 2 * delay_ms)
        self._waits[progress.name] = _Wait(progress, now_ms + delay_ms)
        progress.tried.clear()
        return True

    def take_due(self, now_ms: float) -> list[ShardProgress]:
        """Remove and return the shards whose delay is over."""
        due = [wait.progress for wait in self._waits.values() if wait.due_ms <= now_ms]
        for progress in due:
            del self._waits[progress.name]
        return due

    def get_due_ms(self) -> float:
        """Return when the next shard is due; infinity if none waits."""
        return min((wait.due_ms for wait in self._waits.values()), default=float("inf"))

    def clear(self) -> None:
        """Forget all shards, because the query starts again."""
        self._waits.clear()


def passes(reply: SubReply) -> bool:
    """Return whether the same sub-request may succeed at the same replica soon."""
    return reply.ran is Ran.NO and reply.error in _PASSING
