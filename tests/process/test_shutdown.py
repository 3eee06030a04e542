"""Guards against requests that a graceful shutdown cuts."""

import signal

import gevent
import pytest

from persimmonspur.client.client import Client
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment


@pytest.fixture
def processes():
    started = start_deployment(DEPLOYMENTS["bengal-east"], instances=4)
    yield started
    started.stop()


@pytest.mark.process
def test_second_signal_finishes_running_requests(processes):
    daemon = processes.daemons["entry-2"]
    client = Client([daemon.caller_address])
    client._addresses = [daemon.caller_address]
    client._keep_until_ms = float("inf")
    slow = gevent.spawn(
        client.query, "shopdesk", "batch", 20_000.0, body={"work_ms": 1_500.0, "top": 5}
    )
    gevent.sleep(0.5)
    daemon.process.send_signal(signal.SIGTERM)
    gevent.sleep(0.1)
    daemon.process.send_signal(signal.SIGTERM)
    answer = slow.get()
    assert answer.error is None, answer
    assert daemon.process.wait(30) == 0
