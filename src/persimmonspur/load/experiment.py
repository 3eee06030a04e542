"""Runs experiment cases against the policy and the naive tier."""

import platform
import shutil
import subprocess
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import msgspec
from attrs import define, evolve, field, frozen

from persimmonspur.clock import Clock
from persimmonspur.load.cases import CASES, OVERLOAD_PARTS, OVERLOAD_WORK_MS, Case
from persimmonspur.load.deployment import DeploymentSpec, count_replicas
from persimmonspur.load.faults import Step, repartition_configuration
from persimmonspur.load.generator import Plan
from persimmonspur.load.processes import (
    DeploymentProcesses,
    build_environment,
    post_json,
    start_deployment,
)
from persimmonspur.load.results import (
    ExperimentRecord,
    GeneratorRecord,
    RunRecord,
    check_once,
    list_calls,
    measure_goodput,
    merge_flows,
    summarise_endpoints,
)
from persimmonspur.load.verifier import ResultVerifier
from persimmonspur.load.workload import WINDOWS, Flow

# Time between the hand-over of the start time and the start of the load.
LEAD_MS = 100.0
CAPACITY_SECONDS = 2.5
CAPACITY_WARMUP_S = 0.5
# Rates as parts of what the slots of the busiest shard could do.
CAPACITY_STEPS = (0.4, 0.55, 0.7, 0.85, 1.0)
# The first windows of a step still show the change of the rate.
CAPACITY_WINDOW = 2
# Share of the offered load below which a tier is saturated.
COMPLETE_SHARE = 0.9


@frozen
class ExperimentOptions:
    """What all runs of an experiment share.

    :param seconds: measured time of each run, in seconds.
    :param warmup_s: load before the measured time, in seconds.
    :param generators: load generator processes.
    :param capacity: queries per second; 0 measures it where a case needs it.
    """

    deployment: DeploymentSpec
    instances: int
    seconds: float
    warmup_s: float
    generators: int
    capacity: float = 0.0


@define
class Experiment:
    """Runs cases and keeps what was measured once for all of them.

    :param report: takes one line of progress.
    :param save: takes the results so far after every run.
    """

    options: ExperimentOptions
    report: Callable[[str], None]
    save: Callable[[ExperimentRecord], None] = lambda record: None
    _capacities: dict[str, float] = field(factory=dict)

    def run(self, cases: list[str], tiers: list[str], seeds: list[int]) -> ExperimentRecord:
        """Run every case with every tier and seed, one after the other."""
        options = self.options
        record = ExperimentRecord(
            datetime.now(UTC).isoformat(timespec="seconds"),
            f"{platform.machine()}, Python {platform.python_version()}",
            options.deployment.name,
            options.instances,
            [],
            [],
        )
        for seed in seeds:
            for name in cases:
                for tier in tiers:
                    self._run_one(record, CASES.get(name), tier, seed)
                    self.save(record)
        return record

    def _run_one(self, record: ExperimentRecord, case: Case, tier: str, seed: int) -> None:
        started_s = time.monotonic()
        try:
            run = self._run_case(case, tier, seed)
        except (OSError, RuntimeError, TimeoutError, ValueError) as error:
            record.failures.append(f"{case.name}, {tier}, seed {seed}: {error!r}")
            self.report(f"{case.name:14} {tier:7} seed {seed}: failed: {error!r}")
            return
        record.runs.append(run)
        seconds = time.monotonic() - started_s
        self.report(f"{case.name:14} {tier:7} seed {seed}: {_summarise(run)} ({seconds:.1f} s)")

    def _run_case(self, case: Case, tier: str, seed: int) -> RunRecord:
        options = self.options
        processes = start_deployment(options.deployment, options.instances, tier=tier)
        try:
            capacity = self._find_capacity(processes) if case.needs_capacity else 0.0
            flows = case.build_flows(options.deployment, capacity)
            run = run_case(processes, case, flows, options, seed, capacity)
        finally:
            processes.kill()
        # The logs of failed runs stay.
        shutil.rmtree(processes.directory, ignore_errors=True)
        return run

    def _find_capacity(self, processes: DeploymentProcesses) -> float:
        if self.options.capacity:
            return self.options.capacity
        if processes.tier not in self._capacities:
            self._capacities[processes.tier] = measure_capacity(processes, self.options)
            self.report(
                f"capacity of {processes.tier}: {self._capacities[processes.tier]:.1f} queries/s"
            )
        return self._capacities[processes.tier]


