import msgspec
import pytest
from attrs import evolve

from persimmonspur.core.fleet.endpoints import (
    COLD_END_TOLERANCE_MS,
    MISSING_ENTRY_HOLD_MS,
    Endpoint,
    EndpointDirectory,
    get_identity,
    restricts_work,
)


def make_endpoint(identity="e1", service="s", domain="d1", **fields):
    return Endpoint(identity, service, "10.0.0.1:80", domain, 4, **fields)


def test_draining_endpoint_gets_no_requests():
    # Guards against requests to an endpoint that has announced its shutdown.
    directory = EndpointDirectory()
    directory.put(make_endpoint())
    directory.put(make_endpoint(draining=True))
    assert directory.usable("s") == ()
    assert directory.get("e1").draining


def test_evacuated_domain_gets_no_requests_until_restored():
    directory = EndpointDirectory()
    directory.put(make_endpoint("e1", domain="d1"))
    directory.put(make_endpoint("e2", domain="d2"))
    directory.set_evacuated(frozenset(["d1"]))
    assert [endpoint.identity for endpoint in directory.usable("s")] == ["e2"]
    directory.set_evacuated(frozenset())
    assert len(directory.usable("s")) == 2


def test_entry_that_expired_in_an_outage_is_held():
    # Guards against dropping all endpoints at the moment a store outage ends.
    directory = EndpointDirectory()
    directory.replace_all([make_endpoint()], after_outage=False, now_ms=0.0)
    directory.replace_all([], after_outage=True, now_ms=1_000.0)
    assert len(directory.usable("s")) == 1
    assert directory.expire(1_000.0 + MISSING_ENTRY_HOLD_MS - 1) == []
    assert directory.expire(1_000.0 + MISSING_ENTRY_HOLD_MS) == ["e1"]
    assert directory.usable("s") == ()


def test_entry_that_reappears_is_kept():
    directory = EndpointDirectory()
    directory.put(make_endpoint())
    directory.remove(["e1"], after_outage=True, now_ms=0.0)
    directory.put(make_endpoint())
    assert directory.expire(60_000.0) == []
    assert len(directory.usable("s")) == 1


def test_entry_removed_without_an_outage_is_dropped_at_once():
    # Guards against requests to endpoints that stopped without announcing their shutdown.
    directory = EndpointDirectory()
    directory.put(make_endpoint("e1"))
    directory.put(make_endpoint("e2"))
    assert directory.remove(["e1"], after_outage=False, now_ms=0.0) == frozenset()
    assert [endpoint.identity for endpoint in directory.usable("s")] == ["e2"]


def test_last_endpoints_of_a_service_are_held():
    # Guards against losing a whole service when a watch that stayed open through an
    # outage of the store reports all entries as expired.
    directory = EndpointDirectory()
    directory.put(make_endpoint("e1"))
    directory.put(make_endpoint("e2"))
    assert directory.remove(["e1", "e2"], after_outage=False, now_ms=0.0) == {"e1", "e2"}
    assert len(directory.usable("s")) == 2
    assert sorted(directory.expire(MISSING_ENTRY_HOLD_MS)) == ["e1", "e2"]


def test_each_entry_that_expired_in_a_detected_outage_is_held():
    directory = EndpointDirectory()
    directory.put(make_endpoint("e1"))
    directory.put(make_endpoint("e2"))
    assert directory.remove(["e1"], after_outage=True, now_ms=0.0) == {"e1"}
    assert len(directory.usable("s")) == 2


def test_draining_endpoint_is_removed_with_its_entry():
    directory = EndpointDirectory()
    directory.put(make_endpoint(draining=True))
    directory.remove(["e1"], after_outage=False, now_ms=0.0)
    assert directory.get("e1") is None


def test_identity_that_moves_to_another_service_is_removed_from_the_first():
    directory = EndpointDirectory()
    directory.put(make_endpoint())
    directory.put(evolve(make_endpoint(), service="t"))
    assert directory.usable("s") == ()
    assert len(directory.usable("t")) == 1


@pytest.mark.parametrize(
    ("change", "restricts"),
    [
        ({}, False),
        ({"sequence": 5.0}, False),
        ({"draining": True}, True),
        ({"cold_until_ms": 3_000.0}, True),
        ({"slots": 2}, True),
        ({"slots": 8}, False),
        ({"born_ms": 7}, True),
        ({"address": "10.0.0.2:80"}, True),
        ({"service": "t"}, True),
    ],
)
def test_change_that_restricts_work_is_told_from_others(change, restricts):
    # Guards against a restriction that waits with harmless changes.
    assert restricts_work(make_endpoint(), evolve(make_endpoint(), **change)) is restricts


def test_removal_restricts_work_and_a_new_entry_or_the_end_of_a_state_does_not():
    assert restricts_work(make_endpoint(), None)
    assert not restricts_work(None, make_endpoint(cold_until_ms=3_000.0, draining=True))
    assert not restricts_work(None, None)
    assert not restricts_work(make_endpoint(draining=True), make_endpoint())
    cold = make_endpoint(cold_until_ms=3_000.0)
    assert not restricts_work(cold, make_endpoint())
    assert not restricts_work(cold, make_endpoint(cold_until_ms=3_000.0 + COLD_END_TOLERANCE_MS))


def test_lifetime_differs_between_processes_only():
    # Guards against what was learned about one process of an endpoint and applied to another.
    endpoint = make_endpoint("e 1")
    for change in ({"born_ms": 7}, {"address": "10.0.0.2:80"}):
        assert evolve(endpoint, **change).lifetime != endpoint.lifetime
    assert evolve(endpoint, sequence=4.0, draining=True, slots=9).lifetime == endpoint.lifetime
    assert get_identity(endpoint.lifetime) == "e 1"


def test_lifetime_is_not_sent_to_other_instances():
    # Guards against messages between instances that grow with a value that they can compute.
    endpoint = make_endpoint()
    before = msgspec.msgpack.encode(endpoint)
    assert endpoint.lifetime
    assert msgspec.msgpack.encode(endpoint) == before
    assert msgspec.msgpack.decode(before, type=Endpoint) == endpoint
