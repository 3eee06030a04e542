"""Tests of relays and their followers over loopback, with scripted store sources."""

import random
import socket

import gevent
import pytest
from attrs import evolve
from expression import Error, Ok

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.relays import MAX_EXCLUDED_RELAYS
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.routes import ClientLimits, RequestKind, Route, RouteTable
from persimmonspur.entry import feeds, relays
from persimmonspur.entry.feeds import Feed, Snapshot, Updates
from persimmonspur.entry.relays import ChangeRelay, RelayClient, RelayedSource, RelayHandler
from persimmonspur.entry.server import HttpServer
from persimmonspur.entry.timers import LoopTimers
from persimmonspur.entry.wire import ENDPOINT_FORMAT, TABLE_FORMAT
from persimmonspur.errors import ErrorKind, Failure


def at(revision, era=1):
    return StorePosition(era, revision)


class ScriptedStore:
    """Returns scripted updates of one kind of object; blocks while there are none."""

    def __init__(self, snapshot, list_delay_s=0.0):
        self.snapshot = snapshot
        self.list_delay_s = list_delay_s
        self.updates = []
        self.watch_count = 0
        self.list_count = 0

    def list(self, timeout_ms):
        self.list_count += 1
        gevent.sleep(self.list_delay_s)
        return Ok(self.snapshot)

    def watch(self, position, wait_ms):
        self.watch_count += 1
        while not self.updates:
            gevent.sleep(0.005)
        return self.updates.pop(0)


class FixedSelector:
    """Selects the same relay until it is excluded once."""

    def __init__(self, relay):
        self.relay = relay
        self.exclusions = 0
        self.periods_ms = []

    def choose(self, now_ms):
        return None if self.exclusions else self.relay

    def choose_for_list(self, now_ms):
        return self.relay

    def is_follower(self, now_ms):
        return True

    def exclude(self, relay, now_ms, period_ms):
        self.exclusions += 1
        self.periods_ms.append(period_ms)


