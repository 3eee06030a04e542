"""HTTP client and server helpers with Nagle's algorithm disabled."""

from collections.abc import Callable
from http.client import HTTPException
from typing import Any

import gevent
import gevent.socket
import msgspec
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

# Exceptions that the HTTP client raises for socket errors, broken or unreadable
# responses, invalid URLs and a closed pool.
HTTP_ERRORS = (OSError, HTTPException, ValueError, RuntimeError)


class NoDelayConnectionPool(ConnectionPool):
    """Connection pool that sets ``TCP_NODELAY`` and counts the connections it opens.

    With Nagle's algorithm and delayed acknowledgements, a small request on a
    persistent connection takes about 40 ms.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.opened_count = 0

    def after_connect(self, sock: gevent.socket.socket) -> None:
        """Set the socket options of a new connection."""
        self.opened_count += 1
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)


def connect_client(address: str, concurrency: int, timeout_ms: float) -> HTTPClient:
    """Build a client with persistent connections.

    The client never retries a POST by itself.

    :param address: ``ip:port``.
    :param concurrency: maximum number of connections.
    :param timeout_ms: timeout of each socket operation in milliseconds.
    """
    host, _, port = address.rpartition(":")
    client = HTTPClient(host, int(port), concurrency=concurrency)
    client._connection_pool = NoDelayConnectionPool(
        host,
        int(port),
        host,
        int(port),
        size=concurrency,
        disable_ipv6=":" not in host,
        connection_timeout=timeout_ms / 1000,
        network_timeout=timeout_ms / 1000,
    )
    return client


class NoDelayServer(WSGIServer):
    """gevent's WSGI server with ``TCP_NODELAY`` and a count of open connections."""

    open_connections = 0

    def handle(self, sock: gevent.socket.socket, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        self.open_connections += 1
        try:
            super().handle(sock, address)
        finally:
            self.open_connections -= 1


def read_body(environ: dict[str, Any]) -> bytes:
    """Read the whole request body.

    If a handler leaves the body unread, the server closes the connection or
    waits, so every handler has to call this.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return environ["wsgi.input"].read(length) if length else b""


StartResponse = Callable[[str, list[tuple[str, str]]], Any]

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    429: "Too Many Requests",
    499: "Client Closed Request",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def respond_json(
    start_response: StartResponse,
    status: int,
    document: Any,
    headers: list[tuple[str, str]] | None = None,
) -> list[bytes]:
    """Send a JSON document as the response."""
    data = document if isinstance(document, bytes) else msgspec.json.encode(document)
    start_response(
        f"{status} {REASON_PHRASES.get(status, 'Status')}",
        [
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
            *(headers or []),
        ],
    )
    return [data]
