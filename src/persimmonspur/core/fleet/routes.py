"""Routes of one configuration version, and the matching of requests to routes."""

from enum import StrEnum

from attrs import field, frozen

from persimmonspur.core.fleet.accounts import NO_ACCOUNTS, AccountDirectory


class RequestKind(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@frozen
class WeightedService:
    """One target of a route that is split over several services.

    :param weight: share of the requests relative to the other targets.
    """

    service: str
    weight: float


@frozen
class Gather:
    """How the responses of several shards are merged into one.

    :param shards: services, one per shard.
    :param top_records: maximum number of records in the merged response.
    :param min_share: minimum share of the shards that a response needs.
    """

    shards: tuple[str, ...]
    top_records: int
    min_share: float


@frozen
class Route:
    """One route.

    :param targets: one service, or several for a split; empty for a gather route.
    :param timeout_ms: maximum time until a client gets its response.
    :param objective_ms: latency objective, within which a response has its full value.
    :param max_attempts: maximum number of endpoints per shard that one request is sent to.
    :param priority: 0 is the most urgent.
    :param public: whether requests need no API key.
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
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@frozen
class ServiceLimits:
    """Limits of the endpoints of one service.

    :param max_connections: connections that one endpoint accepts from all instances.
    :param cold_per_s: requests per second that a cold endpoint can handle; 0 is unlimited.
    """

    name: str
    max_connections: int
    cold_per_s: float


@frozen
class ClientLimits:
    """Limits on the size of client requests and on the time to receive them.

    :param header_timeout_ms: timeout for the head of a request, from its first byte.
    :param idle_timeout_ms: timeout for a connection without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@frozen
class RouteTable:
    """The routes, limits and client accounts of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: ClientLimits
    accounts: AccountDirectory = NO_ACCOUNTS
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

    def needs_key(self, route: Route) -> bool:
        """Return whether requests on a route need an API key."""
        return self.accounts.active and not route.public

    def find(self, host: str, path: str) -> Route | None:
        """Return the route whose path prefix is the longest that matches.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: path without the query.
        :returns: ``None`` if no route matches.
        """
        hostname = host.partition(":")[0].lower()
        for route in self._by_host.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class RouteTableHolder:
    """Holds the newest route table received; never returns to an older version."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None

    def replace_if_newer(self, table: RouteTable) -> bool:
        """Replace the table if the given one has a newer version.

        :returns: whether the table was replaced.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True


class WeightedRotation:
    """Picks services in proportion to their weights (smooth weighted round-robin).

    Unlike independent random picks, the deterministic rotation keeps each share exact even
    over few requests.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service of the next request on a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = 0.0
        chosen = route.targets[0].service
        for target in route.targets:
            current_weights[target.service] = (
                current_weights.get(target.service, 0.0) + target.weight
            )
            total += target.weight
            if current_weights[target.service] > current_weights.get(chosen, 0.0):
                chosen = target.service
        current_weights[chosen] -= total
        return chosen
