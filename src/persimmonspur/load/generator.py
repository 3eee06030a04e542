"""Load generator process.

``python -m persimmonspur.load.generator`` reads a plan as one line of JSON from
standard input, prints ``ready``, reads the start time in monotonic milliseconds,
sends the load and prints the results as one line of JSON.
"""

import sys
import time

import msgspec

from persimmonspur.client.client import Client
from persimmonspur.load.results import GeneratorRecord, build_flow_record
from persimmonspur.load.verifier import ResultVerifier
from persimmonspur.load.workload import Flow, LoadRun
from persimmonspur.model.configuration import ShardMap

# A client keeps at most 32 connections to an instance. Several clients keep an overloaded
# instance from delaying the sends of the generator.
CLIENTS_PER_GENERATOR = 3


class Plan(msgspec.Struct):
    """The load to be sent by one generator.

    :param flows: flows with this generator's share of the rates.
    :param seconds: measured time, in seconds.
    :param warmup_s: time before the measured time, in seconds.
    :param shard_maps: all shard maps of the run, by service and epoch.
    """

    addresses: list[str]
    flows: dict[str, Flow]
    seconds: float
    warmup_s: float
    seed: int
    shard_maps: dict[str, dict[int, ShardMap]]


def run_plan(plan: Plan, start_ms: float = 0.0) -> GeneratorRecord:
    """Send the load of a plan.

    :param start_ms: start time in monotonic milliseconds; 0 starts immediately.
    """
    clients = [
        Client(plan.addresses, seed=plan.seed * CLIENTS_PER_GENERATOR + index)
        for index in range(CLIENTS_PER_GENERATOR)
    ]
    for client in clients:
        client.resolve()
    load = LoadRun(
        clients[0],
        plan.flows,
        plan.seconds,
        plan.seed,
        verifier=ResultVerifier(plan.shard_maps),
        warmup_s=plan.warmup_s,
        additional_clients=clients[1:],
        start_ms=start_ms,
    )
    started_s = time.monotonic()
    started_cpu_s = time.process_time()
    results = load.run()
    cpu_share = (time.process_time() - started_cpu_s) / (time.monotonic() - started_s)
    for client in clients:
        client.close()
    return GeneratorRecord(
        {name: build_flow_record(result) for name, result in results.items()}, round(cpu_share, 4)
    )


def main() -> int:
    """Run the plan read from standard input."""
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
