"""End-to-end tests of an entry instance with fakes of the store and the searchers."""

import json

import gevent
import gevent.socket
import pytest
from attrs import evolve
from deployments import Deployment, register_with_each_other
from platformsim import (
    make_entry,
    make_gather_route,
    make_route,
)

from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.roles import ENTRY_SET_SIZE
from persimmonspur.entry import instance as entry_instance
from persimmonspur.platform.run import encode_addresses

# Bounds of the platform: the time in which a configuration takes effect, and the time after a
# disturbance of the store from which that holds.
CONFIGURATION_TIMEOUT_S = 3.0
STABILITY_WINDOW_S = 4.0


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


def test_single_request_end_to_end(deployment):
    deployment.add_searcher("i-1", "s1")
    deployment.configure(make_route())
    deployment.start()
    status, fields, body = deployment.send_request("/one/x?y=z")
    assert status == 200
    assert fields["x-server-stamp"] == "i-1.abc"
    assert body == deployment.searchers["i-1"].records()
    line, received, _ = deployment.searchers["i-1"].received[0]
    assert line == "GET /one/x?y=z HTTP/1.1"
    assert int(received["x-deadline-ms"]) <= 1_000


def test_gather_end_to_end(deployment):
    services = [f"s{index}" for index in range(4)]
    for service in services:
        deployment.add_searcher(f"i-{service}", service)
    deployment.configure(make_gather_route(services))
    deployment.start()
    status, fields, body = deployment.send_request("/all/x")
    assert status == 200
    assert sorted(fields["x-part-stamps"].split(", ")) == [f"i-{s}.abc" for s in services]
    records = []
    for searcher in deployment.searchers.values():
        data = searcher.records()
        records += [data[start : start + 16] for start in range(0, len(data), 16)]
    assert body == b"".join(sorted(records, reverse=True)[:5])


def test_unknown_route_is_404_only_with_a_configuration(deployment):
    # Guards against 404 for a valid request while the instance has no configuration yet.
    deployment.start()
    status, fields, _ = deployment.send_request("/one/x")
    assert status == 503 and float(fields["retry-after"]) > 0
    assert not deployment.instance.ready
    deployment.configure(make_route())
    gevent.sleep(0.1)
    assert deployment.send_request("/other/x")[0] == 404
    assert deployment.instance.ready


def test_new_configuration_takes_effect_at_once(deployment):
    deployment.add_searcher("i-1", "s1")
    deployment.add_searcher("i-2", "s2")
    deployment.configure(make_route())
    deployment.start()
    assert deployment.send_request("/one/x")[1]["x-server-stamp"] == "i-1.abc"
    deployment.configure(make_route(service="s2"), version=5)
    gevent.sleep(0.1)
    assert deployment.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"
    deployment.configure(make_route(), version=3)
    gevent.sleep(0.1)
    assert deployment.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"


def test_change_after_a_silent_store_takes_effect_in_time(deployment):
    # Guards against watches that were sent into a silence and hang until their long timeout.
    deployment.add_searcher("i-1", "s1")
    deployment.add_searcher("i-2", "s2")
    deployment.configure(make_route())
    deployment.start()
    deployment.configure(make_route(service="s1"), version=2)
    deployment.store.silent = True
    gevent.sleep(1.0)
    deployment.store.silent = False
    gevent.sleep(STABILITY_WINDOW_S)
    deployment.configure(make_route(service="s2"), version=3)
    gevent.sleep(CONFIGURATION_TIMEOUT_S)
    assert deployment.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"


def test_draining_searcher_gets_no_new_requests(deployment):
    first = deployment.add_searcher("i-1", "s1")
    second = deployment.add_searcher("i-2", "s1")
    deployment.configure(make_route())
    deployment.start()
    deployment.store.put("servers", "i-1", make_entry(first, "s1", state="draining"))
    gevent.sleep(0.1)
    for _ in range(10):
        assert deployment.send_request("/one/x")[0] == 200
    assert first.executed == [] and len(second.executed) == 10


