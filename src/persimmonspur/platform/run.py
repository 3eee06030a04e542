"""Entry point of the service on the platform."""

import os
import sys
from typing import Any

import attrs
import msgspec
from expression import Result

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.accounts import AccountDirectory
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.messages import ClientRequest, EndpointResponse
from persimmonspur.core.fleet.roles import Member, compute_capability
from persimmonspur.entry import events as entry_events
from persimmonspur.entry.eventlog import EventLog, open_log
from persimmonspur.entry.handlers import PathHandler
from persimmonspur.entry.httpclient import HttpClient
from persimmonspur.entry.instance import Codecs, EntryInstance, InstanceSettings
from persimmonspur.entry.metrics import CONTENT_TYPE, format_metrics
from persimmonspur.entry.options import EntryOptions, read_options
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.entry.run import Listener, run_entry
from persimmonspur.entry.server import HttpRequest, ServerResponse
from persimmonspur.entry.serverlimits import STORE_RESPONSES, build_response_limits
from persimmonspur.entry.state import StoreSources
from persimmonspur.entry.timers import LoopTimers
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind, Failure
from persimmonspur.platform import headers
from persimmonspur.platform.documents import encode_member
from persimmonspur.platform.reload import SettingsReloader
from persimmonspur.platform.settings import (
    SETTINGS_VARIABLE,
    EntrySettings,
    load_entry_settings,
)
from persimmonspur.platform.sources import (
    StoreOrderWriter,
    open_configuration_source,
    open_endpoint_source,
    open_evacuation_source,
    open_member_source,
    open_rollout_source,
)
from persimmonspur.platform.store import INSTANCE_KIND, PlatformStore

READY_PATH = "/-/ready"
RESOLVE_PATH = "/-/resolve"
METRICS_PATH = "/metrics"
# Time for which clients cache resolved addresses.
ADDRESS_TTL_MS = 2_000.0


class PlatformCodec:
    """Reads and writes the platform's HTTP messages, on the client and the endpoint side.

    The sends of a gather follow each other, so the head of the latest request is kept.
    """

    def __init__(self) -> None:
        self._latest_request: ClientRequest | None = None
        self._latest_head = b""

    def parse_request(self, request: HttpRequest, accounts: AccountDirectory) -> ClientRequest:
        """Parse a client's request."""
        return headers.parse_client_request(request, accounts)

    def format_request(
        self, request: ClientRequest, endpoint: Endpoint, timeout_ms: float
    ) -> bytes:
        """Encode a request to an endpoint."""
        if request is not self._latest_request:
            self._latest_head = headers.format_request_head(request)
            self._latest_request = request
        return headers.format_endpoint_request(request, endpoint, timeout_ms, self._latest_head)

    def is_response_to(self, response: HttpResponse, request: ClientRequest) -> bool:
        """Return whether a response belongs to a request."""
        return headers.is_response_to(response, request)

    def parse_response(self, response: HttpResponse) -> EndpointResponse:
        """Parse an endpoint's response."""
        return headers.parse_endpoint_response(response)


class StoreInstanceRegistry:
    """Registers instances in the platform's store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def register(self, member: Member) -> Result[None, Failure]:
        """Write a registration."""
        return self._store.put(INSTANCE_KIND, member.name, encode_member(member))

    def unregister(self, name: str) -> Result[None, Failure]:
        """Remove a registration."""
        return self._store.remove(INSTANCE_KIND, name)


def main() -> int:
    """Run one entry instance.

    :returns: the exit code of the process.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    loaded = load_entry_settings(path)
    parsed = read_options(os.environ)
    errors = [result.error.message for result in (loaded, parsed) if result.is_error()]
    if errors:
        sys.stderr.write("\n".join(errors) + "\n")
        return ERROR_RESPONSES[ErrorKind.INVALID_SETTINGS].exit_code
    settings, options = loaded.ok, parsed.ok
    clock = Clock()
    log = open_log(settings.instance, clock, options.log_level)
    instance = build_instance(settings, clock, log)
    reloader = SettingsReloader(path, settings, log)

    def reload() -> None:
        changed = reloader.load_changes()
        if changed is not None:
            instance.retry_budget.set_limits(changed.retry_ratio, changed.retry_slack)

    in_effect = attrs.asdict(settings) | attrs.asdict(options)
    log.record(entry_events.SETTINGS_IN_EFFECT, settings=in_effect)
    return run_entry(instance, build_listeners(instance, settings, options), reload)


def build_listeners(
    instance: EntryInstance, settings: EntrySettings, options: EntryOptions
) -> list[Listener]:
    """Create the listeners for readiness, address lookups and metrics."""

    def respond_readiness() -> ServerResponse:
        return ServerResponse(200 if instance.ready else 503)

    def respond_addresses() -> ServerResponse:
        content_type = [(b"Content-Type", b"application/json")]
        return ServerResponse(200, content_type, encode_addresses(instance, settings))

    def respond_metrics() -> ServerResponse:
        content_type = [(b"Content-Type", CONTENT_TYPE)]
        return ServerResponse(200, content_type, format_metrics(instance.observer.metrics))

    listeners = [
        Listener(settings.ready_address, PathHandler(READY_PATH, respond_readiness)),
        Listener(settings.resolve_address, PathHandler(RESOLVE_PATH, respond_addresses)),
    ]
    if options.metrics_address:
        handler = PathHandler(METRICS_PATH, respond_metrics)
        listeners.append(Listener(options.metrics_address, handler))
    return listeners


def build_instance(settings: EntrySettings, clock: Clock, log: EventLog) -> EntryInstance:
    """Build an instance with the platform's adapters."""
    timers = LoopTimers(clock)
    response_limits = build_response_limits(STORE_RESPONSES, settings.features)
    store = PlatformStore(HttpClient(settings.store_address, clock, timers, response_limits))
    member = Member(
        settings.instance,
        int(clock.wall_ms()),
        settings.failure_domain,
        settings.region,
        settings.caller_address,
        settings.peer_address,
        compute_capability(settings.cores, settings.link_mbps),
    )
    instance_settings = InstanceSettings(
        member,
        settings.shutdown_ms,
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_ms,
        settings.first_start,
        settings.features,
    )
    sources = StoreSources(
        open_configuration_source(store),
        open_endpoint_source(store, clock),
        open_evacuation_source(store),
        open_member_source(store),
        StoreInstanceRegistry(store),
        open_rollout_source(store),
        StoreOrderWriter(store),
    )
    codec = PlatformCodec()
    codecs = Codecs(codec, codec, headers.PlatformResponseFormat())
    instance = EntryInstance(instance_settings, sources, codecs, clock, timers, log)
    store.on_new_era = instance.handle_new_era
    return instance


def encode_addresses(instance: EntryInstance, settings: EntrySettings) -> bytes:
    """Encode the addresses that clients should use, and for how long they may cache them."""
    ttl_ms = min(ADDRESS_TTL_MS, settings.keep_max_ms)
    document: dict[str, Any] = {
        "addrs": instance.choose_addresses(),
        "ttl_s": ttl_ms / 1000,
    }
    return msgspec.json.encode(document)
