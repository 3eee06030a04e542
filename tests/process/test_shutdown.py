"""Tests that a graceful shutdown lets running requests finish."""

import signal

import gevent
import pytest

from persimmonspur.client.client import Client
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment
from persimmonspur.load.workload import Flow, LoadRun


@pytest.fixture
def processes():
    started = start_deployment(DEPLOYMENTS["bengal-east"], instances=4)
    yield started
    started.stop()


@pytest.mark.process
def test_graceful_shutdown_cuts_no_request(processes):
    flows = {"counter": Flow("shopdesk", "counter", 40.0, 5_000.0, 20.0, 10)}
    load = LoadRun(Client(processes.list_addresses()), flows, seconds=15.0, seed=3)
    running = gevent.spawn(load.run)
    gevent.sleep(1.0)
    daemon = processes.daemons["entry-1"]
    daemon.process.send_signal(signal.SIGTERM)
    result = running.get()["counter"]
    assert daemon.process.wait(30) == 0
    assert result.errors == {}
    assert result.complete == result.sent


@pytest.mark.process
def test_second_signal_finishes_running_requests(processes):
    daemon = processes.daemons["entry-2"]
    client = Client([daemon.caller_address])
    client._addresses = [daemon.caller_address]
    client._addresses_valid_until_ms = float("inf")
    slow_query = gevent.spawn(
        client.query, "shopdesk", "batch", 20_000.0, body={"work_ms": 1_500.0, "top": 5}
    )
    gevent.sleep(0.5)
    daemon.process.send_signal(signal.SIGTERM)
    gevent.sleep(0.1)
    daemon.process.send_signal(signal.SIGTERM)
    result = slow_query.get()
    assert result.error is None, result
    assert daemon.process.wait(30) == 0
