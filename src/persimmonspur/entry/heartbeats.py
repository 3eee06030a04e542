"""Heartbeats between instances as UDP datagrams.

Each heartbeat supersedes the previous one, so a connection, which can hang or queue old
heartbeats, would only delay newer state.
"""

import socket
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import gevent
import msgspec
from attrs import frozen

from persimmonspur.core.fleet.members import (
    ENTRY_SET_HEARTBEAT_INTERVAL_MS,
    NO_HEARTBEATS,
    Membership,
)
from persimmonspur.core.fleet.position import NO_POSITION
from persimmonspur.core.fleet.quarantine import CrashReport
from persimmonspur.core.fleet.roles import Member
from persimmonspur.entry.sockets import READ_EVENT, parse_address
from persimmonspur.entry.validation import find_member_error
from persimmonspur.entry.wire import Positions

MAX_DATAGRAM_BYTES = 1_400
# Other events of the loop get their turn after this many.
MAX_DATAGRAMS_PER_EVENT = 64
# As many as fit into a datagram beside the rest of the heartbeat.
CRASH_REPORTS_PER_HEARTBEAT = 3
# Heartbeat intervals are multiples of this interval.
TICK_INTERVAL_MS = ENTRY_SET_HEARTBEAT_INTERVAL_MS
# Begins datagrams that are not heartbeats. MessagePack never uses this byte, so builds that
# know only heartbeats ignore these datagrams.
MESSAGE_PREFIX = b"\xc1"

M = TypeVar("M", bound=msgspec.Struct)


class Heartbeat(msgspec.Struct, array_like=True):
    """State that an instance announces to the others.

    :param newest: positions in the store of the latest changes that the sender knows.
    :param interval_ms: time until the sender's next heartbeat; 0 if none follows.
    :param capability: capacity of the sender's machine, in cores.
    :param crash_reports: some of the requests that crash endpoints.
    :param confirmed_age_ms: time since the store confirmed the sender's configuration; -1 if
        unknown or not needed.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str
    ready: bool
    newest: Positions
    interval_ms: float
    capability: float
    crash_reports: list[CrashReport] = []
    confirmed_age_ms: int = -1


@frozen
class OwnState:
    """This instance's state for its next heartbeat.

    :param interval_ms: time until the heartbeat after it; 0 if none follows.
    :param confirmed_age_ms: time since the store confirmed the configuration; -1 if unknown or
        not needed.
    """

    ready: bool
    newest_positions: Positions
    interval_ms: float
    confirmed_age_ms: int = -1


class HeartbeatTransport:
    """Sends and receives heartbeats."""

    def __init__(
        self,
        membership: Membership,
        get_own_state: Callable[[], OwnState],
        on_heartbeat: Callable[[Member, Heartbeat], None],
        select_crash_reports: Callable[[int], list[CrashReport]],
    ) -> None:
        """Bind the peer address and start the timer.

        :param get_own_state: returns the state to announce.
        :param on_heartbeat: called with the sender and the heartbeat received from it.
        :param select_crash_reports: returns at most a number of crash reports to send.
        :raises OSError: if the address cannot be bound.
        """
        self._select_crash_reports = select_crash_reports
        self._membership = membership
        self._get_own_state = get_own_state
        self._on_heartbeat = on_heartbeat
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(parse_address(membership.own.peer_address))
        loop = gevent.get_hub().loop
        self._read_watcher: Any = loop.io(self._sock.fileno(), READ_EVENT)
        self._read_watcher.start(self._receive)
        self._timer: Any = loop.timer(TICK_INTERVAL_MS / 1000, TICK_INTERVAL_MS / 1000)
        self._timer.start(self._tick)
        self._last_sent = OwnState(
            False, Positions(NO_POSITION, NO_POSITION, NO_POSITION), NO_HEARTBEATS
        )
        self._ticks_since_send = 0
        self._message_handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._message_decoder: msgspec.msgpack.Decoder[Any] | None = None

    def register_message(self, message_type: type[M], handler: Callable[[M], None]) -> None:
        """Receive one more type of message from other instances.

        :param message_type: struct with a tag that no other message type has, encoded as an
            array; its first field is the name of the sender.
        :param handler: called with each message; messages may be lost, late or duplicated.
        """
        self._message_handlers[message_type] = handler
        union: Any = None
        for known_type in self._message_handlers:
            union = known_type if union is None else union | known_type
        self._message_decoder = msgspec.msgpack.Decoder(union)

    def send_message(self, message: msgspec.Struct, peers: Iterable[Member]) -> None:
        """Send a message to some instances, without waiting for an acknowledgement."""
        data = MESSAGE_PREFIX + msgspec.msgpack.encode(message)
        for peer in peers:
            try:
                self._sock.sendto(data, parse_address(peer.peer_address))
            except OSError:
                # As for heartbeats; senders do not rely on delivery.
                continue

    def send(self) -> None:
        """Send a heartbeat to every other instance now."""
        own = self._membership.own
        state = self._last_sent = self._get_own_state()
        self._ticks_since_send = 0
        data = msgspec.msgpack.encode(
            Heartbeat(
                own.name,
                own.incarnation,
                own.failure_domain,
                own.region,
                own.caller_address,
                own.peer_address,
                state.ready,
                state.newest_positions,
                state.interval_ms,
                own.capability,
                self._select_crash_reports(CRASH_REPORTS_PER_HEARTBEAT),
                state.confirmed_age_ms,
            )
        )
        for peer in self._membership.peers():
            try:
                self._sock.sendto(data, parse_address(peer.peer_address))
            except OSError:
                # Send buffer full or network unreachable; the next heartbeat is the retry.
                continue

    def close(self) -> None:
        """Stop sending and receiving."""
        self._timer.stop()
        self._timer.close()
        self._read_watcher.stop()
        self._read_watcher.close()
        self._sock.close()

    def _tick(self) -> None:
        self._ticks_since_send += 1
        state = self._get_own_state()
        changed = (
            state.ready != self._last_sent.ready or state.interval_ms != self._last_sent.interval_ms
        )
        due = state.interval_ms and self._ticks_since_send * TICK_INTERVAL_MS >= state.interval_ms
        if changed or due:
            self.send()

    def _receive(self) -> None:
        # The event loop calls again at once if there are more.
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # No datagram left, or an ICMP error for one that was sent earlier.
                return
            try:
                self._handle_datagram(data)
            except Exception:
                # The event loop reports the exception and stops to read the socket.
                gevent.get_hub().loop.run_callback(self._read_again)
                raise

    def _read_again(self) -> None:
        if self._sock.fileno() >= 0:
            self._read_watcher.start(self._receive)

    def _handle_datagram(self, data: bytes) -> None:
        if data.startswith(MESSAGE_PREFIX):
            self._receive_message(data[len(MESSAGE_PREFIX) :])
            return
        try:
            heartbeat = msgspec.msgpack.decode(data, type=Heartbeat)
        except (msgspec.DecodeError, RecursionError):
            # Sent by an incompatible version; the sender counts as silent.
            return
        member = Member(
            heartbeat.name,
            heartbeat.incarnation,
            heartbeat.failure_domain,
            heartbeat.region,
            heartbeat.caller_address,
            heartbeat.peer_address,
            heartbeat.capability,
        )
        if not find_member_error(member):
            self._on_heartbeat(member, heartbeat)

    def _receive_message(self, data: bytes) -> None:
        if self._message_decoder is None:
            return
        try:
            message = self._message_decoder.decode(data)
        except (msgspec.DecodeError, RecursionError):
            # Of a type that this build does not know.
            return
        self._message_handlers[type(message)](message)
