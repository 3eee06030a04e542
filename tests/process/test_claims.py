"""Guards against a second run of a non-repeatable request after its claim owner died."""

import signal

import gevent
import pytest

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.client.client import Client
from persimmonspur.core.ownership.table import decode_table
from persimmonspur.errors import Ran
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment
from persimmonspur.model.messages import find_partition

BODY = {"once": True, "work_ms": 150.0}


def send(address, request_id, epoch, timeout_ms=3_000.0):
    client = Client([address])
    client.resolve()
    client._addresses = [address]
    try:
        return client.query(
            "refill-ledger",
            "counter",
            timeout_ms,
            body=BODY,
            repeatable=False,
            request_id=request_id,
            epoch=epoch,
        )
    finally:
        client.close()


def find_claim_owners(processes):
    api = HttpObjectApi(processes.object_api)
    table = decode_table(api.read("cells/main/table").ok.value)
    api.close()
    return table.version, {n: a.owner for n, a in table.claim_owners.items()}


def count_runs(processes, request_id):
    runs = {}
    for counts in processes.read_counts().values():
        for key, number in counts["runs"].items():
            if key.startswith(f"{request_id}/"):
                runs[key] = runs.get(key, 0) + number
    return runs


@pytest.mark.process
def test_repeats_after_the_claim_owner_was_killed_run_at_most_once():
    processes = start_deployment(DEPLOYMENTS["bengal-east"], instances=4)
    try:
        epoch, owners = find_claim_owners(processes)
        ids = [f"ticket-{index}" for index in range(24)]
        victim = owners[find_partition(ids[0])]
        survivors = [d.caller_address for n, d in processes.daemons.items() if n != victim]
        first = [gevent.spawn(send, survivors[0], request_id, epoch) for request_id in ids]
        gevent.sleep(0.1)
        processes.daemons[victim].process.send_signal(signal.SIGKILL)
        repeats = [
            gevent.spawn(send, survivors[1], request_id, epoch, 15_000.0) for request_id in ids
        ]
        gevent.joinall(first + repeats)
        moved = [i for i in ids if owners[find_partition(i)] == victim]
        last = {i: send(survivors[2], i, epoch, 15_000.0) for i in ids}
        fresh = send(survivors[2], "fresh", find_claim_owners(processes)[0], 15_000.0)
        runs = {request_id: count_runs(processes, request_id) for request_id in ids}
    finally:
        processes.stop()
    assert moved
    assert fresh.error is None
    for request_id in ids:
        assert all(number == 1 for number in runs[request_id].values()), request_id
    answers = [task.value for task in first + repeats] + list(last.values())
    assert any(answer.error is None for answer in answers)
    for answer in answers:
        if answer.ran is Ran.NO:
            assert not runs[answer.request_id]
        if answer.error is None:
            assert runs[answer.request_id]
    for request_id in moved:
        assert last[request_id].ran is not Ran.NO
