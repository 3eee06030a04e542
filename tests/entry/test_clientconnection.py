"""Tests of limits on one connection, and on all connections of a server, on loopback."""

import errno
import gc

import gevent
import gevent.socket
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.clientconnection import LINGER_MS
from persimmonspur.entry.requests import estimate_largest_request
from persimmonspur.entry.server import MIN_RECEIVING_MS, HttpServer, ServerResponse
from persimmonspur.entry.serverlimits import ServerLimits, build_request_memory

LIMITS = ClientLimits(16_384, 262_144, 400.0, 800.0)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
WAIT = b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_BYTES = 300_000


class Handler:
    """Echoes the size of the body; ``/wait`` stays pending, ``/large`` gets a large response."""

    def __init__(self):
        self.requests = []
        self.pending = []
        self.disconnects = 0

    def handle(self, request, respond):
        self.requests.append(request)
        if request.target == b"/wait":
            self.pending.append(respond)
            return self._on_disconnect
        body = b"x" * LARGE_BYTES if request.target == b"/large" else b"%d" % len(request.body)
        respond(ServerResponse(200, [], body))
        return None

    def _on_disconnect(self):
        self.disconnects += 1


class Server:
    def __init__(self, max_connections=100, budget_bytes=50_000_000, limits=LIMITS):
        self.refusals = []
        self.handler = Handler()
        memory = build_request_memory(budget_bytes, lambda: limits)
        self.server = HttpServer(
            "127.0.0.1:0",
            self.handler,
            lambda: limits,
            Clock(),
            ServerLimits(memory, max_connections),
            self.refusals.append,
        )
        self.address = self.server._sock.getsockname()

    def close(self):
        self.server.stop_accepting()
        self.server.close_idle()

    def connect(self, data=b""):
        sock = gevent.socket.create_connection(self.address, timeout=5)
        sock.sendall(data)
        return sock

    def ask(self, data=GET):
        with self.connect(data) as sock:
            return sock.recv(65_536)


@pytest.fixture
def make_server():
    servers = []

    def make(**options):
        servers.append(Server(**options))
        return servers[-1]

    yield make
    for server in servers:
        server.close()


def read_all(sock):
    """Read until the server ends the connection in order; a reset raises."""
    data = b""
    while chunk := sock.recv(65_536):
        data += chunk
    return data


def send_all(sock, data):
    """Send slowly enough that the server refuses the data before all of it is sent."""
    for start in range(0, len(data), 16_384):
        sock.sendall(data[start : start + 16_384])
        gevent.sleep(0.001)


@pytest.mark.parametrize(
    ("head", "rest", "status"),
    [
        (b"POST /a HTTP/1.1\r\nContent-Length: 600000\r\n\r\n", b"x" * 600_000, b"413"),
        (CHUNKED, b"fffff\r\n" + b"x" * 600_000, b"413"),
        (b"GET /a HTTP/1.1\r\n", b"a: b\r\n" * 50_000, b"431"),
        (CHUNKED + b"1\r\na\r\n0\r\n", b"a: b\r\n" * 50_000, b"400"),
    ],
)
def test_refusal_reaches_a_client_that_still_sends(make_server, head, rest, status):
    # Guards against a connection that is reset before the client has read why.
    server = make_server()
    sock = server.connect()
    send_all(sock, head + rest)
    assert read_all(sock).split(b" ")[1] == status
    assert server.handler.requests == [] and len(server.refusals) == 1


def test_refused_client_that_never_stops_sending_is_closed(make_server):
    # Guards against a refused connection that stays open for as long as its client sends.
    server = make_server()
    sock = server.connect(b"nonsense\r\n\r\n")
    with gevent.Timeout(10.0), pytest.raises(OSError):
        while True:
            sock.sendall(b"x" * 65_536)
            gevent.sleep(0.001)
    assert len(server.server) == 0


def test_refused_client_that_stays_is_closed(make_server):
    server = make_server()
    sock = server.connect(b"nonsense\r\n\r\n")
    assert b" 400 " in read_all(sock)
    assert len(server.server) == 1
    gevent.sleep(LINGER_MS / 1000 + 0.5)
    assert len(server.server) == 0


def test_pipelined_requests_wait_for_a_client_that_does_not_read(make_server):
    # Guards against responses that pile up in the memory of the process.
    server = make_server()
    sock = server.connect(LARGE * 200)
    gevent.sleep(0.3)
    # What the buffers of the kernel take, and one response that waits here.
    handled = len(server.handler.requests)
    assert handled < 60
    received = 0
    while received < 200 * LARGE_BYTES:
        received += len(sock.recv(1_000_000))
    assert len(server.handler.requests) == 200


def test_pipelined_data_is_not_read_while_a_request_runs(make_server):
    # Guards against requests that pile up behind one that runs.
    server = make_server()
    sock = server.connect(WAIT)
    gevent.sleep(0.05)
    sock.setblocking(False)
    sent = 0
    with pytest.raises(BlockingIOError):
        while sent < 100_000_000:
            sent += sock.send(GET * 1_000)
            gevent.sleep(0)
    gevent.sleep(0.1)
    assert server.server.memory.used_bytes < 10_000


