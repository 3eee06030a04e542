"""Local copy of the store's configuration, endpoints and evacuations, kept up to date."""

import random
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from attrs import frozen
from expression import Result
from gevent.event import Event

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import (
    MISSING_ENTRY_HOLD_MS,
    AppliedChange,
    Endpoint,
    EndpointDirectory,
    restricts_work,
)
from persimmonspur.core.fleet.freshness import ConfigurationFreshness
from persimmonspur.core.fleet.lag import LagDetector
from persimmonspur.core.fleet.messages import Timers
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.rollouts.orders import OrderState, RolloutOrder
from persimmonspur.core.fleet.routes import ClientLimits, RouteTable, RouteTableHolder
from persimmonspur.entry import events
from persimmonspur.entry.features import NO_FEATURES, FeatureSettings
from persimmonspur.entry.feeds import Feed, Snapshot, Source, Updates
from persimmonspur.entry.observer import Observer
from persimmonspur.entry.peerstate import PeerState, fetch_state
from persimmonspur.entry.relays import (
    STORE,
    ChangeRelay,
    RelayClient,
    RelayedSource,
    RelayHandler,
)
from persimmonspur.entry.wire import (
    ENDPOINT_FORMAT,
    EVACUATION_FORMAT,
    TABLE_FORMAT,
    Positions,
    pack_table,
)
from persimmonspur.errors import Failure

# Changes come in bursts and every watch is a billed store call, so a feed waits this long after
# a change. The delay for configurations is short compared with the time limit for applying them;
# that for endpoints holds only during the start, since a cold endpoint's limit counts by the
# second.
ENDPOINT_BATCH_DELAY_MS = 500.0
CONFIGURATION_BATCH_DELAY_MS = 200.0
# Names of the feeds in logs, metrics and requests between instances.
CONFIGURATION = "configuration"
ENDPOINTS = "endpoints"
EVACUATIONS = "evacuations"


class Registry(Protocol):
    """Writes registrations of instances to the store."""

    def register(self, member: Member) -> Result[None, Failure]:
        """Create or replace a registration."""

    def unregister(self, name: str) -> Result[None, Failure]:
        """Remove a registration."""


class OrderWriter(Protocol):
    """Writes the states of orders to move services to other versions."""

    def write_state(
        self, order: RolloutOrder, state: OrderState
    ) -> Result[tuple[RolloutOrder, int], Failure]:
        """Write a state if the order still has the known revision.

        :returns: the order as the store has it now, with this state or with what another
            instance wrote before, and the era of the store; ``NOT_FOUND`` if it was removed.
        """


@frozen
class StoreSources:
    """Sources of each kind of object in the store, and the registry.

    :param rollouts: orders to move services to other versions; used only in deployments that
        have them.
    """

    configuration: Source[RouteTable]
    endpoints: Source[Endpoint]
    evacuations: Source[str]
    members: Source[Member]
    registry: Registry
    rollouts: Source[RolloutOrder] | None = None
    order_writer: OrderWriter | None = None


