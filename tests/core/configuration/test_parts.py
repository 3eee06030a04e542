import msgspec
import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.configuration.parts import (
    MAX_OBJECT_BYTES,
    ConfigurationRoot,
    assemble_configuration,
    decode_root,
    encode_root,
    split_configuration,
)
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.configuration import DesiredState, Endpoint

CURRENT = build_configuration(DEPLOYMENTS["bengal-east"])


def grow(count, first=0):
    service = CURRENT.services[0]
    extra = tuple(
        Endpoint(f"extra-{index}", service.name, "10.0.0.1:1", "kolkata-a", ("s",) * 3)
        for index in range(first, count)
    )
    return evolve(
        CURRENT,
        services=(evolve(service, endpoints=extra + service.endpoints), *CURRENT.services[1:]),
    )


@given(
    st.integers(0, 400),
    st.dictionaries(st.sampled_from("abcdef"), st.sampled_from(DesiredState), max_size=4),
    st.frozensets(st.text("xyz", min_size=1, max_size=4)),
)
def test_parts_make_the_same_configuration_again(endpoints, instances, terminated):
    configuration = evolve(grow(endpoints), instances=instances, terminated=terminated)
    split = split_configuration(configuration)
    assert assemble_configuration(split.references, split.values).ok == configuration


def test_a_small_deployment_has_one_part_per_service_and_one_for_the_rest():
    names = [part.name for part in split_configuration(CURRENT).references]
    services = [f"service/{service.name}/0" for service in CURRENT.services]
    assert names == ["rest/0", *services]


def test_a_large_service_is_split_below_the_limit_of_an_object():
    split = split_configuration(grow(20_000))
    assert len(split.references) > 20
    assert max(len(value) for value in split.values.values()) < MAX_OBJECT_BYTES
    assert len(encode_root(ConfigurationRoot(1, "a", split.references))) < MAX_OBJECT_BYTES


def test_an_added_endpoint_changes_few_parts():
    # With a fixed number of records per part, all parts after the added record would change.
    before = split_configuration(grow(5_000, first=1))
    after = split_configuration(grow(5_000))
    assert len(before.values) > 10
    assert len(after.values.keys() - before.values.keys()) <= 3


def test_a_part_with_another_digest_is_rejected():
    split = split_configuration(CURRENT)
    digest = split.references[1].digest
    values = {**split.values, digest: split.values[digest].replace(b'"slots":3', b'"slots":9')}
    assert "does not match its digest" in assemble_configuration(split.references, values).error


def test_a_missing_part_is_rejected():
    split = split_configuration(CURRENT)
    assert "missing" in assemble_configuration(split.references, {}).error


@pytest.mark.parametrize(
    "data",
    [b"", b"{}", b"[1]", b"\xff", b'{"version":0,"attempt":"a","parts":[]}'],
)
def test_a_damaged_root_is_rejected(data):
    with pytest.raises(msgspec.DecodeError):
        decode_root(data)


def test_the_history_gives_the_version_of_an_attempt():
    root = ConfigurationRoot(7, "g", (), ("f", "e"))
    assert [root.find_attempt_version(attempt) for attempt in "gfex"] == [7, 6, 5, 0]
    assert root.build_next_history() == ("g", "f", "e")
