"""Quotas of client accounts on instances in the test's process and on a real process."""

import gevent
import gevent.socket
import pytest
from deployments import Deployment
from entryprocess import EntryProcesses
from platformsim import FakeSearcher, make_configuration, make_entry, make_route, make_tenant

from persimmonspur.entry.features import FeatureSettings

KNOWN = {"Authorization": "Token key-acme"}
FEATURES = FeatureSettings(quota_overshoot=0.1, quota_slack=20.0)


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path, features=FEATURES)
    yield deployment
    deployment.close()


def start(deployment, rate_per_s=10.0, burst=4.0, **fields):
    searcher = deployment.add_searcher("i-1", "s1", **fields)
    tenants = [make_tenant(rate_per_s=rate_per_s, burst=burst), make_tenant("free", ["key-free"])]
    deployment.configure(make_route(), tenants=tenants)
    deployment.start()
    wait_until(lambda: get_share(deployment) == 1.0)
    return searcher


def wait_until(condition):
    with gevent.Timeout(20.0):
        while not condition():
            gevent.sleep(0.02)


def get_share(deployment):
    return deployment.instance.quotas.quotas.share


def send(deployment, headers=None, **fields):
    return deployment.send_request("/one/x", headers=headers or KNOWN, **fields)


def test_request_over_the_quota_gets_429_and_reaches_no_endpoint(deployment):
    rate_per_s, burst = 2.0, 4.0
    searcher = start(deployment, rate_per_s, burst)
    clock = deployment.instance.clock
    started_ms = clock.now_ms()
    # The bucket is empty at first.
    gevent.sleep(1.0)
    statuses = [send(deployment)[0] for _ in range(40)]
    elapsed_s = (clock.now_ms() - started_ms) / 1000
    assert set(statuses) == {200, 429}
    # A bucket holds up to 0.1 s of the rate beyond the burst.
    assert statuses.count(200) == len(searcher.executed)
    assert statuses.count(200) <= burst + rate_per_s * (elapsed_s + 0.1) + 1
    free = {"Authorization": "Token key-free"}
    assert send(deployment, headers=free)[0] == 200
    requests = deployment.instance.observer.metrics.requests
    assert requests["single", "0", "quota"] == statuses.count(429)


def test_advice_when_to_retry_is_accurate(deployment):
    start(deployment, rate_per_s=4.0, burst=1.0)
    for _ in range(5):
        while (answer := send(deployment))[0] == 200:
            pass
        retry_after_s = float(answer[1]["retry-after"])
        assert 0 < retry_after_s <= 0.3
        gevent.sleep(retry_after_s)
        assert send(deployment)[0] == 200


def test_rejected_requests_do_not_fill_the_log(deployment):
    # Guards against an account that hides all other lines by sending too much.
    start(deployment, rate_per_s=1.0, burst=1.0)
    statuses = [send(deployment)[0] for _ in range(60)]
    assert statuses.count(429) > 50
    lines = [line for line in deployment.read_log() if line.get("status") == 429]
    assert 0 < len(lines) < 20
    assert lines[0]["account"] == "acme" and lines[0]["outcome"] == "quota"


def test_request_that_is_not_sent_returns_its_token(deployment):
    start(deployment)
    deployment.store.delete("servers", "i-1")
    wait_until(lambda: send(deployment)[0] == 503)
    gevent.sleep(1.0)
    for _ in range(30):
        assert send(deployment)[0] == 503


def test_lower_quota_takes_effect_with_its_version(deployment):
    start(deployment, rate_per_s=1_000.0, burst=1_000.0)
    assert [send(deployment)[0] for _ in range(30)] == [200] * 30
    tenants = [make_tenant(rate_per_s=1.0, burst=1.0)]
    deployment.configure(make_route(), version=2, tenants=tenants)
    wait_until(lambda: deployment.instance.state.version == 2)
    assert [send(deployment)[0] for _ in range(30)].count(200) <= 3
    deployment.configure(make_route(), version=3, tenants=[make_tenant()])
    wait_until(lambda: deployment.instance.state.version == 3)
    assert [send(deployment)[0] for _ in range(30)] == [200] * 30


