"""The experiment cases, each with a load and a fault schedule."""

from collections.abc import Callable

from attrs import evolve, frozen

from persimmonspur.load import faults
from persimmonspur.load.deployment import DeploymentSpec
from persimmonspur.load.faults import FaultStep
from persimmonspur.load.workload import Flow
from persimmonspur.registry import Registry

Flows = dict[str, Flow]
Schedule = list[FaultStep]
COUNTER_FLOW = "counter"
# Service time of the overload case, long enough that the endpoints' slots limit the goodput
# and not the CPU of the machine.
OVERLOAD_WORK_MS = 60.0
# First window and window after the last, for each half of the run. The first window of each
# half is left out; in that of the second half, the rate has just changed.
OVERLOAD_WINDOWS = {"at capacity": (1, 5), "at 1.5 times capacity": (6, 10)}


@frozen
class Case:
    """One experiment case.

    :param build_flows: takes the deployment and the capacity in queries per second.
    :param build_schedule: returns the faults to inject.
    :param has_faults: whether the targets for runs with faults apply.
    :param needs_capacity: whether the flows depend on the measured capacity.
    """

    name: str
    description: str
    build_flows: Callable[[DeploymentSpec, float], Flows]
    build_schedule: Callable[[], Schedule]
    has_faults: bool = False
    needs_capacity: bool = False


CASES: Registry[Case] = Registry("case")


def register_case(
    name: str, description: str, build_flows: Callable[[DeploymentSpec, float], Flows]
) -> Callable[[Callable[[], Schedule]], Callable[[], Schedule]]:
    """Return a decorator that registers a case with the decorated fault schedule.

    :param build_flows: takes the deployment and the capacity in queries per second.
    """

    def decorate(build_schedule: Callable[[], Schedule]) -> Callable[[], Schedule]:
        needs_capacity = build_flows is build_overload_flows
        has_faults = bool(build_schedule())
        case = Case(name, description, build_flows, build_schedule, has_faults, needs_capacity)
        CASES.register(name)(case)
        return build_schedule

    return decorate


def build_mixed_flows(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return a constant load of all priority classes and of non-repeatable requests."""
    names = [service.name for service in deployment.services]
    return {
        COUNTER_FLOW: Flow(names[0], "counter", 40.0, 1_000.0, 4.0, 10),
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


def build_morning_flows(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return a load that rises and falls, of many small queries."""
    mixed = build_mixed_flows(deployment, capacity)
    return {
        COUNTER_FLOW: evolve(mixed[COUNTER_FLOW], rate=70.0, shape="wave"),
        "interactive": evolve(mixed["interactive"], rate=40.0, shape="wave"),
        "once": mixed["once"],
    }


def build_evening_flows(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return a load that rises and falls, of fewer and larger queries."""
    mixed = build_mixed_flows(deployment, capacity)
    return {
        COUNTER_FLOW: evolve(mixed[COUNTER_FLOW], rate=15.0),
        "batch": evolve(mixed["batch"], rate=16.0, work_ms=40.0, top=100, shape="wave"),
        "once": mixed["once"],
    }


def build_combined_flows(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return the morning and evening loads together."""
    morning = build_morning_flows(deployment, capacity)
    return {**build_evening_flows(deployment, capacity), **morning}


def build_overload_flows(deployment: DeploymentSpec, capacity: float) -> Flows:
    """Return a load at capacity in the first half and 1.5 times that in the second half."""
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


# The last decorator is applied first, so the cases are registered from bottom to top.
@register_case("both", "both waves together", build_combined_flows)
@register_case("evening", "evening wave", build_evening_flows)
@register_case("morning", "morning wave", build_morning_flows)
@register_case("steady", "constant load without faults", build_mixed_flows)
def schedule_no_faults() -> Schedule:
    """Return an empty schedule."""
    return []


@register_case("straggler", "one straggler per shard", build_mixed_flows)
def schedule_stragglers() -> Schedule:
    """Return a slowdown of replicas for the whole run."""
    return [FaultStep(0.0, "stragglers", faults.slow_first_replicas)]


@register_case("replica-loss", "one replica per shard lost and back, cold", build_mixed_flows)
def schedule_replica_loss() -> Schedule:
    """Return a loss of replicas for half of the run."""
    return [
        FaultStep(0.15, "replicas lost", faults.stop_first_replicas),
        FaultStep(0.65, "replicas back", faults.start_first_replicas),
    ]


@register_case(
    "cold-restart", "a third of the endpoints turns cold without notice", build_mixed_flows
)
def schedule_cold_restart() -> Schedule:
    """Return two restarts of a third of the endpoints."""
    return [
        FaultStep(0.2, "third of endpoints cold", faults.restart_third_of_endpoints),
        FaultStep(0.6, "third of endpoints cold again", faults.restart_third_of_endpoints),
    ]


@register_case("domain-move", "failure domain out and back", build_mixed_flows)
def schedule_domain_move() -> Schedule:
    """Return a planned outage of a domain, declared before its searchers stop."""
    return [
        FaultStep(0.1, "domain declared out", faults.declare_domain_out),
        FaultStep(0.5, "domain stopped", faults.stop_domain),
        FaultStep(0.65, "domain started cold", faults.start_domain),
        FaultStep(0.7, "domain declared serving", faults.declare_domain_serving),
    ]


@register_case("platform-down", "object API down, then slow", build_mixed_flows)
def schedule_platform_down() -> Schedule:
    """Return an outage and a slowdown of the object API for most of the run."""
    return [
        FaultStep(0.05, "object API down", faults.take_object_api_down),
        FaultStep(0.75, "object API slow", faults.slow_down_object_api),
        FaultStep(0.9, "object API back", faults.restore_object_api),
    ]


@register_case("entry-loss", "one entry instance killed, another frozen", build_mixed_flows)
def schedule_entry_loss() -> Schedule:
    """Return the kill of an instance and the freeze of another, overlapping in time."""
    return [
        FaultStep(0.1, "entry killed", faults.kill_entry_instance),
        FaultStep(0.2, "entry frozen", faults.freeze_entry_instance),
        FaultStep(0.5, "killed entry restarted", faults.restart_entry_instance),
        FaultStep(0.75, "frozen entry resumed", faults.resume_entry_instance),
    ]


@register_case("reindex", "index version change and repartition", build_mixed_flows)
def schedule_reindex() -> Schedule:
    """Return the rollout of a new index version, then of a new shard map."""
    return [
        FaultStep(0.1, "version 2 at half", faults.load_new_version_on_half),
        FaultStep(0.25, "version 2 everywhere", faults.load_new_version_everywhere),
        FaultStep(0.4, "version 1 dropped", faults.drop_old_version),
        FaultStep(0.5, "repartition", faults.repartition),
        FaultStep(0.8, "epoch 1 dropped", faults.drop_old_epoch),
    ]


@register_case("overload", "1.5 times capacity", build_overload_flows)
def schedule_overload() -> Schedule:
    """Return an empty schedule: this case stresses the tier with its load alone."""
    return []
