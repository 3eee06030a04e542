"""Fakes shared by the measurements: configurations of a given size and a simulated cell."""

from collections import deque
from typing import Any

import msgspec
from attrs import define, field

from persimmonspur.core.ownership.actions import (
    CellAction,
    FetchTableFrom,
    ReadTable,
    SendHeartbeat,
    WriteTable,
)
from persimmonspur.core.ownership.cell import Cell
from persimmonspur.core.ownership.table import CellTable, decode_table, encode_table
from persimmonspur.load.deployment import (
    DEPLOYMENTS,
    DeploymentSpec,
    ServiceSpec,
    build_configuration,
)
from persimmonspur.model.configuration import Configuration
from persimmonspur.model.member import Member
from persimmonspur.model.messages import Envelope, Heartbeat
from persimmonspur.model.query import SnapshotId

SNAPSHOT = SnapshotId(1, 1)
TICK_MS = 100.0
# Simulated time within which all members must join.
JOIN_TIMEOUT_MS = 900_000.0


def build_sized_configuration(endpoints: int, services: int = 4) -> Configuration:
    """Build a configuration with a given number of endpoints and services.

    :param endpoints: total number; a multiple of ``services``.
    """
    endpoints_per_service = endpoints // services
    service_specs = tuple(
        ServiceSpec(f"service-{i}", endpoints_per_service, 4, 75, 6.0) for i in range(services)
    )
    domains = DEPLOYMENTS["ulaanbaatar"].failure_domains
    return build_configuration(DeploymentSpec("measured", domains, 0.5, service_specs))


@define
class CellNetwork:
    """Connects the members of a cell without sockets; they exchange encoded messages.

    Time is simulated, so measured members never sleep.

    :param endpoints: number of endpoints in the configuration.
    :param heartbeats: heartbeats sent so far.
    :param heartbeat_bytes: encoded size of these heartbeats.
    """

    cells: list[Cell]
    now_ms: float = 1_000.0
    endpoints: int = 0
    heartbeats: int = 0
    heartbeat_bytes: int = 0
    _stored: tuple[int, bytes] = (0, b"")
    _queue: deque[tuple[Cell, CellAction]] = field(factory=deque)
    _encoder: msgspec.msgpack.Encoder = field(factory=msgspec.msgpack.Encoder)
    _decoder: Any = field(factory=lambda: msgspec.msgpack.Decoder(Envelope))

    def join(self, configuration: Configuration) -> None:
        """Configure all members and run until every endpoint has an owner.

        :raises RuntimeError: if they need more than :data:`JOIN_TIMEOUT_MS`.
        """
        self.endpoints = sum(len(service.endpoints) for service in configuration.services)
        for cell in self.cells:
            self._execute_all(cell, cell.configure(configuration, self.now_ms))
        while not self._is_joined():
            if self.now_ms > JOIN_TIMEOUT_MS:
                raise RuntimeError(f"{len(self.cells)} members did not join in simulated time")
            self.step()

    def step(self) -> None:
        """Advance the time by one daemon tick and deliver all messages."""
        self.now_ms += TICK_MS
        for cell in self.cells:
            self._execute_all(cell, cell.tick(self.now_ms))

    def run_round(self) -> None:
        """Advance the time by one heartbeat interval."""
        for _ in range(int(1_000.0 / TICK_MS)):
            self.step()

    def _is_joined(self) -> bool:
        for cell in self.cells:
            if cell.table is None or len(cell.table.members) < len(self.cells):
                return False
            if len(cell.table.assignments) < self.endpoints:
                return False
            if any(member.weight <= 0 for member in cell.table.members.values()):
                return False
        return True

    def _execute_all(self, cell: Cell, actions: list[CellAction]) -> None:
        self._queue.extend((cell, action) for action in actions)
        while self._queue:
            self._execute(*self._queue.popleft())

    def _execute(self, cell: Cell, action: CellAction) -> None:
        match action:
            case SendHeartbeat():
                self._deliver_heartbeat(cell, action.receiver, action.heartbeat)
            case ReadTable():
                version, value = self._stored
                table = decode_table(value) if version else None
                self._enqueue(cell, cell.observe_read(table, version, self.now_ms, self.now_ms))
            case WriteTable():
                self._write_table(cell, action.table, action.expected_version)
            case FetchTableFrom():
                peer = self._find_cell(action.peer)
                if peer is not None and peer.table is not None:
                    table = decode_table(encode_table(peer.table))
                    self._enqueue(cell, cell.observe_table(table, self.now_ms))

    def _write_table(self, cell: Cell, table: CellTable, expected_version: int) -> None:
        stored_version = None
        if expected_version == self._stored[0]:
            stored_version = expected_version + 1
            self._stored = (stored_version, encode_table(table))
        self._enqueue(cell, cell.observe_write(table.attempt, stored_version, self.now_ms))
        if stored_version is not None:
            self._enqueue(cell, cell.observe_table(table, self.now_ms))

    def _deliver_heartbeat(self, cell: Cell, receiver: str, heartbeat: Heartbeat) -> None:
        member = cell.member
        envelope = Envelope(
            member.name, member.incarnation, self.now_ms, cell.table_version, 1, heartbeat
        )
        data = self._encoder.encode(envelope)
        self.heartbeats += 1
        self.heartbeat_bytes += len(data)
        peer = self._find_cell(receiver)
        if peer is None:
            return
        envelope_read = self._decoder.decode(data)
        actions = peer.observe_heartbeat(
            envelope_read.sender,
            envelope_read.incarnation,
            envelope_read.table_version,
            envelope_read.body,
            self.now_ms,
        )
        self._enqueue(peer, actions)

    def _enqueue(self, cell: Cell, actions: list[CellAction]) -> None:
        self._queue.extend((cell, action) for action in actions)

    def _find_cell(self, name: str) -> Cell | None:
        for cell in self.cells:
            if cell.member.name == name:
                return cell
        return None


def build_network(members: int, configuration: Configuration) -> CellNetwork:
    """Build a cell and run it until all members have joined."""
    domains = [domain.name for domain in configuration.failure_domains]
    cells = []
    for index in range(members):
        member = Member(
            f"entry-{index}",
            1_000 + index,
            f"tcp://10.0.0.{index}:7401",
            f"10.0.0.{index}:7400",
            domains[index % len(domains)],
        )
        cells.append(Cell("main", member))
    network = CellNetwork(cells)
    network.join(configuration)
    return network
