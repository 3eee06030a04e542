"""The configuration of a deployment, as operators declare it."""

from enum import StrEnum

from attrs import field, frozen

KEY_SPACE_UNITS = 65_536


class DesiredState(StrEnum):
    """State that operators want an endpoint, instance or failure domain to be in."""

    SERVING = "serving"
    DRAINING = "draining"
    OUT = "out"


@frozen
class EndpointLimits:
    """Capacity of each endpoint of a service.

    :param slots: maximum number of concurrent requests.
    :param connections: maximum number of open connections, summed over all instances.
    :param connect_ms: cost of a new connection in milliseconds.
    :param queue: maximum number of requests queued for a slot at the owner.
    """

    slots: int
    connections: int
    connect_ms: float
    queue: int = 64


@frozen
class Shard:
    """A contiguous range of the key space.

    :param name: unique among all shard maps of the service.
    :param start: first key space unit of the range.
    :param stop: end of the range, exclusive; at most :data:`KEY_SPACE_UNITS`.
    """

    name: str
    start: int
    stop: int

    @property
    def units(self) -> int:
        """Size of the range in key space units."""
        return self.stop - self.start


@frozen
class ShardMap:
    """A partition of the whole key space into shards.

    :param epoch: increases with every repartition of the service.
    """

    epoch: int
    shards: tuple[Shard, ...]


@frozen
class Endpoint:
    """One searcher process, which serves shards of a service.

    :param address: ``ip:port`` of its HTTP server.
    :param shards: names of the shards that it serves, of any shard map.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    shards: tuple[str, ...]
    desired: DesiredState = DesiredState.SERVING


@frozen
class Service:
    """A named set of endpoints with common limits.

    :param min_replicas: replicas of each shard that must hold a snapshot before queries pin it.
    :param typical_ms: expected service time until one has been observed, in milliseconds.
    """

    name: str
    limits: EndpointLimits
    shard_maps: tuple[ShardMap, ...]
    endpoints: tuple[Endpoint, ...]
    min_replicas: int = 1
    typical_ms: float = 10.0


@frozen
class PriorityClass:
    """A class of queries with a common priority.

    :param priority: 0 is the most urgent.
    :param share: fraction of an instance's concurrency guaranteed to the class, 0 to 1.
    """

    name: str
    priority: int
    share: float


@frozen
class FailureDomain:
    """A zone that may fail or be taken out of service as a whole."""

    name: str
    desired: DesiredState = DesiredState.SERVING


@frozen
class Configuration:
    """The whole configuration of one deployment.

    :param instances: desired states of instances, where they differ from serving.
    :param terminated: instances that operators declare to have terminated permanently.
    """

    deployment: str
    failure_domains: tuple[FailureDomain, ...]
    classes: tuple[PriorityClass, ...]
    services: tuple[Service, ...]
    instances: dict[str, DesiredState] = field(factory=dict)
    terminated: frozenset[str] = frozenset()

    def find_service(self, name: str) -> Service | None:
        """Return the service with this name; ``None`` if there is none."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def resolve_desired_state(self, endpoint: Endpoint) -> DesiredState:
        """Return the failure domain's desired state unless that is serving, else the endpoint's."""
        for domain in self.failure_domains:
            if domain.name != endpoint.failure_domain:
                continue
            if domain.desired is not DesiredState.SERVING:
                return domain.desired
        return endpoint.desired
