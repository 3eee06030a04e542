"""Tests of the check of configuration documents."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platformsim import make_configuration, make_gather_route, make_route

from persimmonspur.platform.configcheck.check import check_configuration, get_specification
from persimmonspur.platform.configcheck.difference import list_differences
from persimmonspur.platform.documents import decode_route_table

KEY = "secret-key-1"


def make_document(**fields):
    routes = [make_route(), make_gather_route(["a", "b"])]
    return make_configuration(3, routes, ["s1", "a", "b"]) | fields


def make_tenant(name="t1", **fields):
    return {"name": name, "api_keys": [f"key-of-{name}"], "rate_per_s": 5, "burst": 10} | fields


def list_error_paths(document, in_force=None):
    return [error.path for error in check_configuration(document, in_force).errors]


def test_valid_document_has_no_findings():
    result = check_configuration(make_document(tenants=[make_tenant(), make_tenant("t2")]))
    assert result.errors == () and result.warnings == ()


def test_every_field_of_a_wrong_type_is_named():
    document = make_document()
    del document["routes"][0]["host"]
    document["routes"][0]["timeout_ms"] = "fast"
    document["routes"][1]["gather"] = ["a", 5]
    document["services"][2]["max_conns"] = None
    document["limits"]["max_body_bytes"] = 1.5
    document["tenants"] = [{"name": "t1", "api_keys": [7]}]
    assert list_error_paths(document) == [
        "routes[0].host",
        "routes[0].timeout_ms",
        "routes[1].gather[1]",
        "services[2].max_conns",
        "limits.max_body_bytes",
        "tenants[0].api_keys[0]",
    ]


@pytest.mark.parametrize("document", [None, [], "text", 5])
def test_document_that_is_no_map_is_an_error(document):
    assert list_error_paths(document) == ["the document"]


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        ({"host": ""}, "host"),
        ({"host": "host.example:80"}, "host"),
        ({"host": "a host"}, "host"),
        ({"path_prefix": "one/"}, "path_prefix"),
        ({"path_prefix": ""}, "path_prefix"),
        ({"path_prefix": "/one?x=1"}, "path_prefix"),
        ({"path_prefix": "/one two"}, "path_prefix"),
        ({"path_prefix": "/\u0142"}, "path_prefix"),
        ({"path_prefix": "/" + "x" * 16_384}, "path_prefix"),
        ({"service": None}, ""),
        ({"split": [{"service": "a", "weight": 1}]}, ""),
        ({"service": None, "split": [{"service": "a", "weight": 0}]}, "split"),
        ({"service": None, "split": [{"service": "a", "weight": -1}]}, "split[0].weight"),
        ({"service": None, "gather": [], "top_k": 5}, "gather"),
        ({"service": None, "gather": ["a", "a"], "top_k": 5}, "gather"),
        ({"service": None, "gather": ["a"], "top_k": 0}, "top_k"),
        ({"service": None, "gather": ["a"], "top_k": 5, "min_share": 1.5}, "min_share"),
        ({"timeout_ms": 0}, "timeout_ms"),
        ({"latency_target_ms": 2_001}, "latency_target_ms"),
        ({"latency_target_ms": 0}, "latency_target_ms"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"priority": -1}, "priority"),
    ],
)
def test_route_that_cannot_work_is_an_error(fields, path):
    # Guards against a configuration whose requests all end with 404, 400 or 503.
    document = make_document()
    document["routes"].append(make_route("r9", path_prefix="/nine/") | fields)
    expected = f"routes[2].{path}" if path else "routes[2]"
    assert expected in list_error_paths(document)


def test_route_behind_another_of_the_same_host_and_path_never_matches():
    document = make_document()
    document["routes"].append(make_route("r9", host="HOST.example"))
    assert list_error_paths(document) == ["routes[2].path_prefix"]
    table = decode_route_table(document).ok
    assert table.find("host.example", "/one/x").name == "r1"


def test_longer_path_of_the_same_host_is_no_error():
    document = make_document()
    document["routes"].append(make_route("r9", path_prefix="/one/two"))
    assert list_error_paths(document) == []


@pytest.mark.parametrize(
    ("field", "value", "is_error"),
    [
        ("max_header_bytes", 0, True),
        ("max_body_bytes", -1, True),
        ("header_timeout_ms", 0, True),
        ("idle_timeout_ms", 0, True),
        ("header_timeout_ms", 20_000, False),
    ],
)
def test_limits_that_admit_no_request_are_errors(field, value, is_error):
    document = make_document()
    document["limits"][field] = value
    result = check_configuration(document)
    found = result.errors if is_error else result.warnings
    assert f"limits.{field}" in [error.path for error in found]


def test_names_that_are_used_twice_are_errors():
    document = make_document(tenants=[make_tenant(), make_tenant(api_keys=["other"])])
    document["routes"][1]["name"] = "r1"
    document["services"].append(dict(document["services"][0]))
    assert list_error_paths(document) == ["routes[1].name", "services[3].name", "tenants[1].name"]


def test_services_that_are_not_declared_or_not_used_are_warnings():
    document = make_document()
    document["services"][0]["name"] = "s2"
    result = check_configuration(document)
    assert result.errors == ()
    assert [(error.path, error.value) for error in result.warnings] == [
        ("routes[0]", "s1"),
        ("services[0]", "s2"),
    ]


@pytest.mark.parametrize(
    ("first", "second", "path"),
    [
        ([KEY], [KEY], "tenants[1].api_keys[0]"),
        ([KEY, KEY], ["other"], "tenants[0].api_keys[1]"),
        ([KEY], ["with space"], "tenants[1].api_keys[0]"),
        ([KEY], [""], "tenants[1].api_keys[0]"),
        ([KEY], ["line\nbreak"], "tenants[1].api_keys[0]"),
        ([KEY], ["\u0142"], "tenants[1].api_keys[0]"),
    ],
)
def test_api_keys_that_cannot_work_are_errors(first, second, path):
    # Guards against a request that counts for the account of another client.
    tenants = [make_tenant(api_keys=first), make_tenant("t2", api_keys=second)]
    result = check_configuration(make_document(tenants=tenants))
    assert [error.path for error in result.errors] == [path]
    shown = str(result.errors[0])
    assert KEY not in shown and not (second[0] and second[0] in shown)


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        ({"rate_per_s": -1}, "rate_per_s"),
        ({"burst": -1}, "burst"),
        ({"priority": -1}, "priority"),
        ({"name": "a b", "api_keys": ["k"]}, "name"),
    ],
)
def test_accounts_that_cannot_work_are_errors(fields, path):
    document = make_document(tenants=[make_tenant(**fields)])
    assert list_error_paths(document) == [f"tenants[0].{path}"]


def test_accounts_that_serve_no_request_are_warnings():
    tenants = [make_tenant(burst=0), make_tenant("t2", api_keys=[])]
    result = check_configuration(make_document(tenants=tenants))
    assert result.errors == ()
    paths = [error.path for error in result.warnings]
    assert paths == ["tenants[0].burst", "tenants[1].api_keys"]


def test_version_has_to_rise():
    # Guards against a configuration that no instance takes, since versions only rise.
    in_force = make_document(version=5)
    assert list_error_paths(make_document(version=5), in_force) == []
    changed = make_document(version=5, routes=[make_route(timeout_ms=999, latency_target_ms=9)])
    assert list_error_paths(changed, in_force) == ["version"]
    assert list_error_paths(changed | {"version": 6}, in_force) == []


def test_whole_object_of_the_store_is_accepted():
    document = make_document()
    assert get_specification({"meta": {"name": "main"}, "spec": document}) == document
    assert get_specification(document) == document


def test_differences_name_fields_by_path_and_hide_keys():
    before = make_document(tenants=[make_tenant(api_keys=[KEY])])
    after = copy.deepcopy(before)
    after["version"] = 4
    after["routes"][0]["timeout_ms"] = 1_000
    after["routes"][1]["name"] = "g2"
    after["tenants"][0]["api_keys"] = [KEY, "secret-key-2"]
    after["tenants"].append(make_tenant("t2", api_keys=["secret-key-3"]))
    lines = [str(difference) for difference in list_differences(before, after)]
    assert lines[0] == "~ version: 3 -> 4"
    assert lines[1] == "~ routes[r1].timeout_ms: 2000 -> 1000"
    assert [line.partition(":")[0] for line in lines[2:]] == [
        "- routes[g1]",
        "+ routes[g2]",
        "~ tenants[t1].api_keys",
        "+ tenants[t2]",
    ]
    assert "secret-key" not in "\n".join(lines)


def test_another_order_of_the_same_items_is_a_difference():
    before = make_document()
    after = make_document(routes=list(reversed(before["routes"])))
    assert [difference.path for difference in list_differences(before, after)] == ["routes"]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda items: (
        st.lists(items, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "routes", "host", "api_keys"]), items)
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from([*make_document(), "tenants"]), JSON), JSON)
def test_any_document_is_checked_and_compared(changes, other):
    document = make_document() | changes
    result = check_configuration(document, other)
    # What the check accepts is what instances accept.
    assert result.errors or decode_route_table(document).is_ok()
    assert bool(list_differences(other, document)) == (other != document)
    assert list_differences(document, document) == []
