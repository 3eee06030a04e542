import copy
import json

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.configuration.document import parse_document
from persimmonspur.core.configuration.rendering import render_configuration, render_yaml
from persimmonspur.core.configuration.rules import check_change
from persimmonspur.model.configuration import DesiredState

VALID = yaml.safe_load("""
deployment: town
failure_domains: [north, south]
classes:
  counter: {priority: 0, share: 0.5}
  batch: {priority: 1, share: 0.5}
services:
  shop:
    limits: {slots: 4, connections: 75, connect_ms: 6}
    shard_maps:
      - {epoch: 1, shards: {a: [0, 30000], b: [30000, 65536]}}
      - {epoch: 2, even: "c{0..2}"}
    endpoints:
      - {name: one, address: "10.0.0.1:7400", failure_domain: north, shards: [a, b]}
    endpoint_groups:
      - names: "many-{0..5}"
        addresses: "10.0.1.{1..6}:7400"
        failure_domains: [north, south]
        shards: "c{0..2}"
desired:
  failure_domains: {north: draining}
  instances: {entry-1: out}
  endpoints: {many-3: draining}
terminated: [entry-9]
""")


def parse(document):
    return parse_document(json.dumps(document))


def parse_valid(document=VALID):
    result = parse(document)
    assert result.is_ok(), [str(error) for error in result.error]
    return result.ok


def change(path, value):
    document = copy.deepcopy(VALID)
    *parents, last = path
    target = document
    for name in parents:
        target = target[name]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return document


def test_groups_put_replicas_of_a_shard_into_different_failure_domains():
    configuration = parse_valid().configuration
    domains = {}
    for endpoint in configuration.services[0].endpoints[1:]:
        domains.setdefault(endpoint.shards, set()).add(endpoint.failure_domain)
    assert domains == {(f"c{index}",): {"north", "south"} for index in range(3)}


def test_desired_states_are_parsed():
    configuration = parse_valid().configuration
    assert configuration.failure_domains[0].desired is DesiredState.DRAINING
    assert configuration.instances == {"entry-1": DesiredState.OUT}
    assert configuration.services[0].endpoints[4].desired is DesiredState.DRAINING
    assert configuration.terminated == {"entry-9"}


SHOP = ("services", "shop")
MAPS = (*SHOP, "shard_maps")
GROUP = (*SHOP, "endpoint_groups", 0)
ONE = (*SHOP, "endpoints", 0)


@pytest.mark.parametrize(
    ("path", "value", "reported"),
    [
        (("colour",), "red", "colour"),
        (("deployment",), None, "deployment"),
        (("deployment",), "Town Hall", "deployment"),
        (("failure_domains",), ["north", "north", "south"], "failure_domains"),
        (("failure_domains",), [], "failure_domains"),
        (("classes", "counter", "share"), 0.7, "classes"),
        (("classes", "counter", "priority"), -1, "classes.counter.priority"),
        (("classes", "counter", "share"), float("nan"), "classes.counter.share"),
        ((*SHOP, "limits", "slots"), -4, "services.shop.limits.slots"),
        ((*SHOP, "limits", "slots"), True, "services.shop.limits.slots"),
        ((*SHOP, "limits", "connect_ms"), -0.5, "services.shop.limits.connect_ms"),
        ((*SHOP, "limits", "connections"), 2.5, "services.shop.limits.connections"),
        ((*SHOP, "limits", "colour"), 1, "services.shop.limits.colour"),
        ((*SHOP, "min_replicas"), 0, "services.shop.min_replicas"),
        (MAPS, [], "services.shop.shard_maps"),
        ((*MAPS, 0, "shards", "b"), [30001, 65536], "services.shop.shard_maps epoch 1"),
        ((*MAPS, 0, "shards", "b"), [29999, 65536], "services.shop.shard_maps epoch 1"),
        ((*MAPS, 0, "shards", "b"), [30000, 65535], "services.shop.shard_maps epoch 1"),
        ((*MAPS, 0, "shards", "b"), [30000, 65537], "services.shop.shard_maps[0].shards.b"),
        ((*MAPS, 0, "shards", "b"), [30000, 30000], "services.shop.shard_maps[0].shards.b"),
        ((*MAPS, 0, "even"), "d{0..1}", "services.shop.shard_maps[0]"),
        ((*MAPS, 1, "epoch"), 1, "services.shop.shard_maps"),
        ((*MAPS, 1, "even"), "c{2..0}", "services.shop.shard_maps[1].even"),
        ((*MAPS, 1, "shards"), {"a": [0, 65536]}, "services.shop.shard_maps[1]"),
        ((*ONE, "address"), "10.0.0.256:7400", "services.shop.endpoints[0].address"),
        ((*ONE, "address"), "host:7400", "services.shop.endpoints[0].address"),
        ((*ONE, "address"), "10.0.1.1:7400", "services.shop.endpoint_groups[0]"),
        ((*ONE, "name"), "many-1", "services.shop.endpoint_groups[0]"),
        ((*ONE, "failure_domain"), "west", "services.shop.endpoints[0].failure_domain"),
        ((*ONE, "shards"), ["a", "z"], "services.shop.endpoints[0].shards"),
        ((*ONE, "shards"), ["a"], "services.shop.shard_maps"),
        ((*ONE, "shards"), [], "services.shop.endpoints[0].shards"),
        ((*GROUP, "addresses"), "10.0.1.{1..5}:7400", "services.shop.endpoint_groups[0].addresses"),
        (
            (*GROUP, "addresses"),
            "10.0.1.{251..256}:7",
            "services.shop.endpoint_groups[0].addresses",
        ),
        ((*GROUP, "names"), "Many-{0..5}", "services.shop.endpoint_groups[0].names"),
        ((*GROUP, "failure_domains"), [], "services.shop.endpoint_groups[0].failure_domains"),
        (("desired", "failure_domains"), {"west": "out"}, "desired.failure_domains"),
        (("desired", "endpoints"), {"two": "out"}, "desired.endpoints"),
        (("desired", "instances"), {"entry-1": "gone"}, "desired.instances.entry-1"),
        (("terminated",), ["entry-9", "entry-9"], "terminated"),
    ],
)
def test_an_error_is_reported_with_field_value_and_allowed_values(path, value, reported):
    result = parse(change(path, value))
    assert result.is_error()
    assert reported in [error.path for error in result.error]
    for error in result.error:
        assert error.value and error.allowed
        assert "\n" not in str(error)


