"""One load generator process.

``python -m persimmonspur.load.generator`` reads a plan (one line of JSON) from
standard input, prints ``ready``, reads the start time in monotonic
milliseconds, runs the load and prints the result as one line of JSON.
"""

import sys
import time

import msgspec

from persimmonspur.client.client import Client
from persimmonspur.load.results import GeneratorRecord, record_flow
from persimmonspur.load.verifier import ResultVerifier
from persimmonspur.load.workload import Flow, LoadRun
from persimmonspur.model.configuration import ShardMap

# A client keeps at most 32 connections to an instance; several keep an
# overloaded instance from holding back the generator.
CLIENTS = 3


class Plan(msgspec.Struct):
    """What one generator sends.

    :param flows: with the generator's own part of the rates.
    :param warmup_s: time before the measured part, in seconds.
    :param shard_maps: every shard map of the run, by service and epoch.
    """

    addresses: list[str]
    flows: dict[str, Flow]
    seconds: float
    warmup_s: float
    seed: int
    shard_maps: dict[str, dict[int, ShardMap]]


def run_plan(plan: Plan, start_ms: float = 0.0) -> GeneratorRecord:
    """Send the load of a plan.

    :param start_ms: when to start, in monotonic milliseconds; 0 starts at once.
    """
    clients = [Client(plan.addresses, seed=plan.seed * CLIENTS + index) for index in range(CLIENTS)]
    for client in clients:
        client.resolve()
    load = LoadRun(
        clients[0],
        plan.flows,
        plan.seconds,
        plan.seed,
        verifier=ResultVerifier(plan.shard_maps),
        warmup_s=plan.warmup_s,
        more_clients=clients[1:],
        start_ms=start_ms,
    )
    started_s = time.monotonic()
    started_cpu_s = time.process_time()
    results = load.run()
    share = (time.process_time() - started_cpu_s) / (time.monotonic() - started_s)
    for client in clients:
        client.close()
    return GeneratorRecord(
        {name: record_flow(result) for name, result in results.items()}, round(share, 4)
    )


def main() -> int:
    """Run the plan on standard input."""
    plan = msgspec.json.decode(sys.stdin.readline(), type=Plan)
    _print_line("ready")
    start_ms = float(sys.stdin.readline())
    _print_line(msgspec.json.encode(run_plan(plan, start_ms)).decode())
    return 0


def _print_line(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
