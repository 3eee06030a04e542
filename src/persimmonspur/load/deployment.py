"""Example deployments: their configuration and the specifications of their searchers."""

from attrs import frozen

from persimmonspur.model.configuration import (
    KEY_SPACE_UNITS,
    Configuration,
    Endpoint,
    EndpointLimits,
    FailureDomain,
    PriorityClass,
    Service,
    Shard,
    ShardMap,
)
from persimmonspur.standins.searcher import SearcherSpec

PRIORITY_CLASSES = (
    PriorityClass("counter", 0, 0.5),
    PriorityClass("interactive", 1, 0.3),
    PriorityClass("batch", 2, 0.2),
)


@frozen
class ServiceSpec:
    """Number of endpoints of a service and the limits of each endpoint.

    :param connect_ms: time to open a connection, in milliseconds.
    """

    name: str
    endpoints: int
    slots: int
    connections: int
    connect_ms: float


@frozen
class DeploymentSpec:
    """Failure domains and services of a deployment.

    :param inter_domain_latency_ms: one-way latency between failure domains in milliseconds.
    """

    name: str
    failure_domains: tuple[str, ...]
    inter_domain_latency_ms: float
    services: tuple[ServiceSpec, ...]


DEPLOYMENTS = {
    "ulaanbaatar": DeploymentSpec(
        "ulaanbaatar",
        ("sukhbaatar", "bayanzurkh", "khan-uul"),
        0.5,
        (
            ServiceSpec("repair-counter", 30, 4, 75, 6.0),
            ServiceSpec("billing-office", 45, 4, 75, 6.0),
            ServiceSpec("pickup-dispatch", 10, 4, 200, 1.0),
            ServiceSpec("stock-ledger", 5, 4, 200, 1.0),
        ),
    ),
    "bengal-east": DeploymentSpec(
        "bengal-east",
        ("kolkata-a", "kolkata-b", "howrah-a", "durgapur-a"),
        1.5,
        (
            ServiceSpec("shopdesk", 30, 3, 65, 6.0),
            ServiceSpec("rider-app", 45, 3, 65, 6.0),
            ServiceSpec("creditnote", 13, 2, 75, 1.0),
            ServiceSpec("refill-ledger", 7, 2, 75, 1.0),
        ),
    ),
}


def count_replicas(spec: ServiceSpec) -> int:
    """Return the replicas of each shard: 3, or 2 where there are 10 or fewer endpoints."""
    return 2 if spec.endpoints <= 10 else 3


def build_shard_map(service: str, epoch: int, count: int) -> ShardMap:
    """Return a shard map that divides the key space evenly.

    :param count: number of shards.
    """
    bounds = [KEY_SPACE_UNITS * index // count for index in range(count + 1)]
    return ShardMap(
        epoch,
        tuple(
            Shard(f"{service}-e{epoch}-s{index}", bounds[index], bounds[index + 1])
            for index in range(count)
        ),
    )


def build_service(
    deployment: DeploymentSpec, spec: ServiceSpec, addresses: dict[str, str]
) -> Service:
    """Return the service; endpoint i serves shard i modulo the number of shards.

    :param addresses: addresses by endpoint name; an endpoint without one gets a placeholder.
    """
    count = spec.endpoints // count_replicas(spec)
    shard_map = build_shard_map(spec.name, 1, count)
    domains = deployment.failure_domains
    endpoints = []
    for index in range(spec.endpoints):
        name = f"{spec.name}-{index}"
        replica = index // count
        endpoints.append(
            Endpoint(
                name,
                spec.name,
                addresses.get(name, "127.0.0.1:1"),
                domains[(index % count + replica) % len(domains)],
                (shard_map.shards[index % count].name,),
            )
        )
    limits = EndpointLimits(spec.slots, spec.connections, spec.connect_ms)
    return Service(spec.name, limits, (shard_map,), tuple(endpoints))


def build_configuration(
    deployment: DeploymentSpec, addresses: dict[str, str] | None = None
) -> Configuration:
    """Return the configuration of a deployment.

    :param addresses: see :func:`build_service`.
    """
    services = tuple(
        build_service(deployment, spec, addresses or {}) for spec in deployment.services
    )
    domains = tuple(FailureDomain(name) for name in deployment.failure_domains)
    return Configuration(deployment.name, domains, PRIORITY_CLASSES, services)


def build_searcher_specs(
    configuration: Configuration, failure_domain: str, snapshots: list[str]
) -> list[SearcherSpec]:
    """Return the specifications of the stand-in searchers of one failure domain."""
    specs = []
    for service in configuration.services:
        ranges = {}
        for shard_map in service.shard_maps:
            for shard in shard_map.shards:
                ranges[shard.name] = (shard.start, shard.stop)
        for endpoint in service.endpoints:
            if endpoint.failure_domain != failure_domain:
                continue
            specs.append(
                SearcherSpec(
                    endpoint.name,
                    service.name,
                    service.limits.slots,
                    service.limits.connections,
                    service.limits.connect_ms,
                    {shard: ranges[shard] for shard in endpoint.shards},
                    list(snapshots),
                )
            )
    return specs
