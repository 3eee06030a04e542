"""API keys of client accounts, on instances in the test's process and on a real process."""

import json

import gevent
import msgspec
import pytest
from deployments import Deployment, register_with_each_other
from entryprocess import EntryProcesses
from platformsim import (
    FakeSearcher,
    make_configuration,
    make_entry,
    make_gather_route,
    make_route,
    make_tenant,
)

from persimmonspur.entry.features import FeatureSettings
from persimmonspur.platform.documents import decode_route_table

KEY = "key-acme"
KNOWN = {"Authorization": f"Token {KEY}"}


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


def start(deployment, *routes, tenants=None):
    searcher = deployment.add_searcher("i-1", "s1")
    tenants = [make_tenant()] if tenants is None else tenants
    deployment.configure(*(routes or (make_route(),)), tenants=tenants)
    start_configured(deployment)
    return searcher


def start_configured(deployment):
    deployment.start()
    with gevent.Timeout(10.0):
        while not deployment.instance.ready:
            gevent.sleep(0.01)


def collect_tenants(searcher):
    return [headers.get("x-tenant") for _, headers, _ in searcher.received]


def test_endpoint_gets_the_account_instead_of_the_key(deployment):
    # Guards against keys that reach endpoints, and against accounts that clients claim.
    searcher = start(deployment)
    headers = KNOWN | {"X-Tenant": "forged", "x-tenant": "forged"}
    assert deployment.send_request("/one/x", headers=headers)[0] == 200
    received = searcher.received[0][1]
    assert received["x-tenant"] == "acme" and "authorization" not in received


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"X-Tenant": "acme"},
        {"Authorization": "Token wrong"},
        {"Authorization": "Token"},
        {"Authorization": f"Basic {KEY}"},
        {"Authorization": KEY},
        {"Authorization": f"Token {KEY}", "authorization": "Token wrong"},
    ],
)
def test_request_without_a_known_key_reaches_no_endpoint(deployment, headers):
    searcher = start(deployment)
    status, fields, _ = deployment.send_request("/one/x", headers=headers)
    assert status == 401 and fields["www-authenticate"] == "Token"
    assert searcher.received == []


@pytest.mark.parametrize("value", [f"token {KEY}", f"TOKEN   {KEY} "])
def test_scheme_is_compared_without_case_and_spaces(deployment, value):
    start(deployment)
    assert deployment.send_request("/one/x", headers={"Authorization": value})[0] == 200


def test_unknown_route_comes_before_an_unknown_key(deployment):
    start(deployment)
    assert deployment.send_request("/other/x")[0] == 404


def test_public_route_needs_no_key(deployment):
    searcher = start(deployment, make_route(public=True))
    assert deployment.send_request("/one/x", headers={"X-Tenant": "acme"})[0] == 200
    wrong = {"Authorization": "Token wrong"}
    assert deployment.send_request("/one/x", headers=wrong)[0] == 200
    assert deployment.send_request("/one/x", headers=KNOWN)[0] == 200
    assert collect_tenants(searcher) == [None, None, "acme"]
    assert all("authorization" not in headers for _, headers, _ in searcher.received)


@pytest.mark.parametrize("tenants", [None, []])
def test_headers_pass_unchanged_without_client_accounts(tmp_path, tenants):
    deployment = Deployment(tmp_path)
    searcher = deployment.add_searcher("i-1", "s1")
    deployment.configure(make_route(), tenants=tenants)
    start_configured(deployment)
    headers = {"Authorization": "Token own", "X-Tenant": "own"}
    status = deployment.send_request("/one/x", headers=headers)[0]
    received = searcher.received[0][1]
    deployment.close()
    assert status == 200
    assert (received["authorization"], received["x-tenant"]) == ("Token own", "own")


def test_every_part_and_repetition_of_a_request_names_the_account(deployment):
    # Guards against a hedge, retry or part of a gather with other headers than the first send.
    services = ["s1", "s2", "s3"]
    for service in services:
        # Late enough to be hedged.
        deployment.add_searcher(f"a-{service}", service, latency_s=0.3)
        deployment.add_searcher(f"b-{service}", service, latency_s=0.3)
    for identity in ("a-s4", "b-s4"):
        deployment.add_searcher(identity, "s4", respond=lambda headers: None)
    routes = [make_gather_route(services), make_route(service="s4")]
    deployment.configure(*routes, tenants=[make_tenant()])
    start_configured(deployment)
    deployment.send_request("/all/x", headers=KNOWN)
    deployment.send_request("/one/x", headers=KNOWN)
    searchers = deployment.searchers
    for service in (*services, "s4"):
        received = searchers[f"a-{service}"].received + searchers[f"b-{service}"].received
        assert len(received) == 2
        for _, headers, _ in received:
            assert headers["x-tenant"] == "acme" and "authorization" not in headers