def test_searchers_that_turn_cold_shortly_after_each_other_are_all_noticed(deployment):
    # Guards against a cold searcher that gets its usual load while the change of another one
    # delays the next watch.
    searchers = [deployment.add_searcher(f"i-{index}", "s1") for index in range(4)]
    deployment.configure(make_route(), services=["s1"], cold_per_s=5.0)
    deployment.start()
    clock, endpoints = deployment.instance.clock, deployment.instance.state.endpoints
    for index, searcher in enumerate(searchers):
        entry = make_entry(searcher, "s1", cold_left_ms=3_000, seq=2)
        deployment.store.put("servers", f"i-{index}", entry)
        gevent.sleep(0.1)
        assert endpoints.get(f"i-{index}").cold_until_ms > clock.now_ms()


@pytest.mark.parametrize("born", [1_700_000_000_000, 1_700_000_060_000])
def test_searcher_that_starts_again_at_another_address_is_used_there(deployment, born):
    # Guards against searchers that are lost once they start again under their ids.
    first = deployment.add_searcher("i-1", "s1")
    deployment.configure(make_route())
    deployment.start()
    assert deployment.send_request("/one/x", request_id="before")[0] == 200
    first.respond = lambda headers: None
    first.close()
    for index in range(3):
        assert deployment.send_request("/one/x", request_id=f"down{index}")[0] in (502, 503)
    second = deployment.add_searcher("i-1", "s1")
    entry = make_entry(second, "s1", born=born, seq=1)
    deployment.store.put("servers", "i-1", entry)
    gevent.sleep(0.1)
    for index in range(3):
        assert deployment.send_request("/one/x", request_id=f"after{index}")[0] == 200
    assert len(second.executed) == 3


def test_connections_to_a_former_process_are_not_used_for_its_successor(deployment):
    # Guards against a connection, and a limit, that outlive the process that they belong to.
    searcher = deployment.add_searcher("i-1", "s1")
    searcher.respond = lambda headers: searcher.build_response(
        headers, extra=b"Server-Limit: 1.0\r\n"
    )
    deployment.configure(make_route())
    deployment.start()
    assert deployment.send_request("/one/x", request_id="before")[0] == 200
    assert deployment.send_request("/one/x", request_id="limited")[0] == 503
    entry = make_entry(searcher, "s1", born=1_700_000_060_000, seq=1)
    deployment.store.put("servers", "i-1", entry)
    gevent.sleep(0.1)
    assert deployment.send_request("/one/x", request_id="after")[0] == 200
    assert searcher.connections == 2
    gevent.sleep(0.6)
    assert deployment.instance.rate_limit.count_limited() == 1
    assert len(deployment.instance.sender._pools) == 1


def test_evacuated_zone_gets_no_requests_until_the_evacuation_ends(deployment):
    searcher = deployment.add_searcher("i-1", "s1")
    deployment.configure(make_route())
    deployment.start()
    deployment.store.put("evacuations", "zone-a", {})
    gevent.sleep(0.1)
    assert deployment.send_request("/one/x")[0] == 503
    deployment.store.delete("evacuations", "zone-a")
    gevent.sleep(0.1)
    assert deployment.send_request("/one/x")[0] == 200
    assert len(searcher.executed) == 1


def test_request_is_not_executed_by_a_searcher_that_reuses_an_address(deployment):
    # Guards against executing a request at another service that reuses an endpoint's address.
    searcher = deployment.add_searcher("i-1", "s1")
    searcher.identity = "i-other"
    other = deployment.add_searcher("i-2", "s1")
    deployment.configure(make_route(kind="non_idempotent"))
    deployment.start()
    for index in range(4):
        assert deployment.send_request("/one/x", "POST", b"body", f"id-{index}")[0] == 200
    assert searcher.executed == [] and len(other.executed) == 4


