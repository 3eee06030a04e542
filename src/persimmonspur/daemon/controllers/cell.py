"""Runs the cell protocol: heartbeats, the cell table and its changes."""

import gevent
import msgspec

from persimmonspur.core.ownership.actions import (
    AdoptTable,
    CellAction,
    ConfirmTable,
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

TICK_INTERVAL_MS = 100.0
TICKS_PER_REPORT = 10

# Two members poll the instance list at the short interval. The others only need to
# learn which names it contains.
LISTING_INTERVAL_MS = 10_000.0
SLOW_LISTING_INTERVAL_MS = 300_000.0


@CONTROLLERS.register("cell")
class CellController:
    """Connects :class:`Cell` to the object API, the instance list and the peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._cell = instance.cell
        self._table_key = f"cells/{instance.settings.cell}/table"
        self._table: CellTable | None = None
        self._connected_members: set[str] = set()
        self._encoded_table = TableState(0, b"")
        self._incarnation = instance.incarnation
        self._last_listing_ms = 0.0
        self._listing_in_progress = False
        self._had_valid_budgets = False
        self._tick_loop: gevent.Greenlet[[], None] | None = None

    def start(self) -> None:
        """Start the periodic ticks."""
        self._tick_loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the ticks and tell the other members that this incarnation has ended."""
        if self._tick_loop is not None:
            self._tick_loop.kill()
        self.execute(self._cell.end(self._instance.clock.now_ms()))

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of heartbeats, table messages and releases."""
        return {
            Heartbeat: self._handle_heartbeat,
            FetchTable: self._handle_fetch,
            TableState: self._handle_table,
            Release: self._handle_release,
        }

    def execute(self, actions: list[CellAction]) -> None:
        """Execute the actions of the cell."""
        adopted = False
        for action in actions:
            match action:
                case SendHeartbeat():
                    self._instance.send(action.receiver, action.heartbeat)
                case FetchTableFrom():
                    self._instance.send(action.peer, FetchTable(self._cell.table_version))
                case ReadTable():
                    gevent.spawn(self._read_table)
                case WriteTable():
                    gevent.spawn(self._write_table, action)
                case ConfirmTable():
                    gevent.spawn(self._confirm_table, action)
                case AdoptTable():
                    adopted = True
                    self._adopt_table(action.table)
                case ReleaseBudgets():
                    self._release_budgets(action)
        if adopted:
            # Runs after the releases, which need the state of the gates that it removes.
            self._instance.endpoint_controller.refresh()

    def _run(self) -> None:
        ticks = 0
        while True:
            now_ms = self._instance.clock.now_ms()
            self.execute(self._cell.tick(now_ms))
            if ticks % TICKS_PER_REPORT == 0:
                self._report_state(now_ms)
                self._schedule_listing(now_ms)
            ticks += 1
            gevent.sleep(TICK_INTERVAL_MS / 1000)

    def _read_table(self) -> None:
        started_ms = self._instance.clock.now_ms()
        result = self._instance.object_api.read(self._table_key)
        now_ms = self._instance.clock.now_ms()
        self._count_store_call("read", result.is_ok())
        if result.is_error():
            self._instance.timeline.record(events.STORE_FAILED, reason=result.error.message)
            self.execute(self._cell.observe_read_failure(now_ms))
            return
        stored = result.ok
        if stored is None:
            self.execute(self._cell.observe_read(None, 0, started_ms, now_ms))
            return
        table = self._decode_table(stored.value)
        if table is None:
            self.execute(self._cell.observe_read_failure(now_ms))
            return
        self.execute(self._cell.observe_read(table, stored.version, started_ms, now_ms))

    def _write_table(self, action: WriteTable) -> None:
        version = action.table.version
        value = encode_table(action.table)
        result = self._instance.object_api.write(self._table_key, value, action.expected_version)
        now_ms = self._instance.clock.now_ms()
        self._count_store_call("write", result.is_ok())
        stored_version = result.ok if result.is_ok() else None
        event = events.TABLE_CONFLICT if stored_version is None else events.TABLE_WRITTEN
        self._instance.timeline.record(event, version=version)
        self.execute(self._cell.observe_write(action.table.attempt, stored_version, now_ms))

    def _confirm_table(self, action: ConfirmTable) -> None:
        started_ms = self._instance.clock.now_ms()
        value = encode_table(action.table)
        result = self._instance.object_api.write(self._table_key, value, action.expected_version)
        now_ms = self._instance.clock.now_ms()
        self._count_store_call("confirm", result.is_ok())
        stored_version = result.ok if result.is_ok() else None
        version = action.table.version
        self.execute(self._cell.observe_confirmation(version, started_ms, stored_version, now_ms))

    def _adopt_table(self, table: CellTable) -> None:
        instance = self._instance
        instance.timeline.record(events.TABLE_ADOPTED, version=table.version)
        instance.metrics.table_version.set(table.version)
        instance.metrics.members.set(len(table.members))
        self._report_member_changes(table)
        # Joint members belong to the previous version and may still have to receive this one.
        for name in self._connected_members - table.members.keys() - table.joint_members:
            instance.transport.disconnect(name)
            self._connected_members.discard(name)
        self._connected_members |= table.members.keys()
        self._table = table
        instance.connect_to_members(table)

    def _report_member_changes(self, table: CellTable) -> None:
        previous = self._table.members if self._table is not None else {}
        for name in sorted(previous.keys() | table.members.keys()):
            before, after = previous.get(name), table.members.get(name)
            if before and after and before.incarnation == after.incarnation:
                continue
            if before is not None:
                self._instance.metrics.members_gone.inc()
                self._instance.timeline.record(
                    events.MEMBER_GONE, member=name, incarnation=before.incarnation
                )
            if after is not None:
                self._instance.timeline.record(
                    events.MEMBER_JOINED, member=name, incarnation=after.incarnation
                )

    def _release_budgets(self, action: ReleaseBudgets) -> None:
        self._instance.timeline.record(
            events.BUDGETS_RELEASED, endpoints=len(action.endpoints), receiver=action.receiver
        )
        self._instance.endpoint_controller.release(action)

    def _report_state(self, now_ms: float) -> None:
        cell, timeline, metrics = self._cell, self._instance.timeline, self._instance.metrics
        valid = cell.count_valid_budgets(now_ms)
        metrics.valid_budgets.set(valid)
        metrics.installed_version.set(cell.installed_version)
        metrics.store_calls.set(getattr(self._instance.object_api, "calls", 0))
        if cell.member.incarnation != self._incarnation:
            self._incarnation = cell.member.incarnation
            timeline.record(events.INCARNATION_ENDED, incarnation=self._incarnation)
        owned = cell.count_owned_budgets()
        if self._had_valid_budgets and owned and not valid:
            self._had_valid_budgets = False
            timeline.record(events.VALIDITY_LOST, owned=owned)
        if not self._had_valid_budgets and valid:
            self._had_valid_budgets = True
            timeline.record(events.VALIDITY_GAINED, valid=valid, owned=owned)

    def _schedule_listing(self, now_ms: float) -> None:
        interval_ms = (
            LISTING_INTERVAL_MS
            if self._cell.should_poll_instance_list(now_ms)
            else SLOW_LISTING_INTERVAL_MS
        )
        if self._listing_in_progress or (
            self._last_listing_ms and now_ms - self._last_listing_ms < interval_ms
        ):
            return
        self._listing_in_progress = True
        self._last_listing_ms = now_ms
        gevent.spawn(self._read_listing)

    def _read_listing(self) -> None:
        result = self._instance.instance_list.list_instances()
        self._listing_in_progress = False
        self._count_store_call("listing", result.is_ok())
        if result.is_error():
            return
        names = frozenset(result.ok.instances)
        now_ms = self._instance.clock.now_ms()
        self.execute(self._cell.observe_listing(names, now_ms))

    def _count_store_call(self, kind: str, succeeded: bool) -> None:
        result = "ok" if succeeded else "failed"
        self._instance.metrics.cell_store_calls.labels(kind, result).inc()

    def _decode_table(self, value: bytes) -> CellTable | None:
        try:
            return decode_table(value)
        except msgspec.DecodeError as error:
            self._instance.timeline.record(events.TABLE_UNREADABLE, reason=str(error))
            return None

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
        # Every other member fetches a new version, so its encoded form is cached.
        if self._encoded_table.version != table.version:
            self._encoded_table = TableState(table.version, encode_table(table))
        self._instance.send(message.sender, self._encoded_table)

    def _handle_table(self, message: PeerMessage) -> None:
        table = self._decode_table(message.body.value)
        if table is not None:
            self.execute(self._cell.observe_table(table, self._instance.clock.now_ms()))

    def _handle_release(self, message: PeerMessage) -> None:
        self._instance.endpoint_controller.accept_budgets(message.body.budgets)
        endpoints = [budget.endpoint for budget in message.body.budgets]
        actions = self._cell.observe_release(
            message.sender,
            message.body.version,
            endpoints,
            self._instance.clock.now_ms(),
        )
        self.execute(actions)
