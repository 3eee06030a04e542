"""Clients that send what no ordinary client sends, to an entry process with low limits.

The tests check only that the process stays alive, that its memory and descriptors stay within
their bounds, and that it answers an ordinary request afterwards.
"""

import gevent
import gevent.socket
import hostileclients
import pytest
from entryprocess import EntryProcesses
from hostileclients import count_descriptors, read_resident_bytes, run_crowd
from platformsim import FakeSearcher, make_configuration, make_entry, make_route

MEMORY_MB = 32
# Requests that are received, queued or answered may use this part of the machine's memory.
REQUEST_MEMORY_FRACTION = 0.25
# The machine reserves 200 of its descriptors for files; all others are sockets.
MAX_FDS = 264
FILE_DESCRIPTORS = 200
IDLE_CROWD = 96

KINDS = {
    "many_short_lines": hostileclients.send_many_short_lines,
    "unusual_lines": hostileclients.send_unusual_lines,
    "head_over_limit": hostileclients.send_head_over_limit,
    "head_without_end": hostileclients.send_head_without_end,
    "header_value_without_end": hostileclients.send_header_value_without_end,
    "empty_lines_without_end": hostileclients.send_empty_lines_without_end,
    "trailers_without_end": hostileclients.send_trailers_without_end,
    "trailer_value_without_end": hostileclients.send_trailer_value_without_end,
    "chunk_extension_without_end": hostileclients.send_chunk_extension_without_end,
    "chunk_extensions_without_end": hostileclients.send_chunk_extensions_without_end,
    "extensions_beside_little_data": hostileclients.send_chunk_extensions_beside_little_data,
    "pipelined_requests": hostileclients.send_pipelined_requests,
}


class ServedProcess:
    """An entry process with one searcher; clients connect to it afterwards.

    :ivar start_bytes: resident memory once it has answered ordinary requests.
    """

    def __init__(self, tmp_path):
        self._processes = EntryProcesses(tmp_path)
        self._searcher = FakeSearcher("i-1")
        store = self._processes.store
        store.put("servers", "i-1", make_entry(self._searcher, "s1"))
        store.put("config", "main", make_configuration(1, [make_route()], ["s1"]))
        self.process = self._processes.start({"memory_mb": MEMORY_MB, "max_fds": MAX_FDS})
        self.addresses = self._processes.addresses
        self.wait_until_served()
        self.start_bytes = read_resident_bytes(self.process.pid)

    def close(self):
        self._processes.close()
        self._searcher.close()

    def wait_until_served(self):
        """Ask until an ordinary request and a look-up of the directory are answered."""
        with gevent.Timeout(60.0):
            while not self._ask("front", b"/one/x"):
                gevent.sleep(0.05)
            while not self._ask("directory", b"/-/resolve"):
                gevent.sleep(0.05)

    def _ask(self, name, path):
        assert self.process.poll() is None
        host, _, port = self.addresses[name].rpartition(":")
        try:
            with gevent.socket.create_connection((host, int(port)), timeout=5) as sock:
                sock.sendall(b"GET %b HTTP/1.1\r\nHost: host.example\r\n\r\n" % path)
                return sock.recv(4_096).startswith(b"HTTP/1.1 200 ")
        except OSError:
            return False

    def check(self, cost):
        """Check that the process is alive, within its bounds, and answers."""
        assert self.process.poll() is None
        budget_bytes = MEMORY_MB * 1_000_000 * REQUEST_MEMORY_FRACTION
        assert cost.resident_bytes < self.start_bytes + budget_bytes
        assert cost.descriptors <= MAX_FDS - FILE_DESCRIPTORS
        self.wait_until_served()
        assert count_descriptors(self.process.pid) <= MAX_FDS - FILE_DESCRIPTORS


@pytest.fixture
def served(tmp_path):
    served = ServedProcess(tmp_path)
    yield served
    served.close()


@pytest.mark.process
@pytest.mark.parametrize("kind", KINDS)
def test_crowd_takes_no_more_than_its_share_of_the_memory(served, kind):
    # Guards against clients that end a process by exhausting the memory of its machine.
    served.check(run_crowd(served.process, served.addresses["front"], KINDS[kind]))


@pytest.mark.process
@pytest.mark.parametrize("name", ["ready", "directory", "peer"])
def test_other_addresses_of_a_process_are_protected_as_well(served, name):
    # Guards against the same at the addresses that are not meant for callers.
    kind = KINDS["trailers_without_end"]
    served.check(run_crowd(served.process, served.addresses[name], kind))


@pytest.mark.process
@pytest.mark.parametrize("generate", [hostileclients.send_nothing, hostileclients.send_head_slowly])
def test_idle_and_slow_connections_leave_descriptors_to_the_process(served, generate):
    # Guards against a process that can no longer open a connection to an endpoint or the store.
    served.check(run_crowd(served.process, served.addresses["front"], generate, IDLE_CROWD))
