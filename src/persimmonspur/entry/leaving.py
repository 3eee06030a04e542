"""Tells the other instances which endpoints are leaving.

An endpoint says so in a response, which only one instance gets. The others would otherwise learn
it from the store, or each from a response to a request that the endpoint no longer wants.
"""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import EndpointDirectory
from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.messages import Timers
from persimmonspur.core.fleet.pushback import EndpointPushback, EndpointStart
from persimmonspur.core.fleet.roles import Member
from persimmonspur.entry import events
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.entry.heartbeats import HeartbeatTransport

# Messages may be lost, so each is sent twice, well within the time in which an endpoint that is
# leaving may still get requests (3,000 ms).
REPEAT_DELAY_MS = 500.0
# Size of the endpoints in one message; the rest of the datagram is left to the sender's name.
MAX_STARTS_BYTES = 1_000
# Encoded size of a start time, and of the headers of the array and of the identity.
START_OVERHEAD_BYTES = 15


class EndpointsLeaving(msgspec.Struct, array_like=True, tag="endpoints_leaving"):
    """Announces endpoints that are leaving.

    :param starts: identity and start time of each.
    """

    sender: str
    starts: list[tuple[str, int]]


class LeavingAnnouncer:
    """Exchanges the marks of leaving endpoints with the other instances."""

    def __init__(
        self,
        pushback: EndpointPushback,
        directory: EndpointDirectory,
        membership: Membership,
        get_transport: Callable[[], HeartbeatTransport | None],
        clock: Clock,
        timers: Timers,
        log: EventLog,
    ) -> None:
        """Announce endpoints as soon as one of their responses says that they are leaving.

        :param get_transport: returns the transport of messages, ``None`` while there is none.
        """
        self._pushback = pushback
        self._directory = directory
        self._membership = membership
        self._get_transport = get_transport
        self._clock = clock
        self._timers = timers
        self._log = log
        pushback.on_leaving = self._announce

    def register(self, transport: HeartbeatTransport) -> None:
        """Receive the announcements of other instances."""
        transport.register_message(EndpointsLeaving, self._receive)

    def announce_known(self, member: Member) -> None:
        """Announce all leaving endpoints to an instance that may have missed announcements."""
        self._send(self._pushback.select_leaving(self._directory), [member])

    def _announce(self, start: EndpointStart) -> None:
        self._record(start, "response")
        self._send([start], self._membership.peers())
        self._timers.call_later(
            REPEAT_DELAY_MS, lambda: self._send([start], self._membership.peers())
        )

    def _send(self, starts: Iterable[EndpointStart], peers: Iterable[Member]) -> None:
        transport = self._get_transport()
        if transport is None:
            return
        for group in group_by_size(starts):
            transport.send_message(EndpointsLeaving(self._membership.own.name, group), peers)

    def _receive(self, message: EndpointsLeaving) -> None:
        now_ms = self._clock.now_ms()
        for identity, born_ms in message.starts:
            start = EndpointStart(identity, born_ms)
            if self._pushback.mark_leaving(start, now_ms):
                self._record(start, message.sender)

    def _record(self, start: EndpointStart, source: str) -> None:
        self._log.record(
            events.ENDPOINT_LEAVING,
            endpoint=start.identity,
            born_ms=start.born_ms,
            source=source,
        )


def group_by_size(starts: Iterable[EndpointStart]) -> Iterator[list[tuple[str, int]]]:
    """Divide starts into groups that fit into one message each.

    An identity that does not fit into a message on its own is left out.
    """
    group: list[tuple[str, int]] = []
    free_bytes = MAX_STARTS_BYTES
    for start in starts:
        size = len(start.identity.encode()) + START_OVERHEAD_BYTES
        if size > MAX_STARTS_BYTES:
            continue
        if size > free_bytes:
            yield group
            group = []
            free_bytes = MAX_STARTS_BYTES
        group.append((start.identity, start.born_ms))
        free_bytes -= size
    if group:
        yield group
