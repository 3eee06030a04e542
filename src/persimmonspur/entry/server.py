"""HTTP server that detects client disconnects while a request is in progress.

gevent's WSGI server reads a connection only between requests, so it can neither detect a
disconnect during a request nor limit the time for receiving a body.
"""

import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import gevent
import httptools
from attrs import define, field, frozen

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.messages import Headers
from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.sockets import (
    READ_EVENT,
    Stream,
    configure_socket,
    listen,
    read_round_trip_ms,
)

SWEEP_INTERVAL_MS = 250.0
# A connection is closed if the client does not read its response within this time.
WRITE_TIMEOUT_MS = 10_000.0
MAX_ACCEPTS_PER_EVENT = 64
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@frozen
class HttpRequest:
    """One complete request.

    :param arrived_ms: local time at which the request was completely received.
    :param round_trip_ms: round trip time to the client; 0 if unknown.
    :param on_new_connection: whether it is the first request on its connection.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_ms: float
    round_trip_ms: float = 0.0
    on_new_connection: bool = False


@frozen
class ServerResponse:
    """The response to one request."""

    status: int
    headers: Headers = field(factory=list)
    body: bytes = b""


Respond = Callable[[ServerResponse], None]


class Handler(Protocol):
    """Handles the requests that arrive at one address."""

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Start to handle a request.

        :param respond: sends the response; to be called once.
        :returns: function to call if the client disconnects before the response, if any.
        """


@define
class _PartialRequest:
    """A request that is still being received."""

    target: bytes = b""
    headers: Headers = field(factory=list)
    body: list[bytes] = field(factory=list)
    head_bytes: int = 0
    body_bytes: int = 0
    head_complete: bool = False


class ClientConnection:
    """One connection of a client; also receives the callbacks of its request parser.

    :ivar state_since_ms: local time of the last change between idle, receiving a request
        and sending a response.
    """

    def __init__(self, server: "HttpServer", sock: socket.socket) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._partial_request = _PartialRequest()
        self._queue: deque[tuple[HttpRequest, bool]] = deque()
        self._on_disconnect: Callable[[], None] | None = None
        self._running = False
        self._keep_alive = True
        self._head_bytes = 0
        self._error_status = 0
        self._is_head_request = False
        self._is_new = True
        self.state_since_ms = server.clock.now_ms()
        self._stream = Stream(sock, self._on_data, self._on_end)

    @property
    def idle(self) -> bool:
        """Whether no request is being received, handled or answered."""
        if self._running or self._queue or self._head_bytes or self._stream.unsent_bytes:
            return False
        return not self._stream.has_unread()

    def enforce_timeouts(self, now_ms: float, limits: ClientLimits) -> None:
        """Close the connection if the client exceeded a time limit."""
        age_ms = now_ms - self.state_since_ms
        if self._running:
            return
        if self._stream.unsent_bytes:
            if age_ms > WRITE_TIMEOUT_MS:
                self.close()
        elif self._head_bytes:
            allowed_ms = limits.header_timeout_ms
            if self._partial_request.head_complete:
                allowed_ms += limits.idle_timeout_ms
            if age_ms > allowed_ms:
                self._reject(408)
        elif age_ms > limits.idle_timeout_ms:
            self.close()

    def close(self) -> None:
        """Close the connection and notify the handler of a request in progress."""
        self._stream.close()
        self._server.remove(self)
        on_disconnect = self._on_disconnect
        self._on_disconnect = None
        if on_disconnect is not None:
            on_disconnect()

    def _on_data(self, data: bytes) -> None:
        if not self._head_bytes and not self._running:
            self.state_since_ms = self._server.clock.now_ms()
        if not self._partial_request.head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error_status = 400
        except httptools.HttpParserError:
            self._error_status = self._error_status or 400
        limits = self._server.get_limits()
        if not self._partial_request.head_complete and self._head_bytes > limits.max_header_bytes:
            self._error_status = 431
        if self._error_status and not self._running and not self._queue:
            self._reject(self._error_status)
            return
        self._handle_next()

    def _on_end(self, reason: str) -> None:
        self.close()

    def _handle_next(self) -> None:
        while self._queue and not self._running and not self._stream.closed:
            request, self._keep_alive = self._queue.popleft()
            self._running = True
            self._is_head_request = request.method == "HEAD"
            on_disconnect = self._server.handler.handle(request, self._respond)
            if self._running:
                self._on_disconnect = on_disconnect
                return

    def _respond(self, response: ServerResponse) -> None:
        if not self._running:
            return
        self._running = False
        self._on_disconnect = None
        self.state_since_ms = self._server.clock.now_ms()
        if self._stream.closed:
            return
        keep_alive = self._keep_alive and not self._server.closing and not self._error_status
        self._stream.write(format_response(response, keep_alive, self._is_head_request))
        if not keep_alive:
            self._close_after_write()
        elif self._queue:
            gevent.get_hub().loop.run_callback(self._handle_next)

    def _reject(self, status: int) -> None:
        self._stream.write(format_response(ServerResponse(status), keep_alive=False))
        self._close_after_write()

    def _close_after_write(self) -> None:
        if not self._stream.unsent_bytes:
            self.close()
            return
        self._server.close_after_write(self)

    def finished_writing(self) -> bool:
        """Return whether all responses were passed to the kernel."""
        return not self._stream.unsent_bytes

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target (called by the parser)."""
        self._partial_request.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field (called by the parser)."""
        self._partial_request.headers.append((name, value))
        # Two bytes each for the separator and the line ending.
        self._partial_request.head_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Check the header fields (called by the parser)."""
        partial_request = self._partial_request
        partial_request.head_complete = True
        limits = self._server.get_limits()
        if len(partial_request.target) + partial_request.head_bytes > limits.max_header_bytes:
            self._error_status = 431
        for name, value in partial_request.headers:
            lowered = name.lower()
            if lowered == b"content-length" and int(value) > limits.max_body_bytes:
                self._error_status = 413
            elif lowered == b"expect" and value.lower() == b"100-continue":
                self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by the parser)."""
        partial_request = self._partial_request
        partial_request.body_bytes += len(body)
        if partial_request.body_bytes > self._server.get_limits().max_body_bytes:
            self._error_status = 413
            return
        partial_request.body.append(body)

    def on_message_complete(self) -> None:
        """Queue a complete request (called by the parser)."""
        partial_request = self._partial_request
        self._partial_request = _PartialRequest()
        self._head_bytes = 0
        if self._error_status:
            return
        request = HttpRequest(
            self._parser.get_method().decode("ascii"),
            partial_request.target,
            partial_request.headers,
            b"".join(partial_request.body),
            self._server.clock.now_ms(),
            read_round_trip_ms(self._stream.sock),
            self._is_new,
        )
        self._is_new = False
        self._queue.append((request, self._parser.should_keep_alive()))


