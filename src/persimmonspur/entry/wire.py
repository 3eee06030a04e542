"""Message formats for configuration, endpoints and evacuations sent between instances."""

import msgspec

from persimmonspur.core.fleet.accounts import NO_ACCOUNTS, AccountDirectory
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.rollouts.orders import RolloutOrder
from persimmonspur.core.fleet.routes import ClientLimits, Route, RouteTable, ServiceLimits
from persimmonspur.entry.relays import ChangesMessage, RelayFormat


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


TABLE_FORMAT: RelayFormat[RouteTable, TableMessage] = RelayFormat(
    ChangesMessage[TableMessage], pack_table, unpack_table
)
ENDPOINT_FORMAT: RelayFormat[Endpoint, Endpoint] = RelayFormat(
    ChangesMessage[Endpoint], lambda endpoint: endpoint, unpack_endpoint
)
EVACUATION_FORMAT: RelayFormat[str, str] = RelayFormat(
    ChangesMessage[str], lambda name: name, lambda name, clock_offset_ms: name
)
ROLLOUT_FORMAT: RelayFormat[RolloutOrder, RolloutOrder] = RelayFormat(
    ChangesMessage[RolloutOrder], lambda order: order, lambda order, clock_offset_ms: order
)
