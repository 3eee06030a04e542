"""HTTP server that detects client disconnects while a request is in progress.

gevent's WSGI server reads a connection only between requests, so it can neither detect a
disconnect during a request nor limit the time for receiving a body.
"""

import errno
import socket
from collections.abc import Callable
from typing import Any

import gevent

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.clientconnection import ClientConnection
from persimmonspur.entry.features import NO_FEATURES
from persimmonspur.entry.pacing import WorkPacer
from persimmonspur.entry.requests import HttpRequest as HttpRequest
from persimmonspur.entry.serverlimits import CALLER_SHARE, ServerLimits, build_server_limits
from persimmonspur.entry.serverresponse import Handler as Handler
from persimmonspur.entry.serverresponse import Respond as Respond
from persimmonspur.entry.serverresponse import ServerResponse as ServerResponse
from persimmonspur.entry.sockets import READ_EVENT, configure_socket, listen

SWEEP_INTERVAL_MS = 250.0
MAX_ACCEPTS_PER_EVENT = 64
# At most this many connections are considered when one is closed to make room for another.
MAX_CLOSE_CANDIDATES = 8
# A request that takes longer than this to arrive may be refused to make room.
MIN_RECEIVING_MS = 250.0
_OUT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class HttpServer:
    """Accepts connections on one address.

    :ivar closing: whether every response closes its connection.
    :ivar accepted_count: number of connections accepted so far.
    :ivar max_connections: maximum number of open connections.
    :ivar memory: memory budget of all requests.
    :ivar pacer: spreads the work of expensive connections.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        get_limits: Callable[[], ClientLimits],
        clock: Clock,
        server_limits: ServerLimits | None = None,
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        """Start to listen.

        :param address: ``ip:port``.
        :param get_limits: returns the limits for client requests.
        :param server_limits: limits of all connections together; those of a caller's address
            on the smallest machine by default.
        :param on_refused: called with the reason when requests or a connection are refused.
        :raises OSError: if the address cannot be bound.
        """
        if server_limits is None:
            server_limits = build_server_limits(CALLER_SHARE, NO_FEATURES, get_limits)
        self.handler = handler
        self.get_limits = get_limits
        self.clock = clock
        self.closing = False
        self.accepted_count = 0
        self.memory = server_limits.memory
        self.max_connections = server_limits.max_connections
        self.record_refusal = on_refused
        self.pacer = WorkPacer(clock)
        self._connections: set[ClientConnection] = set()
        self._sock: socket.socket | None = listen(address)
        loop = gevent.get_hub().loop
        self._accept_watcher: Any = loop.io(self._sock.fileno(), READ_EVENT)
        self._accept_watcher.start(self._accept)
        self._sweep_timer: Any = loop.timer(SWEEP_INTERVAL_MS / 1000, SWEEP_INTERVAL_MS / 1000)
        self._sweep_timer.start(self._sweep)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def stop_accepting(self) -> None:
        """Accept the connections in the listen backlog, then close the listening socket."""
        if self._sock is None:
            return
        self._accept()
        self._accept_watcher.stop()
        self._accept_watcher.close()
        self._sock.close()
        self._sock = None

    def close_idle(self) -> int:
        """Close connections without a request in progress.

        :returns: the number of connections that remain open.
        """
        for connection in list(self._connections):
            if connection.idle:
                connection.close()
        return len(self._connections)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if self._sock is None:
                return
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                # Otherwise no connection is left to accept, or the client closed it already.
                if error.errno in _OUT_OF_RESOURCES:
                    self._pause_accepting()
                return
            configure_socket(sock)
            self.accepted_count += 1
            has_room = len(self._connections) < self.max_connections or self._make_room()
            connection = ClientConnection(self, sock)
            if not has_room:
                connection.refuse_at_once()
                continue
            self._connections.add(connection)

    def _make_room(self) -> bool:
        """Close a connection that has been idle or receiving a request for long.

        :returns: whether one was closed.
        """
        now_ms = self.clock.now_ms()
        candidates = [
            connection
            for connection in self._connections
            if connection.evictable or connection.lingering
        ]
        candidates.sort(key=lambda item: (not item.lingering, item.receiving, item.state_since_ms))
        for connection in candidates[:MAX_CLOSE_CANDIDATES]:
            if connection.receiving and now_ms - connection.state_since_ms < MIN_RECEIVING_MS:
                return False
            if connection.close_for_another():
                return True
        return False

    def _pause_accepting(self) -> None:
        """Accept again after the next sweep; the socket stays readable meanwhile."""
        self.record_refusal("descriptors")
        self._make_room()
        self._accept_watcher.stop()

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        limits = self.get_limits()
        for connection in list(self._connections):
            connection.enforce_timeouts(now_ms, limits)
        if self._sock is not None and not self._accept_watcher.active:
            self._accept_watcher.start(self._accept)
