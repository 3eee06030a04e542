"""Tests of entry instances whose store is restored from an older copy."""

import gevent
import pytest
from deployments import Deployment, register_with_each_other
from platformsim import make_entry, make_route

# Time limit of the platform for applying a configuration.
CONFIGURATION_TIMEOUT_S = 3.0


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    deployment.add_searcher("i-1", "s1")
    deployment.add_searcher("i-2", "s2")
    deployment.configure(make_route())
    deployment.start()
    yield deployment
    deployment.close()


def test_change_at_a_revision_that_was_given_out_before_is_not_missed(deployment):
    # Guards against a watch that continues from a revision of a history that was lost.
    copy = deployment.store.take_copy()
    deployment.configure(make_route(), version=2)
    deployment.configure(make_route(), version=3)
    gevent.sleep(0.5)
    deployment.store.down = True
    deployment.store.restore(copy)
    gevent.sleep(0.2)
    deployment.configure(make_route(), version=3)
    deployment.configure(make_route(service="s2"), version=4)
    deployment.store.down = False
    gevent.sleep(CONFIGURATION_TIMEOUT_S)
    assert deployment.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"


def test_peer_in_a_newer_era_is_ahead_whatever_its_revision(tmp_path):
    # Guards against an instance without store access that compares revisions of two histories.
    first = Deployment(tmp_path, name="front-1")
    front = first.store.open_front()
    second = Deployment(tmp_path, store=front, name="front-2")
    try:
        first.add_searcher("i-1", "s1")
        first.add_searcher("i-2", "s2")
        copy = first.store.take_copy()
        first.configure(make_route(), version=1)
        for version in range(2, 5):
            first.configure(make_route(), version=version)
        first.start()
        second.start()
        register_with_each_other(first, second)
        gevent.sleep(0.3)
        front.silent = True
        first.store.restore(copy)
        first.configure(make_route(service="s2"), version=5)
        gevent.sleep(2 * CONFIGURATION_TIMEOUT_S)
        assert second.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"
    finally:
        second.close()
        front.close()
        first.close()


def test_registration_is_written_again_after_a_restore(deployment):
    # Guards against instances that a restored store does not know and that nobody lists.
    gevent.sleep(0.3)
    copy = ({**deployment.store.objects, "entry-instances": {}}, 100, [])
    assert "front-1" in deployment.store.objects["entry-instances"]
    deployment.store.restore(copy)
    gevent.sleep(CONFIGURATION_TIMEOUT_S)
    assert "front-1" in deployment.store.objects["entry-instances"]


def test_evacuation_holds_while_a_restored_store_lacks_it(deployment):
    # Guards against requests to an evacuated domain right after a restore.
    copy = deployment.store.take_copy()
    deployment.store.put("evacuations", "zone-a", {})
    gevent.sleep(0.3)
    deployment.store.restore(copy)
    gevent.sleep(0.5)
    assert deployment.send_request("/one/x")[0] == 503
    gevent.sleep(CONFIGURATION_TIMEOUT_S)
    assert deployment.send_request("/one/x")[0] == 200


def test_draining_endpoint_gets_nothing_though_a_restored_store_calls_it_ready(deployment):
    # Guards against new work for an endpoint that is leaving, from an older report of it.
    copy = deployment.store.take_copy()
    searcher = deployment.searchers["i-1"]
    deployment.store.put("servers", "i-1", make_entry(searcher, "s1", state="draining", seq=2))
    gevent.sleep(0.7)
    deployment.store.restore(copy)
    gevent.sleep(0.5)
    assert deployment.send_request("/one/x")[0] == 503
    deployment.store.put("servers", "i-1", make_entry(searcher, "s1", born=1_700_000_900_000))
    gevent.sleep(0.7)
    assert deployment.send_request("/one/x")[0] == 200


def test_instance_that_starts_on_an_older_copy_takes_the_newer_version_of_a_peer(
    deployment, tmp_path
):
    # Guards against an instance that serves an older version until the operator writes again.
    copy = deployment.store.take_copy()
    deployment.configure(make_route(service="s2"), version=2)
    gevent.sleep(0.3)
    deployment.store.restore(copy)
    second = Deployment(tmp_path, store=deployment.store, name="front-2")
    try:
        second.start()
        register_with_each_other(deployment, second)
        gevent.sleep(CONFIGURATION_TIMEOUT_S)
        assert second.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"
    finally:
        second.close()


def test_leaving_instance_does_not_register_again_after_a_restore(deployment, monkeypatch):
    # Guards against registrations of instances that are gone.
    gevent.sleep(0.3)
    monkeypatch.setattr(deployment.instance._rng, "random", lambda: 1.0)
    deployment.store.restore(deployment.store.take_copy())
    gevent.sleep(0.6)
    deployment.instance.leave()
    gevent.sleep(CONFIGURATION_TIMEOUT_S)
    assert deployment.store.objects["entry-instances"] == {}
