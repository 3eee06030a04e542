"""Tests the path of a query through separate processes."""

import pytest

from persimmonspur.client.client import Client
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment
from persimmonspur.load.workload import Flow, LoadRun


@pytest.mark.process
def test_queries_travel_through_separate_processes():
    processes = start_deployment(DEPLOYMENTS["bengal-east"], instances=3)
    try:
        flows = {"counter": Flow("shopdesk", "counter", 20.0, 5_000.0, 2.0, 10)}
        load = LoadRun(Client(processes.list_addresses()), flows, seconds=1.0, seed=7)
        result = load.run()["counter"]
    finally:
        processes.stop()
    assert result.sent > 0
    assert result.wrong == 0
    assert result.complete == result.sent
