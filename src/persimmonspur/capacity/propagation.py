"""Measures how long a configuration change takes to reach every instance of a cell."""

from collections.abc import Callable
from typing import Any

import gevent
from attrs import define, evolve, field
from expression import Error, Ok, Result
from gevent.event import Event

from persimmonspur.adapters.publishing import publish_configuration
from persimmonspur.capacity.record import MEASUREMENTS, Point, Series, build_series
from persimmonspur.clock import Clock
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Controller
from persimmonspur.daemon.instance import Instance
from persimmonspur.daemon.run import _REGISTERED_MODULES as REGISTERED_MODULES
from persimmonspur.daemon.settings import load_settings
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.configuration import Configuration, Endpoint, EndpointLimits
from persimmonspur.model.messages import Envelope, SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId
from persimmonspur.ports import InstanceListing, ListedState, StoredObject

INSTANCE_COUNTS = (4, 8, 16, 24)
CHANGES_PER_CELL = 5
OBJECT_API_CALL_MS = 5.0
MESSAGE_DELAY_MS = 1.0
READY_TIMEOUT_MS = 60_000.0
CHANGE_TIMEOUT_MS = 30_000.0
POLL_INTERVAL_MS = 1.0


@define
class InMemoryObjectApi:
    """In-memory object API; every call takes :data:`OBJECT_API_CALL_MS`.

    :param waiting_watches: watches that currently wait for a change.
    :param calls: calls of any kind so far.
    :param instance_names: instances that the instance list reports as live.
    """

    objects: dict[str, StoredObject] = field(factory=dict)
    waiting_watches: int = 0
    calls: int = 0
    instance_names: list[str] = field(factory=list)
    _changed: Event = field(factory=Event)

    def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Return the stored object, or ``None``."""
        self._simulate_call()
        return Ok(self.objects.get(key))

    def write(self, key: str, value: bytes, expected_version: int) -> Result[int, Failure]:
        """Write an object if its stored version is the expected one."""
        self._simulate_call()
        stored = self.objects.get(key)
        version = stored.version if stored is not None else 0
        if version != expected_version:
            return Error(Failure.of(ErrorKind.CONFLICT, f"the stored version is {version}"))
        self.objects[key] = StoredObject(key, version + 1, value)
        changed, self._changed = self._changed, Event()
        changed.set()
        return Ok(version + 1)

    def watch(
        self, key: str, after_version: int, timeout_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Return the object once it has a later version, or ``None`` after the timeout."""
        self._simulate_call()
        self.waiting_watches += 1
        clock = Clock()
        deadline_ms = clock.now_ms() + timeout_ms
        try:
            while clock.now_ms() < deadline_ms:
                stored = self.objects.get(key)
                if stored is not None and stored.version > after_version:
                    return Ok(stored)
                self._changed.wait((deadline_ms - clock.now_ms()) / 1000)
        finally:
            self.waiting_watches -= 1
        return Ok(None)

    def list_instances(self) -> Result[InstanceListing, Failure]:
        """List every instance as live."""
        self._simulate_call()
        return Ok(InstanceListing(1, dict.fromkeys(self.instance_names, ListedState.LIVE)))

    def _simulate_call(self) -> None:
        self.calls += 1
        gevent.sleep(OBJECT_API_CALL_MS / 1000)


