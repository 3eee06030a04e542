"""Odd entries among those of the searchers, in whole instances.

Whatever another writer leaves there, it names no searcher, is logged once, and neither stops the
lists and watches of an instance nor what its peers learn from it.
"""

import json

import gevent
import pytest
from deployments import Deployment, register_with_each_other
from entryprocess import EntryProcesses
from platformsim import FakeSearcher, make_configuration, make_entry, make_route

DEPTH = 20_000
DIGITS = b"9" * 5_000
FOLLOW_TIMEOUT_S = 5.0

SOUND = {
    "service": b'"s1"',
    "addr": b'"127.0.0.1:9"',
    "zone": b'"zone-a"',
    "version": b'"v1"',
    "slots": b"4",
    "state": b'"ready"',
    "cold_left_ms": b"0",
    "seq": b"1",
    "born": b"1700000000000",
}


def spoil(**fields):
    """Return the JSON of an entry with some fields replaced by other JSON."""
    members = (SOUND | fields).items()
    return b"{%b}" % b",".join(b'"%b":%b' % (name.encode(), data) for name, data in members)


ODD_ENTRIES = {
    "nested-lists": b"[" * DEPTH + b"]" * DEPTH,
    "nested-objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "nested-field": spoil(slots=b"[" * DEPTH + b"]" * DEPTH),
    "nested-unknown-field": spoil(other=b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "digits": DIGITS,
    "digits-in-slots": spoil(slots=DIGITS),
    "digits-in-born": spoil(born=b"-" + DIGITS),
    "digits-in-seq": spoil(seq=DIGITS + b".5"),
    "slots-too-large": spoil(slots=b"9223372036854775808"),
    "cold-for-ever": spoil(cold_left_ms=b"1e308"),
    "exponent-too-large": spoil(cold_left_ms=b"1e999"),
    "seq-too-large": spoil(seq=b"1e308"),
    "born-too-large": spoil(born=b"9223372036854775807"),
    "port-too-large": spoil(addr=b'"127.0.0.1:65536"'),
    "port-much-too-large": spoil(addr=b'"127.0.0.1:%b"' % DIGITS),
    "port-zero": spoil(addr=b'"127.0.0.1:0"'),
    "port-negative": spoil(addr=b'"127.0.0.1:-1"'),
    "not-unicode": b'"\xff\xfe"',
}


def put_all(store, names=ODD_ENTRIES):
    for name in names:
        store.put_raw("servers", f"odd-{name}", ODD_ENTRIES[name])


def wait_until_followed(deployment, identity):
    """Wait until an instance knows an endpoint that was written last."""
    with gevent.Timeout(FOLLOW_TIMEOUT_S):
        while deployment.instance.state.endpoints.get(identity) is None:
            gevent.sleep(0.02)


def list_identities(deployment):
    return sorted(item.identity for item in deployment.instance.state.endpoints.list_all())


@pytest.fixture
def pair(tmp_path):
    """Two instances with fake stores that share their objects and fail independently."""
    first = Deployment(tmp_path, name="front-1")
    second = Deployment(tmp_path, name="front-2")
    second.store.objects = first.store.objects
    second.store.events = first.store.events
    second.store._raw_specs = first.store._raw_specs
    yield first, second
    second.close()
    first.close()


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_changes_are_followed_after_an_odd_entry(tmp_path, name):
    # Guards against a watch, or a list after a restart, that one odd entry stops.
    deployment = Deployment(tmp_path)
    deployment.add_searcher("i-1", "s1")
    deployment.configure(make_route())
    deployment.start()
    put_all(deployment.store, [name])
    deployment.add_searcher("i-2", "s1")
    wait_until_followed(deployment, "i-2")
    # The list that an instance reads when it starts.
    other = Deployment(tmp_path, deployment.store, name="front-2")
    other.start()
    deployment.add_searcher("i-3", "s1")
    try:
        for instance in (deployment, other):
            wait_until_followed(instance, "i-3")
            assert list_identities(instance) == ["i-1", "i-2", "i-3"]
            assert instance.send_request("/one/x")[0] == 200
        lines = [*deployment.read_log(), *other.read_log()]
        reasons = [line["reason"] for line in lines if line["name"] == "entry_rejected"]
        assert len(reasons) == 2 and len(set(reasons)) == 1 and len(reasons[0]) <= 500
    finally:
        other.close()
        deployment.close()


def test_relay_with_odd_entries_is_followed(tmp_path):
    # Guards against followers that give up a relay, or learn odd entries from it.
    first = Deployment(tmp_path, name="front-1")
    followers = [Deployment(tmp_path, first.store, name=f"front-{index}") for index in (2, 3)]
    every = [first, *followers]
    try:
        first.add_searcher("i-1", "s1")
        first.configure(make_route())
        put_all(first.store)
        for deployment in every:
            deployment.start()
        for follower in followers:
            register_with_each_other(first, follower)
        register_with_each_other(*followers)
        gevent.sleep(0.5)
        put_all(first.store)
        first.add_searcher("i-2", "s1")
        for deployment in every:
            wait_until_followed(deployment, "i-2")
            assert list_identities(deployment) == ["i-1", "i-2"]
        sources = {deployment.instance.relay_client.source for deployment in every}
        assert sources - {"store"}
    finally:
        for deployment in reversed(every):
            deployment.close()


def test_state_of_a_peer_is_taken_beside_odd_entries(pair):
    # Guards against a copy of a peer's state that odd entries spoil.
    first, second = pair
    first.add_searcher("i-1", "s1")
    first.configure(make_route(), version=1)
    first.start()
    second.start()
    register_with_each_other(first, second)
    second.store.down = True
    second.store.compact_history()
    put_all(first.store)
    first.add_searcher("i-2", "s2")
    first.configure(make_route(service="s2"), version=2)
    with gevent.Timeout(FOLLOW_TIMEOUT_S):
        while second.instance.state.version != 2:
            gevent.sleep(0.02)
    wait_until_followed(second, "i-2")
    assert list_identities(second) == ["i-1", "i-2"]
    assert second.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"
    assert "peer_state_taken" in [line["name"] for line in second.read_log()]


@pytest.mark.process
def test_process_lives_and_follows_changes_beside_odd_entries(tmp_path):
    # Guards against a process that ends whenever it reads the list of the searchers.
    processes = EntryProcesses(tmp_path)
    searchers = [FakeSearcher("i-1"), FakeSearcher("i-2")]
    store = processes.store
    routes = [make_route(), make_route("r2", "s2", path_prefix="/two/")]
    store.put("servers", "i-1", make_entry(searchers[0], "s1"))
    store.put("config", "main", make_configuration(1, routes, ["s1", "s2"]))
    put_all(store)
    log_path = tmp_path / "log"
    try:
        # The second start reads all odd entries in its first list.
        for _ in range(2):
            process = processes.start(log_path=log_path)
            wait_until_answered(process, processes.caller_address, "/one/x")
            put_all(store)
            store.put("servers", "i-2", make_entry(searchers[1], "s2"))
            wait_until_answered(process, processes.caller_address, "/two/x")
            process.kill()
            store.delete("servers", "i-2")
        lines = [json.loads(line) for line in log_path.read_text().splitlines()]
        reasons = [line["reason"] for line in lines if line["name"] == "entry_rejected"]
        assert len(reasons) == len(set(reasons)) == len(ODD_ENTRIES)
        assert not [line for line in lines if line["name"] == "feed_failed"]
    finally:
        processes.close()
        for searcher in searchers:
            searcher.close()


def wait_until_answered(process, address, path):
    """Ask until a request is answered with success."""
    host, _, port = address.rpartition(":")
    request = f"GET {path} HTTP/1.1\r\nHost: host.example\r\n\r\n".encode()
    with gevent.Timeout(30.0):
        while True:
            assert process.poll() is None
            try:
                with gevent.socket.create_connection((host, int(port)), timeout=5) as sock:
                    sock.sendall(request)
                    if sock.recv(4_096).startswith(b"HTTP/1.1 200 "):
                        return
            except OSError:
                pass
            gevent.sleep(0.05)
