"""The example deployments as stand-in searchers and a configuration."""

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

CLASSES = (
    PriorityClass("counter", 0, 0.5),
    PriorityClass("interactive", 1, 0.3),
    PriorityClass("batch", 2, 0.2),
)


@frozen
class ServiceSpec:
    """Size and limits of a service.

    :param connect_ms: cost of a new connection in milliseconds.
    """

    name: str
    endpoints: int
    slots: int
    connections: int
    connect_ms: float


@frozen
class DeploymentSpec:
    """Size of a deployment.

    :param hop_ms: one-way latency between failure domains in milliseconds.
    """

    name: str
    failure_domains: tuple[str, ...]
    hop_ms: float
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


def count_replicas(shape: ServiceSpec) -> int:
    """Return the replicas of each shard: 3, or 2 where there are 10 or fewer endpoints."""
    return 2 if shape.endpoints <= 10 else 3


def build_shard_map(service: str, epoch: int, count: int) -> ShardMap:
    """Divide the key space evenly.

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
    deployment: DeploymentSpec, shape: ServiceSpec, addresses: dict[str, str]
) -> Service:
    """Declare a service; endpoint i serves shard i modulo the number of shards.

    :param addresses: address by endpoint name; missing ones get a placeholder.
    """
    count = shape.endpoints // count_replicas(shape)
    shard_map = build_shard_map(shape.name, 1, count)
    domains = deployment.failure_domains
    endpoints = []
    for index in range(shape.endpoints):
        name = f"{shape.name}-{index}"
        replica = index // count
        endpoints.append(
            Endpoint(
                name,
                shape.name,
                addresses.get(name, "127.0.0.1:1"),
                domains[(index % count + replica) % len(domains)],
                (shard_map.shards[index % count].name,),
            )
        )
    limits = EndpointLimits(shape.slots, shape.connections, shape.connect_ms)
    return Service(shape.name, limits, (shard_map,), tuple(endpoints))


def build_configuration(
    deployment: DeploymentSpec, addresses: dict[str, str] | None = None
) -> Configuration:
    """Declare a whole deployment."""
    services = tuple(
        build_service(deployment, shape, addresses or {}) for shape in deployment.services
    )
    domains = tuple(FailureDomain(name) for name in deployment.failure_domains)
    return Configuration(deployment.name, domains, CLASSES, services)


def build_specs(
    configuration: Configuration, failure_domain: str, snapshots: list[str]
) -> list[SearcherSpec]:
    """Describe the stand-in searchers of one failure domain."""
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
