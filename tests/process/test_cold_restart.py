"""Tests that endpoints that restart cold without notice are not overloaded."""

import gevent
import pytest

from persimmonspur.client.client import Client
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment
from persimmonspur.load.workload import Flow, LoadRun


@pytest.mark.process
def test_a_third_of_the_searchers_restarts_cold_under_load():
    processes = start_deployment(DEPLOYMENTS["bengal-east"], instances=3)
    endpoints = [e for service in processes.configuration.services for e in service.endpoints]
    restarted = {endpoint.name: {"cold": True} for endpoint in endpoints[::3]}
    try:
        flows = {"counter": Flow("shopdesk", "counter", 80.0, 2_000.0, 5.0, 10)}
        load = LoadRun(Client(processes.list_addresses()), flows, seconds=3.0, seed=7)
        gevent.spawn_later(1.0, processes.control_searchers, restarted)
        result = load.run()["counter"]
        counts = processes.read_counts()
    finally:
        processes.stop()
    assert result.sent > 0
    assert result.wrong == 0
    assert sum(count["restarts"] for count in counts.values()) == len(restarted)
    assert sum(count["completed"] for count in counts.values()) > 0
    for name, count in counts.items():
        assert count["cold_overruns"] == 0, name
        assert count["overruns"] == 0, name
        assert count["connection_overruns"] == 0, name
