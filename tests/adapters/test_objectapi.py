from http.client import HTTPException

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from persimmonspur.adapters.http import connect_client
from persimmonspur.adapters.objectapi import MAX_CONNECTIONS, HttpObjectApi
from persimmonspur.clock import ManualClock
from persimmonspur.errors import ErrorKind
from persimmonspur.standins.objectapi import ObjectApiStandIn


@pytest.fixture
def standin():
    standin = ObjectApiStandIn(ManualClock())
    server = standin.serve("127.0.0.1:0")
    standin.address = f"127.0.0.1:{server.server_port}"
    yield standin
    server.stop()


@pytest.fixture
def api(standin):
    api = HttpObjectApi(standin.address, timeout_ms=2_000, client="tester")
    yield api
    api.close()


def test_objects_are_written_conditionally(api):
    assert api.read("a/b").ok is None
    assert api.write("a/b", b"one", 0).ok == 1
    assert api.write("a/b", b"two", 0).error.kind is ErrorKind.CONFLICT
    assert api.write("a/b", b"two", 1).ok == 2
    assert (api.read("a/b").ok.version, api.read("a/b").ok.value) == (2, b"two")


@pytest.mark.parametrize("fault", ["cut_before", "cut_after", "lose_writes"])
def test_a_write_without_a_reply_is_sent_once(standin, api, fault):
    # If the HTTP library retried the write, it would conflict with the first attempt.
    api.read("warm")
    setattr(standin.faults, fault, 1)
    assert api.write("key", b"one", 0).error.kind is ErrorKind.STORE_UNAVAILABLE
    assert standin.counts.by_client["tester"] == 2
    assert standin.counts.writes == (0 if fault == "cut_before" else 1)


def test_the_http_library_does_not_repeat_a_post(standin):
    # At-most-once execution relies on this.
    client = connect_client(standin.address, 4, 2_000)
    client.get("/objects/key").read()
    standin.faults.cut_after = 1
    with pytest.raises(HTTPException):
        client.post("/objects/key", body=b"one", headers={"x-expected-version": "0"})
    assert standin.counts.writes == 1
    client.close()


def test_a_cut_read_is_not_repeated_by_the_library(standin, api):
    # Every call counts towards the rate limits of the object API.
    standin.faults.cut_before = 5
    assert api.read("key").error.kind is ErrorKind.STORE_UNAVAILABLE
    assert standin.counts.by_client["tester"] == 1


def test_a_slow_call_times_out(standin):
    api = HttpObjectApi(standin.address, timeout_ms=50)
    standin.faults.delay_ms = 60_000
    assert "no answer within 50 ms" in api.read("key").error.message
    standin.faults.delay_ms = 0
    assert api.read("key").is_ok()


def test_connections_survive_calls_that_end_while_sending():
    # The client library does not return the connection of such a call to its pool.
    release = Event()
    served = []

    def stall(sock, _address):
        served.append(sock)
        release.wait()
        sock.close()

    server = StreamServer(("127.0.0.1", 0), stall)
    server.start()
    api = HttpObjectApi(f"127.0.0.1:{server.server_port}", timeout_ms=30)
    for _ in range(MAX_CONNECTIONS + 1):
        assert api.write("key", b"x" * 20_000_000, 0).is_error()
    # On a busy machine a call may time out before the server's greenlet ran.
    with gevent.Timeout(5.0):
        while len(served) < MAX_CONNECTIONS + 1:
            gevent.sleep(0.01)
    release.set()
    assert len(served) == MAX_CONNECTIONS + 1
    server.stop()


def test_a_watch_returns_a_later_version(standin, api):
    api.write("key", b"one", 0)
    watch = gevent.spawn(api.watch, "key", 1, 30_000)
    while not standin.counts.waiting:
        gevent.sleep(0.01)
    api.write("key", b"two", 1)
    assert watch.get(timeout=10).ok.value == b"two"
    assert (standin.counts.watches, standin.counts.waiting) == (1, 0)


def test_a_watch_without_a_change_ends(api):
    assert api.watch("key", 0, 20).ok is None


def test_an_outage_cuts_a_watch(standin, api):
    watch = gevent.spawn(api.watch, "key", 0, 30_000)
    while not standin.counts.waiting:
        gevent.sleep(0.01)
    standin.faults.down = True
    assert watch.get(timeout=10).error.kind is ErrorKind.STORE_UNAVAILABLE


def test_an_outage_for_one_client(standin, api):
    standin.faults.down_for = ["other"]
    other = HttpObjectApi(standin.address, client="other")
    assert api.read("key").is_ok()
    assert other.read("key").is_error()


def test_a_stale_read_returns_the_former_version(standin, api):
    api.write("key", b"one", 0)
    api.write("key", b"two", 1)
    standin.faults.stale_reads = True
    assert (api.read("key").ok.version, api.read("key").ok.value) == (1, b"one")


def test_the_instance_list_lags(api, standin):
    clock = standin._clock
    standin.faults.listing_lag_ms = 5_000
    standin.set_instances({"entry-0": "live"})
    assert api.list_instances().ok.instances == {}
    clock.advance(5_000)
    listing = api.list_instances().ok
    assert (listing.revision, listing.instances) == (2, {"entry-0": "live"})
    assert standin.counts.listings == 2


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\nx-version: 1\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-version: many\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
    ],
)
def test_a_malformed_reply_is_a_failure(reply):
    def handle_connection(sock, _address):
        sock.recv(4096)
        sock.sendall(reply)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), handle_connection)
    server.start()
    api = HttpObjectApi(f"127.0.0.1:{server.server_port}", timeout_ms=1_000)
    assert api.read("key").error.kind is ErrorKind.STORE_UNAVAILABLE
    assert api.write("key", b"v", 0).error.kind is ErrorKind.STORE_UNAVAILABLE
    server.stop()
