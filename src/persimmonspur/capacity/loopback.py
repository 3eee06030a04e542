"""Processor time of daemons on loopback against sub-requests, and while idle."""

import os
import time
from pathlib import Path

from attrs import evolve

from persimmonspur.capacity.record import MEASURES, Point, Series, build_series
from persimmonspur.clock import Clock
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.experiment import ExperimentOptions, build_plans, send_load
from persimmonspur.load.processes import DeploymentProcesses, start_deployment
from persimmonspur.load.verifier import ResultVerifier
from persimmonspur.load.workload import Flow

INSTANCES = 4
RATES = (10.0, 30.0, 60.0, 90.0)
IDLE_INSTANCES = (2, 3, 4, 6)
IDLE_SECONDS = 4.0
SETTLE_SECONDS = 2.0
SECONDS = 4.0
WARMUP_S = 1.0


@MEASURES.register("loopback")
def measure_loopback() -> list[Series]:
    """Measure all daemons of a deployment together, in real processes with real searchers.

    The slope is the processor time of one sub-request at coordinator and owner
    with all input and output; the intercept is what idle daemons need.
    """
    deployment = DEPLOYMENTS["ulaanbaatar"]
    options = ExperimentOptions(deployment, INSTANCES, SECONDS, WARMUP_S, 1)
    # The service with the most shards, so that sub-requests and not callers prevail.
    flow = Flow(deployment.services[1].name, "interactive", 1.0, 2_000.0, 4.0, 10)
    processes = start_deployment(deployment, INSTANCES)
    verifier = ResultVerifier.from_configurations(processes.configuration)
    clock = Clock()
    points = []
    try:
        for index, rate in enumerate(RATES):
            flows = {"load": evolve(flow, rate=rate)}
            plans = build_plans(processes.list_addresses(), flows, options, index + 1, verifier)
            before = sum(seen["requests"] for seen in processes.read_counts().values())
            started_ms = clock.now_ms()
            started_cpu_s = read_cpu_s(processes)
            send_load(processes, plans, [])
            cpu_s = read_cpu_s(processes) - started_cpu_s
            elapsed_s = (clock.now_ms() - started_ms) / 1000
            after = sum(seen["requests"] for seen in processes.read_counts().values())
            points.append(Point((after - before) / elapsed_s, 1e6 * cpu_s / elapsed_s))
    finally:
        processes.kill()
    return [
        build_series(
            "loopback_cpu",
            "sub-requests per second",
            f"processor µs per second of {INSTANCES} daemons",
            points,
        )
    ]


@MEASURES.register("idle")
def measure_idle() -> list[Series]:
    """Measure daemons without queries against the endpoints that each owns.

    The same endpoints are divided among fewer or more daemons.
    """
    deployment = DEPLOYMENTS["ulaanbaatar"]
    endpoints = sum(shape.endpoints for shape in deployment.services)
    points, memory = [], []
    for instances in IDLE_INSTANCES:
        processes = start_deployment(deployment, instances)
        try:
            time.sleep(SETTLE_SECONDS)
            started_s = time.monotonic()
            started_cpu_s = read_cpu_s(processes)
            time.sleep(IDLE_SECONDS)
            cpu_s = read_cpu_s(processes) - started_cpu_s
            resident = read_memory(processes) / instances
            share = cpu_s / (time.monotonic() - started_s) / instances
        finally:
            processes.kill()
        points.append(Point(endpoints / instances, 1e6 * share))
        memory.append(Point(endpoints / instances, resident))
    return [
        build_series(
            "idle_memory", "endpoints of an instance", "resident bytes per instance", memory
        ),
        build_series(
            "idle_cpu", "endpoints of an instance", "processor µs per instance and second", points
        ),
    ]


def read_cpu_s(processes: DeploymentProcesses) -> float:
    """Return the processor seconds that all daemons have used since their start."""
    ticks = os.sysconf("SC_CLK_TCK")
    total = 0.0
    for daemon in processes.daemons.values():
        text = Path(f"/proc/{daemon.process.pid}/stat").read_text()
        # The name in parentheses may hold spaces; user and system time follow as 12th and 13th.
        fields = text.rpartition(")")[2].split()
        total += (int(fields[11]) + int(fields[12])) / ticks
    return total


def read_memory(processes: DeploymentProcesses) -> float:
    """Return the resident bytes of all daemons."""
    total = 0.0
    for daemon in processes.daemons.values():
        for line in Path(f"/proc/{daemon.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                total += 1024 * float(line.split()[1])
    return total
