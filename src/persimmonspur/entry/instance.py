"""One entry instance: its parts and what connects them."""

import random
from typing import Any, Protocol

import gevent
from attrs import frozen
from expression import Result

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.answers import AnswerFormat
from persimmonspur.core.fleet.budget import ColdStartLimit, RetryBudget
from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.lag import LagDetector
from persimmonspur.core.fleet.latency import RouteLatencies
from persimmonspur.core.fleet.members import Member, Membership, choose_entry_set
from persimmonspur.core.fleet.routes import ClientLimits, RouteTable, RouteTableHolder
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.core.fleet.tier import Tier
from persimmonspur.entry import events
from persimmonspur.entry.calls import HttpCaller
from persimmonspur.entry.feeds import LIST_MAX_MS, Feed, Snapshot, Source, Updates
from persimmonspur.entry.heartbeats import Heartbeat, Heartbeats
from persimmonspur.entry.observer import Observer
from persimmonspur.entry.peerstate import PeerState, PeerStateSurface, fetch_state
from persimmonspur.entry.records import EventLog
from persimmonspur.entry.sender import EndpointCodec, EndpointSender
from persimmonspur.entry.server import Handler, HttpServer
from persimmonspur.entry.surfaces import ClientCodec, RequestSurface
from persimmonspur.entry.timers import LoopTimers
from persimmonspur.errors import Failure

# Instances that callers are sent to.
ENTRY_SET_SIZE = 4
MAINTENANCE_MS = 500.0
# Changes of endpoints come in bursts; the rest between two watches.
ENDPOINT_PAUSE_MS = 250.0
DEFAULT_CONNECTIONS = 64
# A maintenance that is this late shows that the process stood still.
STALL_MS = 300.0


@frozen
class Identity:
    """Who this instance is and what it keeps to.

    :param shutdown_ms: time from SIGTERM until the process is killed.
    """

    member: Member
    shutdown_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float


class Registry(Protocol):
    """Where instances register themselves."""

    def register(self, member: Member) -> Result[None, Failure]:
        """Write this instance's registration."""

    def unregister(self, name: str) -> Result[None, Failure]:
        """Remove a registration."""


@frozen
class Sources:
    """What the store holds for this instance."""

    configuration: Source[RouteTable]
    endpoints: Source[Endpoint]
    evacuations: Source[str]
    members: Source[Member]
    registry: Registry


@frozen
class Codecs:
    """Formats of both edges."""

    client: ClientCodec
    endpoint: EndpointCodec
    answers: AnswerFormat