def test_many_pipelined_requests_are_all_answered(make_server):
    server = make_server()
    sock = server.connect(GET * 1_000)
    data = b""
    while data.count(b"200 OK") < 1_000:
        data += sock.recv(65_536)
    assert len(server.handler.requests) == 1_000


def test_client_that_leaves_behind_pipelined_data_is_seen(make_server):
    # Guards against endpoints that continue to work for disconnected clients.
    server = make_server()
    sock = server.connect(WAIT)
    gevent.sleep(0.05)
    sock.sendall(GET * 1_000)
    gevent.sleep(0.05)
    sock.close()
    gevent.sleep(0.6)
    assert server.handler.disconnects == 1 and len(server.server) == 0


def test_longest_idle_connection_makes_room_for_a_new_one(make_server):
    # Guards against idle clients that keep all others out.
    server = make_server(max_connections=4)
    socks = []
    for _ in range(4):
        socks.append(server.connect(GET))
        assert b"200 OK" in socks[-1].recv(65_536)
        gevent.sleep(0.01)
    assert b"200 OK" in server.ask()
    assert socks[0].recv(65_536) == b""
    socks[3].sendall(GET)
    assert b"200 OK" in socks[3].recv(65_536)


def test_slow_clients_make_room_for_a_new_one(make_server):
    server = make_server(max_connections=4)
    socks = [server.connect(b"GET /a HT") for _ in range(4)]
    gevent.sleep(MIN_RECEIVING_MS / 1000 + 0.05)
    assert b"200 OK" in server.ask()
    assert b" 503 " in read_all(socks[0])
    assert server.refusals == ["connections"]


def test_connection_is_refused_if_all_others_have_requests_in_progress(make_server):
    # Guards against a request that is cut for a new connection.
    server = make_server(max_connections=4)
    socks = [server.connect(WAIT) for _ in range(4)]
    gevent.sleep(0.05)
    answer = server.ask()
    assert b" 503 " in answer and b"Retry-After: 1\r\n" in answer
    for respond in server.handler.pending:
        respond(ServerResponse(200, [], b"done"))
    assert all(b"done" in sock.recv(65_536) for sock in socks)


def test_client_that_takes_most_memory_is_refused(make_server):
    server = make_server(budget_bytes=1)
    largest_bytes = estimate_largest_request(LIMITS)
    head = b"POST /a HTTP/1.1\r\nContent-Length: 262144\r\n" + b"a:\r\n" * 4_000 + b"\r\n"
    socks = [server.connect(head + b"x" * 260_000) for _ in range(6)]
    wait_until(lambda: "memory" in server.refusals)
    assert server.server.memory.used_bytes <= 2 * largest_bytes
    assert b"200 OK" in server.ask()
    wait_until(lambda: any(sock_readable(sock) for sock in socks))
    answers = [sock.recv(65_536) for sock in socks if sock_readable(sock)]
    assert answers and all(b" 503 " in answer for answer in answers)
    assert server.handler.requests[-1].target == b"/a" and len(server.handler.requests) == 1


def wait_until(condition):
    """Wait for a condition, which takes longer than usual on a busy machine."""
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.01)


def sock_readable(sock):
    sock.settimeout(0.01)
    try:
        return bool(sock.recv(1, gevent.socket.MSG_PEEK))
    except TimeoutError:
        return False


