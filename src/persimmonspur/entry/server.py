"""HTTP server for clients that sees a client leave while its request runs.

gevent's WSGI server reads a connection only between requests, so it can neither
show that a client left nor bound the time a body takes.
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
from persimmonspur.entry.sockets import READ, Stream, listen, set_options

SWEEP_MS = 250.0
# A client that does not read its answer for this long is given up.
WRITE_TIMEOUT_MS = 10_000.0
ACCEPTS_AT_ONCE = 64
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@frozen
class HttpRequest:
    """One complete request.

    :param arrived_ms: local time at which it was complete.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_ms: float


@frozen
class ServerResponse:
    """The answer to one request."""

    status: int
    headers: Headers = field(factory=list)
    body: bytes = b""


Respond = Callable[[ServerResponse], None]


class Handler(Protocol):
    """Answers requests."""

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Start to answer a request.

        :param respond: takes the answer, once.
        :returns: what to call if the client leaves before the answer.
        """


@define
class _Parsing:
    """The request that is being read."""

    target: bytes = b""
    headers: Headers = field(factory=list)
    body: list[bytes] = field(factory=list)
    head_bytes: int = 0
    body_bytes: int = 0
    head_complete: bool = False


class ClientConnection:
    """One connection of a client."""

    def __init__(self, server: "HttpServer", sock: socket.socket) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._parsing = _Parsing()
        self._queue: deque[tuple[HttpRequest, bool]] = deque()
        self._leave: Callable[[], None] | None = None
        self._running = False
        self._keep_alive = True
        self._head_bytes = 0
        self._refusal = 0
        self._head_only = False
        self.since_ms = server.clock.now_ms()
        self._stream = Stream(sock, self._take_data, self._take_end)

    @property
    def idle(self) -> bool:
        """Whether no request is being read, handled or answered."""
        if self._running or self._queue or self._head_bytes or self._stream.unsent:
            return False
        return not self._stream.has_unread()

    def sweep(self, now_ms: float, limits: ClientLimits) -> None:
        """Close the connection if its client is too slow."""
        age_ms = now_ms - self.since_ms
        if self._running:
            return
        if self._stream.unsent:
            if age_ms > WRITE_TIMEOUT_MS:
                self.close()
        elif self._head_bytes:
            allowed_ms = limits.header_timeout_ms
            if self._parsing.head_complete:
                allowed_ms += limits.idle_timeout_ms
            if age_ms > allowed_ms:
                self._reject(408)
        elif age_ms > limits.idle_timeout_ms:
            self.close()

    def close(self) -> None:
        """Close the connection and stop its request."""
        self._stream.close()
        self._server.forget(self)
        leave = self._leave
        self._leave = None
        if leave is not None:
            leave()

    def _take_data(self, data: bytes) -> None:
        if not self._head_bytes and not self._running:
            self.since_ms = self._server.clock.now_ms()
        if not self._parsing.head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refusal = 400
        except httptools.HttpParserError:
            self._refusal = self._refusal or 400
        limits = self._server.limits()
        if not self._parsing.head_complete and self._head_bytes > limits.max_header_bytes:
            self._refusal = 431
        if self._refusal and not self._running and not self._queue:
            self._reject(self._refusal)
            return
        self._pump()

    def _take_end(self, reason: str) -> None:
        self.close()

    def _pump(self) -> None:
        while self._queue and not self._running and not self._stream.closed:
            request, self._keep_alive = self._queue.popleft()
            self._running = True
            self._head_only = request.method == "HEAD"
            leave = self._server.handler.handle(request, self._respond)
            if self._running:
                self._leave = leave
                return

    def _respond(self, answer: ServerResponse) -> None:
        if not self._running:
            return
        self._running = False
        self._leave = None
        self.since_ms = self._server.clock.now_ms()
        if self._stream.closed:
            return
        keep_alive = self._keep_alive and not self._server.closing and not self._refusal
        self._stream.write(format_answer(answer, keep_alive, self._head_only))
        if not keep_alive:
            self._close_after_write()
        elif self._queue:
            gevent.get_hub().loop.run_callback(self._pump)

    def _reject(self, status: int) -> None:
        self._stream.write(format_answer(ServerResponse(status), keep_alive=False))
        self._close_after_write()

    def _close_after_write(self) -> None:
        if not self._stream.unsent:
            self.close()
            return
        self._server.close_later(self)

    def finished_writing(self) -> bool:
        """Return whether all answers were handed to the kernel."""
        return not self._stream.unsent

    def on_url(self, target: bytes) -> None:
        """Take a piece of the request target (called by the parser)."""
        self._parsing.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field (called by the parser)."""
        self._parsing.headers.append((name, value))
        # Two bytes each for the separator and the line end.
        self._parsing.head_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """End the head (called by the parser)."""
        parsing = self._parsing
        parsing.head_complete = True
        limits = self._server.limits()
        if len(parsing.target) + parsing.head_bytes > limits.max_header_bytes:
            self._refusal = 431
        for name, value in parsing.headers:
            lowered = name.lower()
            if lowered == b"content-length" and int(value) > limits.max_body_bytes:
                self._refusal = 413
            elif lowered == b"expect" and value.lower() == b"100-continue":
                self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body (called by the parser)."""
        parsing = self._parsing
        parsing.body_bytes += len(body)
        if parsing.body_bytes > self._server.limits().max_body_bytes:
            self._refusal = 413
            return
        parsing.body.append(body)

    def on_message_complete(self) -> None:
        """End a request (called by the parser)."""
        parsing = self._parsing
        self._parsing = _Parsing()
        self._head_bytes = 0
        if self._refusal:
            return
        request = HttpRequest(
            self._parser.get_method().decode("ascii"),
            parsing.target,
            parsing.headers,
            b"".join(parsing.body),
            self._server.clock.now_ms(),
        )
        self._queue.append((request, self._parser.should_keep_alive()))


class HttpServer:
    """Accepts connections on one address.

    :ivar closing: whether answers end their connections.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        clock: Clock,
    ) -> None:
        """Listen.

        :param address: ``ip:port``.
        :raises OSError: if the address cannot be bound.
        """
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.closing = False
        self.accepted = 0
        self._connections: set[ClientConnection] = set()
        self._writing: set[ClientConnection] = set()
        self._sock: socket.socket | None = listen(address)
        loop = gevent.get_hub().loop
        self._acceptor: Any = loop.io(self._sock.fileno(), READ)
        self._acceptor.start(self._accept)
        self._sweeper: Any = loop.timer(SWEEP_MS / 1000, SWEEP_MS / 1000)
        self._sweeper.start(self._sweep)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a closed connection."""
        self._connections.discard(connection)
        self._writing.discard(connection)

    def close_later(self, connection: ClientConnection) -> None:
        """Close a connection once its answer is written."""
        self._writing.add(connection)

    def stop_accepting(self) -> None:
        """Close the listening socket; connections that wait in it are accepted first."""
        if self._sock is None:
            return
        self._accept()
        self._acceptor.stop()
        self._acceptor.close()
        self._sock.close()
        self._sock = None

    def close_idle(self) -> int:
        """Close connections without a request.

        :returns: the number of connections that remain.
        """
        for connection in list(self._connections):
            if connection.idle:
                connection.close()
        return len(self._connections)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_AT_ONCE):
            if self._sock is None:
                return
            try:
                sock, _ = self._sock.accept()
            except OSError:
                # Nothing left to accept, or the client has gone already.
                return
            set_options(sock)
            self.accepted += 1
            self._connections.add(ClientConnection(self, sock))

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        limits = self.limits()
        for connection in list(self._connections):
            connection.sweep(now_ms, limits)
        for connection in list(self._writing):
            if connection.finished_writing():
                connection.close()


def format_answer(answer: ServerResponse, keep_alive: bool, head_only: bool = False) -> bytes:
    """Return the bytes of an answer.

    :param head_only: whether it answers ``HEAD`` and has no body.
    """
    reason = REASONS.get(answer.status, "Status")
    lines = [f"HTTP/1.1 {answer.status} {reason}\r\n".encode()]
    for name, value in answer.headers:
        lines.append(name + b": " + value + b"\r\n")
    if answer.status != 204:
        lines.append(b"Content-Length: %d\r\n" % len(answer.body))
    if not keep_alive:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not head_only:
        lines.append(answer.body)
    return b"".join(lines)