def find_free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class RelayPair:
    """A relay and its follower for one feed, each with its own scripted store."""

    def __init__(self, relay_format, snapshot, listening=True, list_delay_s=0.0):
        clock = Clock()
        timers = LoopTimers(clock)
        address = find_free_address()
        self.relay_store = ScriptedStore(snapshot, list_delay_s)
        self.follower_store = ScriptedStore(snapshot)
        self.relay = self.make_feed(self.relay_store, clock)
        handler = RelayHandler({"kind": ChangeRelay(self.relay, relay_format, clock, timers)})
        self.server = None
        if listening:
            self.server = HttpServer(address, handler, ClientLimits, clock)
        self.selector = FixedSelector(Member("relay", 1, "a", "r", address, address))
        self.sources = []
        patience_ms = relays.LIST_PATIENCE_MS
        client = RelayClient(self.selector, clock, timers, self.record_source, patience_ms)
        client.members_known.set()
        self.source = source = RelayedSource("kind", self.follower_store, client, relay_format)
        self.received = []
        self.follower = self.make_feed(source, clock, self.received)
        self.relay.start()
        gevent.sleep(0.02)
        self.follower.start()
        gevent.sleep(0.05)

    def record_source(self, source, reason):
        self.sources.append((source, reason))

    def make_feed(self, source, clock, received=None):
        def on_updates(updates, recovering):
            if received is not None:
                received.append((updates, recovering))

        return Feed(
            "kind",
            source,
            lambda snapshot, recovering: None,
            on_updates,
            lambda name, failure, position: None,
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
def start_relay_pair(monkeypatch):
    monkeypatch.setattr(relays, "POLL_WAIT_MS", 100.0)
    monkeypatch.setattr(relays, "POLL_MARGIN_MS", 100.0)
    monkeypatch.setattr(feeds, "BACKOFF_FIRST_MS", 200.0)
    relay_pairs = []

    def start(relay_format=ENDPOINT_FORMAT, snapshot=None, **options):
        relay_pair = RelayPair(relay_format, snapshot or Snapshot({}, at(10)), **options)
        relay_pairs.append(relay_pair)
        return relay_pair

    yield start
    for relay_pair in relay_pairs:
        relay_pair.close()


def make_endpoint(**fields):
    return Endpoint("e-1", "s", "10.0.0.1:80", "a", 4, **fields)


def test_follower_receives_changes_without_store_calls(start_relay_pair):
    # Guards against store calls that grow with the fleet: every open watch is billed.
    relay_pair = start_relay_pair()
    relay_pair.relay_store.updates.append(Ok(Updates((("e-1", make_endpoint()),), at(12), at(12))))
    gevent.sleep(0.3)
    assert [updates.changes for updates, _ in relay_pair.received] == [(("e-1", make_endpoint()),)]
    assert relay_pair.follower.position == at(12)
    assert relay_pair.follower_store.watch_count == 0
    assert relay_pair.sources == [("relay", "nearest relay")]


def test_cold_start_time_is_converted_to_the_followers_clock(start_relay_pair):
    relay_pair = start_relay_pair()
    until_ms = Clock().now_ms() + 5_000
    endpoint = make_endpoint(cold_until_ms=until_ms)
    relay_pair.relay_store.updates.append(Ok(Updates((("e-1", endpoint),), at(12), at(12))))
    gevent.sleep(0.2)
    received = relay_pair.received[0][0].changes[0][1]
    assert abs(received.cold_until_ms - until_ms) < 100


def test_route_table_is_transferred_completely(start_relay_pair):
    relay_pair = start_relay_pair(TABLE_FORMAT)
    route = Route("r", "host", "/a", RequestKind.IDEMPOTENT, 100.0, 50.0, 1, 1, ())
    table = RouteTable(3, (route,), {}, ClientLimits())
    relay_pair.relay_store.updates.append(Ok(Updates((("main", table),), at(12), at(12))))
    gevent.sleep(0.2)
    received = relay_pair.received[0][0].changes[0][1]
    assert received.version == 3
    assert received.find("host", "/a/b").name == "r"


def test_follower_falls_back_to_the_store_if_the_relay_cannot_reach_it(start_relay_pair):
    # Guards against a whole failure domain serving old state because its relay cannot reach
    # the store.
    relay_pair = start_relay_pair()
    relay_pair.relay_store.updates.append(
        Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, "store unavailable"))
    )
    relay_pair.follower_store.updates.append(
        Ok(Updates((("e-1", make_endpoint()),), at(12), at(12)))
    )
    gevent.sleep(0.15)
    assert relay_pair.selector.exclusions == 1
    assert len(relay_pair.received) == 1
    assert relay_pair.sources[-1][0] == "store"
    assert "503" in relay_pair.sources[-1][1]
    assert relay_pair.selector.periods_ms == [relays.OUTAGE_EXCLUSION_MS]


def test_follower_falls_back_to_the_store_if_the_relay_does_not_answer(start_relay_pair):
    # Guards against followers waiting for a frozen relay longer than the time limit for
    # applying changes.
    relay_pair = start_relay_pair(listening=False)
    relay_pair.follower_store.updates.append(
        Ok(Updates((("e-1", make_endpoint()),), at(12), at(12)))
    )
    gevent.sleep(0.4)
    assert relay_pair.selector.exclusions == 1
    assert len(relay_pair.received) == 1


def test_followers_call_a_silent_store_rarely(start_relay_pair):
    # Guards against calls of all feeds of all instances during an outage of the store.
    outage = Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, "store unavailable"))
    relay_pair = start_relay_pair()
    relay_pair.relay_store.updates.append(outage)
    relay_pair.follower_store.updates.extend([outage] * 9)
    for _ in range(9):
        relay_pair.follower.retry_now()
        gevent.sleep(0.05)
    assert relay_pair.follower_store.watch_count == 1


