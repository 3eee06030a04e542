"""Connects the orders to move services to other versions with the store and other instances."""

import math
import random
from collections.abc import Callable
from typing import Any

import msgspec
from expression import Result
from gevent.pool import Pool

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.messages import Timers
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.rollouts.fleet import (
    FleetView,
    Rollouts,
    StateWrite,
    count_phases,
    sum_evidence,
)
from persimmonspur.core.fleet.rollouts.orders import RolloutOrder
from persimmonspur.core.fleet.rollouts.rollout import Phase, Rollout, RolloutReport
from persimmonspur.entry import events
from persimmonspur.entry.feeds import Feed, Snapshot, Source, Updates
from persimmonspur.entry.heartbeats import MAX_DATAGRAM_BYTES, HeartbeatTransport
from persimmonspur.entry.observer import Observer
from persimmonspur.entry.relays import ChangeRelay, RelayClient, RelayedSource
from persimmonspur.entry.state import OrderWriter, StoreState
from persimmonspur.entry.wire import ROLLOUT_FORMAT
from persimmonspur.errors import Failure

ROLLOUTS = "rollouts"
TICK_MS = 250.0
# Ticks between reports while the verdict is open. During a shift each tick reports, because a
# fault then concerns most of the requests.
REPORT_TICKS = 2
# Ticks between log lines about an order in progress.
LOG_TICKS = 8
# Time between repetitions of the feed's call because peers know an order that this one lacks.
RESTART_INTERVAL_MS = 2_000.0
# Bytes of a datagram beside the reports and the sender's name.
MESSAGE_OVERHEAD_BYTES = 40
MAX_REASON_CHARS = 200
MAX_CONCURRENT_WRITES = 4


class RolloutMessage(msgspec.Struct, array_like=True, tag="rollouts"):
    """Reports of one instance on the orders in progress.

    :param incarnation: start time of the sender in Unix milliseconds.
    """

    sender: str
    incarnation: int
    reports: list[RolloutReport]