def test_all_errors_are_reported_at_once():
    document = change((*SHOP, "limits", "slots"), -1)
    document["services"]["shop"]["endpoints"][0]["address"] = "nowhere"
    document["desired"]["endpoints"]["two"] = "out"
    document["classes"]["batch"]["colour"] = "red"
    document["extra"] = 1
    paths = {error.path for error in parse(document).error}
    assert paths == {
        "extra",
        "classes.batch.colour",
        "services.shop.limits.slots",
        "services.shop.endpoints[0].address",
        "desired.endpoints",
    }


@pytest.mark.parametrize(
    "text",
    [
        "deployment: a\ndeployment: b\n",
        '{"services": {"x": {}, "x": {}}}',
        "services:\n  shop: {}\n  shop: {}\n",
    ],
)
def test_a_name_declared_twice_is_reported(text):
    # Both parsers silently keep the last value by default.
    assert "declared twice" in [error.value for error in parse_document(text).error]


@pytest.mark.parametrize("text", ["", "[1, 2]", "a: [", "{", "a: b: c", "\x00", "- &a [*a]"])
def test_malformed_documents_are_reported(text):
    assert parse_document(text).is_error()


@given(st.text(max_size=60), st.sampled_from(["deployment", "services", "classes", "desired"]))
def test_no_text_makes_validation_raise(text, name):
    parse_document(text)
    parse_document(f"{name}: {text}")


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=6,
    ),
    st.sampled_from(
        [("services",), SHOP, MAPS, (*MAPS, 0), ONE, GROUP, ("desired",), ("classes",)]
    ),
)
def test_no_value_makes_validation_raise(value, path):
    document = change(path, value if value is not None else "none")
    parse(document)


def test_a_rendered_configuration_is_parsed_to_the_same_one():
    configuration = parse_valid().configuration
    assert parse_document(render_yaml(configuration)).ok.configuration == configuration
    assert parse(render_configuration(configuration)).ok.configuration == configuration


def test_a_file_without_desired_states_keeps_the_current_ones():
    current = parse_valid().configuration
    document = copy.deepcopy(VALID)
    del document["desired"], document["terminated"]
    assert parse_valid(document).merge_with(current) == current


def test_a_file_with_desired_states_replaces_all_of_them():
    current = parse_valid().configuration
    document = copy.deepcopy(VALID)
    document["desired"], document["terminated"] = {}, []
    completed = parse_valid(document).merge_with(current)
    assert completed.instances == {} and completed.terminated == frozenset()
    assert completed.failure_domains[0].desired is DesiredState.SERVING


def with_maps(maps, group_shards):
    document = copy.deepcopy(VALID)
    document["services"]["shop"]["shard_maps"] = maps
    document["services"]["shop"]["endpoint_groups"][0]["shards"] = group_shards
    return document


EPOCH_1 = VALID["services"]["shop"]["shard_maps"][0]


@pytest.mark.parametrize(
    ("present", "target", "fault"),
    [
        (VALID, change(("deployment",), "village"), "village"),
        (
            VALID,
            with_maps([EPOCH_1, {"epoch": 2, "even": "c{0..1}"}], "c{0..1}"),
            "epoch 2 with other shards",
        ),
        (VALID, with_maps([EPOCH_1], "a"), "highest epoch falls"),
        (
            with_maps([EPOCH_1, {"epoch": 5, "even": "c{0..2}"}], "c{0..2}"),
            with_maps(
                [EPOCH_1, {"epoch": 3, "even": "d{0..2}"}, {"epoch": 5, "even": "c{0..2}"}],
                ["c{0..2}", "d{0..2}"],
            ),
            "epoch 3",
        ),
    ],
)
def test_a_change_that_contradicts_the_current_configuration_is_reported(present, target, fault):
    before, after = parse_valid(present).configuration, parse_valid(target).configuration
    assert [error.value for error in check_change(before, after)] == [fault]


def test_a_higher_epoch_may_replace_lower_ones():
    document = with_maps([{"epoch": 3, "even": "e{0..2}"}], "e{0..2}")
    document["services"]["shop"]["endpoints"] = []
    target = parse_valid(document).configuration
    assert check_change(parse_valid().configuration, target) == []