def make_largest_request():
    """Return a request whose head and body have the largest size, in the costliest form."""
    length = b"Transfer-Encoding: chunked\r\n\r\n"
    head = b"POST /a HTTP/1.1\r\nHost: h\r\n"
    lines = (LIMITS.max_header_bytes - len(head) - len(length)) // 4
    chunks = b"1\r\nx\r\n" * LIMITS.max_body_bytes
    trailers = b"b:\r\n" * (LIMITS.max_header_bytes // 4 - 10)
    return head + b"a:\r\n" * lines + length + chunks + b"0\r\n" + trailers + b"\r\n"


def test_costliest_legal_request_is_served_on_the_smallest_machine():
    # Guards against limits that refuse a legal request while nothing else happens.
    server = Server(budget_bytes=1, max_connections=4, limits=ClientLimits())
    answer = server.ask(make_largest_request())
    assert b"200 OK" in answer and answer.endswith(b"262144")
    assert server.refusals == []
    server.close()


class HeldPacer:
    """Keeps the queued functions until the test runs them."""

    def __init__(self):
        self.queue = []

    def add(self, function):
        self.queue.append(function)

    def run(self):
        queue, self.queue = self.queue, []
        for function in queue:
            function()


def test_expensive_heads_wait_for_their_turn(make_server):
    # Guards against a process that parses only what expensive clients send.
    server = make_server()
    pacer = server.server.pacer = HeldPacer()
    head = b"GET /a HTTP/1.1\r\n" + b"a:\r\n" * 4_000 + b"\r\n"
    socks = [server.connect(head) for _ in range(5)]
    gevent.sleep(0.1)
    # One read of each connection was parsed.
    assert len(pacer.queue) == 5
    assert server.server.memory.used_bytes < 5 * (1_024 + 4_096 // 4 * 260 + 4_096)
    assert b"200 OK" in server.ask()
    assert len(server.handler.requests) == 1
    turns = 0
    while pacer.queue:
        pacer.run()
        turns += 1
        gevent.sleep(0.05)
    assert turns >= 3
    assert all(b"200 OK" in sock.recv(65_536) for sock in socks)


def test_expensive_bodies_wait_for_their_turn(make_server):
    server = make_server()
    pacer = server.server.pacer = HeldPacer()
    server.connect(CHUNKED + b"1\r\nx\r\n" * 50_000)
    gevent.sleep(0.1)
    assert len(pacer.queue) == 1
    assert server.server.memory.used_bytes < 30_000


def test_many_pipelined_requests_wait_for_their_turn(make_server):
    server = make_server()
    pacer = server.server.pacer = HeldPacer()
    sock = server.connect(GET * 100)
    gevent.sleep(0.1)
    assert len(server.handler.requests) == 1 and len(pacer.queue) == 1
    while pacer.queue:
        pacer.run()
        gevent.sleep(0.01)
    assert len(server.handler.requests) == 100
    assert sock.recv(65_536).count(b"200 OK") == 100


def test_reading_goes_on_while_a_request_behind_an_expensive_head_runs(make_server):
    # Guards against a client that leaves unseen because its connection waits for its turn.
    server = make_server()
    head = b"GET /wait HTTP/1.1\r\n" + b"a:\r\n" * 4_000 + b"\r\n"
    sock = server.connect(head)
    gevent.sleep(0.2)
    assert len(server.handler.pending) == 1
    sock.close()
    gevent.sleep(0.05)
    assert server.handler.disconnects == 1


@pytest.mark.parametrize("data", [b"GET /a HT", CHUNKED, CHUNKED + b"1\r\na\r\n0\r\na: b"])
def test_request_that_does_not_end_times_out(make_server, data):
    server = make_server()
    sock = server.connect(data)
    assert b" 408 " in read_all(sock)
    assert server.handler.requests == [] and server.refusals == ["timeout"]


def test_empty_lines_after_a_request_do_not_start_another(make_server):
    # Guards against 408 for clients that end a body with a superfluous line break.
    server = make_server()
    sock = server.connect(b"POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\na\r\n")
    assert b"200 OK" in sock.recv(65_536)
    assert read_all(sock) == b""
    assert server.refusals == []


def test_empty_lines_do_not_keep_a_connection_open(make_server):
    server = make_server()
    sock = server.connect()
    with gevent.Timeout(5.0), pytest.raises(OSError):
        while True:
            sock.sendall(b"\r\n")
            gevent.sleep(0.05)


def test_accepting_continues_after_descriptors_ran_out(make_server):
    # Guards against a process that spins, or never accepts again, without descriptors.
    server = make_server()
    listener = server.server._sock
    attempts = []

    class ExhaustedSocket:
        def accept(self):
            attempts.append(1)
            raise OSError(errno.EMFILE, "Too many open files")

    server.server._sock = ExhaustedSocket()
    sock = server.connect(GET)
    gevent.sleep(0.2)
    assert len(attempts) == 1 and server.refusals == ["descriptors"]
    server.server._sock = listener
    assert b"200 OK" in sock.recv(65_536)


def test_memory_is_returned_when_connections_end(make_server):
    # Guards against a budget that is used up by connections that no longer exist.
    server = make_server()
    for data in (GET, WAIT, b"GET /a HT", CHUNKED + b"5\r\nab", WAIT + GET, b"nonsense\r\n\r\n"):
        sock = server.connect(data)
        gevent.sleep(0.02)
        sock.close()
    gevent.sleep(0.6)
    gc.collect()
    assert len(server.server) == 0 and server.server.memory.used_bytes == 0


@settings(max_examples=30, deadline=None)
@given(st.lists(st.integers(1, 200), min_size=1, max_size=10), st.booleans())
def test_legal_request_is_served_however_it_is_split(sizes, chunked):
    # Guards against a limit that depends on how the network splits a request.
    body = b"x" * 500
    if chunked:
        data = CHUNKED + b"1;a=b\r\nx\r\n" * 500 + b"0\r\nTrailer: t\r\n\r\n"
    else:
        data = b"POST /a HTTP/1.1\r\nContent-Length: 500\r\n" + b"a:\r\n" * 100 + b"\r\n" + body
    server = Server()
    try:
        sock = server.connect()
        position = turn = 0
        while position < len(data):
            size = sizes[turn % len(sizes)]
            sock.sendall(data[position : position + size])
            position += size
            turn += 1
            gevent.sleep(0)
        assert sock.recv(65_536).endswith(b"\r\n\r\n500")
        assert server.refusals == []
        sock.close()
    finally:
        server.close()