def run_case(
    processes: DeploymentProcesses,
    case: Case,
    flows: dict[str, Flow],
    options: ExperimentOptions,
    seed: int,
    capacity: float,
) -> RunRecord:
    """Send a case's load to running processes and inject its faults."""
    verifier = ResultVerifier.from_configurations(
        processes.configuration, repartition_configuration(processes.configuration)
    )
    plans = build_plans(processes.list_addresses(), flows, options, seed, verifier)
    records = send_load(processes, plans, case.build_schedule())
    names = records[0].flows
    merged = {name: merge_flows([record.flows[name] for record in records]) for name in names}
    counts = processes.read_counts()
    slots: dict[str, int] = {}
    for service in processes.configuration.services:
        slots.update({endpoint.name: service.limits.slots for endpoint in service.endpoints})
    labels: dict[str, list[str]] = {}
    for flow in merged.values():
        labels.update(flow.labels)
        flow.labels = {}
    parts = OVERLOAD_PARTS if case.needs_capacity else {"all": (0, WINDOWS)}
    return RunRecord(
        case.name,
        processes.tier,
        seed,
        options.seconds,
        merged,
        {
            name: round(measure_goodput(merged, options.seconds, first, stop), 2)
            for name, (first, stop) in parts.items()
        },
        summarise_endpoints(counts, slots),
        check_once(labels, counts),
        max(record.cpu_share for record in records),
        list_calls(post_json(processes.object_api, "/counts", {})),
        round(capacity, 2),
    )


def build_plans(
    addresses: list[str],
    flows: dict[str, Flow],
    options: ExperimentOptions,
    seed: int,
    verifier: ResultVerifier,
) -> list[Plan]:
    """Divide the load among the generators; the sum of Poisson arrivals is Poisson."""
    part = {name: evolve(flow, rate=flow.rate / options.generators) for name, flow in flows.items()}
    return [
        Plan(
            addresses,
            part,
            options.seconds,
            options.warmup_s,
            seed * 100 + index,
            verifier.shard_maps,
        )
        for index in range(options.generators)
    ]


def send_load(
    processes: DeploymentProcesses, plans: list[Plan], schedule: list[Step]
) -> list[GeneratorRecord]:
    """Start the generators together, inject the faults and collect the results.

    :raises RuntimeError: if a generator ends without a result.
    """
    clock = Clock()
    generators = [_start_generator(plan) for plan in plans]
    try:
        for generator in generators:
            _read_line(generator)
        start_ms = clock.now_ms() + LEAD_MS
        for generator in generators:
            _write_line(generator, f"{start_ms}")
        measured_ms = start_ms + plans[0].warmup_s * 1000
        for step in schedule:
            at_ms = measured_ms + step.position * plans[0].seconds * 1000
            time.sleep(max(0.0, at_ms - clock.now_ms()) / 1000)
            step.inject(processes)
        return [
            msgspec.json.decode(_read_line(generator), type=GeneratorRecord)
            for generator in generators
        ]
    finally:
        for generator in generators:
            generator.kill()
            generator.wait()


def measure_capacity(processes: DeploymentProcesses, options: ExperimentOptions) -> float:
    """Raise the rate in steps until the tier is saturated.

    :returns: the highest goodput seen, in queries per second.
    """
    shape = options.deployment.services[0]
    slots = shape.slots * count_replicas(shape)
    most = slots / OVERLOAD_WORK_MS * 1000
    verifier = ResultVerifier.from_configurations(processes.configuration)
    best = 0.0
    for index, step in enumerate(CAPACITY_STEPS):
        flow = Flow(shape.name, "counter", most * step, 1_000.0, OVERLOAD_WORK_MS, 10)
        short = evolve(options, seconds=CAPACITY_SECONDS, warmup_s=CAPACITY_WARMUP_S)
        plans = build_plans(
            processes.list_addresses(), {"load": flow}, short, 900 + index, verifier
        )
        records = send_load(processes, plans, [])
        merged = merge_flows([record.flows["load"] for record in records])
        goodput = measure_goodput({"load": merged}, CAPACITY_SECONDS, CAPACITY_WINDOW)
        best = max(best, goodput)
        if goodput < COMPLETE_SHARE * most * step:
            break
    return best


def _summarise(run: RunRecord) -> str:
    sent = sum(flow.sent for flow in run.flows.values())
    complete = sum(flow.complete for flow in run.flows.values())
    wrong = sum(flow.wrong for flow in run.flows.values())
    errors: dict[str, int] = {}
    for flow in run.flows.values():
        for kind, count in flow.errors.items():
            errors[kind] = errors.get(kind, 0) + count
    return (
        f"{sent} sent, {complete} complete, {wrong} wrong, "
        f"{run.endpoints.overruns} overruns, {run.endpoints.cold_overruns} cold overruns, "
        f"{run.once.duplicates} duplicates, errors {errors}"
    )


def _start_generator(plan: Plan) -> "subprocess.Popen[bytes]":
    process = subprocess.Popen(
        [sys.executable, "-m", "persimmonspur.load.generator"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=build_environment(),
        process_group=0,
    )
    _write_line(process, msgspec.json.encode(plan).decode())
    return process


def _write_line(process: Any, text: str) -> None:
    process.stdin.write(text.encode() + b"\n")
    process.stdin.flush()


def _read_line(process: Any) -> bytes:
    line: bytes = process.stdout.readline()
    if not line:
        raise RuntimeError("a load generator ended without a result")
    return line
