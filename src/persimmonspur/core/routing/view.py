"""A coordinator's view of endpoints and their owners, for routing decisions."""

from attrs import define, field

from persimmonspur.model.configuration import Configuration, Endpoint, Service
from persimmonspur.model.messages import EndpointStatus, SubReply
from persimmonspur.model.query import SnapshotId

# Other owners are preferred to one that has sent no status or reply for this time.
OWNER_SILENCE_TIMEOUT_MS = 2_500.0
# By this time the cell has reassigned a lost owner's endpoints, unless it cannot change its table.
STATUS_EXPIRY_MS = 10_000.0
REFRESH_INTERVAL_MS = 100.0
ERROR_EWMA_WEIGHT = 0.2
# Latency penalty of an endpoint that always fails, in service times.
ERROR_PENALTY_SERVICE_TIMES = 10.0
SLOWNESS_EWMA_WEIGHT = 0.25
MAX_SLOWNESS = 20.0
# Part of the observed slowness that each status removes, so that old observations decay.
SLOWNESS_DECAY = 0.1
# Latency penalty of another failure domain, in service times. One queued request outweighs it.
REMOTE_DOMAIN_PENALTY = 0.1
MEAN_SERVICE_EWMA_WEIGHT = 0.05


@define(eq=False)
class OwnerView:
    """State of an endpoint owner as seen by a coordinator.

    :param local: whether it is the coordinator's own instance.
    :param last_heard_ms: time of its latest status or reply.
    :param last_reply_ms: time of its latest reply.
    :param suspected_until_ms: end of the suspicion that missing replies caused.
    :param suspected: whether other owners are currently preferred.
    :param expired: whether its statuses are too old to be used.
    """

    name: str
    local: bool = False
    last_heard_ms: float = float("-inf")
    last_reply_ms: float = float("-inf")
    suspected_until_ms: float = 0.0
    suspected: bool = False
    expired: bool = False

    def suspect(self, until_ms: float) -> None:
        """Mark the owner as suspected until a given time."""
        self.suspected_until_ms = until_ms
        self.suspected = True

    def refresh(self, now_ms: float) -> None:
        """Recompute whether the owner is suspected and whether its statuses have expired."""
        self.expired = not self.local and now_ms - self.last_heard_ms > STATUS_EXPIRY_MS
        self.refresh_suspicion(now_ms)

    def refresh_suspicion(self, now_ms: float) -> None:
        """Recompute whether the owner is suspected."""
        silent = not self.local and now_ms - self.last_heard_ms > OWNER_SILENCE_TIMEOUT_MS
        self.suspected = silent or now_ms < self.suspected_until_ms


@define(eq=False)
class ServiceView:
    """State shared by the endpoints of a service.

    :param connect_ms: time to open a connection to an endpoint in milliseconds.
    :param mean_service_ms: mean service time at an endpoint in milliseconds.
    """

    connect_ms: float
    mean_service_ms: float


