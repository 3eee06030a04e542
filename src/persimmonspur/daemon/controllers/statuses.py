"""Tells the other members about the endpoints that this instance owns."""

from collections.abc import Iterable

import msgspec
from attrs import define, field

from persimmonspur.daemon.instance import Instance
from persimmonspur.model.messages import EndpointStatus, EndpointStatuses

# A full buffer loses a message, so that everything is sent again now and then.
REFRESH_INTERVAL_MS = 30_000.0
# A member that has not yet heard of a new endpoint ignores its first status.
REPEAT_MS = (2_000.0, 6_000.0)


@define
class _Published:
    status: EndpointStatus
    sent_ms: float
    repeats: list[float] = field(factory=list)


class StatusPublisher:
    """Sends statuses when something relevant changed, and slowly again."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._published: dict[str, _Published] = {}
        self._informed: dict[str, tuple[int, bool]] = {}

    def publish(self, statuses: Iterable[EndpointStatus], now_ms: float) -> None:
        """Take the present statuses and send those that are due."""
        due = []
        for status in statuses:
            self._instance.view.observe_status(status, None, now_ms)
            known = self._published.get(status.endpoint)
            if known is None:
                repeats = [now_ms + delay_ms for delay_ms in REPEAT_MS]
                self._published[status.endpoint] = _Published(status, now_ms, repeats)
                due.append(status)
                continue
            if not _is_due(known, status, now_ms):
                continue
            known.status, known.sent_ms = status, now_ms
            known.repeats = [at_ms for at_ms in known.repeats if at_ms > now_ms]
            due.append(status)
        if due:
            message = EndpointStatuses(due)
            table = self._instance.cell.table
            others = len(table.members) - 1 if table is not None else 0
            self._count(message, others)
            self._instance.broadcast(message)

    def publish_to_member(self, member: str, incarnation: int, *, configured: bool) -> None:
        """Send everything to a member that is new.

        :param configured: whether the member has a configuration; without one it
            cannot use any status yet.
        """
        if self._informed.get(member) == (incarnation, configured):
            return
        self._informed[member] = (incarnation, configured)
        statuses = [known.status for known in self._published.values()]
        if configured and statuses:
            message = EndpointStatuses(statuses)
            self._count(message, 1)
            self._instance.send(member, message)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that this instance no longer owns."""
        self._published.pop(endpoint, None)

    def _count(self, message: EndpointStatuses, receivers: int) -> None:
        size = len(msgspec.msgpack.encode(message))
        self._instance.metrics.status_bytes.inc(size * receivers)


def _is_due(known: _Published, status: EndpointStatus, now_ms: float) -> bool:
    if now_ms - known.sent_ms >= REFRESH_INTERVAL_MS or any(
        at_ms <= now_ms for at_ms in known.repeats
    ):
        return True
    former = known.status
    if (former.state, former.usable, former.limit) != (status.state, status.usable, status.limit):
        return True
    if former.snapshots != status.snapshots:
        return True
    # Replies carry the queue, so that only large changes need a message of their own.
    return abs(former.queue - status.queue) >= 2 * max(1, status.limit)