def test_refused_requests_do_not_shift_the_shares_of_a_split(deployment):
    # Guards against refusals that use up the turns of one service.
    for service in ("s1", "s2"):
        deployment.add_searcher(f"i-{service}", service)
    split = [{"service": "s1", "weight": 1}, {"service": "s2", "weight": 1}]
    deployment.configure(make_route(service=None, split=split), tenants=[make_tenant()])
    start_configured(deployment)
    for _ in range(10):
        assert deployment.send_request("/one/x", headers=KNOWN)[0] == 200
        assert deployment.send_request("/one/x")[0] == 401
    executed = [len(searcher.executed) for searcher in deployment.searchers.values()]
    assert executed == [5, 5]


def test_keys_change_with_the_version_on_open_connections(deployment):
    # Guards against a revoked key that works as long as its client keeps the connection.
    start(deployment, tenants=[make_tenant(keys=["old"])])
    connection = Connection(deployment.settings.caller_address)
    assert connection.get_status("old") == 200 and connection.get_status("new") == 401
    deployment.configure(make_route(), version=2, tenants=[make_tenant(keys=["new"])])
    with gevent.Timeout(10.0):
        while deployment.instance.state.version != 2:
            gevent.sleep(0.01)
    assert connection.get_status("old") == 401 and connection.get_status("new") == 200
    connection.close()


class Connection:
    """A client's connection that is used for several requests."""

    def __init__(self, address):
        host, _, port = address.partition(":")
        self._sock = gevent.socket.create_connection((host, int(port)), timeout=3)
        self._stream = self._sock.makefile("rb")

    def get_status(self, key):
        self._sock.sendall(
            b"GET /one/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: a\r\n"
            b"Authorization: Token %b\r\n\r\n" % key.encode()
        )
        status = int(self._stream.readline().split()[1])
        length = 0
        while (line := self._stream.readline().strip()) != b"":
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        self._stream.read(length)
        return status

    def close(self):
        self._stream.close()
        self._sock.close()


def test_instance_without_a_configuration_answers_503(deployment):
    deployment.start()
    assert deployment.send_request("/one/x", headers=KNOWN)[0] == 503


def test_account_in_the_log_and_its_priority_in_the_metrics(deployment):
    start(deployment, tenants=[make_tenant(priority=0)])
    deployment.send_request("/one/x", headers=KNOWN, request_id="known")
    lines = {line.get("request_id"): line for line in deployment.read_log()}
    assert lines["known"]["account"] == "acme"
    requests = deployment.instance.observer.metrics.requests
    assert requests == {("single", "0", "complete"): 1}


def test_key_of_two_accounts_is_reported_without_the_key(deployment):
    searcher = start(deployment, tenants=[make_tenant("a"), make_tenant("b")])
    deployment.send_request("/one/x", headers=KNOWN)
    assert collect_tenants(searcher) == ["a"]
    lines = [line for line in deployment.read_log() if line["name"] == "api_key_shared"]
    assert [(line["owner"], line["other"]) for line in lines] == [("a", "b")]
    assert KEY not in deployment.path.read_text()


def test_no_key_leaves_the_instance(tmp_path):
    # Guards against keys in the state and the changes that peers copy, and in the log.
    first = Deployment(tmp_path, name="front-1")
    second = Deployment(tmp_path, name="front-2")
    try:
        searcher = start(first)
        second.store.down = True
        second.start()
        register_with_each_other(first, second)
        with gevent.Timeout(10.0):
            while not second.instance.ready:
                gevent.sleep(0.05)
        table = first.instance.state.routes.table
        assert second.instance.state.routes.table == table
        assert second.send_request("/one/x", headers=KNOWN)[0] == 200
        assert second.send_request("/one/x", headers={"Authorization": "Token no"})[0] == 401
        assert collect_tenants(searcher) == ["acme"]
        exported = msgspec.msgpack.encode(first.instance.state.export_state())
        assert b"acme" in exported and KEY.encode() not in exported
        assert KEY not in repr(table)
        for deployment in (first, second):
            deployment.log.flush()
            assert KEY not in deployment.path.read_text()
    finally:
        second.close()
        first.close()


@pytest.mark.parametrize("strict", [True, False])
def test_unconfirmed_configuration_is_used_for_keys_unless_strict(tmp_path, strict):
    # Guards against keys that were revoked while an instance was cut off.
    features = FeatureSettings(strict_revoke=strict, revoke_ms=600.0)
    deployment = Deployment(tmp_path, features=features)
    try:
        routes = [make_route(), make_route("open", path_prefix="/open/", public=True)]
        start(deployment, *routes)
        for _ in range(5):
            # A quiet store confirms the configuration too.
            gevent.sleep(0.3)
            assert deployment.send_request("/one/x", headers=KNOWN)[0] == 200
        deployment.store.silent = True
        gevent.sleep(2.0)
        status, fields, body = deployment.send_request("/one/x", headers=KNOWN)
        assert status == (503 if strict else 200)
        if strict:
            assert body == b"unconfirmed" and 0 < float(fields["retry-after"]) < 1
        assert deployment.send_request("/open/x", headers=KNOWN)[0] == 200
        deployment.store.silent = False
        with gevent.Timeout(10.0):
            while deployment.send_request("/one/x", headers=KNOWN)[0] != 200:
                gevent.sleep(0.05)
    finally:
        deployment.close()


