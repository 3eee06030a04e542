"""The experiment cases: a load and a schedule of faults each."""

from collections.abc import Callable

from attrs import evolve, frozen

from persimmonspur.load import faults
from persimmonspur.load.deployment import DeploymentSpec
from persimmonspur.load.faults import Step
from persimmonspur.load.workload import Flow
from persimmonspur.registry import Registry

Flows = dict[str, Flow]
Schedule = list[Step]
COUNTER = "counter"
# Sub-requests of the overload case are slow, so that the endpoints' slots and
# not this machine's processor limit the goodput.
OVERLOAD_WORK_MS = 60.0
# Windows of the measured time, without those in which the rate has just changed.
OVERLOAD_PARTS = {"at capacity": (1, 5), "at 1.5 times capacity": (6, 10)}


@frozen
class Case:
    """One experiment case.

    :param build_schedule: returns the faults.
    :param faulty: whether the targets for faults apply.
    :param needs_capacity: whether the flows depend on the measured capacity.
    """

    name: str
    text: str
    build_flows: Callable[[DeploymentSpec, float], Flows]
    build_schedule: Callable[[], Schedule]
    faulty: bool = False
    needs_capacity: bool = False


CASES: Registry[Case] = Registry("case")


def define_case(
    name: str, text: str, build_flows: Callable[[DeploymentSpec, float], Flows]
) -> Callable[[Callable[[], Schedule]], Callable[[], Schedule]]:
    """Return a decorator that registers a case by its schedule of faults.

    :param build_flows: takes the deployment and the capacity in queries per second.
    """

    def add(build_schedule: Callable[[], Schedule]) -> Callable[[], Schedule]:
        needs_capacity = build_flows is build_overload
        faulty = bool(build_schedule())
        case = Case(name, text, build_flows, build_schedule, faulty, needs_capacity)
        CASES.register(name)(case)
        return build_schedule

    return add


def build_mixed(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return a constant load of all classes with non-repeatable requests."""
    names = [shape.name for shape in deployment.services]
    return {
        COUNTER: Flow(names[0], "counter", 40.0, 1_000.0, 4.0, 10),
        "interactive": Flow(names[2], "interactive", 20.0, 1_000.0, 4.0, 10),
        "batch": Flow(names[1], "batch", 4.0, 4_000.0, 20.0, 50, allow_partial=True),
        "once": Flow(
            names[3],
            "counter",
            12.0,
            1_000.0,
            4.0,
            1,
            single_key=True,
            repeatable=False,
            repeats=0.4,
        ),
    }


def build_morning(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return a wave of many small lookups."""
    mixed = build_mixed(deployment, capacity)
    return {
        COUNTER: evolve(mixed[COUNTER], rate=70.0, shape="wave"),
        "interactive": evolve(mixed["interactive"], rate=40.0, shape="wave"),
        "once": mixed["once"],
    }


def build_evening(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return a wave of fewer and much larger queries."""
    mixed = build_mixed(deployment, capacity)
    return {
        COUNTER: evolve(mixed[COUNTER], rate=15.0),
        "batch": evolve(mixed["batch"], rate=16.0, work_ms=40.0, top=100, shape="wave"),
        "once": mixed["once"],
    }


def build_both(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return both waves at the same time."""
    morning = build_morning(deployment, capacity)
    return {**build_evening(deployment, capacity), **morning}


def build_overload(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return the capacity in the first half and 1.5 times that in the second."""
    at_capacity = Flow(
        deployment.services[0].name,
        "counter",
        capacity,
        1_000.0,
        OVERLOAD_WORK_MS,
        10,
        shape="first_half",
    )
    return {
        "at capacity": at_capacity,
        "at 1.5 times capacity": evolve(at_capacity, rate=1.5 * capacity, shape="second_half"),
    }


# Decorators apply from the last to the first, which is the order of the cases.
@define_case("both", "both waves together", build_both)
@define_case("evening", "evening wave", build_evening)
@define_case("morning", "morning wave", build_morning)
@define_case("steady", "constant load without faults", build_mixed)
def schedule_nothing() -> Schedule:
    """Return no faults."""
    return []


@define_case("straggler", "one straggler per shard", build_mixed)
def schedule_stragglers() -> Schedule:
    """Return stragglers for the whole time."""
    return [Step(0.0, "stragglers", faults.slow_first_replicas)]


@define_case("replica-loss", "one replica per shard lost and back, cold", build_mixed)
def schedule_replica_loss() -> Schedule:
    """Return a loss for half of the time."""
    return [
        Step(0.15, "replicas lost", faults.stop_first_replicas),
        Step(0.65, "replicas back", faults.start_first_replicas),
    ]


@define_case("cold-restart", "a third of the endpoints turns cold without notice", build_mixed)
def schedule_cold_restart() -> Schedule:
    """Return two restarts."""
    return [
        Step(0.2, "third cold", faults.restart_third),
        Step(0.6, "third cold again", faults.restart_third),
    ]


@define_case("domain-move", "failure domain out and back", build_mixed)
def schedule_domain_move() -> Schedule:
    """Return a move with a few seconds between the declaration and the end."""
    return [
        Step(0.1, "domain declared out", faults.take_domain_out),
        Step(0.5, "domain ends", faults.stop_domain),
        Step(0.65, "domain starts cold", faults.start_domain),
        Step(0.7, "domain declared serving", faults.bring_domain_back),
    ]


@define_case("platform-down", "object API down, then slow", build_mixed)
def schedule_platform_down() -> Schedule:
    """Return an outage for most of the time."""
    return [
        Step(0.05, "platform down", faults.stop_platform),
        Step(0.75, "platform slow", faults.slow_platform),
        Step(0.9, "platform back", faults.start_platform),
    ]


@define_case("entry-loss", "one entry instance killed, another frozen", build_mixed)
def schedule_entry_loss() -> Schedule:
    """Return a kill and a freeze that overlap."""
    return [
        Step(0.1, "entry killed", faults.kill_entry),
        Step(0.2, "entry frozen", faults.freeze_entry),
        Step(0.5, "killed entry restarted", faults.restart_entry),
        Step(0.75, "frozen entry resumed", faults.resume_entry),
    ]


@define_case("reindex", "index version change and repartition", build_mixed)
def schedule_reindex() -> Schedule:
    """Return a new index version, then a new shard map."""
    return [
        Step(0.1, "version 2 at half", faults.add_index_version),
        Step(0.25, "version 2 everywhere", faults.finish_index_version),
        Step(0.4, "version 1 dropped", faults.drop_old_version),
        Step(0.5, "repartition", faults.repartition),
        Step(0.8, "epoch 1 dropped", faults.drop_old_epoch),
    ]


@define_case("overload", "1.5 times capacity", build_overload)
def schedule_overload() -> Schedule:
    """Return no faults: the load itself is the fault."""
    return []
