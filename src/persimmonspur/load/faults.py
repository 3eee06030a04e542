"""Faults injected by the schedules of the experiment cases."""

import signal
from collections.abc import Callable
from typing import Any

from attrs import evolve, frozen

from persimmonspur.load.deployment import build_shard_map
from persimmonspur.load.processes import DeploymentProcesses, post_json
from persimmonspur.load.publishing import publish, set_failure_domain_state
from persimmonspur.model.configuration import Configuration, DesiredState, Endpoint, Service

STRAGGLER_SLOWDOWN = 30.0
NEW_EPOCH = 2

FaultInjector = Callable[[DeploymentProcesses], None]


@frozen
class FaultStep:
    """One fault of a schedule.

    :param position: time of the injection as a fraction of the measured time, 0 to 1.
    """

    position: float
    name: str
    inject: FaultInjector


def slow_first_replicas(processes: DeploymentProcesses) -> None:
    """Slow down one replica of every shard of every service."""
    _control_first_replicas(processes, {"slowdown": STRAGGLER_SLOWDOWN})


def stop_first_replicas(processes: DeploymentProcesses) -> None:
    """Stop one replica of every shard of every service without notice."""
    _control_first_replicas(processes, {"down": True})


def start_first_replicas(processes: DeploymentProcesses) -> None:
    """Start the stopped replicas, cold."""
    _control_first_replicas(processes, {"down": False, "cold": True})


def restart_third_of_endpoints(processes: DeploymentProcesses) -> None:
    """Make every third endpoint of each service cold without notice, as after a restart."""
    changes: dict[str, Any] = {}
    for service in processes.configuration.services:
        for endpoint in service.endpoints[::3]:
            changes[endpoint.name] = {"cold": True}
    processes.control_searchers(changes)


def declare_domain_out(processes: DeploymentProcesses) -> None:
    """Declare the first failure domain out of service."""
    name = processes.deployment.failure_domains[0]
    configuration = set_failure_domain_state(processes.configuration, name, DesiredState.OUT)
    publish(processes.object_api, configuration)


def stop_domain(processes: DeploymentProcesses) -> None:
    """Stop the searchers of the first failure domain."""
    _control_domain(processes, {"down": True})


def start_domain(processes: DeploymentProcesses) -> None:
    """Start the searchers of the first failure domain, cold."""
    _control_domain(processes, {"down": False, "cold": True})


def declare_domain_serving(processes: DeploymentProcesses) -> None:
    """Declare the first failure domain serving again."""
    publish(processes.object_api, processes.configuration)


def take_object_api_down(processes: DeploymentProcesses) -> None:
    """Make every call to the object API fail."""
    post_json(processes.object_api, "/control", {"faults": {"down": True}})


def slow_down_object_api(processes: DeploymentProcesses) -> None:
    """Make the object API respond again, but with a delay."""
    faults = {"down": False, "delay_ms": 800.0}
    post_json(processes.object_api, "/control", {"faults": faults})


def restore_object_api(processes: DeploymentProcesses) -> None:
    """Remove all faults of the object API."""
    faults = {"down": False, "delay_ms": 0.0}
    post_json(processes.object_api, "/control", {"faults": faults})


def kill_entry_instance(processes: DeploymentProcesses) -> None:
    """Kill the first entry instance."""
    processes.signal_daemon("entry-0", signal.SIGKILL)


def restart_entry_instance(processes: DeploymentProcesses) -> None:
    """Restart the killed entry instance under the same name."""
    processes.restart_daemon("entry-0")


def freeze_entry_instance(processes: DeploymentProcesses) -> None:
    """Suspend the second entry instance, as a paused virtual machine would be."""
    processes.signal_daemon("entry-1", signal.SIGSTOP)


def resume_entry_instance(processes: DeploymentProcesses) -> None:
    """Resume the frozen entry instance."""
    processes.signal_daemon("entry-1", signal.SIGCONT)


def load_new_version_on_half(processes: DeploymentProcesses) -> None:
    """Load index version 2 in addition to version 1 on the first half of the endpoints."""
    _load_snapshots(processes, processes.configuration, ["1.1", "1.2"], first_half=True)


def load_new_version_everywhere(processes: DeploymentProcesses) -> None:
    """Load index version 2 on all endpoints."""
    _load_snapshots(processes, processes.configuration, ["1.1", "1.2"])


def drop_old_version(processes: DeploymentProcesses) -> None:
    """Unload index version 1."""
    _load_snapshots(processes, processes.configuration, ["1.2"])


def repartition(processes: DeploymentProcesses) -> None:
    """Load the shards of a second epoch in addition to the first, then publish its shard maps."""
    configuration = repartition_configuration(processes.configuration)
    _load_snapshots(processes, configuration, ["1.2", "2.2"])
    publish(processes.object_api, configuration)


def drop_old_epoch(processes: DeploymentProcesses) -> None:
    """Unload the shards of the first epoch."""
    configuration = repartition_configuration(processes.configuration)
    _load_snapshots(processes, configuration, ["2.2"])


def repartition_configuration(configuration: Configuration) -> Configuration:
    """Return the configuration with shard maps of a second epoch in addition to the first.

    The second epoch has one shard less per service; the endpoints that serve the last
    shard of the first epoch hold an additional replica of another shard.
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
    """Return the first endpoint of each shard of the service."""
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
