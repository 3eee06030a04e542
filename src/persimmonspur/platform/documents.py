"""Decodes documents of the platform's store into the project's types."""

import math
from typing import Annotated, Any

import msgspec
from expression import Error, Ok, Result

from persimmonspur.core.fleet.accounts import Account, AccountDirectory, build_directory
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.rollouts.orders import OrderState, RolloutOrder
from persimmonspur.core.fleet.routes import (
    ClientLimits,
    Gather,
    RequestKind,
    Route,
    RouteTable,
    ServiceLimits,
    WeightedService,
)
from persimmonspur.entry.validation import (
    MAX_INTEGER,
    build_entry_failure,
    find_endpoint_error,
    find_member_error,
    find_table_error,
    is_header_value,
)
from persimmonspur.errors import ErrorKind, Failure

ENDPOINT_STATES = ("ready", "draining")

# Ranges are checked by entry.validation, except where a number is used before.
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


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
    # Whether requests need no API key.
    public: bool = False


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # Replaces the priority of the route.
    priority: int | None = None
    # Requests per second over all instances; 0 means no limit.
    rate_per_s: float = 0.0
    # Missing: as many requests as the rate allows in one second.
    burst: float | None = None


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
    # Client accounts; without any, requests need no API key.
    tenants: list[_Tenant] = []


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


class _Rollout(msgspec.Struct):
    service: str
    target_version: str
    over_s: float


class _RolloutStatus(msgspec.Struct):
    state: OrderState
    target_version: str


# Names of the configuration's parts outside of this module.
ConfigurationDocument = _Configuration
RouteDocument = _Route


class ObjectMeta(msgspec.Struct):
    """Metadata of an object in the store."""

    name: str
    revision: _Count = 0


class StoreObject(msgspec.Struct):
    """One object in the store."""

    meta: ObjectMeta
    spec: Any = None
    status: Any = None


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
    reason = _find_tenant_error(document.tenants)
    if reason:
        return Error(Failure.of(ErrorKind.INVALID_CONFIGURATION, f"configuration: {reason}"))
    accounts = _convert_tenants(document.tenants)
    table = RouteTable(document.version, routes, services, limits, accounts)
    reason = find_table_error(table)
    if reason:
        return Error(Failure.of(ErrorKind.INVALID_CONFIGURATION, f"configuration: {reason}"))
    return Ok(table)


def decode_endpoint(item: StoreObject, now_ms: float) -> Result[Endpoint, Failure]:
    """Decode and validate an endpoint's entry, which any client of the store may write.

    :param now_ms: local time at which the remaining cold-start time begins.
    """
    try:
        entry = msgspec.convert(item.spec, _Endpoint)
    except msgspec.ValidationError as error:
        return Error(build_entry_failure(item.meta.name, str(error)))
    if entry.state not in ENDPOINT_STATES:
        return Error(build_entry_failure(item.meta.name, f"unknown state {entry.state!r}"))
    endpoint = Endpoint(
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
    invalid = find_endpoint_error(endpoint, now_ms)
    return Error(build_entry_failure(item.meta.name, invalid)) if invalid else Ok(endpoint)


def decode_rollout(item: StoreObject) -> Result[RolloutOrder, Failure]:
    """Decode an order to move a service to another version.

    An order that cannot be carried out is returned with its problem, so that its state is
    written. Its name is that of the service.
    """
    name, revision = item.meta.name, item.meta.revision
    try:
        entry = msgspec.convert(item.spec, _Rollout)
    except msgspec.ValidationError as error:
        target = _find_target(item.spec)
        state = _decode_order_state(item.status, target)
        return Ok(RolloutOrder(name, target, 0.0, revision, state, f"unreadable: {error}"))
    problem = ""
    if entry.service != name:
        problem = f"the entry of {name} names the service {entry.service!r}"
    elif not entry.target_version:
        problem = "target_version is empty"
    elif not 0 < entry.over_s < math.inf:
        problem = f"over_s must be a positive number, not {entry.over_s}"
    state = _decode_order_state(item.status, entry.target_version)
    over_ms = 0.0 if problem else entry.over_s * 1000
    return Ok(RolloutOrder(name, entry.target_version, over_ms, revision, state, problem))


def encode_order_state(order: RolloutOrder, state: OrderState) -> Any:
    """Encode the state of an order as the status of its object."""
    return {"state": state.value, "target_version": order.target_version}


def _find_target(spec: Any) -> str:
    target = spec.get("target_version") if isinstance(spec, dict) else None
    return target if isinstance(target, str) else ""


def _decode_order_state(status: Any, target_version: str) -> OrderState:
    """Return the state that was written for a target; that of an earlier target says nothing."""
    try:
        decoded = msgspec.convert(status, _RolloutStatus)
    except msgspec.ValidationError:
        return OrderState.NONE
    return decoded.state if decoded.target_version == target_version else OrderState.NONE


def decode_member(item: StoreObject) -> Result[Member, Failure]:
    """Decode an instance's registration."""
    try:
        entry = msgspec.convert(item.spec, _Instance)
    except msgspec.ValidationError as error:
        return Error(build_entry_failure(item.meta.name, str(error)))
    member = Member(
        item.meta.name,
        entry.incarnation,
        entry.zone,
        entry.region,
        entry.front,
        entry.peer,
        entry.capability,
    )
    invalid = find_member_error(member)
    return Error(build_entry_failure(item.meta.name, invalid)) if invalid else Ok(member)


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
        route.public,
    )


def _find_tenant_error(tenants: list[_Tenant]) -> str:
    """Return what is wrong with the client accounts, or an empty string.

    The text names positions instead of values, since a value may be a misplaced key.
    """
    for index, tenant in enumerate(tenants):
        if not is_header_value(tenant.name):
            return f"tenants[{index}].name must be printable Latin-1 text without outer spaces"
        for field_name, number in (("rate_per_s", tenant.rate_per_s), ("burst", tenant.burst)):
            if number is not None and not 0 <= number < math.inf:
                return f"tenants[{index}].{field_name} must be a number from 0"
    return ""


def _convert_tenants(tenants: list[_Tenant]) -> AccountDirectory:
    return build_directory((_convert_tenant(tenant), tenant.api_keys) for tenant in tenants)


def _convert_tenant(tenant: _Tenant) -> Account:
    burst = tenant.burst
    if burst is None:
        burst = max(1.0, tenant.rate_per_s) if tenant.rate_per_s else 0.0
    return Account(tenant.name, tenant.priority, tenant.rate_per_s, burst)