def test_confirmation_reaches_an_instance_through_heartbeats(tmp_path):
    # Guards against instances that follow a relay and reject all keys if strict.
    features = FeatureSettings(strict_revoke=True, revoke_ms=2_000.0)
    first = Deployment(tmp_path, name="front-1", features=features)
    second = Deployment(tmp_path, name="front-2", features=features)
    try:
        start(first)
        second.store.down = True
        second.start()
        register_with_each_other(first, second)
        with gevent.Timeout(10.0):
            while not second.instance.ready:
                gevent.sleep(0.05)
        statuses = set()
        with gevent.Timeout(10.0):
            while second.send_request("/one/x", headers=KNOWN)[0] != 200:
                gevent.sleep(0.05)
        for _ in range(10):
            gevent.sleep(0.3)
            statuses.add(second.send_request("/one/x", headers=KNOWN)[0])
        assert statuses == {200}
        first.store.down = True
        gevent.sleep(3.5)
        assert second.send_request("/one/x", headers=KNOWN)[0] == 503
    finally:
        second.close()
        first.close()


def test_instance_with_an_older_configuration_does_not_refuse_for_good(deployment):
    # Guards against 401 and 404 for what the configuration in force allows.
    start(deployment)
    newer = {"Authorization": "Token newer"}
    assert deployment.send_request("/one/x", headers=newer)[0] == 401
    position = deployment.instance.state.configuration_feed.known_position
    deployment.instance.state.freshness.record_heartbeat(position, 2, -1, position, 0.0)
    assert deployment.send_request("/one/x", headers=newer)[0] == 503
    assert deployment.send_request("/new/x", headers=KNOWN)[0] == 503
    assert deployment.send_request("/one/x", headers=KNOWN)[0] == 200


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": "a", "api_keys": "secret-key"}],
        [{"name": "a", "api_keys": {"secret-key": 1}}],
        [{"name": "a", "api_keys": ["secret-key", 5]}],
        [{"name": "a", "api_keys": ["secret-key"], "priority": "secret-key"}],
        [{"name": "a", "api_keys": ["secret-key"], "rate_per_s": "secret-key"}],
        [{"name": "a", "api_keys": ["secret-key"], "rate_per_s": -1}],
        [{"name": "a", "api_keys": ["secret-key"], "burst": -1}],
        [{"name": "a", "api_keys": ["secret-key"], "burst": float("inf")}],
        [{"name": ["secret-key"]}],
        [{"name": "secret-key\n"}],
        [{"name": ""}],
        [{"name": " secret-key"}],
        [{"name": "secret-key\u0151"}],
        ["secret-key"],
        "secret-key",
        {"secret-key": {}},
    ],
)
def test_error_in_the_client_accounts_does_not_show_keys(tenants):
    decoded = decode_route_table(make_configuration() | {"tenants": tenants})
    assert decoded.is_error()
    assert "tenants" in decoded.error.message and "secret-key" not in decoded.error.message


@pytest.mark.parametrize(
    ("fields", "rate_per_s", "burst"),
    [
        ({}, 0.0, 0.0),
        ({"rate_per_s": 40}, 40.0, 40.0),
        ({"rate_per_s": 0.25}, 0.25, 1.0),
        ({"rate_per_s": 40, "burst": 5}, 40.0, 5.0),
        ({"rate_per_s": 40, "burst": 0}, 40.0, 0.0),
    ],
)
def test_quota_of_an_account_is_decoded(fields, rate_per_s, burst):
    tenants = [make_tenant(**fields)]
    table = decode_route_table(make_configuration(tenants=tenants)).ok
    account = table.accounts.accounts["acme"]
    assert (account.rate_per_s, account.burst) == (rate_per_s, burst)


@pytest.mark.process
def test_process_serves_known_keys_only(tmp_path):
    # Guards against keys that the real process does not check, or that appear in its log.
    processes = EntryProcesses(tmp_path)
    searcher = FakeSearcher("i-1")
    processes.store.put("servers", "i-1", make_entry(searcher, "s1"))
    configuration = make_configuration(1, [make_route()], tenants=[make_tenant()])
    processes.store.put("config", "main", configuration)
    log_path = tmp_path / "log"
    try:
        processes.start(log_path=log_path)
        connection = open_when_configured(processes.caller_address)
        assert connection.get_status(KEY) == 200 and connection.get_status("wrong") == 401
        assert set(collect_tenants(searcher)) == {"acme"}
        connection.close()
    finally:
        processes.close()
        searcher.close()
    text = log_path.read_text()
    assert KEY not in text and "wrong" not in text
    accounts = [json.loads(line).get("account") for line in text.splitlines()]
    assert "acme" in accounts


def open_when_configured(address):
    """Return a connection to an instance that has a configuration and endpoints."""
    with gevent.Timeout(15.0):
        while True:
            try:
                connection = Connection(address)
                if connection.get_status(KEY) == 200:
                    return connection
                connection.close()
            except (OSError, IndexError):
                pass
            gevent.sleep(0.1)
