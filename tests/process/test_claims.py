"""Guards against a second run of a non-repeatable request after its claim owner died."""

import signal
from collections import Counter

import gevent
import pytest

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.client.client import Client
from persimmonspur.core.ownership.table import decode_table
from persimmonspur.errors import Ran
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment
from persimmonspur.model.messages import find_partition

IDS = [f"ticket-{index}" for index in range(24)]
BODY = {"once": True, "work_ms": 150.0}


def send(address, request_id, epoch):
    client = Client([address])
    client._addresses, client._keep_until_ms = [address], float("inf")
    fields = {"body": BODY, "repeatable": False, "request_id": request_id, "epoch": epoch}
    return client.query("refill-ledger", "counter", 15_000.0, **fields)


def read_table(processes):
    api = HttpObjectApi(processes.object_api)
    table = decode_table(api.read("cells/main/table").ok.value)
    api.close()
    return table


def count_runs(processes):
    """Return how often each shard's part of each request ran, over all searchers."""
    runs = Counter()
    for counts in processes.read_counts().values():
        runs.update(counts["runs"])
    return runs


@pytest.mark.process
def test_repeats_after_the_claim_owner_was_killed_run_at_most_once():
    processes = start_deployment(DEPLOYMENTS["bengal-east"], instances=4)
    try:
        table = read_table(processes)
        victim = table.claim_owners[find_partition(IDS[0])].owner
        addresses = [d.caller_address for n, d in processes.daemons.items() if n != victim]
        tasks = [gevent.spawn(send, addresses[0], name, table.version) for name in IDS]
        gevent.sleep(0.1)
        processes.daemons[victim].process.send_signal(signal.SIGKILL)
        tasks += [gevent.spawn(send, addresses[1], name, table.version) for name in IDS]
        gevent.joinall(tasks, raise_error=True)
        last = {name: send(addresses[2], name, table.version) for name in IDS}
        fresh = send(addresses[2], "fresh", read_table(processes).version)
        runs = count_runs(processes)
    finally:
        processes.stop()
    assert fresh.error is None
    assert set(runs.values()) == {1}
    answers = [*(task.value for task in tasks), *last.values()]
    assert any(answer.error is None for answer in answers)
    ran = {key.partition("/")[0] for key in runs}
    for answer in answers:
        assert answer.error is not None or answer.request_id in ran
        assert answer.ran is not Ran.NO or answer.request_id not in ran
    for name in IDS:
        if table.claim_owners[find_partition(name)].owner == victim:
            assert last[name].ran is not Ran.NO