def test_searcher_gets_no_more_requests_than_the_limit_that_it_names(deployment):
    # Guards against a searcher in trouble that gets as many requests as before.
    limited = deployment.add_searcher("i-1", "s1")
    limited.respond = lambda headers: limited.build_response(
        headers, extra=b"Server-Limit: 8.0\r\n"
    )
    deployment.configure(make_route())
    deployment.start()
    statuses = []
    for index in range(40):
        statuses.append(deployment.send_request("/one/x", request_id=f"r{index}")[0])
        gevent.sleep(0.04)
    assert set(statuses) == {200, 503}
    share_per_s = 8.0 / ENTRY_SET_SIZE
    assert 1 <= len(limited.executed) <= 1 + 2 * share_per_s


def test_instance_outside_the_entry_set_takes_a_small_share_of_a_named_limit(pair):
    # Guards against a limit that every instance of a large fleet uses as if it were in the set.
    first, _second = pair
    first.start()
    for index in range(40):
        first.instance.membership.register(make_peer(first, index), 0.0)
    first.instance._update_limit_shares()
    assert not first.instance.ready
    assert first.instance.rate_limit.sharing_instances == 41


def test_non_idempotent_request_is_not_retried_after_a_lost_response(deployment):
    # Guards against executing a non-idempotent request twice, such as a payment.
    first = deployment.add_searcher("i-1", "s1", respond=lambda headers: None)
    second = deployment.add_searcher("i-2", "s1", respond=lambda headers: None)
    deployment.configure(make_route(kind="non_idempotent"))
    deployment.start()
    assert deployment.send_request("/one/x", "POST", b"body")[0] == 502
    assert len(first.executed) + len(second.executed) == 1


def test_instance_keeps_serving_while_the_store_is_unavailable(deployment):
    deployment.add_searcher("i-1", "s1")
    deployment.configure(make_route())
    deployment.start()
    deployment.store.down = True
    deployment.store.compact_history()
    gevent.sleep(0.3)
    assert deployment.send_request("/one/x")[0] == 200
    deployment.store.delete("servers", "i-1")
    deployment.store.down = False
    gevent.sleep(1.0)
    assert deployment.send_request("/one/x")[0] == 200
    assert deployment.instance.state.endpoints.get("i-1") is not None


def test_invalid_entries_are_skipped(deployment):
    searcher = deployment.add_searcher("i-1", "s1")
    forged = make_entry(searcher, "s1") | {"addr": 5}
    deployment.store.put("servers", "forged", forged)
    deployment.configure(make_route())
    deployment.start()
    deployment.store.put("servers", "forged-2", "text")
    gevent.sleep(0.1)
    assert deployment.send_request("/one/x")[0] == 200
    assert [line["kind"] for line in deployment.read_log() if line["code"] == "PS6103"] == [
        "endpoint",
        "endpoint",
    ]


@pytest.mark.parametrize(
    ("identity", "address"),
    [
        ("foreign", "\ufffd\ufffd\ufffd\ufffd:8080"),
        ("foreign", "10.0.0.1:\u00b2"),
        ("foreign", "searcher.example:80"),
        ("foreign\u20ac", "127.0.0.1:9"),
    ],
)
def test_requests_are_answered_beside_an_entry_that_cannot_be_used(deployment, identity, address):
    # Guards against requests that get no answer since a foreign entry is chosen and its send
    # raises.
    searcher = deployment.add_searcher("i-1", "s1")
    deployment.store.put("servers", identity, make_entry(searcher, "s1") | {"addr": address})
    deployment.configure(make_route(max_attempts=1))
    deployment.start()
    for index in range(6):
        assert deployment.send_request("/one/x", request_id=f"r{index}")[0] == 200
    known = deployment.instance.state.endpoints.list_all()
    assert [endpoint.identity for endpoint in known] == ["i-1"]


