"""Publishes the statuses of the endpoints that this instance owns to the other members."""

from collections.abc import Iterable

import msgspec
from attrs import define, field

from persimmonspur.daemon.instance import Instance
from persimmonspur.model.messages import EndpointStatus, EndpointStatuses

# A full send buffer drops messages, so every status is sent again periodically.
REFRESH_INTERVAL_MS = 30_000.0
# A member that does not know a new endpoint yet ignores its first status.
REPEAT_DELAYS_MS = (2_000.0, 6_000.0)


@define
class _PublishedStatus:
    status: EndpointStatus
    sent_ms: float
    repeat_times_ms: list[float] = field(factory=list)


class StatusPublisher:
    """Sends statuses to members after relevant changes and again at a long interval."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._published: dict[str, _PublishedStatus] = {}
        self._complete_sends: dict[str, tuple[int, bool]] = {}

    def publish(self, statuses: Iterable[EndpointStatus], now_ms: float) -> None:
        """Broadcast the statuses that are due.

        :param statuses: current statuses of all owned endpoints.
        """
        due = []
        for status in statuses:
            self._instance.view.observe_status(status, None, now_ms)
            published = self._published.get(status.endpoint)
            if published is None:
                repeat_times_ms = [now_ms + delay_ms for delay_ms in REPEAT_DELAYS_MS]
                self._published[status.endpoint] = _PublishedStatus(status, now_ms, repeat_times_ms)
                due.append(status)
                continue
            if not _is_due(published, status, now_ms):
                continue
            published.status, published.sent_ms = status, now_ms
            published.repeat_times_ms = [
                at_ms for at_ms in published.repeat_times_ms if at_ms > now_ms
            ]
            due.append(status)
        if due:
            message = EndpointStatuses(due)
            table = self._instance.cell.table
            others = len(table.members) - 1 if table is not None else 0
            self._count_bytes(message, others)
            self._instance.broadcast(message)

    def publish_to_member(self, member: str, incarnation: int, *, configured: bool) -> None:
        """Send all statuses to a member that is new or has just received a configuration.

        :param configured: whether the member has a configuration; without one it
            cannot use any status.
        """
        if self._complete_sends.get(member) == (incarnation, configured):
            return
        self._complete_sends[member] = (incarnation, configured)
        statuses = [published.status for published in self._published.values()]
        if configured and statuses:
            message = EndpointStatuses(statuses)
            self._count_bytes(message, 1)
            self._instance.send(member, message)

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint that this instance no longer owns."""
        self._published.pop(endpoint, None)

    def _count_bytes(self, message: EndpointStatuses, receivers: int) -> None:
        size = len(msgspec.msgpack.encode(message))
        self._instance.metrics.status_bytes.inc(size * receivers)


def _is_due(published: _PublishedStatus, status: EndpointStatus, now_ms: float) -> bool:
    if now_ms - published.sent_ms >= REFRESH_INTERVAL_MS or any(
        at_ms <= now_ms for at_ms in published.repeat_times_ms
    ):
        return True
    previous = published.status
    if (previous.state, previous.usable, previous.limit) != (
        status.state,
        status.usable,
        status.limit,
    ):
        return True
    if previous.snapshots != status.snapshots:
        return True
    # Replies also carry the queue length, so only large changes need a separate message.
    return abs(previous.queue - status.queue) >= 2 * max(1, status.limit)
