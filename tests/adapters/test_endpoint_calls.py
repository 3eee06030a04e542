"""Tests the outcomes, connection limit and headers of endpoint requests."""

import gevent
import pytest
from gevent.server import StreamServer
from hostilesearchers import STREAMS

from persimmonspur.adapters.connections import EndpointConnectionPool
from persimmonspur.adapters.endpoints import HttpEndpointClient
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.load.processes import find_free_address
from persimmonspur.model.configuration import Endpoint
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.query import SnapshotId

RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 14\r\nx-snapshot: 1.1\r\n"
    b'x-incarnation: i1\r\n\r\n{"records":[]}'
)


class ScriptedServer:
    """A server whose behavior on each request is defined by the test."""

    def __init__(self, handle):
        self.requests = []
        self.sockets = []
        self.handle = handle
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        address = f"127.0.0.1:{self.server.server_port}"
        self.endpoint = Endpoint("e", "s", address, "d", ("a",))

    def serve(self, sock, address):
        self.sockets.append(sock)
        while data := sock.recv(65_536):
            self.requests.append(data)
            if not self.handle(sock):
                return


@pytest.fixture
def start():
    servers = []

    def start_server(handle):
        servers.append(ScriptedServer(handle))
        return servers[-1]

    yield start_server
    for server in servers:
        server.server.stop(timeout=0.1)


def search(client, endpoint, name="q/a/1", timeout_ms=5_000.0):
    request = SubRequest(
        name, "q", "s", "a", "e", SnapshotId(1, 1), timeout_ms, 0, True, False, None
    )
    return client.search(endpoint, request, timeout_ms)


def send_response(sock):
    sock.sendall(RESPONSE)
    return True


def test_refused_connection_did_not_run():
    endpoint = Endpoint("e", "s", find_free_address(), "d", ("a",))
    outcome = search(HttpEndpointClient(Clock()), endpoint)
    assert (outcome.error, outcome.ran) == (ErrorKind.UNREACHABLE, Ran.NO)


def test_broken_connection_after_the_send_is_unknown(start):
    server = start(lambda sock: False)
    outcome = search(HttpEndpointClient(Clock()), server.endpoint)
    assert (outcome.reset, outcome.ran) == (True, Ran.UNKNOWN)
    assert len(server.requests) == 1, "a search was sent twice"


def test_timeout_after_the_send_is_unknown_and_frees_the_connection(start):
    server = start(lambda sock: gevent.sleep(60) or False)
    client = HttpEndpointClient(Clock())
    outcome = search(client, server.endpoint, timeout_ms=30.0)
    assert (outcome.error, outcome.ran) == (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)
    assert client._pools["e"].in_use == 0


def check_stream_is_given_up(start, first, rest):
    """Check that an answer without end fails its search and that its connection is closed.

    :param first: bytes that are sent once.
    :param rest: bytes that are sent until the caller closes.
    """
    closed = []

    def send_without_end(sock):
        sock.sendall(first)
        try:
            while True:
                sock.sendall(rest)
                gevent.sleep(0)
        except OSError:
            closed.append(True)
        return False

    server = start(send_without_end)
    client = HttpEndpointClient(Clock())
    outcome = search(client, server.endpoint)
    assert (outcome.error, outcome.ran) == (ErrorKind.UNREACHABLE, Ran.UNKNOWN)
    gevent.sleep(0.05)
    assert closed
    assert client._pools["e"].in_use == 0


def test_body_without_end_fails_the_search_and_closes_the_connection(start):
    # Guards against a daemon that reads such a body until its memory is used up.
    check_stream_is_given_up(start, b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536)


@pytest.mark.parametrize("shape", STREAMS)
def test_bytes_without_end_fail_the_search_and_close_the_connection(start, shape):
    # Guards against a daemon that reads a head, framing or trailers until its memory is used up.
    check_stream_is_given_up(start, *STREAMS[shape])


def test_closed_idle_connection_is_reported_and_not_used(start):
    server = start(send_response)
    client = HttpEndpointClient(Clock())
    closed = []
    client.set_idle_close_listener(closed.append)
    assert search(client, server.endpoint).error is None
    server.sockets[0].close()
    while not closed:
        gevent.sleep(0.001)
    assert closed == ["e"]
    assert search(client, server.endpoint).error is None


def test_connections_stay_within_the_limit(start):
    server = start(send_response)
    pool = EndpointConnectionPool(server.endpoint.address, 2, lambda: None)
    acquired = [pool.acquire(), pool.acquire()]
    third = gevent.spawn(pool.acquire)
    gevent.sleep(0.01)
    assert not third.ready()
    pool.return_socket(acquired[0])
    assert third.get() is acquired[0]
    assert pool.opened_count == 2


def test_request_id_cannot_add_headers(start):
    server = start(send_response)
    search(HttpEndpointClient(Clock()), server.endpoint, "q\r\nx-evil: 1/a/1")
    assert b"\r\nx-evil" not in server.requests[0]