@pytest.mark.parametrize("spec", ["\udce9\udcff\udc00", {"service": "\ud83d", "addr": "x"}])
def test_changes_are_noticed_beside_an_entry_that_cannot_be_decoded(deployment, spec):
    # Guards against requests to a draining searcher until it exits, since an entry of another
    # writer hides its report.
    first = deployment.add_searcher("i-1", "s1")
    second = deployment.add_searcher("i-2", "s1")
    deployment.configure(make_route())
    deployment.start()
    deployment.store.put("servers", "forged", spec)
    deployment.store.put("servers", "i-1", make_entry(first, "s1", state="draining"))
    gevent.sleep(0.7)
    for index in range(10):
        assert deployment.send_request("/one/x", request_id=f"r{index}")[0] == 200
    assert first.executed == [] and len(second.executed) == 10
    rejected = [line for line in deployment.read_log() if line["name"] == "entry_rejected"]
    assert [line["reason"] for line in rejected] == ["entry forged: not readable"]


def test_instance_registers_and_returns_its_own_address(deployment):
    deployment.configure()
    deployment.start()
    gevent.sleep(0.6)
    assert "front-1" in deployment.store.objects["entry-instances"]
    document = json.loads(encode_addresses(deployment.instance, deployment.settings))
    assert document["addrs"] == [deployment.settings.caller_address]
    assert 0 < document["ttl_s"] <= 5
    deployment.instance.leave()
    gevent.sleep(0.1)
    assert deployment.store.objects["entry-instances"] == {}


def test_client_disconnect_cancels_the_request(deployment):
    searcher = deployment.add_searcher("i-1", "s1", latency_s=0.3)
    deployment.configure(make_route())
    deployment.start()
    host, _, port = deployment.settings.caller_address.partition(":")
    sock = gevent.socket.create_connection((host, int(port)))
    sock.sendall(b"GET /one/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: a\r\n\r\n")
    gevent.sleep(0.1)
    assert deployment.instance.request_handler.running == 1
    sock.close()
    gevent.sleep(0.05)
    assert deployment.instance.request_handler.running == 0
    assert sum(pool.in_use for pool in deployment.instance.sender._pools.values()) == 0
    assert searcher.connections == 1


def test_failed_request_is_explained_in_the_log(deployment):
    deployment.add_searcher("i-1", "s1", respond=lambda headers: None)
    deployment.configure(make_route(kind="non_idempotent"))
    deployment.start()
    deployment.send_request("/one/x", "POST", b"body", "lost-1")
    lines = [line for line in deployment.read_log() if line.get("request_id") == "lost-1"]
    assert [line["name"] for line in lines] == ["send_failed", "request_answered"]
    assert lines[0]["endpoint"] == "i-1" and lines[0]["ran"] == "unknown"
    assert lines[1]["status"] == 502


def test_rejected_request_is_explained_in_the_log(deployment):
    deployment.configure(make_route())
    deployment.start()
    assert deployment.send_request("/one/x", request_id="refused-1")[0] == 503
    lines = [line for line in deployment.read_log() if line.get("request_id") == "refused-1"]
    assert [line["outcome"] for line in lines] == ["unavailable"]
    assert lines[0]["attempts"] == [] and lines[0]["version"] == 1


def test_partial_response_is_explained_in_the_log(deployment):
    services = [f"s{index}" for index in range(4)]
    for service in services:
        deployment.add_searcher(f"i-{service}", service)
    deployment.searchers["i-s3"].latency_s = 2.0
    deployment.configure(make_gather_route(services))
    deployment.start()
    status, fields, _ = deployment.send_request("/all/x", request_id="partial-1")
    assert status == 200 and fields["x-missing-parts"] == "1"
    lines = [line for line in deployment.read_log() if line.get("request_id") == "partial-1"]
    summary = lines[-1]
    assert (summary["outcome"], summary["covered"], summary["total"]) == ("partial", 3, 4)
    waiting = [attempt for attempt in summary["attempts"] if attempt["result"] == "none yet"]
    assert [attempt["endpoint"] for attempt in waiting] == ["i-s3"]
    assert waiting[0]["factor_age_ms"] == -1 and waiting[0]["outstanding"] == 0


