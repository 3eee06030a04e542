"""Gauges that show the state of one entry instance."""

from typing import Protocol

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.budget import RetryBudget
from persimmonspur.core.fleet.evenness import EvennessMeter
from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.pushback import EndpointPushback
from persimmonspur.core.fleet.quarantine import Quarantine
from persimmonspur.core.fleet.ratelimit import EndpointRateLimit
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.entry.handlers import RequestHandler
from persimmonspur.entry.observer import Observer
from persimmonspur.entry.quotas import QuotaGate
from persimmonspur.entry.relays import RelayClient
from persimmonspur.entry.sender import EndpointSender
from persimmonspur.entry.server import HttpServer
from persimmonspur.entry.state import StoreState


class ObservedInstance(Protocol):
    """The components of an instance that its gauges read.

    :ivar servers: HTTP servers by the kind of their address.
    :ivar total_stall_ms: time for which the process was stalled.
    """

    clock: Clock
    evenness: EvennessMeter
    log: EventLog
    membership: Membership
    observer: Observer
    pushback: EndpointPushback
    quarantine: Quarantine
    quotas: QuotaGate
    relay_client: RelayClient
    rate_limit: EndpointRateLimit
    request_handler: RequestHandler
    retry_budget: RetryBudget
    selector: ReplicaSelector
    sender: EndpointSender
    servers: list[tuple[str, HttpServer]]
    state: StoreState
    total_stall_ms: float


def register_gauges(instance: ObservedInstance) -> None:
    """Add the gauges of an instance to its metrics."""
    metrics = instance.observer.metrics
    metrics.add_gauge(
        "persimmonspur_state_version",
        "Version of the configuration, revision of the latest endpoint change, and its era",
        "state",
        lambda: {
            "configuration": instance.state.version,
            "endpoints": instance.state.endpoint_feed.newest.revision,
            "era": instance.state.endpoint_feed.position.era,
        },
    )
    metrics.add_gauge(
        "persimmonspur_store_reached_seconds",
        "Time since the last successful call of the store",
        "feed",
        lambda: get_store_ages(instance),
    )
    metrics.add_gauge(
        "persimmonspur_store_call_age_seconds",
        "Time since the call in progress for changes was sent",
        "feed",
        lambda: {feed.name: feed.call_age_ms / 1000 for feed in instance.state.feeds},
    )
    metrics.add_gauge(
        "persimmonspur_instance",
        "Requests and sends that run, live relays, connections, lost log lines, stalls",
        "count",
        lambda: {
            "requests": instance.request_handler.running,
            "sends": instance.selector.count_outstanding(),
            "relays": len(instance.membership.live_relays(instance.clock.now_ms())),
            "endpoint_connections_opened": instance.sender.count_opened(),
            "log_lines_dropped": instance.log.dropped_lines,
            "stalled_ms": instance.total_stall_ms,
        },
    )
    metrics.add_gauge(
        "persimmonspur_endpoints",
        "Known endpoints, and how many of them are in each state",
        "state",
        lambda: count_endpoints(instance),
    )
    metrics.add_gauge(
        "persimmonspur_crashing_requests",
        "Requests that are suspected to crash endpoints, or quarantined because they do",
        "standing",
        instance.quarantine.count,
    )
    metrics.add_gauge(
        "persimmonspur_quotas",
        "Share of the quotas that this instance accrues, requests that wait, tokens exchanged",
        "figure",
        lambda: {
            "share": instance.quotas.quotas.share,
            "waiting": instance.quotas.waiting,
            "tokens_given": instance.quotas.quotas.given,
            "tokens_received": instance.quotas.quotas.received,
        },
    )
    metrics.add_gauge(
        "persimmonspur_retry_budget_used_ratio",
        "Spent part of this instance's share of the retry budget",
        "scope",
        lambda: {
            "fullest_service": instance.retry_budget.compute_used_ratio(instance.clock.now_ms())
        },
    )
    metrics.add_gauge(
        "persimmonspur_send_evenness_ratio",
        "Sends to the busiest replica relative to the mean of its service, last interval",
        "scope",
        lambda: {
            "mean": instance.evenness.mean_ratio,
            "worst_service": instance.evenness.worst_ratio,
        },
    )
    metrics.add_gauge(
        "persimmonspur_client_connections",
        "Open connections of clients, by kind of address",
        "address",
        lambda: sum_connections(instance),
    )
    metrics.add_gauge(
        "persimmonspur_request_memory_bytes",
        "Estimated memory of requests being received, queued or handled, by kind of address",
        "address",
        lambda: sum_request_memory(instance),
    )
    metrics.add_gauge(
        "persimmonspur_response_memory_bytes",
        "Estimated memory of responses being received, by the kind of server that sends them",
        "server",
        lambda: {
            "endpoint": instance.sender.response_bytes,
            "peer": instance.relay_client.response_limits.memory.used_bytes,
        },
    )


def sum_connections(instance: ObservedInstance) -> dict[str, float]:
    """Return the number of open connections by kind of address."""
    counts: dict[str, float] = {}
    for name, server in instance.servers:
        counts[name] = counts.get(name, 0) + len(server)
    return counts


def sum_request_memory(instance: ObservedInstance) -> dict[str, float]:
    """Return the estimated bytes of all requests by kind of address."""
    counts: dict[str, float] = {}
    for name, server in instance.servers:
        counts[name] = counts.get(name, 0) + server.memory.used_bytes
    return counts


def count_endpoints(instance: ObservedInstance) -> dict[str, float]:
    """Return the number of known endpoints, and of those in each state."""
    now_ms = instance.clock.now_ms()
    counts = instance.state.endpoints.count_states(now_ms)
    counts["suspected"] = instance.selector.count_suspected()
    counts["limited"] = instance.rate_limit.count_limited()
    return counts | instance.pushback.count_states(
        instance.state.endpoints, instance.clock.now_ms()
    )


def get_store_ages(instance: ObservedInstance) -> dict[str, float]:
    """Return the seconds since the last successful call of each feed."""
    now_ms = instance.clock.now_ms()
    return {feed.name: (now_ms - feed.last_success_ms) / 1000 for feed in instance.state.feeds}
