"""Time until a configuration change is in effect at every instance of a cell."""

from collections.abc import Callable
from typing import Any

import gevent
from attrs import define, evolve, field
from expression import Error, Ok, Result
from gevent.event import Event

from persimmonspur.adapters.publishing import publish_configuration
from persimmonspur.capacity.record import MEASURES, Point, Series, build_series
from persimmonspur.clock import Clock
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Controller
from persimmonspur.daemon.instance import Instance
from persimmonspur.daemon.run import _REGISTERED_MODULES as REGISTERED
from persimmonspur.daemon.settings import load_settings
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.configuration import Configuration, Endpoint, EndpointLimits
from persimmonspur.model.messages import Envelope, SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId
from persimmonspur.ports import InstanceListing, ListedState, StoredObject

INSTANCES = (4, 8, 16, 24)
CHANGES = 5
CALL_MS = 5.0
HOP_MS = 1.0
READY_LIMIT_MS = 60_000.0
CHANGE_LIMIT_MS = 30_000.0
POLL_MS = 1.0


@define
class MemoryObjectApi:
    """The object API in this process; every call takes :data:`CALL_MS`.

    :param pending: watches that wait now.
    :param calls: reads, writes and watches so far.
    """

    objects: dict[str, StoredObject] = field(factory=dict)
    pending: int = 0
    calls: int = 0
    names: list[str] = field(factory=list)
    _changed: Event = field(factory=Event)

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Return an object."""
        self._spend()
        return Ok(self.objects.get(key))

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Replace an object of the expected version."""
        self._spend()
        present = self.objects.get(key)
        version = present.version if present is not None else 0
        if version != expected_version:
            return Error(Failure.of(ErrorKind.CONFLICT, f"the stored version is {version}"))
        self.objects[key] = StoredObject(key, version + 1, value)
        changed, self._changed = self._changed, Event()
        changed.set()
        return Ok(version + 1)

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Wait for a later version."""
        self._spend()
        self.pending += 1
        clock = Clock()
        deadline_ms = clock.now_ms() + timeout_ms
        try:
            while clock.now_ms() < deadline_ms:
                stored = self.objects.get(key)
                if stored is not None and stored.version > after_version:
                    return Ok(stored)
                self._changed.wait((deadline_ms - clock.now_ms()) / 1000)
        finally:
            self.pending -= 1
        return Ok(None)

    def list_instances(self) -> Result[InstanceListing, Failure]:
        """List every instance as live."""
        self._spend()
        return Ok(InstanceListing(1, dict.fromkeys(self.names, ListedState.LIVE)))

    def _spend(self) -> None:
        self.calls += 1
        gevent.sleep(CALL_MS / 1000)


class WarmEndpoints:
    """Endpoints that always report one snapshot."""

    def configure(self, configuration: Configuration) -> None:
        """Do nothing."""

    def search(
        self,
        endpoint: Endpoint,
        request: SubRequest,
        timeout_ms: float,
        expires_at_ms: float | None = None,
    ) -> EndpointOutcome:
        """Raise: nothing is searched here."""
        raise NotImplementedError

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Do nothing."""

    def set_idle_close_listener(self, listener: Callable[[str], None]) -> None:
        """Do nothing."""

    def disconnect(self, name: str) -> None:
        """Do nothing."""

    def fetch_report(self, endpoint: Endpoint, timeout_ms: float) -> EndpointReport | None:
        """Return a report of a warm endpoint."""
        return EndpointReport(f"{endpoint.name}-1", "warm", 0.0, (SnapshotId(1, 1),))


@define
class MemoryTransport:
    """Delivers messages within this process after :data:`HOP_MS`."""

    receivers: dict[str, Callable[[Envelope], None]]

    def connect(self, name: str, address: str) -> None:
        """Do nothing."""

    def disconnect(self, name: str) -> None:
        """Do nothing."""

    def send(self, name: str, envelope: Envelope) -> bool:
        """Deliver a message."""
        receive = self.receivers.get(name)
        if receive is None:
            return False
        gevent.spawn_later(HOP_MS / 1000, receive, envelope)
        return True

    def close(self) -> None:
        """Do nothing."""


