"""Tests that an owner resumed after a freeze sends nothing to endpoints taken over meanwhile."""

import signal

import gevent
import pytest

from persimmonspur.adapters.http import connect_client
from persimmonspur.client.client import Client
from persimmonspur.clock import Clock
from persimmonspur.core.ownership.validity import VALIDITY_MS
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import get_json, start_deployment
from persimmonspur.load.workload import Flow, LoadRun

FROZEN_INSTANCE = "entry-1"
VALID_BUDGETS_METRIC = "persimmonspur_valid_budgets"


@pytest.fixture
def processes():
    started = start_deployment(DEPLOYMENTS["bengal-east"], instances=5)
    yield started
    started.stop()


def list_events(processes, name, event):
    document = get_json(processes.daemons[name].caller_address, "/v1/timeline")
    return [entry for entry in document["entries"] if entry["name"] == event]


def wait_for(condition, limit_s=40.0):
    with gevent.Timeout(limit_s):
        while not condition():
            gevent.sleep(0.1)


def run_load(addresses, seconds, work_ms):
    flows = {
        "counter": Flow("shopdesk", "counter", 20.0, 4_000.0, work_ms, 10),
        "batch": Flow("rider-app", "batch", 5.0, 4_000.0, work_ms, 10),
    }
    return LoadRun(Client(addresses), flows, seconds, seed=11).run()


@pytest.mark.process
def test_frozen_owner_wakes_to_complete_queries_and_no_overrun(processes):
    other_addresses = [
        daemon.caller_address
        for name, daemon in processes.daemons.items()
        if name != FROZEN_INSTANCE
    ]
    endpoint_count = sum(len(service.endpoints) for service in processes.configuration.services)
    process, clock = processes.daemons[FROZEN_INSTANCE].process, Clock()
    wait_for(lambda: list_events(processes, FROZEN_INSTANCE, "validity_gained"))
    # The owner is suspended while it has queued and running sub-requests.
    before = gevent.spawn(run_load, other_addresses, 1.5, 100.0)
    gevent.sleep(1.0)
    process.send_signal(signal.SIGSTOP)
    suspended_ms = clock.now_ms()
    wait_for(lambda: list_events(processes, "entry-0", "member_gone"))
    wait_for(
        lambda: (
            sum(read_gauge(address, VALID_BUDGETS_METRIC) for address in other_addresses)
            == endpoint_count
        )
    )
    after = gevent.spawn(run_load, other_addresses, 6.0, 4.0)
    # These queries wait in its socket buffers, so that it coordinates them as soon as it resumes.
    waiting = [gevent.spawn(query_directly, processes) for _ in range(8)]
    gevent.sleep(1.0)
    process.send_signal(signal.SIGCONT)
    resumed_ms = clock.now_ms()
    wait_for(lambda: list_events(processes, FROZEN_INSTANCE, "incarnation_ended"))
    late_dispatches = [
        entry
        for entry in list_events(processes, FROZEN_INSTANCE, "dispatched")
        if suspended_ms + VALIDITY_MS < entry["monotonic_ms"] < resumed_ms + 3_000.0
    ]
    assert late_dispatches == []
    gevent.joinall(waiting, timeout=30.0, raise_error=True)
    assert all(result.wrong == 0 for result in before.get().values())
    for result in after.get().values():
        assert result.sent > 0
        assert result.wrong == 0
        assert result.complete == result.sent, result.errors
    counts = processes.read_counts()
    assert sum(count["overruns"] for count in counts.values()) == 0
    assert sum(count["connection_overruns"] for count in counts.values()) == 0


def query_directly(processes):
    client = Client([])
    client._addresses = [processes.daemons[FROZEN_INSTANCE].caller_address]
    client._addresses_valid_until_ms = float("inf")
    return client.query("shopdesk", "batch", 15_000.0, body={"work_ms": 1.0, "top": 5})


def read_gauge(address, name):
    client = connect_client(address, 1, 2_000.0)
    try:
        text = bytes(client.get("/metrics").read()).decode()
    finally:
        client.close()
    return next(float(line.split()[1]) for line in text.splitlines() if line.startswith(name))