class StoreState:
    """Configuration, endpoints and evacuations from the store, a relay or a peer.

    :ivar store_recovered: set when the store answers again after failures; code that
        waits for it clears it first.
    :ivar on_initialized: called once, when this instance can serve requests.
    """

    def __init__(
        self,
        sources: StoreSources,
        observer: Observer,
        clock: Clock,
        timers: Timers,
        rng: random.Random,
        on_table_change: Callable[[RouteTable], None],
        relay_client: RelayClient,
        verifies_watches: Callable[[], bool],
        features: FeatureSettings = NO_FEATURES,
    ) -> None:
        """Create empty state and feeds that are not running.

        :param on_table_change: called with each new route table.
        :param relay_client: provides the relay to follow instead of the store.
        :param verifies_watches: returns whether this instance verifies its watches; see
            :class:`persimmonspur.entry.feeds.Feed`.
        :param features: bounds of optional parts.
        """
        self._relay_client = relay_client
        self._observer = observer
        self._clock = clock
        self._timers = timers
        self._on_table_change = on_table_change
        self.routes = RouteTableHolder()
        self.endpoints = EndpointDirectory()
        self.freshness = ConfigurationFreshness(features.strict_revoke, features.revoke_ms)
        self.configuration_feed: Feed[RouteTable] = Feed(
            CONFIGURATION,
            RelayedSource(
                CONFIGURATION,
                sources.configuration,
                relay_client,
                TABLE_FORMAT,
                self.freshness,
            ),
            self._apply_configuration_snapshot,
            self._apply_configuration_updates,
            observer.record_store_call,
            clock,
            rng,
            CONFIGURATION_BATCH_DELAY_MS,
            verifies_watches,
        )
        self.endpoint_feed: Feed[Endpoint] = Feed(
            ENDPOINTS,
            RelayedSource(ENDPOINTS, sources.endpoints, relay_client, ENDPOINT_FORMAT),
            self._apply_endpoint_snapshot,
            self._apply_endpoint_updates,
            observer.record_store_call,
            clock,
            rng,
            ENDPOINT_BATCH_DELAY_MS,
            verifies_watches,
            restricts_work,
            self._limits_cold_starts,
        )
        self.store_recovered = Event()
        self.on_initialized: Callable[[], None] | None = None
        self._evacuated_domains: set[str] = set()
        # Evacuations that a list lacked after an outage, and the time of that list.
        self._missing_evacuations: dict[str, float] = {}
        self.evacuation_feed: Feed[str] = Feed(
            EVACUATIONS,
            RelayedSource(EVACUATIONS, sources.evacuations, relay_client, EVACUATION_FORMAT),
            self._apply_evacuation_snapshot,
            self._apply_evacuation_updates,
            observer.record_store_call,
            clock,
            rng,
            verifies_watches=verifies_watches,
        )
        self.feeds: tuple[Feed[Any], ...] = (
            self.configuration_feed,
            self.endpoint_feed,
            self.evacuation_feed,
        )
        for feed in self.feeds:
            feed.on_store_recovered = self._handle_store_recovery
            feed.on_exception = observer.record_feed_exception
        self._peer_fetch: gevent.Greenlet[[Member], None] | None = None
        self._lag_detectors: dict[str, LagDetector[StorePosition]] = {
            feed.name: LagDetector() for feed in self.feeds
        }
        self._version_lag: LagDetector[int] = LagDetector()
        self.relay_handler = RelayHandler(
            {
                CONFIGURATION: ChangeRelay(self.configuration_feed, TABLE_FORMAT, clock, timers),
                ENDPOINTS: ChangeRelay(self.endpoint_feed, ENDPOINT_FORMAT, clock, timers),
                EVACUATIONS: ChangeRelay(self.evacuation_feed, EVACUATION_FORMAT, clock, timers),
            }
        )

    @property
    def initialized(self) -> bool:
        """Whether a configuration and a list of endpoints were received."""
        return self.routes.table is not None and self.endpoints.loaded

    @property
    def version(self) -> int:
        """Version of the configuration in effect; 0 without one."""
        return self.routes.table.version if self.routes.table is not None else 0

    def add_feed(self, feed: Feed[Any], relay: ChangeRelay[Any, Any]) -> None:
        """Follow one more kind of object.

        :param relay: passes its changes on to other instances.
        """
        self.feeds = (*self.feeds, feed)
        feed.on_store_recovered = self._handle_store_recovery
        self.relay_handler.add(feed.name, relay)

    def start(self) -> None:
        """Start the feeds."""
        for feed in self.feeds:
            feed.start()

    def stop(self) -> None:
        """Stop the feeds; idempotent."""
        for feed in self.feeds:
            feed.stop()

    def _handle_store_recovery(self, outage_started_ms: float) -> None:
        """End the backoff and the hung call of every feed since the store answered one of them.

        :param outage_started_ms: local time at which the first failed call was sent.
        """
        for feed in self.feeds:
            feed.retry_now()
            feed.restart_call_sent_since(outage_started_ms)
        self.store_recovered.set()

    def handle_new_era(self, era: int) -> None:
        """Repeat the calls of feeds that follow an earlier era of the store.

        :param era: number of the restored store's era.
        """
        self._observer.log.record(
            events.STORE_RESTORED,
            era=era,
            version=self.version,
            revisions={feed.name: feed.known_position.revision for feed in self.feeds},
        )
        # The feed that noticed is still inside its call.
        self._timers.call_later(0.0, lambda: self._record_restore(era))

    def _record_restore(self, era: int) -> None:
        for feed in self.feeds:
            feed.record_restore(era)

    def _limits_cold_starts(self) -> bool:
        """Return whether endpoints that turn cold must be noticed at once.

        All other changes have seconds to take effect, and each watch is a billed call.
        """
        table = self.routes.table
        if table is None:
            return False
        return any(limits.cold_per_s > 0 for limits in table.services.values())

    def get_client_limits(self) -> ClientLimits:
        """Return the limits for client requests."""
        table = self.routes.table
        return table.limits if table is not None else ClientLimits()

    @property
    def newest_positions(self) -> Positions:
        """Positions of the latest changes that were applied on this instance."""
        return Positions(
            self.configuration_feed.newest,
            self.endpoint_feed.newest,
            self.evacuation_feed.newest,
            self.version,
        )

    def compare_with_peer(self, peer: Member, newest: Positions) -> None:
        """Compare positions with a peer and catch up if this instance lags behind.

        :param newest: positions of the latest changes that the peer knows.
        """
        self._compare_feed_with_peer(self.configuration_feed, newest.configuration, peer)
        self._compare_feed_with_peer(self.endpoint_feed, newest.endpoints, peer)
        self._compare_feed_with_peer(self.evacuation_feed, newest.evacuations, peer)
        self._compare_version_with_peer(newest, peer)

    def _compare_feed_with_peer(
        self, feed: Feed[Any], announced: StorePosition, peer: Member
    ) -> None:
        own = feed.known_position
        if self._lag_detectors[feed.name].observe(announced, own, self._clock.now_ms()):
            self._recover_stuck_feed(feed, own, announced, peer)

    def _compare_version_with_peer(self, newest: Positions, peer: Member) -> None:
        """Copy the state of a peer whose version is newer though its position is not.

        A restored store may have an older version until the operator has written it again.
        """
        if newest.configuration > self.configuration_feed.known_position:
            return
        if self._version_lag.observe(newest.version, self.version, self._clock.now_ms()):
            self._start_peer_fetch(peer)

    def _apply_configuration_snapshot(
        self, snapshot: Snapshot[RouteTable], after_outage: bool
    ) -> None:
        self._observer.record_rejected_entries("configuration", snapshot.rejected)
        for table in snapshot.items.values():
            self._apply_table(table, STORE)

    def _apply_configuration_updates(
        self, updates: Updates[RouteTable], after_outage: bool
    ) -> None:
        self._observer.record_rejected_entries("configuration", updates.rejected)
        for _, table in updates.changes:
            if table is not None:
                self._apply_table(table, self._relay_client.source)

    def _apply_table(self, table: RouteTable, source: str) -> None:
        """Put a table into effect unless a newer one is in effect already.

        :param source: where it was received from: the store, or the name of a relay or peer.
        """
        if not self.routes.replace_if_newer(table):
            return
        self._on_table_change(table)
        self._observer.log.record(
            events.CONFIGURATION_IN_EFFECT,
            version=table.version,
            routes=len(table.routes),
            services=len(table.services),
            source=source,
            accounts=len(table.accounts.accounts),
        )
        for shared in table.accounts.shared_keys:
            self._observer.log.record(
                events.API_KEY_SHARED,
                version=table.version,
                owner=shared.owner,
                other=shared.other,
            )
        self._announce_if_initialized()

    def _announce_if_initialized(self) -> None:
        if self.on_initialized is None or not self.initialized:
            return
        announce = self.on_initialized
        self.on_initialized = None
        announce()

    def _apply_endpoint_snapshot(self, snapshot: Snapshot[Endpoint], after_outage: bool) -> None:
        self._observer.record_rejected_entries("endpoint", snapshot.rejected)
        self.endpoints.replace_all(snapshot.items.values(), after_outage, self._clock.now_ms())
        self._observer.log.record(
            events.ENDPOINTS_LISTED,
            endpoints=len(snapshot.items),
            revision=snapshot.position.revision,
            after_outage=after_outage,
        )
        self._announce_if_initialized()
        if after_outage:
            self._timers.call_later(MISSING_ENTRY_HOLD_MS + 1, self._expire_endpoints)

    def _apply_endpoint_updates(self, updates: Updates[Endpoint], after_outage: bool) -> None:
        self._observer.record_rejected_entries("endpoint", updates.rejected)
        applied = self.endpoints.apply(updates.changes, after_outage, self._clock.now_ms())
        for change in applied:
            self._log_applied(change, updates.position)
        if any(change.held for change in applied):
            self._timers.call_later(MISSING_ENTRY_HOLD_MS + 1, self._expire_endpoints)

    def _log_applied(self, change: AppliedChange, position: StorePosition) -> None:
        before, endpoint = change.before, change.after
        if endpoint is None or change.held:
            reason = "entry removed, endpoint held" if change.held else "entry removed"
            self._observer.log.record(
                events.ENDPOINT_REMOVED, endpoint=change.identity, reason=reason
            )
            return
        if before is not None and before.draining == endpoint.draining:
            return
        self._observer.log.record(
            events.ENDPOINT_CHANGED,
            endpoint=change.identity,
            service=endpoint.service,
            address=endpoint.address,
            draining=endpoint.draining,
            cold_ms=max(0, round(endpoint.cold_until_ms - self._clock.now_ms())),
            revision=position.revision,
        )

    def _expire_endpoints(self) -> None:
        for identity in self.endpoints.expire(self._clock.now_ms()):
            self._observer.log.record(
                events.ENDPOINT_REMOVED, endpoint=identity, reason="entry did not reappear"
            )

    def _apply_evacuation_snapshot(self, snapshot: Snapshot[str], after_outage: bool) -> None:
        self._observer.record_rejected_entries("evacuation", snapshot.rejected)
        listed = set(snapshot.items)
        # A restored store lacks entries until the operator has written them again.
        now_ms = self._clock.now_ms()
        missing = self._evacuated_domains - listed if after_outage else set()
        known = self._missing_evacuations
        self._missing_evacuations = {name: known.get(name, now_ms) for name in missing}
        self._evacuated_domains = listed | missing
        if missing:
            self._timers.call_later(MISSING_ENTRY_HOLD_MS, self._expire_evacuations)
        self._update_evacuated_domains()

    def _expire_evacuations(self) -> None:
        now_ms = self._clock.now_ms()
        for name, since_ms in list(self._missing_evacuations.items()):
            if now_ms - since_ms >= MISSING_ENTRY_HOLD_MS:
                del self._missing_evacuations[name]
                self._evacuated_domains.discard(name)
        self._update_evacuated_domains()

    def _apply_evacuation_updates(self, updates: Updates[str], after_outage: bool) -> None:
        self._observer.record_rejected_entries("evacuation", updates.rejected)
        for name, value in updates.changes:
            self._missing_evacuations.pop(name, None)
            if value is None:
                self._evacuated_domains.discard(name)
            else:
                self._evacuated_domains.add(name)
        self._update_evacuated_domains()

    def _update_evacuated_domains(self) -> None:
        self.endpoints.set_evacuated(frozenset(self._evacuated_domains))
        if self._evacuated_domains:
            self._observer.log.record(
                events.EVACUATED, failure_domains=sorted(self._evacuated_domains)
            )

    def _recover_stuck_feed(
        self, feed: Feed[Any], own: StorePosition, newer: StorePosition, peer: Member
    ) -> None:
        self._observer.log.record(
            events.WATCH_STUCK,
            feed=feed.name,
            own=own.revision,
            own_era=own.era,
            newer=newer.revision,
            newer_era=newer.era,
            peer=peer.name,
            source=self._relay_client.source,
            call_age_ms=round(feed.call_age_ms),
            unanswered_restarts=feed.unanswered_restarts,
            failing=feed.failing,
        )
        if not feed.failing and not feed.unanswered_restarts:
            # The relay that this instance follows may be the one that lags.
            self._relay_client.selector.exclude_all(self._clock.now_ms())
            feed.restart()
            return
        # The store does not answer this instance. The call in progress is not repeated again:
        # its timeout is longer than the interval at which the lag is reported.
        self._start_peer_fetch(peer)

    def _start_peer_fetch(self, peer: Member) -> None:
        if self._peer_fetch is None or self._peer_fetch.dead:
            self._peer_fetch = gevent.spawn(self._fetch_peer_state, peer)

    def _fetch_peer_state(self, peer: Member) -> None:
        http_client = self._relay_client.open_client(peer)
        fetched = fetch_state(http_client, self._clock)
        http_client.close()
        if fetched.is_error():
            self._observer.log.record(
                events.PEER_STATE_FAILED, peer=peer.name, reason=fetched.error.message
            )
            return
        state = fetched.ok
        now_ms = self._clock.now_ms()
        for kind, rejected in state.rejected.items():
            self._observer.record_rejected_entries(kind, rejected)
        if state.table is not None:
            self._apply_table(state.table, peer.name)
            self.configuration_feed.advance_newest(state.newest.configuration)
        if state.newest.endpoints > self.endpoint_feed.known_position:
            self.endpoints.replace_all(state.endpoints, False, now_ms)
            self.endpoint_feed.advance_newest(state.newest.endpoints)
        if state.newest.evacuations > self.evacuation_feed.known_position:
            self._evacuated_domains = set(state.evacuated)
            self._missing_evacuations.clear()
            self._update_evacuated_domains()
            self.evacuation_feed.advance_newest(state.newest.evacuations)
        self._observer.log.record(
            events.PEER_STATE_TAKEN,
            peer=peer.name,
            version=self.version,
            newest=state.newest.endpoints.revision,
        )

    def export_state(self) -> PeerState:
        """Return a copy of this instance's state for a peer."""
        table = self.routes.table
        return PeerState(
            pack_table(table) if table is not None else None,
            self.endpoints.list_all(),
            sorted(self.endpoints.evacuated),
            self.newest_positions,
            self._clock.now_ms(),
        )