@define
class MemoryCell:
    """Whole instances with all controllers but no sockets."""

    api: MemoryObjectApi
    instances: list[Instance]
    configuration: Configuration
    clock: Clock = field(factory=Clock)

    def wait_ready(self) -> None:
        """Wait until every instance serves with every member.

        :raises RuntimeError: if that takes too long.
        """
        self._wait(lambda: all(self._is_ready(i) for i in self.instances), READY_LIMIT_MS)

    def change(self) -> float:
        """Change a limit of a service.

        :returns: milliseconds until it is in effect everywhere.
        :raises RuntimeError: if that takes too long.
        """
        version = max(instance.configuration_holder.version for instance in self.instances) + 1
        services = list(self.configuration.services)
        limits = EndpointLimits(4, 75, 6.0, queue=64 + version)
        services[0] = evolve(services[0], limits=limits)
        changed = evolve(self.configuration, services=tuple(services))
        started_ms = self.clock.now_ms()
        publish_configuration(self.api, changed)
        self._wait(lambda: all(i.configuration_holder.version >= version for i in self.instances))
        return self.clock.now_ms() - started_ms

    def stop(self) -> None:
        """Stop all controllers."""
        for instance in self.instances:
            for controller in instance.controllers.values():
                controller.stop()

    def _is_ready(self, instance: Instance) -> bool:
        table = instance.cell.table
        if table is None or len(table.members) < len(self.instances):
            return False
        return (
            instance.cell.find_owner(self.configuration.services[0].endpoints[0].name) is not None
        )

    def _wait(self, condition: Callable[[], bool], limit_ms: float = CHANGE_LIMIT_MS) -> None:
        deadline_ms = self.clock.now_ms() + limit_ms
        while not condition():
            if self.clock.now_ms() > deadline_ms:
                raise RuntimeError(f"a cell of {len(self.instances)} was not ready in time")
            gevent.sleep(POLL_MS / 1000)


@MEASURES.register("propagation")
def measure_propagation() -> list[Series]:
    """Measure the median time of several changes, and the watches that wait meanwhile."""
    times, watches = [], []
    for count in INSTANCES:
        cell = build_cell(count)
        try:
            cell.wait_ready()
            # Without the table of all members every instance watches.
            gevent.sleep(2.0)
            changes = sorted(cell.change() for _ in range(CHANGES))
            times.append(Point(count, changes[len(changes) // 2]))
            gevent.sleep(0.1)
            watches.append(Point(count, cell.api.pending))
        finally:
            cell.stop()
    return [
        build_series("propagation", "instances of the cell", "ms until in effect at all", times),
        build_series("watches", "instances of the cell", "watches that wait", watches),
    ]


def build_cell(count: int) -> MemoryCell:
    """Start instances in this process."""
    configuration = build_configuration(DEPLOYMENTS["ulaanbaatar"])
    api = MemoryObjectApi(names=[f"entry-{index}" for index in range(count)])
    publish_configuration(api, configuration)
    receivers: dict[str, Callable[[Envelope], None]] = {}
    instances = []
    for index in range(count):
        instances.append(_start_instance(index, api, receivers))
    return MemoryCell(api, instances, configuration)


def _start_instance(
    index: int, api: MemoryObjectApi, receivers: dict[str, Callable[[Envelope], None]]
) -> Instance:
    flags: dict[str, Any] = {
        "instance": f"entry-{index}",
        "failure-domain": "sukhbaatar",
        "caller-address": f"127.0.0.1:{20_000 + index}",
        "peer-address": f"127.0.0.1:{21_000 + index}",
        "object-api": "127.0.0.1:1",
        "seed": str(index + 1),
    }
    settings = load_settings(flags, {}).ok
    clock = Clock()
    instance = Instance(settings, clock, 1_000 + index, api, api, WarmEndpoints())
    instance.transport = MemoryTransport(receivers)
    receivers[settings.instance] = instance.receive
    assert REGISTERED
    controllers: dict[str, Controller] = {}
    for name in CONTROLLERS:
        controllers[name] = CONTROLLERS.get(name)(instance)
        instance.register_handlers(controllers[name])
    instance.set_controllers(controllers)
    for controller in controllers.values():
        controller.start()
    return instance
