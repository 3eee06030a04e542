"""Message formats for configuration, endpoints and evacuations sent between instances."""

import msgspec

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.position import StorePosition
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
    """A route table without its lookup index."""

    version: int
    routes: list[Route]
    services: dict[str, ServiceLimits]
    limits: ClientLimits


def pack_table(table: RouteTable) -> TableMessage:
    """Return the message for a route table."""
    return TableMessage(table.version, list(table.routes), table.services, table.limits)


def unpack_table(message: TableMessage, clock_offset_ms: float = 0.0) -> RouteTable:
    """Return the route table of a message.

    :param clock_offset_ms: unused because a table contains no local times.
    """
    return RouteTable(message.version, tuple(message.routes), message.services, message.limits)


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
