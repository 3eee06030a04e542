"""Rollouts end to end: an entry instance, a fake store, and searchers of two versions."""

import gevent
import pytest
from deployments import Deployment, register_with_each_other
from platformsim import make_route

from persimmonspur.entry.features import FeatureSettings

FEATURES = FeatureSettings(exposure_share=0.1, exposure_slack=50.0)
OVER_S = 6.0


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path, features=FEATURES)
    for version in ("v1", "v2"):
        for index in range(2):
            deployment.add_searcher(f"{version}-{index}", "s1", version)
    for searcher in deployment.searchers.values():
        searcher.latency_s = 0.005
    deployment.configure(make_route())
    yield deployment
    deployment.close()


def start(deployment):
    """Start the instance, and wait until it knows the endpoints of both versions."""
    deployment.start()
    with gevent.Timeout(5.0):
        while len(deployment.instance.state.endpoints.list_all()) < len(deployment.searchers):
            gevent.sleep(0.02)
        while not deployment.instance.ready:
            gevent.sleep(0.02)


def order(deployment, target_version="v2", over_s=OVER_S):
    spec = {"service": "s1", "target_version": target_version, "over_s": over_s}
    deployment.store.put("rollouts", "s1", spec)


def get_status(deployment):
    return deployment.store.objects["rollouts"]["s1"]["status"]


def count_executed(deployment, version):
    return sum(
        len(searcher.executed)
        for identity, searcher in deployment.searchers.items()
        if identity.startswith(version)
    )


def send_load(deployment, duration_s, failed, per_s=40):
    """Send requests, and return when all have ended."""
    running = []

    def send(index):
        if deployment.send_request("/one/x", request_id=f"r{index}")[0] != 200:
            failed.append(index)

    for index in range(int(duration_s * per_s)):
        running.append(gevent.spawn(send, index))
        gevent.sleep(1 / per_s)
    gevent.joinall(running)


def wait_for_state(deployment, state, timeout_s):
    with gevent.Timeout(timeout_s):
        while (get_status(deployment) or {}).get("state") != state:
            gevent.sleep(0.02)


def test_good_version_takes_over(deployment):
    start(deployment)
    failed = []
    load = gevent.spawn(send_load, deployment, OVER_S + 1.0, failed)
    gevent.sleep(0.5)
    assert count_executed(deployment, "v2") == 0
    order(deployment)
    wait_for_state(deployment, "succeeded", OVER_S)
    assert get_status(deployment) == {"state": "succeeded", "target_version": "v2"}
    # The old searchers stop without draining.
    for identity in ("v1-0", "v1-1"):
        deployment.searchers[identity].close()
    executed = count_executed(deployment, "v1")
    load.join()
    assert failed == []
    assert count_executed(deployment, "v1") == executed
    names = [line["name"] for line in deployment.read_log()]
    assert names.count("rollout_state_written") == 2
    assert "rollout_progress" in names


def test_bad_version_is_rolled_back(deployment):
    for identity in ("v2-0", "v2-1"):
        searcher = deployment.searchers[identity]
        searcher.respond = lambda headers, s=searcher: s.build_response(headers, status=500)
    start(deployment)
    failed = []
    load = gevent.spawn(send_load, deployment, 3.0, failed)
    gevent.sleep(0.3)
    order(deployment)
    wait_for_state(deployment, "rolled_back", 3.0)
    executed = count_executed(deployment, "v2")
    assert 3 <= executed <= 40
    load.join()
    assert count_executed(deployment, "v2") == executed
    # Each request to the new version was sent again to an old one.
    assert failed == []


def test_order_that_cannot_be_carried_out_is_rolled_back(deployment):
    start(deployment)
    order(deployment, over_s=-1)
    wait_for_state(deployment, "rolled_back", 3.0)
    assert deployment.send_request("/one/x")[0] == 200
    assert count_executed(deployment, "v2") == 0
    changed = [line for line in deployment.read_log() if line["name"] == "rollout_changed"]
    assert "over_s" in changed[-1]["reason"]


def test_without_the_setting_nothing_asks_for_orders(tmp_path):
    # Guards against store calls and messages in deployments that have no rollouts.
    deployment = Deployment(tmp_path)
    try:
        deployment.add_searcher("v1-0", "s1")
        deployment.configure(make_route())
        start(deployment)
        assert deployment.send_request("/one/x")[0] == 200
        assert not any("rollouts" in path for _, path, _ in deployment.store.requests)
        assert deployment.instance.rollouts is None
    finally:
        deployment.close()


def test_second_instance_follows_the_order(deployment, tmp_path):
    # Guards against an instance that starts midway and does not know the state of the order.
    start(deployment)
    order(deployment, over_s=60.0)
    wait_for_state(deployment, "running", 3.0)
    second = Deployment(tmp_path, deployment.store, "front-2", FEATURES)
    try:
        register_with_each_other(deployment, second)
        second.start()
        with gevent.Timeout(5.0):
            while second.instance.rollouts.get("s1") is None:
                gevent.sleep(0.02)
        executed = count_executed(deployment, "v2")
        assert executed == 0
        deployment.store.delete("rollouts", "s1")
        gevent.sleep(2.0)
        for _ in range(20):
            assert second.send_request("/one/x")[0] == 200
        assert count_executed(deployment, "v2") == 0
    finally:
        second.close()


def test_evidence_reaches_the_other_instance(deployment, tmp_path):
    # Guards against instances that each wait for enough evidence of their own.
    for identity in ("v2-0", "v2-1"):
        searcher = deployment.searchers[identity]
        searcher.respond = lambda headers, s=searcher: s.build_response(headers, status=500)
    second = Deployment(tmp_path, deployment.store, "front-2", FEATURES)
    try:
        start(deployment)
        second.start()
        register_with_each_other(deployment, second)
        gevent.sleep(1.0)
        order(deployment, over_s=30.0)
        wait_for_state(deployment, "running", 4.0)
        gevent.sleep(0.5)
        send_load(deployment, 2.0, [])
        wait_for_state(deployment, "rolled_back", 3.0)
        gevent.sleep(0.5)
        executed = count_executed(deployment, "v2")
        send_load(second, 1.0, [])
        assert count_executed(deployment, "v2") == executed
        rollout = second.instance.rollouts.get("s1")
        assert rollout.phase.value == "rolled_back"
        assert sum(part.new for part in rollout.evidence.compute_totals().values()) >= 3
    finally:
        second.close()