@define(eq=False)
class EndpointView:
    """State of an endpoint as seen by a coordinator.

    The fields from ``base_reply_ms`` to ``reported_at_ms`` are precomputed from
    statuses and replies, so that choosing a replica only adds them up.

    :param status: latest status from its owner, ``None`` before the first.
    :param outstanding: sub-requests of this coordinator without a reply.
    :param sent_since_report: sub-requests of this coordinator since the latest load report.
    :param status_owner: name of the owner that sent the latest status.
    :param ready: whether new sub-requests may be sent.
    :param warm: whether its latest status reports it as warm; hedges go only to warm endpoints.
    :param base_reply_ms: expected time to reply without a queue.
    :param per_request_ms: queue wait added by each further request.
    :param queue_wait_ms: expected queue wait at ``reported_at_ms``.
    :param remote_penalty_ms: added if the coordinator is in another failure domain.
    :param reported_at_ms: time of the latest status or load report.
    :param ejected_until_ms: end of the endpoint's latest ejection.
    :param error_rate: moving average of failed sub-requests of this coordinator.
    :param slowness: service time relative to other endpoints, as a moving average.
    """

    endpoint: Endpoint
    routing: "RoutingView" = field(repr=False)
    service: ServiceView
    status: EndpointStatus | None = None
    outstanding: int = 0
    sent_since_report: int = 0
    owner_view: OwnerView = field(factory=lambda: OwnerView(""))
    status_owner: str = ""
    ready: bool = False
    warm: bool = False
    snapshots: frozenset[SnapshotId] = frozenset()
    base_reply_ms: float = 0.0
    per_request_ms: float = 0.0
    queue_wait_ms: float = 0.0
    remote_penalty_ms: float = 0.0
    reported_at_ms: float = 0.0
    ejected_until_ms: float = 0.0
    error_rate: float = 0.0
    slowness: float = 1.0

    @property
    def owner(self) -> str:
        """Name of the endpoint's owner, or an empty string if it has none."""
        return self.owner_view.name

    @owner.setter
    def owner(self, name: str) -> None:
        self.owner_view = self.routing.get_owner(name)
        self.update_readiness()

    def update_readiness(self) -> None:
        """Recompute whether new sub-requests may be sent.

        A status of a former owner does not make the endpoint ready, since the
        current owner may have to wait before it uses the endpoint's budget.
        """
        status = self.status
        owner = self.owner_view
        ready = (
            status is not None
            and status.usable
            and bool(owner.name)
            and owner.name == self.status_owner
            and not owner.expired
        )
        if ready != self.ready:
            self.ready = ready
            self.routing.generation += 1

    def count_free_slots(self) -> int:
        """Estimate the free slots from the latest report and the sub-requests sent since then."""
        status = self.status
        if status is None:
            return 0
        taken = max(status.queue + status.running + self.sent_since_report, self.outstanding)
        return status.limit - taken

    def update_load(self, queue: int, running: int, limit: int, now_ms: float) -> None:
        """Update the queue length, running requests and concurrency limit."""
        status = self.status
        if status is None:
            return
        status.queue, status.running, status.limit = queue, running, limit
        self.reported_at_ms = now_ms
        self.sent_since_report = 0
        self.update_wait_estimate()

    def observe_outcome(self, *, failed: bool) -> None:
        """Record the success or failure of a sub-request of this coordinator."""
        if not failed and self.error_rate < 0.001:
            return
        self.error_rate += ERROR_EWMA_WEIGHT * ((1.0 if failed else 0.0) - self.error_rate)
        self.update_wait_estimate()

    def observe_slowness(self, ratio: float) -> None:
        """Record a service time relative to the mean of the priority class."""
        change = SLOWNESS_EWMA_WEIGHT * (min(MAX_SLOWNESS, ratio) - self.slowness)
        self.slowness += change
        # Small changes take effect with the next load report.
        if abs(change) > 0.2:
            self.update_wait_estimate()

    def update_wait_estimate(self) -> None:
        """Recompute the fields that the expected time to reply is composed of."""
        status = self.status
        if status is None:
            return
        limit = max(1, status.limit)
        service_ms = max(status.service_ms, self.service.mean_service_ms * self.slowness)
        self.per_request_ms = service_ms / limit
        self.base_reply_ms = service_ms * (1 + ERROR_PENALTY_SERVICE_TIMES * self.error_rate)
        if not self.warm:
            # A cold endpoint opens its connections one at a time.
            self.base_reply_ms += self.service.connect_ms
        # A request is queued only if no slot is free.
        waiting = status.queue + status.running + 1 - limit
        self.queue_wait_ms = max(0, waiting) * self.per_request_ms
        self.remote_penalty_ms = REMOTE_DOMAIN_PENALTY * service_ms


