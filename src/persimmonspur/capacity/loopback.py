"""Measures the processor time of daemon processes on loopback, under load and idle."""

import os
import time
from pathlib import Path

from attrs import evolve

from persimmonspur.capacity.record import MEASUREMENTS, Point, Series, build_series
from persimmonspur.clock import Clock
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.experiment import ExperimentOptions, build_plans, send_load
from persimmonspur.load.processes import DeploymentProcesses, start_deployment
from persimmonspur.load.verifier import ResultVerifier
from persimmonspur.load.workload import Flow

INSTANCE_COUNT = 4
REQUEST_RATES = (10.0, 30.0, 60.0, 90.0)
IDLE_INSTANCE_COUNTS = (2, 3, 4, 6)
IDLE_SECONDS = 4.0
SETTLE_SECONDS = 2.0
LOAD_SECONDS = 4.0
WARMUP_SECONDS = 1.0


@MEASUREMENTS.register("loopback")
def measure_loopback() -> list[Series]:
    """Measure all daemons of a deployment together, as processes with stand-in searchers.

    The slope is the processor time of one sub-request at coordinator and owner
    including all I/O; the intercept is the processor time of idle daemons.
    """
    deployment = DEPLOYMENTS["ulaanbaatar"]
    options = ExperimentOptions(deployment, INSTANCE_COUNT, LOAD_SECONDS, WARMUP_SECONDS, 1)
    # The service with the most shards: the cost of sub-requests outweighs that of client calls.
    flow = Flow(deployment.services[1].name, "interactive", 1.0, 2_000.0, 4.0, 10)
    processes = start_deployment(deployment, INSTANCE_COUNT)
    verifier = ResultVerifier.from_configurations(processes.configuration)
    clock = Clock()
    points = []
    try:
        for index, rate in enumerate(REQUEST_RATES):
            flows = {"load": evolve(flow, rate=rate)}
            plans = build_plans(processes.list_addresses(), flows, options, index + 1, verifier)
            requests_before = sum(counts["requests"] for counts in processes.read_counts().values())
            started_ms = clock.now_ms()
            started_cpu_s = read_cpu_s(processes)
            send_load(processes, plans, [])
            cpu_s = read_cpu_s(processes) - started_cpu_s
            elapsed_s = (clock.now_ms() - started_ms) / 1000
            requests_after = sum(counts["requests"] for counts in processes.read_counts().values())
            points.append(
                Point((requests_after - requests_before) / elapsed_s, 1e6 * cpu_s / elapsed_s)
            )
    finally:
        processes.kill()
    return [
        build_series(
            "loopback_cpu",
            "sub-requests per second",
            f"processor µs per second of {INSTANCE_COUNT} daemons",
            points,
        )
    ]


@MEASUREMENTS.register("idle")
def measure_idle() -> list[Series]:
    """Measure idle daemons against the number of endpoints that each owns.

    The number of daemons varies and the number of endpoints in total does not.
    """
    deployment = DEPLOYMENTS["ulaanbaatar"]
    endpoints = sum(service.endpoints for service in deployment.services)
    cpu_points, memory_points = [], []
    for instances in IDLE_INSTANCE_COUNTS:
        processes = start_deployment(deployment, instances)
        try:
            time.sleep(SETTLE_SECONDS)
            started_s = time.monotonic()
            started_cpu_s = read_cpu_s(processes)
            time.sleep(IDLE_SECONDS)
            cpu_s = read_cpu_s(processes) - started_cpu_s
            resident_bytes = read_resident_bytes(processes) / instances
            cpu_share = cpu_s / (time.monotonic() - started_s) / instances
        finally:
            processes.kill()
        cpu_points.append(Point(endpoints / instances, 1e6 * cpu_share))
        memory_points.append(Point(endpoints / instances, resident_bytes))
    return [
        build_series(
            "idle_memory", "endpoints of an instance", "resident bytes per instance", memory_points
        ),
        build_series(
            "idle_cpu",
            "endpoints of an instance",
            "processor µs per instance and second",
            cpu_points,
        ),
    ]


def read_cpu_s(processes: DeploymentProcesses) -> float:
    """Return the processor seconds used by all daemons since they started."""
    ticks = os.sysconf("SC_CLK_TCK")
    total = 0.0
    for daemon in processes.daemons.values():
        text = Path(f"/proc/{daemon.process.pid}/stat").read_text()
        # The process name in parentheses may contain spaces; after it, user and system
        # time are the 12th and 13th fields.
        fields = text.rpartition(")")[2].split()
        total += (int(fields[11]) + int(fields[12])) / ticks
    return total


def read_resident_bytes(processes: DeploymentProcesses) -> float:
    """Return the resident memory of all daemons in bytes."""
    total = 0.0
    for daemon in processes.daemons.values():
        for line in Path(f"/proc/{daemon.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                total += 1024 * float(line.split()[1])
    return total
