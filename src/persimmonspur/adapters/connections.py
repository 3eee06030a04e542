"""Bounded connection pool of one endpoint that detects closed idle connections."""

import select
from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary

import gevent
import gevent.socket
from attrs import define
from gevent.event import Event
from geventhttpclient.response import HTTPParseError, HTTPResponse, HTTPSocketPoolResponse

_READ_EVENT = 1
# Other statuses have no meaning: the library takes those below for interim responses.
MIN_STATUS = 100
MAX_STATUS = 599
MIN_FINAL_STATUS = 200
# A faulty endpoint may send bytes without end.
MAX_RESPONSE_BYTES = 4_000_000
MAX_HEAD_BYTES = 65_536
# Header lines, and trailer lines after the body.
MAX_HEADER_LINES = 1_024


class StaleConnectionError(ConnectionError):
    """The endpoint closed an idle connection before anything was sent on it."""


class EndpointResponse(HTTPSocketPoolResponse):
    """Response that is refused if its status has no meaning, or if it is too large."""

    # Set before the constructor of the library, which reads the head.
    _received_bytes = 0

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes, within the limits of a head and of a whole response."""
        self._received_bytes += len(data)
        in_head = not self.headers_complete or self.get_code() < MIN_FINAL_STATUS
        limit = MAX_HEAD_BYTES if in_head else MAX_RESPONSE_BYTES
        if self._received_bytes > limit:
            raise HTTPParseError(f"the response exceeds {limit} bytes")
        super().feed(data)

    def _flush_header(self) -> None:
        super()._flush_header()
        # The library counts trailer lines as well.
        if self._header_position > MAX_HEADER_LINES:
            raise HTTPParseError(f"the response has more than {MAX_HEADER_LINES} header lines")

    def _on_headers_complete(self) -> int | bool | None:
        status = self.get_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise HTTPParseError(f"not a response: status {status:03}")
        result: int | bool | None = super()._on_headers_complete()
        return result

    def _on_message_complete(self) -> None:
        if self.get_code() >= MIN_FINAL_STATUS:
            super()._on_message_complete()
            return
        # The final response follows on the connection, which the library would give back now.
        HTTPResponse._on_message_complete(self)


@define
class _IdleConnection:
    sock: gevent.socket.socket
    watcher: Any


class EndpointConnectionPool:
    """Connection pool of one endpoint.

    Searches, cancellations and probes share the connection limit. Idle connections
    are watched, because their closure is the first sign of an unannounced restart.

    :ivar size: maximum number of connections.
    :ivar opened_count: number of connections opened so far.
    :ivar in_use: number of connections in use.
    """

    def __init__(self, address: str, size: int, on_idle_closed: Callable[[], None]) -> None:
        """Create an empty pool; connections are opened on demand.

        :param address: ``ip:port``.
        :param size: maximum number of connections.
        :param on_idle_closed: called when the endpoint closes an idle connection.
        """
        self.address = address
        self.size = size
        self.opened_count = 0
        self.in_use = 0
        self._on_idle_closed = on_idle_closed
        self._idle_connections: list[_IdleConnection] = []
        self._slot_released = Event()
        self._closed = False
        self._incarnations: WeakKeyDictionary[gevent.socket.socket, str] = WeakKeyDictionary()

    def acquire(self) -> gevent.socket.socket:
        """Return a connection; blocks the greenlet while all are in use.

        :raises StaleConnectionError: if the endpoint has closed the idle connection.
        :raises OSError: if a new connection cannot be opened.
        """
        while self.in_use >= self.size:
            self._slot_released.clear()
            self._slot_released.wait()
        self.in_use += 1
        try:
            if self._idle_connections:
                return self._acquire_idle()
            return self._connect()
        except BaseException:
            self._release_slot()
            raise

    def send_request(self, sock: gevent.socket.socket, request: bytes, method: str) -> Any:
        """Send a request and read the status and headers of its response.

        :param sock: from :meth:`acquire`; the response returns it after its body was read.
        """
        try:
            sock.sendall(request)
        except BaseException:
            self.release_socket(sock)
            raise
        return EndpointResponse(sock, self, method=method)

    def record_incarnation(self, sock: gevent.socket.socket, incarnation: str) -> None:
        """Record the endpoint incarnation that responded on a connection."""
        self._incarnations[sock] = incarnation

    def get_incarnation(self, sock: gevent.socket.socket) -> str:
        """Return the incarnation that responded on a connection; empty if none did."""
        return self._incarnations.get(sock, "")

    def return_socket(self, sock: gevent.socket.socket) -> None:
        """Keep a connection for the next request."""
        if self._closed or self.in_use + len(self._idle_connections) > self.size:
            self.release_socket(sock)
            return
        watcher = gevent.get_hub().loop.io(sock.fileno(), _READ_EVENT)
        idle = _IdleConnection(sock, watcher)
        watcher.start(self._handle_readable, idle)
        self._idle_connections.append(idle)
        self._release_slot()

    def discard(self, sock: gevent.socket.socket) -> None:
        """Close a connection that was returned although it cannot be used again."""
        for idle in self._idle_connections:
            if idle.sock is sock:
                self._discard_idle(idle)
                return

    def release_socket(self, sock: gevent.socket.socket) -> None:
        """Close a connection that was in use."""
        sock.close()
        self._release_slot()

    def close(self) -> None:
        """Close idle connections now and the others when they are returned."""
        self._closed = True
        while self._idle_connections:
            self._discard_idle(self._idle_connections[-1])

    def _acquire_idle(self) -> gevent.socket.socket:
        idle = self._idle_connections.pop()
        idle.watcher.stop()
        idle.watcher.close()
        readable, _, _ = select.select([idle.sock.fileno()], [], [], 0)
        if not readable:
            return idle.sock
        idle.sock.close()
        raise StaleConnectionError(f"{self.address} closed an idle connection")

    def _connect(self) -> gevent.socket.socket:
        host, _, port = self.address.rpartition(":")
        sock = gevent.socket.create_connection((host, int(port)))
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        self.opened_count += 1
        return sock

    def _release_slot(self) -> None:
        self.in_use -= 1
        self._slot_released.set()

    def _handle_readable(self, idle: _IdleConnection) -> None:
        if idle not in self._idle_connections:
            return
        self._discard_idle(idle)
        self._on_idle_closed()

    def _discard_idle(self, idle: _IdleConnection) -> None:
        self._idle_connections.remove(idle)
        idle.watcher.stop()
        idle.watcher.close()
        idle.sock.close()