def test_follower_lists_from_the_relay_if_the_relay_lacks_the_history(start_relay_pair):
    # Guards against a list of the store by every instance when one has fallen behind.
    relay_pair = start_relay_pair()
    relay_pair.relay.items = {"e-1": make_endpoint()}
    relay_pair.relay.history.reset(at(50))
    gevent.sleep(0.3)
    assert relay_pair.follower.position == at(50)
    assert relay_pair.follower.items == {"e-1": make_endpoint()}
    assert relay_pair.selector.exclusions == 0
    assert relay_pair.follower_store.watch_count == 0
    assert relay_pair.follower_store.list_count == 0


def test_lost_history_costs_followers_no_store_call(start_relay_pair):
    # Guards against lists of the store by all instances after it discarded its history.
    gone, new = make_endpoint(), evolve(make_endpoint(), identity="e-2")
    relay_pair = start_relay_pair(snapshot=Snapshot({"e-1": gone}, at(10)))
    relay_pair.relay_store.snapshot = Snapshot({"e-2": new}, at(20), at(20))
    relay_pair.relay_store.updates.append(Error(Failure.of(ErrorKind.CONFLICT, "compacted")))
    gevent.sleep(0.3)
    assert relay_pair.received[0][0].changes == (("e-1", None), ("e-2", new))
    assert relay_pair.follower.position == at(20)
    assert relay_pair.follower_store.watch_count == 0
    assert relay_pair.follower_store.list_count == 0


def test_list_that_is_older_than_what_is_known_is_not_used(start_relay_pair):
    # Guards against an endpoint that left and is in use again, because a relay lags behind.
    relay_pair = start_relay_pair()
    relay_pair.follower_store.snapshot = Snapshot({}, at(90))
    relay_pair.follower.position = at(80)
    relay_pair.source.watch(at(80), 1.0)
    listed = relay_pair.source.list(100.0)
    assert listed.ok.position == at(90)
    assert relay_pair.follower_store.list_count == 1


def test_first_list_waits_for_a_relay_that_has_none_yet(start_relay_pair, monkeypatch):
    # Guards against lists of the store by all instances when a deployment starts.
    monkeypatch.setattr(relays, "LIST_PATIENCE_MS", 1_000.0)
    relay_pair = start_relay_pair(list_delay_s=0.15)
    gevent.sleep(0.3)
    assert relay_pair.follower.position == at(10)
    assert relay_pair.follower_store.list_count == 0


def test_first_list_is_read_from_the_store_without_a_relay(start_relay_pair):
    # Guards against an instance that waits for relays that died.
    relay_pair = start_relay_pair(listening=False)
    gevent.sleep(0.3)
    assert relay_pair.follower.listed
    assert relay_pair.follower_store.list_count == 1


def test_store_outage_seen_only_by_the_relay_is_forwarded(start_relay_pair):
    # Guards against followers removing endpoints whose entries expired during an outage.
    relay_pair = start_relay_pair()
    relay_pair.relay_store.updates.append(
        Ok(Updates((("e-1", None),), at(12), at(12), recovering=True))
    )
    gevent.sleep(0.2)
    assert relay_pair.received[0][1]


@pytest.mark.timeout(20)
def test_watch_turns_to_the_store_when_relays_fail_in_turn(monkeypatch):
    # Guards against a follower that asks failing relays for ever, each again once its time without
    # calls is over.
    asked = []

    def fail(client, peer, path, timeout_ms, message_type):
        asked.append(peer)
        return Error(Failure.of(ErrorKind.NOT_READY, "status 503"))

    monkeypatch.setattr(relays, "fetch_message", fail)
    clock = Clock()
    address = find_free_address()
    selector = FixedSelector(Member("relay", 1, "a", "r", address, address))
    monkeypatch.setattr(selector, "choose", lambda now_ms: selector.relay)
    client = RelayClient(selector, clock, LoopTimers(clock), lambda source, reason: None)
    store = ScriptedStore(Snapshot({}, at(10)))
    store.updates.append(Ok(Updates((), at(11))))
    source = RelayedSource("kind", store, client, ENDPOINT_FORMAT)
    assert source.watch(at(10), 1_000.0).ok.position == at(11)
    assert len(asked) == MAX_EXCLUDED_RELAYS
