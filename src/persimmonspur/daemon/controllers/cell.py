"""Runs the cell: heartbeats, the table and its changes."""

import gevent
import msgspec

from persimmonspur.core.ownership.actions import (
    AdoptTable,
    CellAction,
    FetchTableFrom,
    ReadTable,
    ReleaseBudgets,
    SendHeartbeat,
    WriteTable,
)
from persimmonspur.core.ownership.table import CellTable, decode_table, encode_table
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Handler, PeerMessage
from persimmonspur.daemon.instance import Instance
from persimmonspur.model.messages import FetchTable, Heartbeat, Release, TableState

TICK_MS = 100.0


@CONTROLLERS.register("cell")
class CellController:
    """Connects :class:`Cell` with the object API and the peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._cell = instance.cell
        self._key = f"cells/{instance.settings.cell}/table"
        self._loop: gevent.Greenlet[[], None] | None = None

    def start(self) -> None:
        """Start to tick."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to tick."""
        if self._loop is not None:
            self._loop.kill()

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of table messages."""
        return {
            Heartbeat: self._handle_heartbeat,
            FetchTable: self._handle_fetch,
            TableState: self._handle_table,
            Release: self._handle_release,
        }

    def execute(self, actions: list[CellAction]) -> None:
        """Carry out the cell's actions."""
        for action in actions:
            match action:
                case SendHeartbeat():
                    self._instance.send(action.receiver, action.heartbeat)
                case FetchTableFrom():
                    self._instance.send(action.peer, FetchTable(self._cell.table_version))
                case ReadTable():
                    gevent.spawn(self._read)
                case WriteTable():
                    gevent.spawn(self._write, action)
                case AdoptTable():
                    self._adopt(action.table)
                case ReleaseBudgets():
                    self._instance.endpoints.release(action)

    def _run(self) -> None:
        while True:
            now_ms = self._instance.clock.now_ms()
            self.execute(self._cell.tick(now_ms))
            gevent.sleep(TICK_MS / 1000)

    def _read(self) -> None:
        started_ms = self._instance.clock.now_ms()
        result = self._instance.object_api.read(self._key)
        now_ms = self._instance.clock.now_ms()
        if result.is_error():
            self._instance.timeline.record(events.STORE_FAILED, reason=result.error.message)
            self.execute(self._cell.observe_read_failure(now_ms))
            return
        stored = result.ok
        if stored is None:
            self.execute(self._cell.observe_read(None, 0, started_ms, now_ms))
            return
        table = decode_table(stored.value)
        self.execute(self._cell.observe_read(table, stored.version, started_ms, now_ms))

    def _write(self, action: WriteTable) -> None:
        value = encode_table(action.table)
        result = self._instance.object_api.write(self._key, value, action.expected_version)
        now_ms = self._instance.clock.now_ms()
        if result.is_ok():
            self._instance.timeline.record(events.TABLE_WRITTEN, version=action.table.version)
            self.execute(self._cell.observe_write(action.table.attempt, result.ok, now_ms))
            self.execute(self._cell.observe_table(action.table, now_ms))
            return
        self._instance.timeline.record(events.TABLE_CONFLICT, version=action.table.version)
        self.execute(self._cell.observe_write(action.table.attempt, None, now_ms))

    def _adopt(self, table: CellTable) -> None:
        self._instance.timeline.record(events.TABLE_ADOPTED, version=table.version)
        self._instance.metrics.table_version.set(table.version)
        self._instance.connect_members(table)
        self._instance.endpoints.refresh()

    def _handle_heartbeat(self, message: PeerMessage) -> None:
        actions = self._cell.observe_heartbeat(
            message.sender,
            message.incarnation,
            message.table_version,
            message.body,
            self._instance.clock.now_ms(),
        )
        self.execute(actions)

    def _handle_fetch(self, message: PeerMessage) -> None:
        table = self._cell.table
        if table is None or table.version <= message.body.known_version:
            return
        self._instance.send(message.sender, TableState(table.version, encode_table(table)))

    def _handle_table(self, message: PeerMessage) -> None:
        try:
            table = decode_table(message.body.value)
        except msgspec.DecodeError:
            return
        self.execute(self._cell.observe_table(table, self._instance.clock.now_ms()))

    def _handle_release(self, message: PeerMessage) -> None:
        self._instance.endpoints.take_over(message.body.budgets)
        endpoints = [budget.endpoint for budget in message.body.budgets]
        actions = self._cell.observe_release(
            message.sender,
            message.body.version,
            endpoints,
            list(message.body.partitions),
            self._instance.clock.now_ms(),
        )
        self.execute(actions)