class EntryInstance:
    """The parts of one process."""

    def __init__(
        self,
        identity: Identity,
        sources: Sources,
        codecs: Codecs,
        clock: Clock,
        timers: LoopTimers,
        log: EventLog,
    ) -> None:
        """Build the parts; nothing runs yet."""
        self.identity = identity
        self.clock = clock
        self.log = log
        self.observer = Observer(log)
        self.timers = timers
        self._sources = sources
        rng = random.Random(identity.member.name + str(identity.member.incarnation))
        self.routes = RouteTableHolder()
        self.endpoints = EndpointDirectory()
        self.membership = Membership(identity.member)
        self.selector = ReplicaSelector(identity.member.failure_domain, rng)
        self.latencies = RouteLatencies()
        self.budget = RetryBudget(
            identity.retry_ratio, identity.retry_slack, identity.retry_window_ms
        )
        self.cold = ColdStartLimit(identity.member.name)
        self.sender = EndpointSender(codecs.endpoint, self._find_connection_limit, clock, timers)
        self.tier = Tier(
            clock,
            timers,
            self.sender,
            self.endpoints,
            self.selector,
            self.latencies,
            self.budget,
            self.cold,
            codecs.answers,
            self.observer.note_decision,
            self.observer.metrics.count_send,
            rng,
        )
        self.requests = RequestSurface(
            self.tier, self.routes, codecs.client, self.observer.note_finished
        )
        self.leaving = False
        self._configuration_lag = LagDetector()
        self._endpoint_lag = LagDetector()
        self.configuration_feed: Feed[RouteTable] = Feed(
            "configuration",
            sources.configuration,
            self._take_configurations,
            self._take_configuration_updates,
            self.observer.note_store_call,
            clock,
            rng,
        )
        self.endpoint_feed: Feed[Endpoint] = Feed(
            "endpoints",
            sources.endpoints,
            self._take_endpoints,
            self._take_endpoint_updates,
            self.observer.note_store_call,
            clock,
            rng,
            ENDPOINT_PAUSE_MS,
        )
        self._evacuated: set[str] = set()
        self.evacuation_feed: Feed[str] = Feed(
            "evacuations",
            sources.evacuations,
            self._take_evacuations,
            self._take_evacuation_updates,
            self.observer.note_store_call,
            clock,
            rng,
        )
        self.heartbeats: Heartbeats | None = None
        self._peer_server: HttpServer | None = None
        self._last_tick_ms = 0.0
        self._stall_ms = 0.0
        self._add_gauges()

    @property
    def ready(self) -> bool:
        """Whether this instance takes requests."""
        return not self.leaving and self.routes.table is not None and self.endpoints.known_once

    def start(self) -> None:
        """Start feeds, heartbeats and maintenance.

        :raises OSError: if the peer address cannot be bound.
        """
        self.heartbeats = Heartbeats(self.membership, self._describe, self._take_heartbeat)
        self._peer_server = self.serve(
            self.identity.member.peer_address, PeerStateSurface(self.describe_state)
        )
        self.configuration_feed.start()
        self.endpoint_feed.start()
        self.evacuation_feed.start()
        gevent.spawn(self._register)
        self.timers.call_later(MAINTENANCE_MS, self._maintain)

    def serve(self, address: str, handler: Handler) -> HttpServer:
        """Serve one address.

        :raises OSError: if the address cannot be bound.
        """
        return HttpServer(address, handler, self.get_client_limits, self.clock)

    def leave(self) -> None:
        """Take no new callers: not ready, and no longer named by any instance."""
        self.leaving = True
        self.membership.own_ready = False
        if self.heartbeats is not None:
            self.heartbeats.send()
        gevent.spawn(self._sources.registry.unregister, self.identity.member.name)

    def stop(self) -> None:
        """Stop feeds, heartbeats and the peer address; idempotent."""
        self.leaving = True
        for feed in (self.configuration_feed, self.endpoint_feed, self.evacuation_feed):
            feed.stop()
        if self.heartbeats is not None:
            self.heartbeats.close()
            self.heartbeats = None
        if self._peer_server is not None:
            self._peer_server.stop_accepting()
            self._peer_server.close_idle()
            self._peer_server = None

    def get_client_limits(self) -> ClientLimits:
        """Return what clients may send."""
        table = self.routes.table
        return table.limits if table is not None else ClientLimits()

    def choose_addresses(self) -> list[str]:
        """Return the addresses that callers use now."""
        now_ms = self.clock.now_ms()
        members = self.membership.ready_members(now_ms)
        chosen = choose_entry_set(members, ENTRY_SET_SIZE)
        if not chosen:
            return [self.identity.member.caller_address]
        return [member.caller_address for member in chosen]

    def _find_connection_limit(self, service: str) -> int:
        table = self.routes.table
        limits = table.services.get(service) if table is not None else None
        return limits.max_connections if limits is not None else DEFAULT_CONNECTIONS

    def _register(self) -> None:
        registered = self._sources.registry.register(self.identity.member)
        delay_ms = 200.0
        while registered.is_error() and not self.leaving:
            self.observer.note_store_call("registration", registered.error)
            gevent.sleep(delay_ms / 1000)
            delay_ms = min(2_000.0, delay_ms * 2)
            registered = self._sources.registry.register(self.identity.member)
        self._list_members()

    def _list_members(self) -> None:
        delay_ms = 200.0
        while not self.leaving:
            listed = self._sources.members.list(LIST_MAX_MS)
            if listed.is_ok():
                now_ms = self.clock.now_ms()
                for member in listed.ok.items.values():
                    self.membership.register(member, now_ms)
                if self.heartbeats is not None:
                    self.heartbeats.send()
                return
            self.observer.note_store_call("members", listed.error)
            gevent.sleep(delay_ms / 1000)
            delay_ms = min(2_000.0, delay_ms * 2)

    def _describe(self) -> tuple[bool, int, int]:
        table = self.routes.table
        version = table.version if table is not None else 0
        return self.ready, version, self.endpoint_feed.newest

    def _take_heartbeat(self, member: Member, heartbeat: Heartbeat) -> None:
        now_ms = self.clock.now_ms()
        if self.membership.hear(member, heartbeat.ready, now_ms):
            self.log.record(
                events.MEMBER_CHANGED,
                member=member.name,
                incarnation=member.incarnation,
                ready=heartbeat.ready,
            )
        self._compare(member, heartbeat, now_ms)

    def _compare(self, member: Member, heartbeat: Heartbeat, now_ms: float) -> None:
        table = self.routes.table
        version = table.version if table is not None else 0
        if self._configuration_lag.note(heartbeat.configuration, version, now_ms):
            self._renew(self.configuration_feed, version, heartbeat.configuration, member)
        newest = self.endpoint_feed.newest
        if self._endpoint_lag.note(heartbeat.endpoints, newest, now_ms):
            self._renew(self.endpoint_feed, newest, heartbeat.endpoints, member)

    def _renew(self, feed: Feed[Any], own: int, newer: int, peer: Member) -> None:
        self.log.record(events.WATCH_STUCK, feed=feed.name, own=own, newer=newer, peer=peer.name)
        if feed.failing:
            # The store does not answer this instance; a peer can.
            gevent.spawn(self._take_peer_state, peer)
        else:
            feed.restart()

    def _take_peer_state(self, peer: Member) -> None:
        fetched = fetch_state(HttpCaller(peer.peer_address, self.clock, self.timers))
        if fetched.is_error():
            self.log.record(events.PEER_STATE_FAILED, peer=peer.name, reason=fetched.error.message)
            return
        state = fetched.ok
        now_ms = self.clock.now_ms()
        table = state.build_table()
        if table is not None:
            self._take_table(table)
        if state.newest > self.endpoint_feed.newest:
            self.endpoints.replace_all(state.build_endpoints(now_ms), False, now_ms)
            self.endpoint_feed.newest = state.newest
            self._evacuated = set(state.evacuated)
            self._apply_evacuations()
        self.log.record(
            events.PEER_STATE_TAKEN, peer=peer.name, version=state.version, newest=state.newest
        )

    def describe_state(self) -> PeerState:
        """Return what this instance knows from the store, for a peer."""
        table = self.routes.table
        return PeerState(
            table.version if table is not None else 0,
            list(table.routes) if table is not None else [],
            table.services if table is not None else {},
            self.get_client_limits(),
            self.endpoints.list_all(),
            self.endpoint_feed.newest,
            sorted(self.endpoints.evacuated),
            self.clock.now_ms(),
        )

    def _maintain(self) -> None:
        if self.heartbeats is None:
            return
        self.timers.call_later(MAINTENANCE_MS, self._maintain)
        now_ms = self.clock.now_ms()
        self._note_stall(now_ms)
        self.membership.own_ready = self.ready
        for identity in self.endpoints.expire(now_ms):
            self.log.record(events.ENDPOINT_REMOVED, endpoint=identity, reason="did not come back")
        identities = self.endpoints.identities()
        self.selector.forget(identities)
        self.cold.forget(identities)
        self.sender.retain(identities)
        ready = self.membership.ready_members(now_ms)
        self.budget.instances = max(1, min(len(ready), 2 * ENTRY_SET_SIZE))
        sharing = max(1, min(len(ready), ENTRY_SET_SIZE))
        self.sender.sharing = sharing
        self.selector.sharing = sharing
        self.cold.set_members(tuple(member.name for member in ready))

    def _take_configurations(self, snapshot: Snapshot[RouteTable], after_outage: bool) -> None:
        for failure in snapshot.rejected:
            self.log.record(events.ENTRY_REJECTED, kind="configuration", reason=failure.message)
        for table in snapshot.items.values():
            self._take_table(table)

    def _take_configuration_updates(self, updates: Updates[RouteTable], after_outage: bool) -> None:
        for failure in updates.rejected:
            self.log.record(events.ENTRY_REJECTED, kind="configuration", reason=failure.message)
        for _, table in updates.changes:
            if table is not None:
                self._take_table(table)

    def _take_table(self, table: RouteTable) -> None:
        if not self.routes.offer(table):
            return
        self.latencies.retain(frozenset(route.name for route in table.routes))
        self.log.record(
            events.CONFIGURATION_IN_EFFECT,
            version=table.version,
            routes=len(table.routes),
            services=len(table.services),
        )

    def _take_endpoints(self, snapshot: Snapshot[Endpoint], after_outage: bool) -> None:
        for failure in snapshot.rejected:
            self.log.record(events.ENTRY_REJECTED, kind="endpoint", reason=failure.message)
        self.endpoints.replace_all(snapshot.items.values(), after_outage, self.clock.now_ms())
        self.log.record(
            events.ENDPOINTS_LISTED,
            endpoints=len(snapshot.items),
            revision=snapshot.revision,
            after_outage=after_outage,
        )

    def _take_endpoint_updates(self, updates: Updates[Endpoint], after_outage: bool) -> None:
        for failure in updates.rejected:
            self.log.record(events.ENTRY_REJECTED, kind="endpoint", reason=failure.message)
        now_ms = self.clock.now_ms()
        for identity, endpoint in updates.changes:
            if endpoint is None:
                self.endpoints.remove(identity, after_outage, now_ms)
                self.log.record(events.ENDPOINT_REMOVED, endpoint=identity, reason="entry removed")
                continue
            known = self.endpoints.get(identity)
            self.endpoints.put(endpoint)
            if known is None or known.draining != endpoint.draining:
                self.log.record(
                    events.ENDPOINT_CHANGED,
                    endpoint=identity,
                    service=endpoint.service,
                    address=endpoint.address,
                    draining=endpoint.draining,
                    revision=updates.revision,
                )

    def _take_evacuations(self, snapshot: Snapshot[str], after_outage: bool) -> None:
        self._evacuated = set(snapshot.items)
        self._apply_evacuations()

    def _take_evacuation_updates(self, updates: Updates[str], after_outage: bool) -> None:
        for name, present in updates.changes:
            if present is None:
                self._evacuated.discard(name)
            else:
                self._evacuated.add(name)
        self._apply_evacuations()

    def _apply_evacuations(self) -> None:
        self.endpoints.evacuate(frozenset(self._evacuated))
        if self._evacuated:
            self.log.record(events.EVACUATED, failure_domains=sorted(self._evacuated))

    def _note_stall(self, now_ms: float) -> None:
        """Notice that this process stood still, because of its machine or its own work."""
        late_ms = now_ms - self._last_tick_ms - MAINTENANCE_MS
        if self._last_tick_ms and late_ms > STALL_MS:
            self.log.record(events.PROCESS_STALLED, stall_ms=round(late_ms))
            self._stall_ms += late_ms
        self._last_tick_ms = now_ms

    def _add_gauges(self) -> None:
        metrics = self.observer.metrics
        metrics.add_gauge(
            "persimmonspur_state_version",
            "Version of the configuration, and store revision of the latest endpoint change",
            "state",
            lambda: {
                "configuration": self.routes.table.version if self.routes.table else 0,
                "endpoints": self.endpoint_feed.newest,
            },
        )
        metrics.add_gauge(
            "persimmonspur_store_reached_seconds",
            "Time since the last successful call of the store",
            "feed",
            self._measure_store_ages,
        )
        metrics.add_gauge(
            "persimmonspur_instance",
            "Requests that run, client connections, known endpoints, ready instances",
            "count",
            lambda: {
                "requests": self.requests.running,
                "endpoints": len(self.endpoints),
                "instances": len(self.membership.ready_members(self.clock.now_ms())),
                "endpoint_connections_opened": self.sender.count_opened(),
                "log_lines_dropped": self.log.dropped,
                "stalled_ms": self._stall_ms,
            },
        )

    def _measure_store_ages(self) -> dict[str, float]:
        now_ms = self.clock.now_ms()
        feeds = (self.configuration_feed, self.endpoint_feed, self.evacuation_feed)
        return {feed.name: (now_ms - feed.reached_ms) / 1000 for feed in feeds}
