from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from fleetsim import make_route
from persimmonspur.core.fleet.routes import (
    ClientLimits,
    RouteTable,
    RouteTableHolder,
    WeightedRotation,
    WeightedService,
)


def make_table(*routes, version=1):
    return RouteTable(version, routes, {}, ClientLimits())


def test_longest_prefix_wins():
    # Guards against sending a request to the service of a shorter prefix.
    short = make_route(name="short", path_prefix="/a/")
    long = make_route(name="long", path_prefix="/a/b/")
    table = make_table(short, long)
    assert table.find("host.example", "/a/b/c") is long
    assert table.find("host.example", "/a/c") is short


def test_prefix_ends_at_a_slash():
    table = make_table(make_route(path_prefix="/a/"))
    assert table.find("host.example", "/ab") is None
    assert table.find("host.example", "/a") is None


def test_host_is_matched_without_port_and_case():
    route = make_route()
    assert make_table(route).find("Host.Example:8080", "/a/x") is route
    assert make_table(route).find("other.example", "/a/x") is None


def test_holder_never_returns_to_an_older_version():
    # Guards against a stale read after the restart of a watch that reverts the configuration.
    holder = RouteTableHolder()
    assert holder.replace_if_newer(make_table(version=7))
    assert not holder.replace_if_newer(make_table(version=5))
    assert not holder.replace_if_newer(make_table(version=7))
    assert holder.table.version == 7


@given(
    st.lists(st.integers(min_value=1, max_value=20), min_size=1, max_size=5),
    st.integers(min_value=1, max_value=400),
)
def test_rotation_keeps_weights_over_any_number_of_requests(weights, requests):
    # Guards against shares that differ from the weights over few requests.
    targets = tuple(WeightedService(f"s{index}", weight) for index, weight in enumerate(weights))
    route = make_route(targets=targets)
    rotation = WeightedRotation()
    counts = Counter(rotation.pick(route) for _ in range(requests))
    total = sum(weights)
    for index, weight in enumerate(weights):
        assert abs(counts[f"s{index}"] - requests * weight / total) <= len(weights)
