"""Tests of the HTTP server for clients on loopback."""

import gevent
import gevent.socket
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.server import HttpServer, ServerResponse


class Handler:
    """Echoes the body; a request for ``/wait`` stays pending."""

    def __init__(self):
        self.requests = []
        self.disconnects = 0
        self.pending_responses = []

    def handle(self, request, respond):
        self.requests.append(request)
        if request.target == b"/wait":
            self.pending_responses.append(respond)
            return self._on_disconnect
        respond(ServerResponse(200, [(b"X-Method", request.method.encode())], request.body))
        return None

    def _on_disconnect(self):
        self.disconnects += 1


@pytest.fixture
def server():
    server = HttpServer("127.0.0.1:0", Handler(), lambda: LIMITS, Clock())
    yield server
    server.stop_accepting()
    server.close_idle()


LIMITS = ClientLimits(1_000, 5_000, 300.0, 600.0)


def connect(server):
    return gevent.socket.create_connection(server._sock.getsockname(), timeout=3)


def read_all(sock):
    data = b""
    while True:
        try:
            chunk = sock.recv(65_536)
        except ConnectionResetError:
            return data
        if not chunk:
            return data
        data += chunk


def exchange(server, data):
    sock = connect(server)
    sock.sendall(data)
    return sock.recv(65_536)


def test_body_with_content_length(server):
    response = exchange(server, b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
    assert response.startswith(b"HTTP/1.1 200 OK") and response.endswith(b"\r\n\r\nabc")


def test_chunked_body(server):
    response = exchange(
        server,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
    )
    assert response.endswith(b"\r\n\r\nabc")


def test_connection_is_reused_for_several_requests(server):
    sock = connect(server)
    for _ in range(3):
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"200 OK" in sock.recv(65_536)
    assert server.accepted_count == 1


def test_pipelined_requests_are_answered_in_order(server):
    sock = connect(server)
    sock.sendall(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n2"
    )
    gevent.sleep(0.05)
    data = sock.recv(65_536)
    assert data.index(b"\r\n\r\n1") < data.index(b"\r\n\r\n2")


def test_client_that_leaves_is_seen_while_its_request_runs(server):
    # Guards against endpoints that continue to work for disconnected clients.
    sock = connect(server)
    sock.sendall(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
    gevent.sleep(0.05)
    sock.close()
    gevent.sleep(0.05)
    assert server.handler.disconnects == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2_000 + b"\r\n\r\n", b"431"),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n", b"413"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1770\r\n"
            + b"x" * 6_000
            + b"\r\n0\r\n\r\n",
            b"413",
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
    ],
)
def test_requests_out_of_bounds_are_rejected(server, data, status):
    # Guards against request smuggling and unlimited body sizes.
    sock = connect(server)
    sock.sendall(data)
    assert read_all(sock).split(b" ")[1] == status
    assert server.handler.requests == []


def test_slow_request_head_times_out(server):
    sock = connect(server)
    sock.sendall(b"GET /a HT")
    assert read_all(sock).split(b" ")[1] == b"408"


def test_idle_connection_is_closed_after_the_timeout(server):
    sock = connect(server)
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    sock.recv(65_536)
    gevent.sleep(LIMITS.idle_timeout_ms * 0.8 / 1000)
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"200 OK" in sock.recv(65_536)
    assert read_all(sock) == b""


def test_running_request_is_answered_while_the_server_closes(server):
    # Guards against a shutdown that aborts requests in progress.
    sock = connect(server)
    sock.sendall(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
    gevent.sleep(0.05)
    server.closing = True
    server.stop_accepting()
    assert server.close_idle() == 1
    server.handler.pending_responses[0](ServerResponse(200, [], b"done"))
    data = read_all(sock)
    assert b"Connection: close" in data and data.endswith(b"done")
    assert server.close_idle() == 0


def test_request_on_an_idle_connection_is_answered_while_the_server_closes(server):
    sock = connect(server)
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    sock.recv(65_536)
    server.closing = True
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Connection: close" in read_all(sock)


def test_request_that_waits_in_the_listening_socket_is_answered(server):
    # Guards against a shutdown that resets connections in the listen backlog.
    sock = connect(server)
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    server.closing = True
    server.stop_accepting()
    server.close_idle()
    assert b"200 OK" in read_all(sock)


def test_head_response_has_no_body(server):
    response = exchange(server, b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert response.endswith(b"\r\n\r\n")


@settings(max_examples=40, deadline=None)
@given(st.binary(max_size=300))
def test_random_bytes_never_stop_the_server(data):
    server = HttpServer("127.0.0.1:0", Handler(), lambda: LIMITS, Clock())
    try:
        sock = connect(server)
        sock.sendall(data)
        gevent.sleep(0)
        sock.close()
        answer = exchange(server, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"200 OK" in answer
    finally:
        server.stop_accepting()
        server.close_idle()


def test_request_knows_its_round_trip_time_and_whether_its_connection_is_new(server):
    # Guards against a response that leaves too late for the way to the client.
    sock = connect(server)
    for _ in range(2):
        sock.sendall(b"GET / HTTP/1.1\r\nHost: host.example\r\n\r\n")
        sock.recv(65_536)
    first, second = server.handler.requests
    assert 0 < first.round_trip_ms < 1_000
    assert first.on_new_connection
    assert not second.on_new_connection
    sock.close()
