"""Runs experiment cases against the policy and naive tiers."""

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
from persimmonspur.load.cases import CASES, OVERLOAD_WINDOWS, OVERLOAD_WORK_MS, Case
from persimmonspur.load.deployment import DeploymentSpec, count_replicas
from persimmonspur.load.faults import FaultStep, repartition_configuration
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
    compute_goodput,
    merge_flows,
    select_call_totals,
    summarise_endpoint_counts,
    verify_non_repeatable,
)
from persimmonspur.load.verifier import ResultVerifier
from persimmonspur.load.workload import WINDOWS, Flow

# Time from the start command to the generators until they start to send.
START_LEAD_MS = 100.0
CAPACITY_SECONDS = 2.5
CAPACITY_WARMUP_S = 0.5
# Rates as fractions of the theoretical throughput of one shard's slots.
CAPACITY_RATE_SHARES = (0.4, 0.55, 0.7, 0.85, 1.0)
# The windows before this one still show the change of the rate.
CAPACITY_FIRST_WINDOW = 2
# A tier whose goodput is below this share of the offered load is saturated.
SATURATION_GOODPUT_SHARE = 0.9


@frozen
class ExperimentOptions:
    """Options for all runs of an experiment.

    :param seconds: measured time of each run, in seconds.
    :param warmup_s: length of the load before the measured time, in seconds.
    :param generators: number of load generator processes.
    :param capacity: queries per second; if 0, it is measured when a case needs it.
    """

    deployment: DeploymentSpec
    instances: int
    seconds: float
    warmup_s: float
    generators: int
    capacity: float = 0.0


@define
class Experiment:
    """Runs cases and keeps the capacity measured for each tier.

    :param report_progress: called with one line of text after every run.
    :param save_results: called after every run with the results so far.
    """

    options: ExperimentOptions
    report_progress: Callable[[str], None]
    save_results: Callable[[ExperimentRecord], None] = lambda record: None
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
                    self._run_and_record(record, CASES.get(name), tier, seed)
                    self.save_results(record)
        return record

    def _run_and_record(self, record: ExperimentRecord, case: Case, tier: str, seed: int) -> None:
        started_s = time.monotonic()
        try:
            run = self._run_case(case, tier, seed)
        except (OSError, RuntimeError, TimeoutError, ValueError) as error:
            record.failures.append(f"{case.name}, {tier}, seed {seed}: {error!r}")
            self.report_progress(f"{case.name:14} {tier:7} seed {seed}: failed: {error!r}")
            return
        record.runs.append(run)
        seconds = time.monotonic() - started_s
        self.report_progress(
            f"{case.name:14} {tier:7} seed {seed}: {_describe_run(run)} ({seconds:.1f} s)"
        )

    def _run_case(self, case: Case, tier: str, seed: int) -> RunRecord:
        options = self.options
        processes = start_deployment(options.deployment, options.instances, tier=tier)
        try:
            capacity = self._get_capacity(processes) if case.needs_capacity else 0.0
            flows = case.build_flows(options.deployment, capacity)
            run = run_case(processes, case, flows, options, seed, capacity)
        finally:
            processes.kill()
        # After a failed run, the logs are kept.
        shutil.rmtree(processes.directory, ignore_errors=True)
        return run

    def _get_capacity(self, processes: DeploymentProcesses) -> float:
        if self.options.capacity:
            return self.options.capacity
        if processes.tier not in self._capacities:
            self._capacities[processes.tier] = measure_capacity(processes, self.options)
            self.report_progress(
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
    """Send the load of a case to a running deployment and inject its faults."""
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
    goodput_windows = OVERLOAD_WINDOWS if case.needs_capacity else {"all": (0, WINDOWS)}
    return RunRecord(
        case.name,
        processes.tier,
        seed,
        options.seconds,
        merged,
        {
            name: round(compute_goodput(merged, options.seconds, first, stop), 2)
            for name, (first, stop) in goodput_windows.items()
        },
        summarise_endpoint_counts(counts, slots),
        verify_non_repeatable(labels, counts),
        max(record.cpu_share for record in records),
        select_call_totals(post_json(processes.object_api, "/counts", {})),
        round(capacity, 2),
    )


def build_plans(
    addresses: list[str],
    flows: dict[str, Flow],
    options: ExperimentOptions,
    seed: int,
    verifier: ResultVerifier,
) -> list[Plan]:
    """Divide the load among the generators; the sum of Poisson processes is a Poisson process."""
    generator_flows = {
        name: evolve(flow, rate=flow.rate / options.generators) for name, flow in flows.items()
    }
    return [
        Plan(
            addresses,
            generator_flows,
            options.seconds,
            options.warmup_s,
            seed * 100 + index,
            verifier.shard_maps,
        )
        for index in range(options.generators)
    ]


def send_load(
    processes: DeploymentProcesses, plans: list[Plan], schedule: list[FaultStep]
) -> list[GeneratorRecord]:
    """Start the generators simultaneously, inject the faults and collect the results.

    :raises RuntimeError: if a generator exits without a result.
    """
    clock = Clock()
    generators = [_start_generator(plan) for plan in plans]
    try:
        for generator in generators:
            _read_line(generator)
        start_ms = clock.now_ms() + START_LEAD_MS
        for generator in generators:
            _write_line(generator, f"{start_ms}")
        measured_start_ms = start_ms + plans[0].warmup_s * 1000
        for step in schedule:
            inject_at_ms = measured_start_ms + step.position * plans[0].seconds * 1000
            time.sleep(max(0.0, inject_at_ms - clock.now_ms()) / 1000)
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

    :returns: the highest goodput of any step, in queries per second.
    """
    service = options.deployment.services[0]
    slots = service.slots * count_replicas(service)
    max_rate = slots / OVERLOAD_WORK_MS * 1000
    verifier = ResultVerifier.from_configurations(processes.configuration)
    best_goodput = 0.0
    for index, rate_share in enumerate(CAPACITY_RATE_SHARES):
        flow = Flow(service.name, "counter", max_rate * rate_share, 1_000.0, OVERLOAD_WORK_MS, 10)
        step_options = evolve(options, seconds=CAPACITY_SECONDS, warmup_s=CAPACITY_WARMUP_S)
        plans = build_plans(
            processes.list_addresses(), {"load": flow}, step_options, 900 + index, verifier
        )
        records = send_load(processes, plans, [])
        merged = merge_flows([record.flows["load"] for record in records])
        goodput = compute_goodput({"load": merged}, CAPACITY_SECONDS, CAPACITY_FIRST_WINDOW)
        best_goodput = max(best_goodput, goodput)
        if goodput < SATURATION_GOODPUT_SHARE * max_rate * rate_share:
            break
    return best_goodput


def _describe_run(run: RunRecord) -> str:
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
