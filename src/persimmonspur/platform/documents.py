"""Decodes documents of the platform's store into the project's types."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.routes import (
    ClientLimits,
    Gather,
    RequestKind,
    Route,
    RouteTable,
    ServiceLimits,
    WeightedService,
)
from persimmonspur.errors import ErrorKind, Failure

ENDPOINT_STATES = ("ready", "draining")


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    # Latency up to which a response has its full value.
    latency_target_ms: float = 1_000.0
    priority: int = 0
    max_attempts: int = 1
    service: str | None = None
    split: list[_Split] | None = None
    # Services of a scatter-gather route, one for each shard.
    gather: list[str] | None = None
    top_k: int = 0
    min_share: float = 1.0


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 64
    # Requests per second that a cold endpoint can handle; 0 means no limit.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Endpoint(msgspec.Struct):
    service: str
    addr: str
    zone: str
    slots: int
    state: str
    # Remaining cold-start time in milliseconds when the entry was written.
    cold_left_ms: float = 0.0
    born: int = 0
    # Increases with each report of one lifetime.
    seq: float = 0.0
    version: str = ""


class _Instance(msgspec.Struct):
    incarnation: int
    zone: str
    region: str
    front: str
    peer: str
    capability: float = 1.0


class ObjectMeta(msgspec.Struct):
    """Metadata of an object in the store."""

    name: str
    revision: int = 0


class StoreObject(msgspec.Struct):
    """One object in the store."""

    meta: ObjectMeta
    spec: Any = None


def decode_route_table(spec: Any) -> Result[RouteTable, Failure]:
    """Decode the specification of a configuration object."""
    try:
        document = msgspec.convert(spec, _Configuration)
    except msgspec.ValidationError as error:
        return Error(Failure.of(ErrorKind.INVALID_CONFIGURATION, f"configuration: {error}"))
    services = {}
    for service in document.services:
        services[service.name] = ServiceLimits(
            service.name,
            service.max_conns,
            service.cold_per_s,
        )
    limits = ClientLimits(
        document.limits.max_header_bytes,
        document.limits.max_body_bytes,
        document.limits.header_timeout_ms,
        document.limits.idle_timeout_ms,
    )
    routes = tuple(_convert_route(route) for route in document.routes)
    return Ok(RouteTable(document.version, routes, services, limits))


def decode_endpoint(item: StoreObject, now_ms: float) -> Result[Endpoint, Failure]:
    """Decode and validate an endpoint's entry, which any client of the store may write.

    :param now_ms: local time at which the remaining cold-start time begins.
    """
    try:
        entry = msgspec.convert(item.spec, _Endpoint)
    except msgspec.ValidationError as error:
        return Error(_build_entry_failure(item, str(error)))
    if entry.state not in ENDPOINT_STATES:
        return Error(_build_entry_failure(item, f"unknown state {entry.state!r}"))
    host, _, port = entry.addr.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        return Error(
            _build_entry_failure(item, f"address {entry.addr!r} is not in the form ip:port")
        )
    if entry.slots < 1:
        return Error(_build_entry_failure(item, f"slots must be at least 1, not {entry.slots}"))
    return Ok(
        Endpoint(
            item.meta.name,
            entry.service,
            entry.addr,
            entry.zone,
            entry.slots,
            entry.state == "draining",
            entry.born,
            now_ms + entry.cold_left_ms if entry.cold_left_ms > 0 else 0.0,
            entry.seq,
            entry.version,
        )
    )


def decode_member(item: StoreObject) -> Result[Member, Failure]:
    """Decode an instance's registration."""
    try:
        entry = msgspec.convert(item.spec, _Instance)
    except msgspec.ValidationError as error:
        return Error(_build_entry_failure(item, str(error)))
    return Ok(
        Member(
            item.meta.name,
            entry.incarnation,
            entry.zone,
            entry.region,
            entry.front,
            entry.peer,
            entry.capability,
        )
    )


def encode_member(member: Member) -> Any:
    """Encode an instance's registration as the specification of a store object."""
    return msgspec.to_builtins(
        _Instance(
            member.incarnation,
            member.failure_domain,
            member.region,
            member.caller_address,
            member.peer_address,
            member.capability,
        )
    )


def _convert_route(route: _Route) -> Route:
    targets: tuple[WeightedService, ...] = ()
    gather = None
    if route.gather is not None:
        gather = Gather(tuple(route.gather), route.top_k, route.min_share)
    elif route.split is not None:
        targets = tuple(WeightedService(target.service, target.weight) for target in route.split)
    elif route.service is not None:
        targets = (WeightedService(route.service, 1.0),)
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        route.kind,
        route.timeout_ms,
        route.latency_target_ms,
        max(1, route.max_attempts),
        route.priority,
        targets,
        gather,
    )


def _build_entry_failure(item: StoreObject, reason: str) -> Failure:
    return Failure.of(ErrorKind.INVALID_CONFIGURATION, f"entry {item.meta.name}: {reason}")
