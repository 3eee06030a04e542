"""Tests that a non-repeatable request is not executed again when its coordinator is killed."""

import signal
from collections import Counter

import gevent
import pytest

from persimmonspur.client.client import Client
from persimmonspur.errors import Ran
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment

REQUEST_IDS = [f"ticket-{index}" for index in range(24)]
REQUEST_BODY = {"once": True, "work_ms": 150.0}


def send_query(addresses, request_id):
    client = Client(addresses)
    client._addresses, client._addresses_valid_until_ms = list(addresses), float("inf")
    fields = {"body": REQUEST_BODY, "repeatable": False, "request_id": request_id}
    return client.query("refill-ledger", "counter", 15_000.0, **fields)


def count_executions(processes):
    """Return the executions of each sub-request over all searchers, by request id and shard."""
    executions = Counter()
    for counts in processes.read_counts().values():
        executions.update(counts["runs"])
    return executions


@pytest.mark.process
def test_requests_of_a_killed_coordinator_run_at_most_once():
    processes = start_deployment(DEPLOYMENTS["bengal-east"], instances=4)
    try:
        killed_instance = min(processes.daemons)
        addresses = [daemon.caller_address for daemon in processes.daemons.values()]
        tasks = [gevent.spawn(send_query, addresses, name) for name in REQUEST_IDS]
        gevent.sleep(0.1)
        processes.daemons[killed_instance].process.send_signal(signal.SIGKILL)
        gevent.joinall(tasks, raise_error=True)
        gevent.sleep(0.5)
        executions = count_executions(processes)
    finally:
        processes.stop()
    answers = [task.value for task in tasks]
    assert any(answer.error is None for answer in answers)
    assert set(executions.values()) == {1}
    ran = {key.partition("/")[0] for key in executions}
    for answer in answers:
        assert answer.error is not None or answer.request_id in ran
        assert answer.ran is not Ran.NO or answer.request_id not in ran
