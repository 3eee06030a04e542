"""Odd entries in lists and changes of a relay, in a copy of a peer's state and in heartbeats.

What the store's lists and watches do with them is tested in tests/platform.
"""

import math

import gevent
import msgspec
import pytest
from attrs import evolve
from expression import Error, Ok

from fleetsim import make_member
from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet.accounts import Account, AccountDirectory
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.roles import choose_entry_set, choose_relays
from persimmonspur.core.fleet.rollouts.orders import RolloutOrder
from persimmonspur.core.fleet.routes import ClientLimits, RouteTable, ServiceLimits
from persimmonspur.entry import relays
from persimmonspur.entry.peerstate import PeerState, ReceivedState, check_state
from persimmonspur.entry.relays import ChangesMessage, RelayedSource
from persimmonspur.entry.validation import (
    MAX_COLD_LEFT_MS,
    MAX_SLOTS,
    MAX_UNIX_MS,
    find_endpoint_error,
    find_member_error,
    find_table_error,
)
from persimmonspur.entry.wire import (
    ENDPOINT_FORMAT,
    EVACUATION_FORMAT,
    ROLLOUT_FORMAT,
    TABLE_FORMAT,
    Positions,
    pack_table,
)
from persimmonspur.errors import ErrorKind, Failure

NOW_MS = 5_000.0
POSITION = StorePosition(1, 9)
SOUND = Endpoint("i-sound", "s", "10.0.0.1:80", "d", 4)
TABLE = RouteTable(3, (), {"s": ServiceLimits("s", 64, 0.0)}, ClientLimits())

ODD_FIELDS = {
    "port out of range": {"address": "10.0.0.1:65536"},
    "port zero": {"address": "10.0.0.1:0"},
    "negative port": {"address": "10.0.0.1:-1"},
    "port of 5,000 digits": {"address": "10.0.0.1:" + "9" * 5_000},
    "host name": {"address": "host.example:80"},
    "no address": {"address": ""},
    "no slots": {"slots": 0},
    "too many slots": {"slots": MAX_SLOTS + 1},
    "largest number of slots": {"slots": 2**63},
    "born in the far future": {"born_ms": MAX_UNIX_MS + 1},
    "born before time": {"born_ms": -1},
    "sequence without end": {"sequence": math.inf},
    "sequence that is no number": {"sequence": math.nan},
    "largest sequence": {"sequence": 1e308},
    "cold for ever": {"cold_until_ms": math.inf},
    "cold until no time": {"cold_until_ms": math.nan},
    "cold for longer than a day": {"cold_until_ms": NOW_MS + MAX_COLD_LEFT_MS + 2_000.0},
    "line break in the id": {"identity": "i\r\nX-Other: 1"},
    "long id": {"identity": "i" * 300},
    "long service": {"service": "s" * 100_000},
    "long failure domain": {"failure_domain": "d" * 100_000},
    "long version": {"version": "v" * 100_000},
}
ODD_ENDPOINTS = {
    name: evolve(SOUND, **({"identity": "i-odd"} | fields)) for name, fields in ODD_FIELDS.items()
}
# MessagePack of values that are no endpoint.
ODD_VALUES = {
    "number": b"\x07",
    "text that is not Unicode": b"\xa2\xff\xfe",
    "nested lists": b"\x91" * 900 + b"\x01",
    "fields of other types": msgspec.msgpack.encode({"identity": 1, "address": []}),
    "missing fields": msgspec.msgpack.encode({"identity": "i-odd"}),
}


class StubStore:
    """A store that is never asked."""

    def list(self, timeout_ms):
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, "store asked"))

    def watch(self, position, wait_ms):
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, "store asked"))


class StubSelector:
    def choose(self, now_ms):
        return make_member(1)

    def choose_for_list(self, now_ms):
        return make_member(1)

    def exclude(self, relay, now_ms, period_ms):
        raise AssertionError("the relay counts as failed")


class StubRelayClient:
    def __init__(self):
        self.selector = StubSelector()
        self.clock = ManualClock(NOW_MS)
        self.list_patience_ms = 100.0
        self.members_known = gevent.event.Event()
        self.members_known.set()

    def get_client(self, relay):
        return None


def read_from_relay(monkeypatch, relay_format, changes):
    """Return what a follower reads from a relay: a list, and the changes of a watch.

    :param changes: names and values as the relay packs them.
    """
    message = ChangesMessage(POSITION, POSITION, False, NOW_MS, changes)
    data = msgspec.msgpack.encode(message)

    def fetch(client, peer, path, timeout_ms, message_type):
        return Ok(msgspec.msgpack.decode(data, type=message_type))

    monkeypatch.setattr(relays, "fetch_message", fetch)
    source = RelayedSource("feed", StubStore(), StubRelayClient(), relay_format)
    return source.list(100.0).ok, source.watch(POSITION, 100.0).ok


