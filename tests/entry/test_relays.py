"""Followers and relays over loopback, with scripted feeds of the store."""

import random
import socket

import gevent
import pytest
from expression import Error, Ok

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.routes import ClientLimits, RequestKind, Route, RouteTable
from persimmonspur.entry import feeds, relays
from persimmonspur.entry.feeds import Feed, Snapshot, Updates
from persimmonspur.entry.relays import ChangeRelay, RelayClient, RelayedSource, RelayHandler
from persimmonspur.entry.server import HttpServer
from persimmonspur.entry.timers import LoopTimers
from persimmonspur.entry.wire import ENDPOINT_FORMAT, TABLE_FORMAT
from persimmonspur.errors import ErrorKind, Failure


class StoreScript:
    """Plays results of a kind in the store; waits where there are none."""

    def __init__(self, snapshot):
        self.snapshot = snapshot
        self.updates = []
        self.watches = 0

    def list(self, timeout_ms):
        return Ok(self.snapshot)

    def watch(self, revision, wait_ms):
        self.watches += 1
        while not self.updates:
            gevent.sleep(0.005)
        return self.updates.pop(0)


class FixedSelector:
    """Always the same relay, unless it rests."""

    def __init__(self, relay):
        self.relay = relay
        self.exclusions = 0

    def choose(self, now_ms):
        return None if self.exclusions else self.relay

    def exclude(self, relay, now_ms):
        self.exclusions += 1


def find_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Pair:
    """A relay and a follower of one feed, each with a store of its own."""

    def __init__(self, relay_format, snapshot, listening=True):
        clock = Clock()
        timers = LoopTimers(clock)
        address = find_address()
        self.relay_store = StoreScript(snapshot)
        self.follower_store = StoreScript(snapshot)
        self.relay = self.make_feed(self.relay_store, clock)
        surface = RelayHandler({"kind": ChangeRelay(self.relay, relay_format, clock, timers)})
        self.server = None
        if listening:
            self.server = HttpServer(address, surface, ClientLimits, clock)
        self.selector = FixedSelector(Member("relay", 1, "a", "r", address, address))
        self.sources = []
        client = RelayClient(self.selector, clock, timers, self.record_source)
        source = RelayedSource("kind", self.follower_store, client, relay_format)
        self.taken = []
        self.follower = self.make_feed(source, clock, self.taken)
        self.relay.start()
        gevent.sleep(0.02)
        self.follower.start()
        gevent.sleep(0.05)

    def record_source(self, source, reason):
        self.sources.append((source, reason))

    def make_feed(self, source, clock, taken=None):
        def take(updates, recovering):
            if taken is not None:
                taken.append((updates, recovering))

        return Feed(
            "kind",
            source,
            lambda snapshot, recovering: None,
            take,
            lambda name, failure: None,
            clock,
            random.Random(1),
        )

    def close(self):
        self.relay.stop()
        self.follower.stop()
        if self.server is not None:
            self.server.stop_accepting()
            self.server.close_idle()


@pytest.fixture
def connect(monkeypatch):
    monkeypatch.setattr(relays, "POLL_MS", 100.0)
    monkeypatch.setattr(relays, "ANSWER_MS", 100.0)
    monkeypatch.setattr(feeds, "BACKOFF_FIRST_MS", 200.0)
    pairs = []

    def start(relay_format=ENDPOINT_FORMAT, snapshot=None, listening=True):
        pair = Pair(relay_format, snapshot or Snapshot({}, 10), listening)
        pairs.append(pair)
        return pair

    yield start
    for pair in pairs:
        pair.close()


def make_endpoint(**fields):
    return Endpoint("e-1", "s", "10.0.0.1:80", "a", 4, **fields)


def test_follower_takes_changes_and_calls_no_store(connect):
    # Guards against store calls that grow with the fleet: every waiting watch is priced.
    pair = connect()
    pair.relay_store.updates.append(Ok(Updates((("e-1", make_endpoint()),), 12, 12)))
    gevent.sleep(0.3)
    assert [updates.changes for updates, _ in pair.taken] == [(("e-1", make_endpoint()),)]
    assert pair.follower.revision == 12
    assert pair.follower_store.watches == 0
    assert pair.sources == [("relay", "nearest relay")]


def test_cold_start_is_told_in_the_followers_time(connect):
    pair = connect()
    until_ms = Clock().now_ms() + 5_000
    endpoint = make_endpoint(cold_until_ms=until_ms)
    pair.relay_store.updates.append(Ok(Updates((("e-1", endpoint),), 12, 12)))
    gevent.sleep(0.2)
    taken = pair.taken[0][0].changes[0][1]
    assert abs(taken.cold_until_ms - until_ms) < 100


def test_route_table_arrives_whole(connect):
    pair = connect(TABLE_FORMAT)
    route = Route("r", "host", "/a", RequestKind.IDEMPOTENT, 100.0, 50.0, 1, 1, ())
    table = RouteTable(3, (route,), {}, ClientLimits())
    pair.relay_store.updates.append(Ok(Updates((("main", table),), 12, 12)))
    gevent.sleep(0.2)
    taken = pair.taken[0][0].changes[0][1]
    assert taken.version == 3
    assert taken.find("host", "/a/b").name == "r"


def test_follower_of_a_relay_that_the_store_turns_away_asks_the_store(connect):
    # Guards against a whole failure domain that serves an old state with its relay.
    pair = connect()
    pair.relay_store.updates.append(Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, "turned away")))
    pair.follower_store.updates.append(Ok(Updates((("e-1", make_endpoint()),), 12, 12)))
    gevent.sleep(0.15)
    assert pair.selector.exclusions == 1
    assert len(pair.taken) == 1
    assert pair.sources[-1][0] == "store"
    assert "503" in pair.sources[-1][1]


def test_follower_of_a_relay_that_stands_still_asks_the_store(connect):
    # Guards against followers that wait for a frozen relay beyond the bound on changes.
    pair = connect(listening=False)
    pair.follower_store.updates.append(Ok(Updates((("e-1", make_endpoint()),), 12, 12)))
    gevent.sleep(0.4)
    assert pair.selector.exclusions == 1
    assert len(pair.taken) == 1


def test_forgotten_history_of_a_relay_is_asked_of_the_store(connect):
    pair = connect()
    pair.relay.history.reset(50)
    gevent.sleep(0.3)
    assert pair.selector.exclusions == 1
    assert pair.follower_store.watches == 1


def test_outage_that_only_the_relay_saw_is_handed_on(connect):
    # Guards against followers that drop endpoints whose entries lapsed during an outage.
    pair = connect()
    pair.relay_store.updates.append(Ok(Updates((("e-1", None),), 12, 12, recovering=True)))
    gevent.sleep(0.2)
    assert pair.taken[0][1]
