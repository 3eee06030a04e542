"""Searchers that send bytes without end, to an entry process with low limits.

The tests check only that the process stays alive, that its memory and descriptors stay within
their bounds, that the answers without end were given up, and that an ordinary request is answered
afterwards. The bounds are the shares of the machine's memory that requests and the responses of
endpoints may take, and the descriptors of the machine.
"""

import itertools

import gevent
import gevent.socket
import pytest
from entryprocess import EntryProcesses
from hostileclients import SAMPLE_S, Cost, count_descriptors, read_resident_bytes
from hostilesearchers import STREAMS, StreamingSearcher
from platformsim import (
    FakeSearcher,
    make_configuration,
    make_entry,
    make_gather_route,
    make_route,
)

MEMORY_MB = 32
# Of the machine's memory: requests that are received, queued or handled, and responses.
REQUEST_MEMORY_FRACTION = 0.25
RESPONSE_MEMORY_FRACTION = 3 / 16
MAX_FDS = 500
FILE_DESCRIPTORS = 200
SHARDS = 6
REPLICAS = 2
CLIENTS = 24
CROWD_S = 5.0


class ServedProcess:
    """An entry process with one sound searcher and shards whose searchers never end an answer."""

    def __init__(self, tmp_path, stream):
        self._processes = EntryProcesses(tmp_path)
        self._sound = FakeSearcher("i-sound")
        self.faulty = [StreamingSearcher(stream) for _ in range(SHARDS * REPLICAS)]
        self._ids = itertools.count()
        shards = [f"shard{index}" for index in range(SHARDS)]
        store = self._processes.store
        store.put("servers", "i-sound", make_entry(self._sound, "s1"))
        for index, searcher in enumerate(self.faulty):
            entry = make_entry(searcher, shards[index % SHARDS], slots=100)
            store.put("servers", f"i-faulty-{index}", entry)
        routes = [
            make_route(),
            make_gather_route(shards, timeout_ms=1_000, latency_target_ms=500),
            make_route("r2", "shard0", path_prefix="/faulty/", timeout_ms=1_000),
        ]
        store.put("config", "main", make_configuration(1, routes, ["s1", *shards]))
        self.process = self._processes.start({"memory_mb": MEMORY_MB, "max_fds": MAX_FDS})
        self._address = self._processes.addresses["front"].rpartition(":")
        self.wait_until_served()
        self.start_bytes = read_resident_bytes(self.process.pid)

    def close(self):
        self._processes.close()
        for searcher in (self._sound, *self.faulty):
            searcher.close()

    def ask(self, path):
        """Send one request and return the status of its answer, 0 without one."""
        assert self.process.poll() is None
        host, _, port = self._address
        request = (
            f"GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: r{next(self._ids)}\r\n"
            "X-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
        )
        try:
            with gevent.socket.create_connection((host, int(port)), timeout=30) as sock:
                sock.sendall(request.encode())
                status_line = sock.recv(4_096)
        except OSError:
            return 0
        return int(status_line.split(b" ")[1]) if status_line.startswith(b"HTTP/1.1 ") else 0

    def wait_until_served(self):
        """Ask until an ordinary request is answered."""
        with gevent.Timeout(60.0):
            while self.ask("/one/x") != 200:
                gevent.sleep(0.05)

    def run_crowd(self):
        """Let clients send requests to the faulty searchers, and return the largest cost."""
        clients = [gevent.spawn(self._run_client, index) for index in range(CLIENTS)]
        resident_bytes = descriptors = 0
        try:
            with gevent.Timeout(CROWD_S, False):
                while self.process.poll() is None:
                    resident_bytes = max(resident_bytes, read_resident_bytes(self.process.pid))
                    descriptors = max(descriptors, count_descriptors(self.process.pid))
                    gevent.sleep(SAMPLE_S)
        finally:
            gevent.killall(clients)
        if self.process.poll() is None:
            resident_bytes = max(resident_bytes, read_resident_bytes(self.process.pid, "VmHWM"))
        return Cost(resident_bytes, descriptors)

    def _run_client(self, index):
        while True:
            self.ask("/all/x" if index % 2 else "/faulty/x")


@pytest.fixture
def serve(tmp_path):
    started = []

    def start(stream):
        started.append(ServedProcess(tmp_path, stream))
        return started[-1]

    yield start
    for served in started:
        served.close()


@pytest.mark.process
@pytest.mark.parametrize("shape", STREAMS)
def test_answers_without_end_take_no_more_than_their_share_of_the_memory(serve, shape):
    # Guards against searchers that end a process by sending what is no answer until it closes.
    served = serve(STREAMS[shape])
    cost = served.run_crowd()
    assert served.process.poll() is None
    allowed_bytes = MEMORY_MB * 1_000_000 * (REQUEST_MEMORY_FRACTION + RESPONSE_MEMORY_FRACTION)
    assert cost.resident_bytes < served.start_bytes + allowed_bytes
    assert cost.descriptors <= MAX_FDS - FILE_DESCRIPTORS
    assert sum(searcher.closed_count for searcher in served.faulty) > 0
    served.wait_until_served()