@define
class RoutingView:
    """All endpoints that a coordinator may route to, with their owners.

    :param generation: incremented whenever an endpoint's readiness or snapshots change.
    :param coordinator_count: number of instances that own endpoints.
    """

    endpoints: dict[str, EndpointView] = field(factory=dict)
    services: dict[str, Service] = field(factory=dict)
    generation: int = 0
    owners: dict[str, OwnerView] = field(factory=dict)
    coordinator_count: int = 1
    _service_views: dict[str, ServiceView] = field(factory=dict)
    _replicas: dict[tuple[str, str], list[EndpointView]] = field(factory=dict)
    _refreshed_ms: float = float("-inf")

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration, keeping the state of endpoints that remain in it."""
        endpoints = {}
        replicas: dict[tuple[str, str], list[EndpointView]] = {}
        for service in configuration.services:
            service_view = self._service_views.setdefault(
                service.name, ServiceView(0.0, service.typical_ms)
            )
            service_view.connect_ms = service.limits.connect_ms
            for endpoint in service.endpoints:
                view = self.endpoints.get(endpoint.name) or EndpointView(
                    endpoint, self, service_view
                )
                view.endpoint = endpoint
                view.service = service_view
                endpoints[endpoint.name] = view
                for shard in endpoint.shards:
                    replicas.setdefault((service.name, shard), []).append(view)
        self.endpoints = endpoints
        self.services = {service.name: service for service in configuration.services}
        self._replicas = replicas
        self.generation += 1

    def list_replicas(self, service: str, shard: str) -> list[EndpointView]:
        """Return the endpoints that are configured to serve a shard."""
        return self._replicas.get((service, shard), [])

    def get_owner(self, name: str) -> OwnerView:
        """Return the state of an owner, creating it on first use."""
        owner = self.owners.get(name)
        if owner is None:
            owner = self.owners[name] = OwnerView(name, last_heard_ms=self._refreshed_ms)
        return owner

    def refresh(self, now_ms: float) -> None:
        """Update suspicions and expire the statuses of silent owners.

        The work is done at most once per :data:`REFRESH_INTERVAL_MS`, so that every
        query may call this method.
        """
        if now_ms < self._refreshed_ms + REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        names = set()
        for view in self.endpoints.values():
            names.add(view.owner_view.name)
        self.owners = {name: owner for name, owner in self.owners.items() if name in names}
        self.coordinator_count = max(1, len(names - {""}))
        changed = False
        for owner in self.owners.values():
            expired = owner.expired
            owner.refresh(now_ms)
            changed = changed or expired != owner.expired
        if not changed:
            return
        for view in self.endpoints.values():
            view.update_readiness()

    def observe_status(
        self, status: EndpointStatus, sender: str | None = None, now_ms: float | None = None
    ) -> None:
        """Apply a status message of an endpoint's owner.

        :param sender: name of the sender; ``None`` for the coordinator's own instance. A
            status from an instance that does not own the endpoint is ignored.
        :param now_ms: arrival time; ``None`` if it is unknown.
        """
        view = self.endpoints.get(status.endpoint)
        if view is None:
            return
        owner = view.owner_view
        if sender is None:
            owner.local = True
        elif sender != owner.name:
            return
        if now_ms is not None:
            self._record_contact(owner, now_ms)
        view.reported_at_ms = now_ms if now_ms is not None else self._refreshed_ms
        view.status = status
        view.status_owner = owner.name
        view.warm = status.state == "warm"
        view.sent_since_report = 0
        view.slowness += SLOWNESS_DECAY * (1.0 - view.slowness)
        view.update_wait_estimate()
        if len(view.snapshots) != len(status.snapshots) or not view.snapshots.issuperset(
            status.snapshots
        ):
            view.snapshots = frozenset(status.snapshots)
            self.generation += 1
        view.update_readiness()

    def observe_reply(
        self, reply: SubReply, sender: str | None = None, now_ms: float | None = None
    ) -> None:
        """Apply the load report contained in a reply.

        :param sender: name of the sender; ``None`` for the coordinator's own instance.
        :param now_ms: arrival time; ``None`` if it is unknown.
        """
        view = self.endpoints.get(reply.endpoint)
        if view is None:
            return
        owner = view.owner_view if sender is None else self.owners.get(sender)
        if owner is None:
            return
        if now_ms is not None:
            owner.last_reply_ms = now_ms
            self._record_contact(owner, now_ms)
            # A reply proves that the owner is not paused, so the suspicion ends.
            if owner.suspected_until_ms > now_ms:
                owner.suspected_until_ms = now_ms
                owner.refresh_suspicion(now_ms)
        # A reply without a limit contains no load report.
        if owner is not view.owner_view or reply.limit <= 0:
            return
        if reply.error is None:
            view.service.mean_service_ms += MEAN_SERVICE_EWMA_WEIGHT * (
                reply.service_ms - view.service.mean_service_ms
            )
        view.update_load(reply.queue, reply.running, reply.limit, now_ms or view.reported_at_ms)

    def remove_snapshot(self, view: EndpointView, snapshot: SnapshotId) -> None:
        """Remove a snapshot that an endpoint reported it does not hold."""
        if snapshot in view.snapshots:
            view.snapshots -= {snapshot}
            self.generation += 1

    def count_usable(self) -> int:
        """Return the number of endpoints that new sub-requests may be sent to."""
        count = 0
        for view in self.endpoints.values():
            if view.ready:
                count += 1
        return count

    def _record_contact(self, owner: OwnerView, now_ms: float) -> None:
        owner.last_heard_ms = now_ms
        if not owner.suspected:
            return
        owner.refresh(now_ms)
        for view in self.endpoints.values():
            view.update_readiness()
