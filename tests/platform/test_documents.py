import pytest
from platformsim import make_configuration, make_gather_route, make_route

from persimmonspur.core.fleet.rollouts.orders import OrderState
from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.platform.documents import (
    ObjectMeta,
    StoreObject,
    decode_endpoint,
    decode_member,
    decode_rollout,
    decode_route_table,
    encode_member,
    encode_order_state,
)

ENTRY = {
    "service": "s1",
    "addr": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 3,
    "born": 1_700_000_000_000,
}


def make_object(spec, name="i-1"):
    return StoreObject(ObjectMeta(name), spec)


def test_route_table_is_decoded():
    document = make_configuration(
        7,
        [
            make_route(kind="non_idempotent"),
            make_gather_route(["a", "b"], min_share=0.89),
            make_route("r2", service=None, split=[{"service": "a", "weight": 3}]),
        ],
        ["a", "b"],
    )
    table = decode_route_table(document).ok
    assert table.version == 7
    single, gather, split = table.routes
    assert single.kind is RequestKind.NON_IDEMPOTENT and not single.repeatable
    assert gather.gather.shards == ("a", "b") and gather.gather.min_share == 0.89
    assert split.targets[0].weight == 3
    assert table.services["a"].max_connections == 76


def test_invalid_configuration_is_an_error():
    assert decode_route_table({"version": "x"}).is_error()
    assert decode_route_table(None).is_error()


def test_endpoint_is_decoded():
    endpoint = decode_endpoint(make_object(ENTRY | {"cold_left_ms": 500}), 1_000.0).ok
    assert endpoint.identity == "i-1"
    assert endpoint.cold_until_ms == 1_500.0
    assert endpoint.born_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    "change",
    [
        {"state": "happy"},
        {"addr": "nowhere"},
        {"addr": "10.0.0.1:0"},
        {"addr": 17},
        {"addr": "\ufffd\ufffd\ufffd\ufffd:8080"},
        {"addr": "searcher.example:80"},
        {"addr": "localhost:80"},
        {"addr": "10.0.0:80"},
        {"addr": "10.0.0.256:80"},
        {"addr": "010.0.0.1:80"},
        {"addr": "0.0.0.0:80"},
        {"addr": "224.0.0.1:80"},
        {"addr": "255.255.255.255:80"},
        {"addr": "[::1]:80"},
        {"addr": "10.0.0.1:"},
        {"addr": "10.0.0.1:\u00b2"},
        {"addr": "10.0.0.1:\u0668\u0660"},
        {"addr": "10.0.0.1:-80"},
        {"addr": "10.0.0.1:65536"},
        {"addr": "10.0.0.1:" + "9" * 5_000},
        {"addr": "10.0.0.1\r\n:80"},
        {"slots": 2**70},
        {"born": 2**70},
        {"born": -1},
        {"cold_left_ms": 1e300},
        {"service": "s" * 1_000},
        {"zone": "z" * 1_000},
        {"version": "v" * 100_000},
        {"slots": "4"},
        {"slots": 0},
        {"service": None},
        {"zone": 3},
        {"born": "yesterday"},
    ],
)
def test_endpoint_entry_with_an_invalid_field_is_rejected(change):
    # Guards against requests to the address in an invalid entry that another client wrote.
    assert decode_endpoint(make_object(ENTRY | change), 0.0).is_error()


@pytest.mark.parametrize(
    "identity", ["", "i\r\nX-Other: 1", "i\x00", "i\x7f", "i-\u20ac", " i-1", "i-1 ", "i" * 1_000]
)
def test_endpoint_whose_id_cannot_be_sent_is_rejected(identity):
    # Guards against requests that raise, or that carry further headers, once they are formatted.
    assert decode_endpoint(make_object(ENTRY, identity), 0.0).is_error()


def test_endpoint_whose_id_is_latin_1_is_accepted():
    assert decode_endpoint(make_object(ENTRY, "caf\u00e9 1"), 0.0).ok.identity == "caf\u00e9 1"


