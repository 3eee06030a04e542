"""Routes of one configuration version and how a request selects one."""

from enum import StrEnum

from attrs import field, frozen


class RequestKind(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@frozen
class WeightedService:
    """One part of a split route.

    :param weight: share of the requests relative to the other parts.
    """

    service: str
    weight: float


@frozen
class Gather:
    """How the answers of several shards become one.

    :param shards: services, one per shard.
    :param top_records: number of records in the answer.
    :param min_share: smallest share of the shards that makes an answer.
    """

    shards: tuple[str, ...]
    top_records: int
    min_share: float


@frozen
class Route:
    """One route.

    :param targets: one service, or several for a split; empty for a gather route.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param objective_ms: latency within which an answer has its full value.
    :param max_attempts: most endpoints that one request may be sent to, per shard.
    :param priority: 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    objective_ms: float
    max_attempts: int
    priority: int
    targets: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@frozen
class ServiceLimits:
    """Limits of one service's endpoints.

    :param max_connections: connections that one endpoint accepts from all instances.
    :param cold_per_s: requests per second that a cold endpoint bears; 0 is unlimited.
    """

    name: str
    max_connections: int
    cold_per_s: float


@frozen
class ClientLimits:
    """What a client may send and how long it may take.

    :param header_timeout_ms: for the head of a request, from its first byte.
    :param idle_timeout_ms: for a connection without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@frozen
class RouteTable:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: ClientLimits
    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False, eq=False)

    @_by_host.default
    def _index_by_host(self) -> dict[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        index = {}
        for host, routes in by_host.items():
            index[host] = tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
        return index

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: without the query.
        :returns: ``None`` if no route matches.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class RouteTableHolder:
    """Holds the newest route table that was seen; never goes back to an older one."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None

    def replace_if_newer(self, table: RouteTable) -> bool:
        """Take a table if it is newer than the present one.

        :returns: whether it was taken.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True


class WeightedRotation:
    """Picks services in proportion to their weights (smooth weighted round-robin).

    A deterministic rotation keeps each share exact over few requests, which
    independent random picks do not.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service of the next request on a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        credit = self._credit.setdefault(route.name, {})
        total = 0.0
        chosen = route.targets[0].service
        for target in route.targets:
            credit[target.service] = credit.get(target.service, 0.0) + target.weight
            total += target.weight
            if credit[target.service] > credit.get(chosen, 0.0):
                chosen = target.service
        credit[chosen] -= total
        return chosen