@pytest.fixture
def pair(tmp_path):
    """Two instances whose fake stores share their objects but fail independently."""
    first = Deployment(tmp_path, name="front-1")
    second = Deployment(tmp_path, name="front-2")
    second.store.objects = first.store.objects
    yield first, second
    second.close()
    first.close()


def make_peer(deployment, index):
    return evolve(deployment.instance.settings.member, name=f"peer-{index}")


def start_both(first, second):
    first.add_searcher("i-1", "s1")
    first.configure(make_route(), version=1)
    first.start()
    second.start()
    register_with_each_other(first, second)


def change_configuration(deployment):
    deployment.add_searcher("i-2", "s2")
    deployment.configure(make_route(service="s2"), version=2)


def test_instance_without_store_access_gets_state_from_a_peer(pair):
    # Guards against serving an outdated configuration for as long as the store rejects
    # only this instance's requests.
    first, second = pair
    start_both(first, second)
    second.store.down = True
    second.store.compact_history()
    change_configuration(first)
    gevent.sleep(2.5)
    assert second.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"
    names = [line["name"] for line in second.read_log()]
    assert "peer_state_taken" in names


def test_instance_whose_store_calls_hang_gets_state_from_a_peer(pair):
    # Guards against a recovery that repeats a call before it can succeed or time out.
    first, second = pair
    start_both(first, second)
    second.store.silent = True
    change_configuration(first)
    gevent.sleep(CONFIGURATION_TIMEOUT_S)
    assert second.send_request("/one/x")[1]["x-server-stamp"] == "i-2.abc"


def test_instance_that_starts_without_the_store_gets_state_from_a_peer(pair):
    first, second = pair
    first.add_searcher("i-1", "s1")
    first.configure(make_route())
    first.start()
    second.store.down = True
    second.start()
    assert second.send_request("/one/x")[0] == 503
    register_with_each_other(first, second)
    gevent.sleep(2.5)
    assert second.instance.ready
    assert second.send_request("/one/x")[0] == 200


def test_isolated_instance_does_not_increase_its_share(pair):
    # Guards against isolated instances that each use the retry budget, the connections
    # and the cold-start limit of the whole fleet.
    first, second = pair
    first.configure(make_route())
    first.start()
    with gevent.Timeout(5.0):
        while not first.instance.ready:
            gevent.sleep(0.01)
    for index in range(12):
        first.instance.membership.register(make_peer(second, index), 0.0)
    first.instance._run_maintenance()
    assert len(first.instance.membership.live_relays(first.instance.clock.now_ms())) == 1
    assert first.instance.retry_budget.sharing_instances == 8
    assert first.instance.sender.sharing_instances == 4
    endpoint_limit = first.instance.cold_start_limit
    taken = sum(
        endpoint_limit.try_acquire("e", 13.0, float(now_ms)) for now_ms in range(0, 1_000, 10)
    )
    assert taken <= 1


def test_older_state_of_a_peer_is_ignored(pair):
    first, _second = pair
    first.add_searcher("i-1", "s1")
    first.configure(make_route(), version=5)
    first.start()
    state = first.instance.state.export_state()
    assert state.table.version == 5
    assert [endpoint.identity for endpoint in state.endpoints] == ["i-1"]
    first.instance.state.endpoint_feed.advance_newest(StorePosition(9, 1))
    first.instance.state._fetch_peer_state(first.instance.settings.member)
    assert first.instance.state.routes.table.version == 5


def test_registration_is_retried_as_soon_as_the_store_responds(deployment, monkeypatch):
    # Guards against instances that do not know each other for seconds after an outage in which
    # all restarted: each would return only its own address to clients.
    monkeypatch.setattr(entry_instance, "STORE_RETRY_MS", 60_000.0)
    monkeypatch.setattr(entry_instance, "MAX_STORE_RETRY_MS", 60_000.0)
    deployment.store.down = True
    deployment.start()
    assert "entry-instances" not in deployment.store.objects
    deployment.store.down = False
    gevent.sleep(1.5)
    assert "front-1" in deployment.store.objects["entry-instances"]