class WarmEndpointClient:
    """Endpoint client stub: every endpoint is warm and reports one snapshot."""

    def configure(self, configuration: Configuration) -> None:
        """Do nothing."""

    def search(
        self,
        endpoint: Endpoint,
        request: SubRequest,
        timeout_ms: float,
        expires_at_ms: float | None = None,
    ) -> EndpointOutcome:
        """Fail, because the measurement runs no queries."""
        raise NotImplementedError

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Do nothing."""

    def set_idle_close_listener(self, listener: Callable[[str], None]) -> None:
        """Do nothing."""

    def disconnect(self, name: str) -> None:
        """Do nothing."""

    def fetch_report(self, endpoint: Endpoint, timeout_ms: float) -> EndpointReport | None:
        """Report the endpoint as warm."""
        return EndpointReport(f"{endpoint.name}-1", "warm", 0.0, (SnapshotId(1, 1),))


@define
class InMemoryTransport:
    """In-process transport that delivers messages after :data:`MESSAGE_DELAY_MS`."""

    receivers: dict[str, Callable[[Envelope], None]]

    def connect(self, name: str, address: str) -> None:
        """Do nothing."""

    def disconnect(self, name: str) -> None:
        """Do nothing."""

    def send(self, name: str, envelope: Envelope) -> bool:
        """Schedule the delivery; return whether the receiver exists."""
        receive = self.receivers.get(name)
        if receive is None:
            return False
        gevent.spawn_later(MESSAGE_DELAY_MS / 1000, receive, envelope)
        return True

    def close(self) -> None:
        """Do nothing."""


@define
class InProcessCell:
    """Daemon instances with all their controllers, connected without sockets."""

    api: InMemoryObjectApi
    instances: list[Instance]
    configuration: Configuration
    clock: Clock = field(factory=Clock)

    def wait_ready(self) -> None:
        """Wait until every instance's table has all members and assigns endpoints.

        :raises RuntimeError: on timeout.
        """
        self._wait_until(lambda: all(self._is_ready(i) for i in self.instances), READY_TIMEOUT_MS)

    def apply_change(self) -> float:
        """Change the limits of one service.

        :returns: milliseconds until the change is in effect at every instance.
        :raises RuntimeError: on timeout.
        """
        version = max(instance.configuration_holder.version for instance in self.instances) + 1
        services = list(self.configuration.services)
        limits = EndpointLimits(4, 75, 6.0, queue=64 + version)
        services[0] = evolve(services[0], limits=limits)
        changed = evolve(self.configuration, services=tuple(services))
        started_ms = self.clock.now_ms()
        publish_configuration(self.api, changed)
        self._wait_until(
            lambda: all(i.configuration_holder.version >= version for i in self.instances)
        )
        return self.clock.now_ms() - started_ms

    def stop(self) -> None:
        """Stop the controllers of all instances."""
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

    def _wait_until(
        self, condition: Callable[[], bool], timeout_ms: float = CHANGE_TIMEOUT_MS
    ) -> None:
        deadline_ms = self.clock.now_ms() + timeout_ms
        while not condition():
            if self.clock.now_ms() > deadline_ms:
                raise RuntimeError(f"a cell of {len(self.instances)} was not ready in time")
            gevent.sleep(POLL_INTERVAL_MS / 1000)


@MEASUREMENTS.register("propagation")
def measure_propagation() -> list[Series]:
    """Measure the median time to propagate a change and the number of waiting watches."""
    times_ms, watches = [], []
    for count in INSTANCE_COUNTS:
        cell = build_cell(count)
        try:
            cell.wait_ready()
            # An instance without a table of all members keeps a watch of its own; wait until
            # only the watchers that the table selects remain.
            gevent.sleep(2.0)
            durations_ms = sorted(cell.apply_change() for _ in range(CHANGES_PER_CELL))
            times_ms.append(Point(count, durations_ms[len(durations_ms) // 2]))
            gevent.sleep(0.1)
            watches.append(Point(count, cell.api.waiting_watches))
        finally:
            cell.stop()
    return [
        build_series("propagation", "instances of the cell", "ms until in effect at all", times_ms),
        build_series("watches", "instances of the cell", "watches that wait", watches),
    ]


def build_cell(count: int) -> InProcessCell:
    """Start a cell of instances within this process."""
    configuration = build_configuration(DEPLOYMENTS["ulaanbaatar"])
    api = InMemoryObjectApi(instance_names=[f"entry-{index}" for index in range(count)])
    publish_configuration(api, configuration)
    receivers: dict[str, Callable[[Envelope], None]] = {}
    instances = []
    for index in range(count):
        instances.append(_start_instance(index, api, receivers))
    return InProcessCell(api, instances, configuration)


def _start_instance(
    index: int, api: InMemoryObjectApi, receivers: dict[str, Callable[[Envelope], None]]
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
    instance = Instance(settings, clock, 1_000 + index, api, api, WarmEndpointClient())
    instance.transport = InMemoryTransport(receivers)
    receivers[settings.instance] = instance.receive
    # Keeps the import of the modules that register the controllers.
    assert REGISTERED_MODULES
    controllers: dict[str, Controller] = {}
    for name in CONTROLLERS:
        controllers[name] = CONTROLLERS.get(name)(instance)
        instance.register_handlers(controllers[name])
    instance.set_controllers(controllers)
    for controller in controllers.values():
        controller.start()
    return instance