def test_integers_of_a_configuration_fit_into_messages_between_instances():
    # Guards against a configuration that a relay cannot pass on to its followers.
    document = make_configuration(2**70, [make_route()], ["s1"])
    assert decode_route_table(document).is_error()
    document = make_configuration(1, [make_route(priority=2**70)], ["s1"])
    assert decode_route_table(document).is_error()


@pytest.mark.parametrize(
    "change",
    [
        {"front": "entry.example:80"},
        {"peer": "entry.example:80"},
        {"peer": "10.0.0.1:\u00b2"},
        {"incarnation": 2**70},
        {"region": "r" * 2_000},
    ],
)
def test_registration_that_cannot_be_used_is_rejected(change):
    # Guards against a lookup of a host name in the event loop, and against addresses that no
    # client can use.
    spec = {
        "incarnation": 5,
        "zone": "zone-a",
        "region": "region",
        "front": "10.0.0.1:1",
        "peer": "10.0.0.1:2",
    }
    assert decode_member(make_object(spec)).is_ok()
    assert decode_member(make_object(spec | change)).is_error()


@pytest.mark.parametrize("missing", ["service", "addr", "zone", "slots", "state"])
def test_endpoint_entry_without_a_required_field_is_rejected(missing):
    spec = {key: value for key, value in ENTRY.items() if key != missing}
    assert decode_endpoint(make_object(spec), 0.0).is_error()


@pytest.mark.parametrize("spec", [None, [], "text", 5, {"addr": {}}])
def test_malformed_endpoint_entry_is_rejected(spec):
    assert decode_endpoint(make_object(spec), 0.0).is_error()


def test_unknown_fields_are_ignored():
    assert decode_endpoint(make_object(ENTRY | {"colour": "blue"}), 0.0).is_ok()


def test_member_survives_encoding_and_decoding():
    from persimmonspur.core.fleet.roles import Member

    member = Member("i-1", 5, "zone-a", "region", "10.0.0.1:1", "10.0.0.1:2")
    assert decode_member(make_object(encode_member(member))).ok == member


ORDER = {"service": "s1", "target_version": "v2", "over_s": 12}


def decode_order(spec, status=None, name="s1"):
    return decode_rollout(StoreObject(ObjectMeta(name, 5), spec, status)).ok


def test_order_and_its_state_are_decoded():
    order = decode_order(ORDER)
    assert (order.service, order.target_version, order.over_ms) == ("s1", "v2", 12_000.0)
    assert (order.revision, order.state, order.problem) == (5, OrderState.NONE, "")
    status = encode_order_state(order, OrderState.RUNNING)
    assert status == {"state": "running", "target_version": "v2"}
    assert decode_order(ORDER, status).state is OrderState.RUNNING


def test_state_of_an_earlier_target_says_nothing():
    # Guards against a new order that counts as ended because the previous one has.
    status = {"state": "succeeded", "target_version": "v1"}
    assert decode_order(ORDER, status).state is OrderState.NONE


@pytest.mark.parametrize("status", [7, "running", {}, {"state": "odd", "target_version": "v2"}])
def test_unreadable_status_is_none(status):
    assert decode_order(ORDER, status).state is OrderState.NONE


@pytest.mark.parametrize(
    "change",
    [
        {"over_s": 0},
        {"over_s": -3},
        {"over_s": "12"},
        {"over_s": None},
        {"over_s": float("nan")},
        {"over_s": float("inf")},
        {"over_s": 10**400},
        {"target_version": ""},
        {"target_version": 2},
        {"service": "s2"},
        {"service": None},
    ],
)
def test_order_that_cannot_be_carried_out_has_a_problem(change):
    # Guards against an order that is ignored, so that its state is never written.
    order = decode_order(ORDER | change)
    assert order.problem and order.over_ms == 0.0
    assert order.service == "s1"


@pytest.mark.parametrize("spec", [None, [], "x", 7])
def test_order_of_another_form_has_a_problem(spec):
    order = decode_order(spec)
    assert order.problem and order.target_version == ""
