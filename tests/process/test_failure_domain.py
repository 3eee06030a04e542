"""Tests that a failure domain declared out of service gets no new requests."""

import time

import gevent
import pytest

from persimmonspur.client.client import Client
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment, store_configuration
from persimmonspur.load.publishing import set_failure_domain_state
from persimmonspur.load.workload import Flow, LoadRun
from persimmonspur.model.configuration import DesiredState

MAX_OUT_DELAY_MS = 5_000.0


@pytest.fixture
def processes():
    started = start_deployment(DEPLOYMENTS["ulaanbaatar"], instances=6)
    yield started
    started.stop()


@pytest.mark.process
def test_domain_taken_out_gets_no_new_work_and_comes_back(processes):
    out_domain = "khan-uul"
    flows = {"counter": Flow("repair-counter", "counter", 30.0, 5_000.0, 4.0, 10)}
    load = LoadRun(Client(processes.list_addresses()), flows, seconds=22.0, seed=5)
    running = gevent.spawn(load.run)
    gevent.sleep(2.0)
    store_configuration(
        processes.object_api,
        set_failure_domain_state(processes.configuration, out_domain, DesiredState.OUT),
    )
    accepted_ms = time.time() * 1000
    gevent.sleep(10.0)
    out_endpoints = [
        endpoint.name
        for service in processes.configuration.services
        for endpoint in service.endpoints
        if endpoint.failure_domain == out_domain
    ]
    counts_while_out = processes.read_counts()
    store_configuration(processes.object_api, processes.configuration)
    result = running.get()["counter"]
    counts_after_return = processes.read_counts()
    assert (
        max(counts_while_out[name]["last_request_ms"] for name in out_endpoints)
        <= accepted_ms + MAX_OUT_DELAY_MS
    )
    assert (
        sum(
            counts_after_return[name]["completed"] - counts_while_out[name]["completed"]
            for name in out_endpoints
        )
        > 0
    )
    assert (
        sum(counts["overruns"] + counts["cold_overruns"] for counts in counts_after_return.values())
        == 0
    )
    assert result.errors == {}
    assert result.complete == result.sent
