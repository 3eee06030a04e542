"""Faults that an experiment case injects, each a step of its schedule."""

import signal
from collections.abc import Callable
from typing import Any

from attrs import evolve, frozen

from persimmonspur.load.deployment import build_shard_map
from persimmonspur.load.processes import DeploymentProcesses, post_json
from persimmonspur.load.publishing import publish, set_domain
from persimmonspur.model.configuration import Configuration, DesiredState, Endpoint, Service

STRAGGLER_SLOWDOWN = 30.0
NEW_EPOCH = 2

Inject = Callable[[DeploymentProcesses], None]


@frozen
class Step:
    """One fault.

    :param position: when it happens, as a part of the measured time (0 to 1).
    """

    position: float
    name: str
    inject: Inject


def slow_first_replicas(processes: DeploymentProcesses) -> None:
    """Make one replica of every shard of every service a straggler."""
    _control_first_replicas(processes, {"slowdown": STRAGGLER_SLOWDOWN})


def stop_first_replicas(processes: DeploymentProcesses) -> None:
    """End one replica of every shard of every service without notice."""
    _control_first_replicas(processes, {"down": True})


def start_first_replicas(processes: DeploymentProcesses) -> None:
    """Bring the lost replicas back, cold."""
    _control_first_replicas(processes, {"down": False, "cold": True})


def restart_third(processes: DeploymentProcesses) -> None:
    """Turn every third endpoint of each service cold without notice."""
    changes: dict[str, Any] = {}
    for service in processes.configuration.services:
        for endpoint in service.endpoints[::3]:
            changes[endpoint.name] = {"cold": True}
    processes.control_searchers(changes)


def take_domain_out(processes: DeploymentProcesses) -> None:
    """Declare the first failure domain out of service."""
    name = processes.deployment.failure_domains[0]
    configuration = set_domain(processes.configuration, name, DesiredState.OUT)
    publish(processes.object_api, configuration)


def stop_domain(processes: DeploymentProcesses) -> None:
    """End the searchers of the first failure domain."""
    _control_domain(processes, {"down": True})


def start_domain(processes: DeploymentProcesses) -> None:
    """Start the searchers of the first failure domain, cold."""
    _control_domain(processes, {"down": False, "cold": True})


def bring_domain_back(processes: DeploymentProcesses) -> None:
    """Declare that the first failure domain serves again."""
    publish(processes.object_api, processes.configuration)


def stop_platform(processes: DeploymentProcesses) -> None:
    """Make every call of the object API fail."""
    post_json(processes.object_api, "/control", {"faults": {"down": True}})


def slow_platform(processes: DeploymentProcesses) -> None:
    """Make the object API answer again, but slowly."""
    faults = {"down": False, "delay_ms": 800.0}
    post_json(processes.object_api, "/control", {"faults": faults})


def start_platform(processes: DeploymentProcesses) -> None:
    """Make the object API work as usual."""
    faults = {"down": False, "delay_ms": 0.0}
    post_json(processes.object_api, "/control", {"faults": faults})


def kill_entry(processes: DeploymentProcesses) -> None:
    """Kill the first entry instance."""
    processes.signal_daemon("entry-0", signal.SIGKILL)


def restart_entry(processes: DeploymentProcesses) -> None:
    """Start the killed entry instance again under its name."""
    processes.restart_daemon("entry-0")


def freeze_entry(processes: DeploymentProcesses) -> None:
    """Pause the second entry instance, as a stopped virtual machine would."""
    processes.signal_daemon("entry-1", signal.SIGSTOP)


def resume_entry(processes: DeploymentProcesses) -> None:
    """Let the frozen entry instance go on."""
    processes.signal_daemon("entry-1", signal.SIGCONT)


def add_index_version(processes: DeploymentProcesses) -> None:
    """Load index version 2 beside version 1 at the first half of the endpoints."""
    _load_snapshots(processes, processes.configuration, ["1.1", "1.2"], first_half=True)


def finish_index_version(processes: DeploymentProcesses) -> None:
    """Load index version 2 everywhere."""
    _load_snapshots(processes, processes.configuration, ["1.1", "1.2"])


def drop_old_version(processes: DeploymentProcesses) -> None:
    """Drop index version 1."""
    _load_snapshots(processes, processes.configuration, ["1.2"])


def repartition(processes: DeploymentProcesses) -> None:
    """Declare shard maps of a second epoch and load their shards beside the old ones."""
    configuration = repartition_configuration(processes.configuration)
    _load_snapshots(processes, configuration, ["1.2", "2.2"])
    publish(processes.object_api, configuration)


def drop_old_epoch(processes: DeploymentProcesses) -> None:
    """Drop the shards of the first epoch."""
    configuration = repartition_configuration(processes.configuration)
    _load_snapshots(processes, configuration, ["2.2"])


def repartition_configuration(configuration: Configuration) -> Configuration:
    """Return the configuration with shard maps of a second epoch beside the first.

    Every service gets one shard less; the endpoints that served the last shard
    take a further replica of another one.
    """
    services = tuple(_repartition_service(service) for service in configuration.services)
    return evolve(configuration, services=services)


def _repartition_service(service: Service) -> Service:
    old = service.shard_maps[0]
    count = max(1, len(old.shards) - 1)
    new = build_shard_map(service.name, NEW_EPOCH, count)
    endpoints = []
    for index, endpoint in enumerate(service.endpoints):
        shard = new.shards[index % count].name
        endpoints.append(evolve(endpoint, shards=(*endpoint.shards, shard)))
    return evolve(service, shard_maps=(old, new), endpoints=tuple(endpoints))


def _load_snapshots(
    processes: DeploymentProcesses,
    configuration: Configuration,
    snapshots: list[str],
    *,
    first_half: bool = False,
) -> None:
    changes: dict[str, Any] = {}
    for service in configuration.services:
        ranges = {}
        for shard_map in service.shard_maps:
            for shard in shard_map.shards:
                ranges[shard.name] = [shard.start, shard.stop]
        endpoints = service.endpoints
        for endpoint in endpoints[: len(endpoints) // 2] if first_half else endpoints:
            shards = {name: ranges[name] for name in endpoint.shards}
            changes[endpoint.name] = {"snapshots": snapshots, "shards": shards}
    processes.control_searchers(changes)


def _control_first_replicas(processes: DeploymentProcesses, change: dict[str, Any]) -> None:
    changes = {}
    for service in processes.configuration.services:
        for endpoint in list_first_replicas(service):
            changes[endpoint.name] = change
    processes.control_searchers(changes)


def list_first_replicas(service: Service) -> list[Endpoint]:
    """Return one endpoint for each shard of the service's first shard map."""
    chosen: dict[str, Endpoint] = {}
    for endpoint in service.endpoints:
        for shard in endpoint.shards:
            chosen.setdefault(shard, endpoint)
    return list(chosen.values())


def _control_domain(processes: DeploymentProcesses, change: dict[str, Any]) -> None:
    name = processes.deployment.failure_domains[0]
    changes = {}
    for service in processes.configuration.services:
        for endpoint in service.endpoints:
            if endpoint.failure_domain == name:
                changes[endpoint.name] = change
    processes.control_searchers(changes)
