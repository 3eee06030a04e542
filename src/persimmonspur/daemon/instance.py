"""One running instance: the state that its controllers and filters share."""

from random import Random
from typing import TYPE_CHECKING, cast

from persimmonspur.core.configuration.holder import ConfigurationHolder
from persimmonspur.core.ownership.cell import Cell
from persimmonspur.core.ownership.table import CellTable
from persimmonspur.core.requests.coordination import CoordinationContext
from persimmonspur.core.routing.view import RoutingView
from persimmonspur.daemon.admission import QueryAdmission
from persimmonspur.daemon.controllers.interfaces import (
    CellInterface,
    ConfigurationInterface,
    EndpointInterface,
    QueryInterface,
)
from persimmonspur.daemon.controllers.registry import Controller, Handler, PeerMessage
from persimmonspur.daemon.lifecycle import Phase
from persimmonspur.daemon.metrics import Metrics
from persimmonspur.daemon.settings import Settings
from persimmonspur.daemon.timeline import Timeline
from persimmonspur.model.configuration import Configuration
from persimmonspur.model.member import Member
from persimmonspur.model.messages import Envelope, MessageBody
from persimmonspur.peers.delay import DelayEstimator
from persimmonspur.ports import EndpointClient, InstanceList, ObjectApi, PeerTransport

if TYPE_CHECKING:
    from persimmonspur.clock import Clock


class Instance:
    """Holds the shared state of one instance and dispatches peer messages to its controllers."""

    cell_controller: CellInterface
    configuration_controller: ConfigurationInterface
    endpoint_controller: EndpointInterface
    query_controller: QueryInterface
    transport: PeerTransport
    controllers: dict[str, Controller]

    def __init__(
        self,
        settings: Settings,
        clock: "Clock",
        incarnation: int,
        object_api: ObjectApi,
        instance_list: InstanceList,
        endpoint_client: EndpointClient,
    ) -> None:
        """Build the shared state; the controllers and the transport are set afterwards.

        :param incarnation: higher than that of every previous process of this instance.
        """
        self.settings = settings
        self.clock = clock
        self.object_api = object_api
        self.instance_list = instance_list
        self.endpoint_client = endpoint_client
        self.timeline = Timeline(settings.instance, clock)
        self.metrics = Metrics()
        self.configuration_holder = ConfigurationHolder()
        self.view = RoutingView()
        member = Member(
            settings.instance,
            incarnation,
            f"tcp://{settings.peer_address}",
            settings.caller_address,
            settings.failure_domain,
        )
        self.cell = Cell(settings.cell, member)
        self.coordination_context = CoordinationContext(
            self.view,
            settings.failure_domain,
            Random(f"{settings.seed}/{settings.instance}"),
            origin=f"{settings.instance}.{incarnation:x}",
        )
        self.query_admission = QueryAdmission(settings.concurrency, clock)
        self.phase = Phase.STARTING
        self._handlers: dict[type, Handler] = {}
        self._delay_estimators: dict[str, DelayEstimator] = {}

    @property
    def incarnation(self) -> int:
        """The current incarnation, which increases when the cell removes this instance."""
        return self.cell.member.incarnation

    def set_controllers(self, controllers: dict[str, Controller]) -> None:
        """Give the controllers access to each other.

        :param controllers: controllers by registered name.
        """
        self.controllers = controllers
        self.cell_controller = cast(CellInterface, controllers["cell"])
        self.configuration_controller = cast(ConfigurationInterface, controllers["configuration"])
        self.endpoint_controller = cast(EndpointInterface, controllers["endpoints"])
        self.query_controller = cast(QueryInterface, controllers["queries"])

    @property
    def ready(self) -> bool:
        """Whether the instance can serve queries."""
        if self.phase is not Phase.SERVING or not self.configuration_controller.synchronized:
            return False
        return self.configuration_holder.version > 0 and self.cell.table_version > 0

    @property
    def stopping(self) -> bool:
        """Whether new queries are rejected because the instance is stopping."""
        return self.phase is Phase.STOPPING

    def register_handlers(self, controller: Controller) -> None:
        """Register a controller's message handlers."""
        self._handlers.update(controller.list_handlers())

    def receive(self, envelope: Envelope) -> None:
        """Pass a peer's message to its handler and record the versions that came with it."""
        estimator = self._delay_estimators.setdefault(envelope.sender, DelayEstimator())
        age_ms = estimator.estimate_age(envelope.incarnation, envelope.sent_ms, self.clock.now_ms())
        handler = self._handlers.get(type(envelope.body))
        if handler is not None:
            handler(
                PeerMessage(
                    envelope.sender,
                    envelope.incarnation,
                    envelope.table_version,
                    envelope.body,
                    age_ms,
                )
            )
        now_ms = self.clock.now_ms()
        self.cell_controller.execute(
            self.cell.observe_version(envelope.sender, envelope.table_version, now_ms)
        )
        self.configuration_controller.observe_version(
            envelope.sender, envelope.configuration_version
        )
        self.endpoint_controller.observe_member(
            envelope.sender, envelope.incarnation, envelope.configuration_version
        )

    def send(self, receiver: str, body: MessageBody) -> bool:
        """Send a message to a peer without a guarantee of delivery."""
        envelope = Envelope(
            self.settings.instance,
            self.incarnation,
            self.clock.now_ms(),
            self.cell.table_version,
            self.configuration_holder.version,
            body,
        )
        return self.transport.send(receiver, envelope)

    def broadcast(self, body: MessageBody) -> None:
        """Send a message to every other member of the cell."""
        if self.cell.table is None:
            return
        for name in self.cell.table.members:
            if name != self.settings.instance:
                self.send(name, body)

    def connect_to_members(self, table: CellTable) -> None:
        """Connect to the members of a table and update the owners of the endpoints."""
        for name, member in table.members.items():
            if name != self.settings.instance:
                self.transport.connect(name, member.peer_address)
        self._update_owners()

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration into effect."""
        self.view.configure(configuration)
        self.coordination_context.outstanding_limits.configure(configuration.classes)
        self.query_admission.configure(configuration.classes)
        self.endpoint_client.configure(configuration)
        self._update_owners()
        now_ms = self.clock.now_ms()
        self.cell_controller.execute(
            self.cell.configure(configuration, now_ms, self.configuration_holder.version)
        )
        self.endpoint_controller.refresh()

    def _update_owners(self) -> None:
        for name, view in self.view.endpoints.items():
            owner = self.cell.find_owner(name)
            view.owner = owner.name if owner is not None else ""