class SharedQuota:
    """Two instances that know each other and have one account with a quota."""

    def __init__(self, tmp_path):
        self.first = Deployment(tmp_path, name="front-1", features=FEATURES)
        self.second = Deployment(tmp_path, self.first.store, "front-2", FEATURES)

    def start(self, rate_per_s, burst):
        self.searcher = self.first.add_searcher("i-1", "s1")
        tenants = [make_tenant(rate_per_s=rate_per_s, burst=burst)]
        self.first.configure(make_route(), tenants=tenants)
        for deployment, peer in ((self.first, self.second), (self.second, self.first)):
            member = peer.instance.settings.member
            deployment.instance.membership.register(member, 0.0)
            deployment.start()
        wait_until(lambda: get_share(self.first) == get_share(self.second) == 0.5)


@pytest.fixture
def shared(tmp_path):
    shared = SharedQuota(tmp_path)
    yield shared
    shared.second.close()
    shared.first.close()


def test_one_instance_gets_the_tokens_of_the_other(shared):
    # Guards against a quota of which a client that uses one instance gets only a part.
    shared.start(rate_per_s=40.0, burst=40.0)
    gevent.sleep(1.5)
    statuses = []
    for _ in range(100):
        statuses.append(send(shared.first)[0])
        gevent.sleep(0.01)
    received = shared.first.instance.quotas.quotas.received
    # Its own part of the burst and of the rate would be half of that.
    assert statuses.count(200) > 50 and received > 15
    assert shared.second.instance.quotas.quotas.given >= received
    assert len(shared.searcher.executed) == statuses.count(200)
    assert len(shared.searcher.executed) <= (40 * 5 + 40) * 1.1 + 20


def test_client_that_disconnects_while_it_waits_ends_its_request(shared):
    # Guards against a waiting request that stays in the instance for good.
    shared.start(rate_per_s=0.1, burst=1.0)
    instance = shared.first.instance
    while send(shared.first)[0] == 200:
        pass
    # Nobody answers, so the next request waits for its whole time.
    shared.second.instance.stop()
    host, _, port = shared.first.settings.caller_address.partition(":")
    waited = False
    with gevent.Timeout(10.0):
        while not waited:
            sock = gevent.socket.create_connection((host, int(port)))
            sock.sendall(
                b"GET /one/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: left\r\n"
                b"Authorization: Token key-acme\r\n\r\n"
            )
            for _ in range(20):
                gevent.sleep(0.001)
                if instance.quotas.waiting:
                    waited = True
                    break
            sock.close()
    gevent.sleep(0.1)
    assert instance.quotas.waiting == 0 and instance.request_handler.running == 0
    executed = len(shared.searcher.executed)
    gevent.sleep(0.2)
    assert len(shared.searcher.executed) == executed


@pytest.mark.process
def test_process_keeps_the_quota(tmp_path):
    # Guards against a real process that runs more or far less than the quota.
    processes = EntryProcesses(tmp_path)
    searcher = FakeSearcher("i-1")
    processes.store.put("servers", "i-1", make_entry(searcher, "s1"))
    tenants = [make_tenant(rate_per_s=20.0, burst=10.0)]
    configuration = make_configuration(1, [make_route()], tenants=tenants)
    processes.store.put("config", "main", configuration)
    try:
        processes.start(quota_window_s=5, quota_overshoot=0.1, quota_slack=20)
        address = processes.caller_address
        wait_until(lambda: get_status(address) == 200)
        searcher.executed.clear()
        statuses = []
        with gevent.Timeout(4.0, False):
            while True:
                statuses.append(get_status(address))
                gevent.sleep(0.005)
    finally:
        processes.close()
        searcher.close()
    assert set(statuses) == {200, 429}
    assert 50 <= len(searcher.executed) <= (20 * 5 + 10) * 1.1 + 20


def get_status(address):
    """Return the status of one request, or 0 if the instance does not answer."""
    host, _, port = address.partition(":")
    try:
        sock = gevent.socket.create_connection((host, int(port)), timeout=3)
        sock.sendall(
            b"GET /one/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: a\r\n"
            b"Authorization: Token key-acme\r\nConnection: close\r\n\r\n"
        )
        data = sock.recv(65_536)
        sock.close()
        return int(data.split()[1])
    except (OSError, IndexError):
        return 0
