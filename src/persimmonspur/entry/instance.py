"""One entry instance: builds and connects its components."""

import math
import random

import gevent
from attrs import frozen
from gevent.event import Event

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.budget import ColdStartLimit, RetryBudget
from persimmonspur.core.fleet.context import ExchangeContext
from persimmonspur.core.fleet.endpoints import Lifetime
from persimmonspur.core.fleet.evenness import EvennessMeter
from persimmonspur.core.fleet.formats import ResponseFormat
from persimmonspur.core.fleet.freshness import ConfigurationStanding
from persimmonspur.core.fleet.latency import RouteLatencyEstimators
from persimmonspur.core.fleet.members import (
    ENTRY_SET_HEARTBEAT_INTERVAL_MS,
    NO_HEARTBEATS,
    RELAY_HEARTBEAT_INTERVAL_MS,
    Membership,
)
from persimmonspur.core.fleet.messages import TimerHandle
from persimmonspur.core.fleet.pushback import EndpointPushback
from persimmonspur.core.fleet.quarantine import CrashReport, Quarantine, Standing
from persimmonspur.core.fleet.quotas import Quotas
from persimmonspur.core.fleet.ratelimit import EndpointRateLimit
from persimmonspur.core.fleet.relays import RelaySelector
from persimmonspur.core.fleet.roles import ENTRY_SET_SIZE, Member
from persimmonspur.core.fleet.rollouts.fleet import Rollouts
from persimmonspur.core.fleet.rollouts.orders import RolloutBounds
from persimmonspur.core.fleet.routes import RouteTable
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.entry import events
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.entry.features import NO_FEATURES, FeatureSettings
from persimmonspur.entry.feeds import MAX_LIST_TIMEOUT_MS
from persimmonspur.entry.gauges import register_gauges
from persimmonspur.entry.handlers import ClientCodec, RequestHandler
from persimmonspur.entry.heartbeats import Heartbeat, HeartbeatTransport, OwnState
from persimmonspur.entry.leaving import LeavingAnnouncer
from persimmonspur.entry.observer import Observer
from persimmonspur.entry.peerstate import PeerHandler
from persimmonspur.entry.quotas import QuotaGate, ShareMessage, TokenReply, TokenRequest
from persimmonspur.entry.refusals import RefusalRecorder
from persimmonspur.entry.relays import LIST_PATIENCE_MS, RelayClient
from persimmonspur.entry.rollouts import RolloutService
from persimmonspur.entry.sender import EndpointCodec, EndpointSender
from persimmonspur.entry.server import Handler, HttpServer
from persimmonspur.entry.serverlimits import (
    ENDPOINT_RESPONSES,
    OPERATIONS_SHARE,
    PEER_SHARE,
    AddressShare,
    build_response_limits,
    build_server_limits,
)
from persimmonspur.entry.state import StoreSources, StoreState
from persimmonspur.entry.timers import LoopTimers

MAINTENANCE_INTERVAL_MS = 500.0
# Crash reports are sent at once, but no more often than this, when many endpoints crash.
SHARE_INTERVAL_MS = 50.0
DEFAULT_MAX_CONNECTIONS = 64
STORE_RETRY_MS = 200.0
MAX_STORE_RETRY_MS = 2_000.0
MEMBER_LIST_INTERVAL_MS = 120_000.0
# Time for which an instance waits for a list from a relay when the whole deployment starts for
# the first time, with all relays starting as well.
FIRST_LIST_PATIENCE_MS = 2_000.0
# Time over which the instances repeat their registrations after the store was restored.
REREGISTRATION_SPREAD_MS = 1_000.0
# Maintenance that runs this late indicates that the process was stalled.
STALL_THRESHOLD_MS = 300.0
# An older confirmation of the configuration is not announced: it helps no peer.
MAX_ANNOUNCED_AGE_MS = 60_000.0
# Numbers of requests for tokens start at the incarnation, in milliseconds, times this, so that
# no two incarnations of an instance use the same ones.
ASKS_PER_MS = 1_000


