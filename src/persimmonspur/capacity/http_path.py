"""Benchmark of small POST requests over one persistent HTTP connection.

``python -m persimmonspur.capacity.http_path`` measures the request rate with and
without ``TCP_NODELAY`` at the client and the server, and with and without reading
the request body, to show how much each of them contributes.
"""

import sys
from statistics import median
from typing import Any

import gevent
import gevent.socket
from attrs import frozen
from gevent.pywsgi import WSGIServer

from persimmonspur.adapters.http import (
    HTTP_ERRORS,
    NoDelayServer,
    StartResponse,
    connect_client,
    read_body,
    respond_json,
)
from persimmonspur.clock import Clock

DURATION_S = 1.0
REQUEST_BODY = b'{"work_ms": 4.0}' * 8


@frozen
class Variant:
    """One combination of the options under test."""

    name: str
    client_no_delay: bool
    server_no_delay: bool
    read_body: bool


@frozen
class VariantResult:
    """Measurements of one variant.

    :param errors: failed requests, including those on connections closed by the server.
    :param connections: connections that the client opened.
    """

    variant: Variant
    requests_per_s: float
    p50_ms: float
    errors: int
    connections: int


VARIANTS = (
    Variant("TCP_NODELAY on at both, body read", True, True, True),
    Variant("TCP_NODELAY off at the client", False, True, True),
    Variant("TCP_NODELAY off at the server", True, False, True),
    Variant("TCP_NODELAY off at both", False, False, True),
    Variant("body left unread", True, True, False),
    Variant("TCP_NODELAY off at both, body left unread", False, False, False),
)


def measure_variant(variant: Variant, seconds: float = DURATION_S) -> VariantResult:
    """Send small POST requests sequentially over one persistent connection."""
    # gevent's WSGIServer leaves Nagle's algorithm enabled.
    server_class = NoDelayServer if variant.server_no_delay else WSGIServer

    def handle(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        if variant.read_body:
            read_body(environ)
        return respond_json(start_response, 200, {"records": list(range(20))})

    server = server_class(("127.0.0.1", 0), handle, log=None, error_log=None)
    server.start()
    client = connect_client(f"127.0.0.1:{server.server_port}", 1, 2_000.0)
    pool: Any = client._connection_pool
    if not variant.client_no_delay:
        _enable_nagle(pool)
    clock = Clock()
    times_ms: list[float] = []
    errors = 0
    started_ms = clock.now_ms()
    try:
        while clock.now_ms() - started_ms < seconds * 1000:
            sent_ms = clock.now_ms()
            try:
                client.post("/search", body=REQUEST_BODY).read()
            except HTTP_ERRORS:
                errors += 1
                continue
            times_ms.append(clock.now_ms() - sent_ms)
    finally:
        client.close()
        server.stop()
    elapsed_s = (clock.now_ms() - started_ms) / 1000
    p50_ms = median(times_ms) if times_ms else float("nan")
    return VariantResult(variant, len(times_ms) / elapsed_s, p50_ms, errors, pool.opened_count)


def _enable_nagle(pool: Any) -> None:
    def after_connect(sock: gevent.socket.socket) -> None:
        pool.opened_count += 1
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 0)

    pool.after_connect = after_connect


def main() -> int:
    """Measure every variant and print the results as a table."""
    sys.stdout.write(f"{'variant':44} {'requests/s':>10} {'p50 ms':>8} {'errors':>7} connections\n")
    for variant in VARIANTS:
        result = measure_variant(variant)
        sys.stdout.write(
            f"{variant.name:44} {result.requests_per_s:10.0f} {result.p50_ms:8.3f} "
            f"{result.errors:7} {result.connections:11}\n"
        )
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
