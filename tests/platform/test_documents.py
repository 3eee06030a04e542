import pytest
from platformsim import make_configuration, make_gather_route, make_route

from persimmonspur.core.fleet.routes import RequestKind
from persimmonspur.platform.documents import (
    ObjectMeta,
    StoreObject,
    decode_endpoint,
    decode_member,
    decode_route_table,
    encode_member,
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