class RolloutService:
    """Follows the orders, exchanges reports, and writes states.

    :ivar feed: follows the orders in the store.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        source: Source[RolloutOrder],
        writer: OrderWriter,
        membership: Membership,
        relay_client: RelayClient,
        observer: Observer,
        clock: Clock,
        timers: Timers,
        rng: random.Random,
        verifies_watches: Callable[[], bool],
    ) -> None:
        """Create a service that is not running.

        :param rollouts: decisions of this instance.
        :param verifies_watches: see :class:`persimmonspur.entry.feeds.Feed`.
        """
        self._rollouts = rollouts
        self._writer = writer
        self._membership = membership
        self._observer = observer
        self._clock = clock
        self._timers = timers
        self._heartbeats: HeartbeatTransport | None = None
        self._ticks = 0
        self._restarted_ms = -RESTART_INTERVAL_MS
        self._writing: set[str] = set()
        self._write_pool = Pool(MAX_CONCURRENT_WRITES)
        self.feed: Feed[RolloutOrder] = Feed(
            ROLLOUTS,
            RelayedSource(ROLLOUTS, source, relay_client, ROLLOUT_FORMAT),
            self._apply_snapshot,
            self._apply_updates,
            observer.record_store_call,
            clock,
            rng,
            verifies_watches=verifies_watches,
            watches_briefly=lambda: rollouts.active,
        )
        self._register_gauges()

    def add_to(self, state: StoreState) -> None:
        """Start and stop the feed with the others, and relay it like them."""
        relay = ChangeRelay(self.feed, ROLLOUT_FORMAT, self._clock, self._timers)
        state.add_feed(self.feed, relay)

    def start(self, heartbeats: HeartbeatTransport) -> None:
        """Begin to exchange reports."""
        self._heartbeats = heartbeats
        heartbeats.register_message(RolloutMessage, self._receive)
        self._timers.call_later(TICK_MS, self._tick)

    def stop(self) -> None:
        """Stop exchanging reports; idempotent."""
        self._heartbeats = None

    def report_phase(self, rollout: Rollout, figures: dict[str, Any]) -> None:
        """Log a change of phase, and tell the other instances at once of a rollback."""
        self._observer.log.record(events.ROLLOUT_CHANGED, **figures)
        if rollout.phase is Phase.ROLLED_BACK and not rollout.order.state.final:
            self._send_reports(self._membership.peers())

    def _apply_snapshot(self, snapshot: Snapshot[RolloutOrder], recovering: bool) -> None:
        self._log_rejected(snapshot.rejected)
        now_ms = self._clock.now_ms()
        era = snapshot.position.era
        self._update_view(now_ms, now_ms)
        self._rollouts.replace_orders(snapshot.items, era, recovering, now_ms)

    def _apply_updates(self, updates: Updates[RolloutOrder], recovering: bool) -> None:
        self._log_rejected(updates.rejected)
        now_ms = self._clock.now_ms()
        self._update_view(now_ms, now_ms)
        for name, order in updates.changes:
            if order is None:
                self._rollouts.remove_order(name, recovering, now_ms)
            else:
                self._rollouts.apply_order(order, updates.position.era, recovering, now_ms)

    def _log_rejected(self, rejected: tuple[Failure, ...]) -> None:
        for failure in rejected:
            self._observer.log.record(events.ENTRY_REJECTED, kind="rollout", reason=failure.message)

    def _tick(self) -> None:
        if self._heartbeats is None:
            return
        self._timers.call_later(TICK_MS, self._tick)
        now_ms = self._clock.now_ms()
        self._ticks += 1
        if not self._rollouts.list_all():
            return
        confirmed_ms = self.feed.last_success_ms if self.feed.listed else -math.inf
        self._update_view(confirmed_ms, now_ms)
        self._share_reports(now_ms)
        if self._ticks % LOG_TICKS == 0:
            self._log_progress(now_ms)
        for write in self._rollouts.find_due_writes(now_ms):
            if write.order.service not in self._writing and not self._write_pool.full():
                self._writing.add(write.order.service)
                self._write_pool.spawn(self._write, write)

    def _update_view(self, confirmed_ms: float, now_ms: float) -> None:
        own = self._membership.own.name
        participants = tuple(member.name for member in self._membership.entry_set(now_ms))
        has_part = self._rollouts.active and own in participants
        connected = has_part and self._hears_majority(now_ms)
        self._rollouts.update(FleetView(own, participants, connected, confirmed_ms), now_ms)

    def _hears_majority(self, now_ms: float) -> bool:
        """Return whether most of the relays live that would be chosen if all lived.

        On one side of a partition at most, traffic moves to the new version.
        """
        live = {relay.name for relay in self._membership.live_relays(now_ms)}
        expected = self._membership.expected_relays()
        return 2 * sum(relay.name in live for relay in expected) > len(expected)

    def _share_reports(self, now_ms: float) -> None:
        own = self._membership.own
        participants = self._membership.entry_set(now_ms)
        if own not in participants:
            return
        phases = {report.phase for report in self._rollouts.build_reports(now_ms)}
        is_regular = self._ticks % REPORT_TICKS == 0
        if is_regular and phases & {Phase.SHIFTING, Phase.ROLLED_BACK}:
            self._send_reports(self._membership.peers())
        elif is_regular or Phase.SHIFTING in phases:
            self._send_reports([member for member in participants if member != own])

    def _send_reports(self, peers: list[Member]) -> None:
        if self._heartbeats is None or not peers:
            return
        own = self._membership.own
        limit = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - len(own.name.encode())
        batch: list[RolloutReport] = []
        used = 0
        for report in self._rollouts.build_reports(self._clock.now_ms()):
            report.reason = report.reason[:MAX_REASON_CHARS]
            size = len(msgspec.msgpack.encode(report))
            if batch and used + size > limit:
                self._heartbeats.send_message(
                    RolloutMessage(own.name, own.incarnation, batch), peers
                )
                batch, used = [], 0
            batch.append(report)
            used += size
        if batch:
            self._heartbeats.send_message(RolloutMessage(own.name, own.incarnation, batch), peers)

    def _receive(self, message: RolloutMessage) -> None:
        now_ms = self._clock.now_ms()
        for report in message.reports:
            if self._rollouts.merge_report(message.sender, message.incarnation, report, now_ms):
                continue
            if now_ms - self._restarted_ms >= RESTART_INTERVAL_MS and self.feed.listed:
                self._restarted_ms = now_ms
                self._observer.log.record(
                    events.ROLLOUT_UNKNOWN,
                    peer=message.sender,
                    service=report.service,
                    target_version=report.target_version,
                )
                self.feed.restart()

    def _write(self, write: StateWrite) -> None:
        try:
            if self._rollouts.is_wanted(write, self._clock.now_ms()):
                self._record_write(write, self._writer.write_state(write.order, write.state))
        finally:
            self._writing.discard(write.order.service)

    def _record_write(
        self, write: StateWrite, result: Result[tuple[RolloutOrder, int], Failure]
    ) -> None:
        order = write.order
        fields = {
            "service": order.service,
            "target_version": order.target_version,
            "state": write.state.value,
        }
        self._observer.metrics.count_store_call("status", "failed" if result.is_error() else "ok")
        if result.is_error():
            reason = result.error.message
            self._observer.log.record(events.ROLLOUT_STATE_NOT_WRITTEN, reason=reason, **fields)
            return
        current, era = result.ok
        if current.state is write.state:
            self._observer.log.record(
                events.ROLLOUT_STATE_WRITTEN, revision=current.revision, **fields
            )
        else:
            reason = (
                f"the store has {current.state.value or 'no state'} for another order or writer"
            )
            self._observer.log.record(events.ROLLOUT_STATE_NOT_WRITTEN, reason=reason, **fields)
        self._rollouts.apply_order(current, era, False, self._clock.now_ms())

    def _log_progress(self, now_ms: float) -> None:
        for rollout in self._rollouts.list_all():
            if rollout.in_progress:
                figures = self._rollouts.describe(rollout, now_ms)
                self._observer.log.record(events.ROLLOUT_PROGRESS, **figures)

    def _register_gauges(self) -> None:
        metrics = self._observer.metrics
        metrics.add_gauge(
            "persimmonspur_rollouts",
            "Orders to move a service to another version, by phase at this instance",
            "phase",
            lambda: count_phases(self._rollouts.list_all()),
        )
        metrics.add_gauge(
            "persimmonspur_rollout_responses",
            "Responses counted by all instances for the orders in progress",
            "kind",
            self._count_responses,
        )

    def _count_responses(self) -> dict[str, float]:
        total = sum_evidence(self._rollouts.list_all())
        return {
            "new": total.new,
            "new_bad": total.new_bad,
            "old": total.old,
            "old_bad": total.old_bad,
        }
