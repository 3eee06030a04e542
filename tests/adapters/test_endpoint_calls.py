"""Guards the labels and the connection bound of calls to endpoints."""

import gevent
import pytest
from gevent.server import StreamServer

from persimmonspur.adapters.connections import EndpointConnections
from persimmonspur.adapters.endpoints import HttpEndpointClient
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.load.processes import find_free_address
from persimmonspur.model.configuration import Endpoint
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.query import SnapshotId

ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-length: 14\r\nx-snapshot: 1.1\r\n"
    b'x-incarnation: i1\r\n\r\n{"records":[]}'
)


class Script:
    """A server that treats each connection as its test says."""

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
    scripts = []

    def begin(handle):
        scripts.append(Script(handle))
        return scripts[-1]

    yield begin
    for script in scripts:
        script.server.stop(timeout=0.1)


def search(calls, endpoint, name="q/a/1", timeout_ms=5_000.0):
    request = SubRequest(
        name, "q", "s", "a", "e", SnapshotId(1, 1), timeout_ms, 0, True, False, None
    )
    return calls.search(endpoint, request, timeout_ms)


def answer(sock):
    sock.sendall(ANSWER)
    return True


def test_refused_connection_did_not_run():
    endpoint = Endpoint("e", "s", find_free_address(), "d", ("a",))
    outcome = search(HttpEndpointClient(Clock()), endpoint)
    assert (outcome.error, outcome.ran) == (ErrorKind.UNREACHABLE, Ran.NO)


def test_broken_connection_after_the_send_is_unknown(start):
    script = start(lambda sock: False)
    outcome = search(HttpEndpointClient(Clock()), script.endpoint)
    assert (outcome.reset, outcome.ran) == (True, Ran.UNKNOWN)
    assert len(script.requests) == 1, "a search was sent twice"


def test_timeout_after_the_send_is_unknown_and_frees_the_connection(start):
    script = start(lambda sock: gevent.sleep(60) or False)
    calls = HttpEndpointClient(Clock())
    outcome = search(calls, script.endpoint, timeout_ms=30.0)
    assert (outcome.error, outcome.ran) == (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)
    assert calls._connections["e"].in_use == 0


def test_closed_idle_connection_is_reported_and_not_used(start):
    script = start(answer)
    calls = HttpEndpointClient(Clock())
    closed = []
    calls.set_idle_close_listener(closed.append)
    assert search(calls, script.endpoint).error is None
    script.sockets[0].close()
    while not closed:
        gevent.sleep(0.001)
    assert closed == ["e"]
    assert search(calls, script.endpoint).error is None


def test_connections_stay_within_the_bound(start):
    script = start(answer)
    connections = EndpointConnections(script.endpoint.address, 2, lambda: None)
    held = [connections.acquire(), connections.acquire()]
    third = gevent.spawn(connections.acquire)
    gevent.sleep(0.01)
    assert not third.ready()
    connections.return_socket(held[0])
    assert third.get() is held[0]
    assert connections.opened == 2


def test_request_id_cannot_add_headers(start):
    script = start(answer)
    search(HttpEndpointClient(Clock()), script.endpoint, "q\r\nx-evil: 1/a/1")
    assert b"\r\nx-evil" not in script.requests[0]
