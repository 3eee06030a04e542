"""Guards against new work for a failure domain that operators took out of service."""

import time

import gevent
import pytest

from persimmonspur.client.client import Client
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment, store_configuration
from persimmonspur.load.publishing import set_failure_domain_state
from persimmonspur.load.workload import Flow, LoadRun
from persimmonspur.model.configuration import DesiredState

OUT_BOUND_MS = 5_000.0


@pytest.fixture
def processes():
    started = start_deployment(DEPLOYMENTS["ulaanbaatar"], instances=6)
    yield started
    started.stop()


@pytest.mark.process
def test_domain_taken_out_gets_no_new_work_and_comes_back(processes):
    out = "khan-uul"
    flows = {"counter": Flow("repair-counter", "counter", 30.0, 5_000.0, 4.0, 10)}
    load = LoadRun(Client(processes.list_addresses()), flows, seconds=22.0, seed=5)
    running = gevent.spawn(load.run)
    gevent.sleep(2.0)
    store_configuration(
        processes.object_api,
        set_failure_domain_state(processes.configuration, out, DesiredState.OUT),
    )
    accepted_ms = time.time() * 1000
    gevent.sleep(10.0)
    names = [
        endpoint.name
        for service in processes.configuration.services
        for endpoint in service.endpoints
        if endpoint.failure_domain == out
    ]
    while_out = processes.read_counts()
    store_configuration(processes.object_api, processes.configuration)
    result = running.get()["counter"]
    after = processes.read_counts()
    assert max(while_out[name]["last_request_ms"] for name in names) <= accepted_ms + OUT_BOUND_MS
    assert sum(after[name]["completed"] - while_out[name]["completed"] for name in names) > 0
    assert sum(counts["overruns"] + counts["cold_overruns"] for counts in after.values()) == 0
    assert result.errors == {}
    assert result.complete == result.sent