@pytest.mark.parametrize("name", ODD_ENDPOINTS)
def test_odd_endpoint_of_a_relay_names_no_endpoint(monkeypatch, name):
    # Guards against entries that pass unchecked from one instance to another.
    odd = ODD_ENDPOINTS[name]
    changes = [("i-sound", SOUND), (odd.identity, odd), ("i-gone", None)]
    listed, watched = read_from_relay(monkeypatch, ENDPOINT_FORMAT, changes)
    assert listed.items == {"i-sound": SOUND}
    assert [value for _, value in watched.changes] == [SOUND, None, None]
    assert len(listed.rejected) == len(watched.rejected) == 1
    assert watched.position == POSITION


@pytest.mark.parametrize("name", ODD_VALUES)
@pytest.mark.parametrize("relay_format", [ENDPOINT_FORMAT, TABLE_FORMAT, ROLLOUT_FORMAT])
def test_unreadable_value_of_a_relay_hides_no_other(monkeypatch, relay_format, name):
    sound = {
        ENDPOINT_FORMAT: SOUND,
        TABLE_FORMAT: TABLE,
        ROLLOUT_FORMAT: RolloutOrder("s", "v2", 1_000.0, 7),
    }[relay_format]
    key = sound.identity if sound is SOUND else "sound"
    changes = [("odd", msgspec.Raw(ODD_VALUES[name])), (key, relay_format.pack(sound))]
    listed, watched = read_from_relay(monkeypatch, relay_format, changes)
    assert listed.items == {key: sound}
    assert watched.changes == (("odd", None), (key, sound))
    assert len(watched.rejected) == 1


def test_odd_failure_domain_of_a_relay_is_rejected(monkeypatch):
    changes = [("d" * 300, "d" * 300), ("d", "d")]
    listed, watched = read_from_relay(monkeypatch, EVACUATION_FORMAT, changes)
    assert listed.items == {"d": "d"} and len(watched.rejected) == 1


def copy_state(table, endpoints, evacuated=()):
    state = PeerState(
        table, endpoints, list(evacuated), Positions(POSITION, POSITION, POSITION), NOW_MS
    )
    data = msgspec.msgpack.encode(state)
    return check_state(msgspec.msgpack.decode(data, type=ReceivedState), NOW_MS)


def test_odd_entries_of_a_peer_hide_no_others():
    # Guards against one entry because of which the whole state of a peer cannot be taken.
    endpoints = [*map(msgspec.Raw, ODD_VALUES.values()), *ODD_ENDPOINTS.values(), SOUND]
    copy = copy_state(pack_table(TABLE), endpoints, ["d", "e" * 300])
    assert copy.endpoints == [SOUND]
    assert copy.table == TABLE and copy.evacuated == ["d"]
    counts = {kind: len(failures) for kind, failures in copy.rejected.items()}
    assert counts == {
        "configuration": 0,
        "endpoint": len(ODD_VALUES) + len(ODD_ENDPOINTS),
        "evacuation": 1,
    }


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_configuration_of_a_peer_leaves_its_endpoints(value):
    copy = copy_state(msgspec.Raw(value), [SOUND])
    assert copy.table is None and copy.endpoints == [SOUND]
    assert len(copy.rejected["configuration"]) == 1


def test_peer_without_a_configuration_is_copied():
    copy = copy_state(None, [SOUND])
    assert copy.table is None and copy.rejected["configuration"] == []


@pytest.mark.parametrize(
    "table",
    [
        evolve(TABLE, version=2**63),
        evolve(TABLE, services={"s": ServiceLimits("s", 64, math.inf)}),
        evolve(TABLE, limits=ClientLimits(idle_timeout_ms=math.nan)),
        evolve(TABLE, accounts=AccountDirectory({"a": Account("a\r\nb")})),
        evolve(TABLE, accounts=AccountDirectory({"a": Account("a", priority=2**63)})),
    ],
    ids=["version", "cold limit", "timeout", "account", "priority"],
)
def test_odd_numbers_and_names_of_a_table_are_found(table):
    assert find_table_error(table)
    assert not find_table_error(TABLE)


@pytest.mark.parametrize(
    "fields",
    [
        {"caller_address": "10.0.0.1:99999"},
        {"peer_address": "10.0.0.1:0"},
        {"capability": math.inf},
        {"capability": math.nan},
        {"capability": 1e308},
        {"incarnation": -1},
        {"name": "n\n"},
        {"region": "r" * 1_000},
    ],
    ids=str,
)
def test_odd_instances_are_found(fields):
    # Guards against an instance whose odd address is named to clients, and against capacities
    # with which the choice of the entry set never ends.
    member = make_member(1)
    assert find_member_error(evolve(member, **fields))
    assert not find_member_error(member)


def test_sound_endpoint_passes_on_either_side_of_its_cold_start():
    for cold_until_ms in (0.0, NOW_MS - 1.0, NOW_MS + 3_000.0):
        assert not find_endpoint_error(evolve(SOUND, cold_until_ms=cold_until_ms), NOW_MS)


@pytest.mark.timeout(20)
@pytest.mark.parametrize("capability", [math.inf, 1e308, math.nan, 5e-324, 0.0])
def test_choice_of_instances_ends_whatever_their_capacities(capability):
    # Guards against a search for a threshold that ends only when a finite number is halved away.
    members = [make_member(0), make_member(1), evolve(make_member(2), capability=capability)]
    assert len(choose_entry_set(members)) == 3
    assert len(choose_relays(members)) == 3