class HttpServer:
    """Accepts connections on one address.

    :ivar closing: whether every response closes its connection.
    :ivar accepted_count: number of connections accepted so far.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        get_limits: Callable[[], ClientLimits],
        clock: Clock,
    ) -> None:
        """Start to listen.

        :param address: ``ip:port``.
        :param get_limits: returns the limits for client requests.
        :raises OSError: if the address cannot be bound.
        """
        self.handler = handler
        self.get_limits = get_limits
        self.clock = clock
        self.closing = False
        self.accepted_count = 0
        self._connections: set[ClientConnection] = set()
        self._pending_close: set[ClientConnection] = set()
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
        self._pending_close.discard(connection)

    def close_after_write(self, connection: ClientConnection) -> None:
        """Close a connection once its response is written."""
        self._pending_close.add(connection)

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
            except OSError:
                # No connection left to accept, or the client closed it already.
                return
            configure_socket(sock)
            self.accepted_count += 1
            self._connections.add(ClientConnection(self, sock))

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        limits = self.get_limits()
        for connection in list(self._connections):
            connection.enforce_timeouts(now_ms, limits)
        for connection in list(self._pending_close):
            if connection.finished_writing():
                connection.close()


def format_response(response: ServerResponse, keep_alive: bool, head_only: bool = False) -> bytes:
    """Return the bytes of a response.

    :param head_only: whether it responds to ``HEAD`` and is sent without its body.
    """
    reason = REASON_PHRASES.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {reason}\r\n".encode()]
    for name, value in response.headers:
        lines.append(name + b": " + value + b"\r\n")
    if response.status != 204:
        lines.append(b"Content-Length: %d\r\n" % len(response.body))
    if not keep_alive:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not head_only:
        lines.append(response.body)
    return b"".join(lines)
