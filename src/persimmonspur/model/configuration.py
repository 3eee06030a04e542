"""The configuration that operators declare."""

from enum import StrEnum

from attrs import field, frozen

KEY_SPACE_UNITS = 65_536


class DesiredState(StrEnum):
    """What operators want an endpoint, instance or failure domain to do."""

    SERVING = "serving"
    DRAINING = "draining"
    OUT = "out"


@frozen
class EndpointLimits:
    """What each endpoint of a service can handle.

    :param slots: concurrent requests.
    :param connections: open connections over all instances.
    :param connect_ms: cost of a new connection in milliseconds.
    :param queue: entries that may wait for a slot at the owner.
    """

    slots: int
    connections: int
    connect_ms: float
    queue: int = 64


@frozen
class Shard:
    """A range of the key space.

    :param name: unique among all shard maps of the service.
    :param start: first unit of the range.
    :param stop: unit after the last one; at most :data:`KEY_SPACE_UNITS`.
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
    """A partition of the whole key space.

    :param epoch: grows with every repartition of the service.
    """

    epoch: int
    shards: tuple[Shard, ...]


@frozen
class Endpoint:
    """One searcher.

    :param address: ``ip:port`` of its HTTP server.
    :param shards: names of the shards it serves, of any shard map.
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

    :param min_replicas: replicas that must hold a snapshot before queries pin it.
    :param typical_ms: expected service time used before any was observed, in milliseconds.
    """

    name: str
    limits: EndpointLimits
    shard_maps: tuple[ShardMap, ...]
    endpoints: tuple[Endpoint, ...]
    min_replicas: int = 1
    typical_ms: float = 10.0


@frozen
class PriorityClass:
    """A class of queries.

    :param priority: 0 is the most urgent.
    :param share: part of an instance's concurrency that the class may always use, 0 to 1.
    """

    name: str
    priority: int
    share: float


@frozen
class FailureDomain:
    """A zone that may fail or be taken out as a whole."""

    name: str
    desired: DesiredState = DesiredState.SERVING


@frozen
class Configuration:
    """Everything that operators declare for one deployment.

    :param instances: desired state of instances that should not simply serve.
    :param terminated: instances that operators declare to have ended for good.
    """

    deployment: str
    failure_domains: tuple[FailureDomain, ...]
    classes: tuple[PriorityClass, ...]
    services: tuple[Service, ...]
    instances: dict[str, DesiredState] = field(factory=dict)
    terminated: frozenset[str] = frozenset()

    def find_service(self, name: str) -> Service | None:
        """Return the service of a name, or ``None``."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def resolve_desired_state(self, endpoint: Endpoint) -> DesiredState:
        """Return the stricter of the endpoint's and its failure domain's desired state."""
        for domain in self.failure_domains:
            if domain.name != endpoint.failure_domain:
                continue
            if domain.desired is not DesiredState.SERVING:
                return domain.desired
        return endpoint.desired
