"""Message formats for configuration, endpoints and evacuations sent between instances."""

import msgspec
from expression import Error, Ok, Result

from persimmonspur.core.fleet.accounts import NO_ACCOUNTS, AccountDirectory
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.rollouts.orders import RolloutOrder
from persimmonspur.core.fleet.routes import ClientLimits, Route, RouteTable, ServiceLimits
from persimmonspur.entry.relays import RelayFormat
from persimmonspur.entry.validation import (
    build_entry_failure,
    find_domain_error,
    find_endpoint_error,
    find_order_error,
    find_table_error,
)
from persimmonspur.errors import Failure


class Positions(msgspec.Struct, frozen=True, array_like=True):
    """Positions in the store of the latest known changes.

    :param version: version of the configuration in effect; 0 without one.
    """

    configuration: StorePosition
    endpoints: StorePosition
    evacuations: StorePosition
    version: int = 0


class TableMessage(msgspec.Struct):
    """A route table without its lookup index.

    :param accounts: client accounts with digests of their keys.
    """

    version: int
    routes: list[Route]
    services: dict[str, ServiceLimits]
    limits: ClientLimits
    accounts: AccountDirectory = NO_ACCOUNTS


def pack_table(table: RouteTable) -> TableMessage:
    """Return the message for a route table."""
    routes = list(table.routes)
    return TableMessage(table.version, routes, table.services, table.limits, table.accounts)


def unpack_table(message: TableMessage, clock_offset_ms: float = 0.0) -> RouteTable:
    """Return the route table of a message.

    :param clock_offset_ms: unused because a table contains no local times.
    """
    return RouteTable(
        message.version,
        tuple(message.routes),
        message.services,
        message.limits,
        message.accounts,
    )


def unpack_endpoint(endpoint: Endpoint, clock_offset_ms: float) -> Endpoint:
    """Return an endpoint with its cold start time converted to the receiver's clock.

    :param clock_offset_ms: the receiver's local time minus the sender's.
    """
    return endpoint.shift_cold_end(clock_offset_ms) if endpoint.cold_until_ms else endpoint


def _find_named_endpoint_error(name: str, endpoint: Endpoint, now_ms: float) -> str:
    if name != endpoint.identity:
        return "the entry has another name than its endpoint"
    return find_endpoint_error(endpoint, now_ms)


def decode_endpoint(
    data: bytes, clock_offset_ms: float, now_ms: float
) -> Result[Endpoint, Failure]:
    """Decode and check an endpoint that a peer sent without the name of its entry.

    :param clock_offset_ms: the receiver's local time minus the sender's.
    :param now_ms: local time of the receiver.
    """
    try:
        endpoint = msgspec.msgpack.decode(data, type=Endpoint)
    except (msgspec.DecodeError, RecursionError) as error:
        return Error(build_entry_failure("of a peer", str(error)))
    endpoint = unpack_endpoint(endpoint, clock_offset_ms)
    reason = find_endpoint_error(endpoint, now_ms)
    return Error(build_entry_failure(endpoint.identity, reason)) if reason else Ok(endpoint)


TABLE_FORMAT: RelayFormat[RouteTable, TableMessage] = RelayFormat(
    TableMessage,
    pack_table,
    unpack_table,
    lambda name, table, now_ms: find_table_error(table),
)
ENDPOINT_FORMAT: RelayFormat[Endpoint, Endpoint] = RelayFormat(
    Endpoint, lambda endpoint: endpoint, unpack_endpoint, _find_named_endpoint_error
)
EVACUATION_FORMAT: RelayFormat[str, str] = RelayFormat(
    str,
    lambda name: name,
    lambda name, clock_offset_ms: name,
    lambda name, domain, now_ms: find_domain_error(domain),
)
ROLLOUT_FORMAT: RelayFormat[RolloutOrder, RolloutOrder] = RelayFormat(
    RolloutOrder,
    lambda order: order,
    lambda order, clock_offset_ms: order,
    lambda name, order, now_ms: find_order_error(order),
)
