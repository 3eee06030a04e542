"""What a coordinator knows of endpoints that others own."""

from attrs import define, field

from persimmonspur.model.configuration import Configuration, Endpoint, Service
from persimmonspur.model.messages import EndpointStatus, SubReply


@define
class EndpointView:
    """One endpoint as a coordinator sees it.

    :param status: latest status of its owner, ``None`` before the first.
    :param owner: name of its owner; empty if it has none.
    :param outstanding: own sub-requests without a reply.
    """

    endpoint: Endpoint
    status: EndpointStatus | None = None
    owner: str = ""
    outstanding: int = 0


@define
class RoutingView:
    """All endpoints that a coordinator may choose from."""

    endpoints: dict[str, EndpointView] = field(factory=dict)
    services: dict[str, Service] = field(factory=dict)
    _replicas: dict[tuple[str, str], list[EndpointView]] = field(factory=dict)

    def configure(self, configuration: Configuration) -> None:
        """Take the endpoints of a configuration; statuses of kept ones survive."""
        endpoints = {}
        replicas: dict[tuple[str, str], list[EndpointView]] = {}
        for service in configuration.services:
            for endpoint in service.endpoints:
                view = self.endpoints.get(endpoint.name) or EndpointView(endpoint)
                view.endpoint = endpoint
                endpoints[endpoint.name] = view
                for shard in endpoint.shards:
                    replicas.setdefault((service.name, shard), []).append(view)
        self.endpoints = endpoints
        self.services = {service.name: service for service in configuration.services}
        self._replicas = replicas

    def list_replicas(self, service: str, shard: str) -> list[EndpointView]:
        """Return the endpoints that serve a shard."""
        return self._replicas.get((service, shard), [])

    def observe_status(self, status: EndpointStatus) -> None:
        """Take an owner's status message."""
        view = self.endpoints.get(status.endpoint)
        if view is not None:
            view.status = status

    def observe_reply(self, reply: SubReply) -> None:
        """Take the queue figures that came with a reply."""
        view = self.endpoints.get(reply.endpoint)
        if view is None or view.status is None:
            return
        view.status.queue = reply.queue
        view.status.running = reply.running
        view.status.limit = reply.limit

    def count_usable(self) -> int:
        """Return how many endpoints could get new work now."""
        count = 0
        for view in self.endpoints.values():
            if view.owner and view.status is not None and view.status.usable:
                count += 1
        return count