@frozen
class InstanceSettings:
    """Identity and limits of one instance.

    :param shutdown_ms: time from SIGTERM until the process is killed.
    :param retry_ratio: retries and hedges per first attempt, over all instances.
    :param retry_slack: retries and hedges per window, over all instances, that are allowed
        without first attempts.
    :param retry_window_ms: length of the sliding window of the retry budget.
    :param first_start: whether the whole deployment starts for the first time.
    :param features: bounds of optional parts.
    """

    member: Member
    shutdown_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    first_start: bool = False
    features: FeatureSettings = NO_FEATURES


@frozen
class Codecs:
    """Codecs for the protocols between clients, entry instances and endpoints."""

    client: ClientCodec
    endpoint: EndpointCodec
    response_format: ResponseFormat


class EntryInstance:
    """The components of one entry process.

    :ivar servers: HTTP servers by the kind of their address.
    :ivar total_stall_ms: time for which the process was stalled.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        sources: StoreSources,
        codecs: Codecs,
        clock: Clock,
        timers: LoopTimers,
        log: EventLog,
    ) -> None:
        """Build the components without starting them."""
        self.settings = settings
        self.clock = clock
        self.log = log
        self.observer = Observer(log)
        self.timers = timers
        self._refusals = RefusalRecorder(log, self.observer.metrics, clock)
        self.servers: list[tuple[str, HttpServer]] = []
        self._sources = sources
        self._rng = rng = random.Random(settings.member.name + str(settings.member.incarnation))
        self.membership = Membership(settings.member)
        self.relay_client = RelayClient(
            RelaySelector(self.membership),
            clock,
            timers,
            self._log_source_change,
            FIRST_LIST_PATIENCE_MS if settings.first_start else LIST_PATIENCE_MS,
            settings.features,
        )
        self.state = StoreState(
            sources,
            self.observer,
            clock,
            timers,
            rng,
            self._apply_table,
            self.relay_client,
            self._is_in_entry_set,
            settings.features,
        )
        self.selector = ReplicaSelector(
            settings.member.failure_domain, rng, self.observer.record_suspicion
        )
        self.evenness = EvennessMeter(self.selector, self.state.endpoints)
        self.latency_estimators = RouteLatencyEstimators()
        self.retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_ms
        )
        self.cold_start_limit = ColdStartLimit(settings.member.name)
        self.rate_limit = EndpointRateLimit(self.observer.record_rate_limit)
        self.pushback = EndpointPushback(self.observer.record_pushback)
        self.quarantine = Quarantine(clock, self._share_crash_report)
        self.sender = EndpointSender(
            codecs.endpoint,
            self._get_max_connections,
            clock,
            timers,
            build_response_limits(ENDPOINT_RESPONSES, settings.features),
        )
        self.rollouts: Rollouts | None = None
        self.rollout_service = self._build_rollouts()
        self.exchange_context = ExchangeContext(
            clock,
            timers,
            self.sender,
            self.state.endpoints,
            self.selector,
            self.latency_estimators,
            self.retry_budget,
            self.cold_start_limit,
            self.rate_limit,
            self.pushback,
            self.quarantine,
            codecs.response_format,
            self.observer.record_decision,
            self.observer.metrics.count_send,
            rng,
            self.rollouts,
        )
        features = settings.features
        self.quotas = QuotaGate(
            Quotas(
                features.quota_window_ms,
                features.quota_overshoot,
                features.quota_slack,
                settings.member.incarnation * ASKS_PER_MS,
            ),
            self.membership,
            clock,
            timers,
            self.observer.record_quota_exceeded,
            self.observer.record_quota_share,
            settings.first_start,
        )
        self.request_handler = RequestHandler(
            self.exchange_context,
            self.state.routes,
            codecs.client,
            self.observer.record_finished,
            self._judge_configuration,
            self.quotas,
        )
        self.quarantine.on_quarantined = self.request_handler.end_quarantined
        self.leaving = False
        self.heartbeats: HeartbeatTransport | None = None
        self._leaving_announcer = LeavingAnnouncer(
            self.pushback,
            self.state.endpoints,
            self.membership,
            lambda: self.heartbeats,
            clock,
            timers,
            log,
        )
        self._peer_server: HttpServer | None = None
        self._last_maintenance_ms = 0.0
        self.total_stall_ms = 0.0
        self._store_restored = Event()
        self._share_timer: TimerHandle | None = None
        self._last_share_ms = -SHARE_INTERVAL_MS
        register_gauges(self)

    def _build_rollouts(self) -> RolloutService | None:
        """Create what moves services to other versions, if the deployment has that."""
        features, sources = self.settings.features, self._sources
        if features.exposure_share is None:
            return None
        if sources.rollouts is None or sources.order_writer is None:
            return None
        bounds = RolloutBounds(
            features.exposure_share, features.exposure_slack, features.rollback_ms
        )
        self.rollouts = Rollouts(
            bounds,
            self.state.endpoints,
            self.selector,
            lambda rollout, figures: service.report_phase(rollout, figures),
        )
        service = RolloutService(
            self.rollouts,
            sources.rollouts,
            sources.order_writer,
            self.membership,
            self.relay_client,
            self.observer,
            self.clock,
            self.timers,
            self._rng,
            self._is_in_entry_set,
        )
        service.add_to(self.state)
        return service

    @property
    def ready(self) -> bool:
        """Whether this instance accepts requests."""
        return not self.leaving and self.state.initialized

    def start(self) -> None:
        """Start feeds, heartbeats and maintenance.

        :raises OSError: if the peer address cannot be bound.
        """
        self.heartbeats = HeartbeatTransport(
            self.membership,
            self._get_own_state,
            self._on_heartbeat,
            self.quarantine.select_shared,
        )
        self._leaving_announcer.register(self.heartbeats)
        self.heartbeats.register_message(ShareMessage, self.quotas.handle_share)
        self.heartbeats.register_message(TokenRequest, self.quotas.handle_request)
        self.heartbeats.register_message(TokenReply, self.quotas.handle_reply)
        self.quotas.connect(self.heartbeats.send_message)
        self._peer_server = self.serve(
            self.settings.member.peer_address,
            PeerHandler(self.state.export_state, self.state.relay_handler),
            PEER_SHARE,
        )
        if self.rollout_service is not None:
            self.rollout_service.start(self.heartbeats)
        self._update_limit_shares()
        self.state.on_initialized = self.heartbeats.send
        self.state.start()
        gevent.spawn(self._maintain_registration)
        self.timers.call_later(MAINTENANCE_INTERVAL_MS, self._run_maintenance)

    def serve(
        self, address: str, handler: Handler, share: AddressShare = OPERATIONS_SHARE
    ) -> HttpServer:
        """Start an HTTP server on one address.

        :param share: part of the machine that requests at this address may take.
        :raises OSError: if the address cannot be bound.
        """
        get_limits = self.state.get_client_limits
        server = HttpServer(
            address,
            handler,
            get_limits,
            self.clock,
            build_server_limits(share, self.settings.features, get_limits),
            lambda reason: self._refusals.record(share.name, reason),
        )
        self.servers.append((share.name, server))
        return server

    def leave(self) -> None:
        """Stop receiving new clients: report not ready and remove the registration."""
        self.leaving = True
        self.membership.own_ready = False
        if self.heartbeats is not None:
            self.heartbeats.send()
        gevent.spawn(self._sources.registry.unregister, self.settings.member.name)

    def stop(self) -> None:
        """Stop feeds, heartbeats and the peer server; idempotent."""
        self.leaving = True
        self.state.stop()
        if self.rollout_service is not None:
            self.rollout_service.stop()
        self.quotas.disconnect()
        if self.heartbeats is not None:
            self.heartbeats.close()
            self.heartbeats = None
        if self._peer_server is not None:
            self._peer_server.stop_accepting()
            self._peer_server.close_idle()
            self._peer_server = None

    def choose_addresses(self) -> list[str]:
        """Return the addresses that clients should use now."""
        chosen = self.membership.entry_set(self.clock.now_ms())
        if not chosen:
            return [self.settings.member.caller_address]
        return [member.caller_address for member in chosen]

    def _get_max_connections(self, service: str) -> int:
        table = self.state.routes.table
        limits = table.services.get(service) if table is not None else None
        return limits.max_connections if limits is not None else DEFAULT_MAX_CONNECTIONS

    def handle_new_era(self, era: int) -> None:
        """Read the restored store again, and repeat the registration, which it may have lost.

        :param era: number of the restored store's era.
        """
        self.state.handle_new_era(era)
        self._store_restored.set()

    def _maintain_registration(self) -> None:
        self._register()
        self._list_members()
        while not self.leaving:
            self._store_restored.clear()
            gevent.sleep(self._rng.random() * REREGISTRATION_SPREAD_MS / 1000)
            if self.leaving:
                return
            self._register()
            # The others repeat their registrations within the same time.
            gevent.sleep(REREGISTRATION_SPREAD_MS / 1000)
            self._list_members()

    def _register(self) -> None:
        registered = self._sources.registry.register(self.settings.member)
        delay_ms = STORE_RETRY_MS
        while registered.is_error() and not self.leaving:
            self.observer.record_store_call("registration", registered.error)
            self.relay_client.members_known.set()
            self._wait_for_store(delay_ms)
            delay_ms = min(MAX_STORE_RETRY_MS, delay_ms * 2)
            registered = self._sources.registry.register(self.settings.member)

    def _wait_for_store(self, max_wait_ms: float) -> None:
        self.state.store_recovered.clear()
        self.state.store_recovered.wait(max_wait_ms / 1000)

    def _list_members(self) -> None:
        """List the registered instances periodically until the store is restored.

        Heartbeats announce new instances; the list covers heartbeats that were lost and
        removes instances that are no longer registered.
        """
        delay_ms = STORE_RETRY_MS
        while not self.leaving and not self._store_restored.is_set():
            listed = self._try_list_members()
            self.relay_client.members_known.set()
            if listed:
                delay_ms = STORE_RETRY_MS
                self._store_restored.wait(MEMBER_LIST_INTERVAL_MS / 1000)
                continue
            self._wait_for_store(delay_ms)
            delay_ms = min(MAX_STORE_RETRY_MS, delay_ms * 2)

    def _try_list_members(self) -> bool:
        listed = self._sources.members.list(MAX_LIST_TIMEOUT_MS)
        self.observer.record_store_call("members", listed.error if listed.is_error() else None)
        if listed.is_error():
            return False
        self.observer.record_rejected_entries("registration", listed.ok.rejected)
        self._update_members(listed.ok.items)
        return True

    def _update_members(self, members: dict[str, Member]) -> None:
        now_ms = self.clock.now_ms()
        for member in members.values():
            self.membership.register(member, now_ms)
        self.membership.retain(frozenset(members), now_ms)
        if self.heartbeats is not None:
            self.heartbeats.send()

    def _share_crash_report(self, report: CrashReport, standing: Standing) -> None:
        self.observer.record_crash_report(report, standing)
        if self._share_timer is None:
            delay_ms = max(0.0, self._last_share_ms + SHARE_INTERVAL_MS - self.clock.now_ms())
            self._share_timer = self.timers.call_later(delay_ms, self._send_crash_reports)

    def _send_crash_reports(self) -> None:
        self._share_timer = None
        self._last_share_ms = self.clock.now_ms()
        if self.heartbeats is not None:
            self.heartbeats.send()

    def _log_source_change(self, source: str, reason: str) -> None:
        self.log.record(events.SOURCE_CHANGED, source=source, reason=reason)

    def _apply_table(self, table: RouteTable) -> None:
        self.quotas.set_accounts(table.accounts.accounts.values())
        self.latency_estimators.retain(frozenset(route.name for route in table.routes))

    def _get_own_state(self) -> OwnState:
        self.membership.own_ready = self.ready
        return OwnState(
            self.ready,
            self.state.newest_positions,
            self._choose_heartbeat_interval(),
            self._get_confirmed_age(),
        )

    def _get_confirmed_age(self) -> int:
        """Return the age of the configuration's confirmation, in milliseconds, or -1."""
        age_ms = self.state.freshness.get_age_ms(self.clock.now_ms())
        if not self.settings.features.strict_revoke or age_ms > MAX_ANNOUNCED_AGE_MS:
            return -1
        return math.ceil(age_ms)

    def _judge_configuration(self) -> ConfigurationStanding:
        """Return how far the configuration in effect may be relied on."""
        now_ms = self.clock.now_ms()
        freshness = self.state.freshness
        feed = self.state.configuration_feed
        if freshness.is_revoked(now_ms):
            return ConfigurationStanding.REVOKED
        has_peers = bool(self.membership.peers())
        if freshness.may_be_outdated(
            feed.known_position, self.state.version, feed.failing, has_peers, now_ms
        ):
            return ConfigurationStanding.UNCERTAIN
        return ConfigurationStanding.CURRENT

    def _choose_heartbeat_interval(self) -> float:
        now_ms = self.clock.now_ms()
        if not self.membership.is_relay(now_ms):
            return NO_HEARTBEATS
        if self._is_in_entry_set():
            return ENTRY_SET_HEARTBEAT_INTERVAL_MS
        return RELAY_HEARTBEAT_INTERVAL_MS

    def _is_in_entry_set(self) -> bool:
        return self.settings.member in self.membership.entry_set(self.clock.now_ms())

    def _on_heartbeat(self, member: Member, heartbeat: Heartbeat) -> None:
        now_ms = self.clock.now_ms()
        if self.membership.record_heartbeat(member, heartbeat.ready, now_ms, heartbeat.interval_ms):
            self.log.record(
                events.MEMBER_CHANGED,
                member=member.name,
                incarnation=member.incarnation,
                ready=heartbeat.ready,
            )
            if heartbeat.ready and self._is_in_entry_set():
                self._leaving_announcer.announce_known(member)
        self.state.freshness.record_heartbeat(
            heartbeat.newest.configuration,
            heartbeat.newest.version,
            heartbeat.confirmed_age_ms,
            self.state.configuration_feed.known_position,
            now_ms,
        )
        self.state.compare_with_peer(member, heartbeat.newest)
        self.quarantine.merge(heartbeat.crash_reports)

    def _run_maintenance(self) -> None:
        if self.heartbeats is None:
            return
        self.timers.call_later(MAINTENANCE_INTERVAL_MS, self._run_maintenance)
        now_ms = self.clock.now_ms()
        self._record_stall(now_ms)
        self.state.freshness.record_activity(now_ms)
        self.membership.own_ready = self.ready
        lifetimes = self.state.endpoints.lifetimes()
        self.selector.retain(lifetimes)
        self.cold_start_limit.retain(lifetimes)
        self.rate_limit.retain(lifetimes)
        self.pushback.expire(self.state.endpoints, now_ms)
        self.sender.retain(self._list_sendable_lifetimes())
        self.sender.prepare_connections()
        self.quarantine.expire()
        self._refusals.write_due()
        self.evenness.update(now_ms)
        self._update_limit_shares()

    def _list_sendable_lifetimes(self) -> frozenset[Lifetime]:
        """Return the endpoint processes to which connections are kept."""
        lifetimes = set()
        for endpoint in self.state.endpoints.list_all():
            if self.pushback.is_leaving(endpoint):
                continue
            lifetimes.add(endpoint.lifetime)
        return frozenset(lifetimes)

    def _update_limit_shares(self) -> None:
        """Update this instance's share of the limits that apply to all instances together.

        Shares are based on registered instances, not live ones: an instance that is cut
        off from the others must not claim the whole limit for itself.
        """
        registered = 1 + len(self.membership.peers())
        sharing_instances = min(registered, ENTRY_SET_SIZE) if registered > 1 else ENTRY_SET_SIZE
        self.retry_budget.sharing_instances = 2 * sharing_instances
        self.sender.sharing_instances = sharing_instances
        self.selector.sharing_instances = sharing_instances
        # Clients are directed to the entry set, so the other instances need little.
        self.rate_limit.sharing_instances = (
            sharing_instances if self._is_in_entry_set() else max(registered, sharing_instances)
        )
        self.cold_start_limit.set_participants(
            tuple(sorted(self.membership.limit_participants(self.clock.now_ms())))
        )

    def _record_stall(self, now_ms: float) -> None:
        """Record whether this process was stalled by its machine or its own work."""
        late_ms = now_ms - self._last_maintenance_ms - MAINTENANCE_INTERVAL_MS
        if self._last_maintenance_ms and late_ms > STALL_THRESHOLD_MS:
            self.log.record(events.PROCESS_STALLED, stall_ms=round(late_ms))
            self.total_stall_ms += late_ms
        self._last_maintenance_ms = now_ms
