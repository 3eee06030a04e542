"""Checks of what the store, relays and peers say of endpoints, instances and configurations.

Entries of the store may be written by anyone, and an instance that relays or copies them may run
another build. The same checks therefore apply wherever an entry is decoded.
"""

import math
from collections.abc import Iterable

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.rollouts.orders import RolloutOrder
from persimmonspur.core.fleet.routes import Route, RouteTable
from persimmonspur.entry.addresses import find_address_error
from persimmonspur.errors import ErrorKind, Failure

# Names are sent in headers and in datagrams of 1,400 bytes between instances.
MAX_NAME_LENGTH = 255
MAX_SLOTS = 1_000_000
MAX_COLD_LEFT_MS = 86_400_000.0
# The end of the year 9999 in Unix milliseconds.
MAX_UNIX_MS = 253_402_300_799_999
# Largest integer that the messages between instances can carry.
MAX_INTEGER = 2**63 - 1
# Largest integer up to which floating-point numbers are exact.
MAX_SEQUENCE = 2.0**53
# Capacity of a machine, in cores.
MAX_CAPABILITY = 100_000.0


def build_entry_failure(name: str, reason: str) -> Failure:
    """Return the failure of an entry that names nothing that can be used."""
    return Failure.of(ErrorKind.INVALID_CONFIGURATION, f"entry {name}: {reason}")


def find_identity_error(identity: str) -> str:
    """Return why an identity cannot be sent in a header, or an empty string."""
    if not identity or len(identity) > MAX_NAME_LENGTH:
        return f"the id has {len(identity)} characters, not 1 to {MAX_NAME_LENGTH}"
    if not is_header_value(identity):
        return "the id has characters that cannot be sent in a header"
    return ""


def is_header_value(text: str) -> bool:
    """Return whether a text can be sent as the value of a header field."""
    # Spaces at the ends of a header are not part of its value.
    if not text or text != text.strip() or not text.isprintable():
        return False
    return max(text) <= "\xff"


def find_endpoint_error(endpoint: Endpoint, now_ms: float) -> str:
    """Return why an endpoint cannot be used, or an empty string.

    :param now_ms: local time, on the clock of the end of its cold start.
    """
    return (
        find_identity_error(endpoint.identity)
        or _find_length_error("service", endpoint.service)
        or _find_length_error("failure_domain", endpoint.failure_domain)
        or _find_length_error("version", endpoint.version)
        or find_address_error(endpoint.address)
        or _find_range_error("slots", endpoint.slots, 1, MAX_SLOTS)
        or _find_range_error("born_ms", endpoint.born_ms, 0, MAX_UNIX_MS)
        or _find_range_error("sequence", endpoint.sequence, -MAX_SEQUENCE, MAX_SEQUENCE)
        or _find_range_error("cold start", _get_cold_left_ms(endpoint, now_ms), 0, MAX_COLD_LEFT_MS)
    )


def _get_cold_left_ms(endpoint: Endpoint, now_ms: float) -> float:
    """Return the rest of a cold start; 0 if there is none or it is over."""
    if not endpoint.cold_until_ms:
        return 0.0
    left_ms = endpoint.cold_until_ms - now_ms
    return 0.0 if -math.inf < left_ms < 0 else left_ms


def find_member_error(member: Member) -> str:
    """Return why an instance cannot be used, or an empty string."""
    return (
        find_identity_error(member.name)
        or _find_length_error("failure_domain", member.failure_domain)
        or _find_length_error("region", member.region)
        or find_address_error(member.caller_address)
        or find_address_error(member.peer_address)
        or _find_range_error("incarnation", member.incarnation, 0, MAX_INTEGER)
        or _find_range_error("capability", member.capability, 0, MAX_CAPABILITY)
    )


def find_domain_error(name: str) -> str:
    """Return why a name cannot be that of a failure domain, or an empty string."""
    return _find_length_error("name", name)


def find_order_error(order: RolloutOrder) -> str:
    """Return why an order to move a service to another version is odd, or an empty string."""
    return (
        _find_length_error("service", order.service)
        or _find_length_error("target_version", order.target_version)
        or _find_range_error("over_ms", order.over_ms, 0, MAX_INTEGER)
        or _find_range_error("revision", order.revision, 0, MAX_INTEGER)
    )


def find_table_error(table: RouteTable) -> str:
    """Return why the numbers or accounts of a route table are odd, or an empty string."""
    for name, number in _list_numbers(table):
        if not -MAX_INTEGER <= number <= MAX_INTEGER:
            return f"{name} is out of range"
    for position, account in enumerate(table.accounts.accounts.values()):
        # The text names a position, since a name may be a misplaced key.
        if not is_header_value(account.name):
            return f"the name of account {position} cannot be sent in a header"
        if account.priority is not None and not -MAX_INTEGER <= account.priority <= MAX_INTEGER:
            return f"the priority of account {position} is out of range"
        if not (0 <= account.rate_per_s <= MAX_INTEGER and 0 <= account.burst <= MAX_INTEGER):
            return f"the quota of account {position} is out of range"
    return ""


def _list_numbers(table: RouteTable) -> Iterable[tuple[str, float]]:
    limits = table.limits
    yield "version", table.version
    yield "max_header_bytes", limits.max_header_bytes
    yield "max_body_bytes", limits.max_body_bytes
    yield "header_timeout_ms", limits.header_timeout_ms
    yield "idle_timeout_ms", limits.idle_timeout_ms
    for service in table.services.values():
        yield f"max_connections of {service.name}", service.max_connections
        yield f"cold_per_s of {service.name}", service.cold_per_s
    for route in table.routes:
        yield from _list_route_numbers(route)


def _list_route_numbers(route: Route) -> Iterable[tuple[str, float]]:
    yield f"timeout_ms of {route.name}", route.timeout_ms
    yield f"objective_ms of {route.name}", route.objective_ms
    yield f"max_attempts of {route.name}", route.max_attempts
    yield f"priority of {route.name}", route.priority
    for target in route.targets:
        yield f"weight of {route.name}", target.weight
    if route.gather is not None:
        yield f"top_records of {route.name}", route.gather.top_records
        yield f"min_share of {route.name}", route.gather.min_share


def _find_length_error(name: str, text: str) -> str:
    if len(text) <= MAX_NAME_LENGTH:
        return ""
    return f"{name} has {len(text)} characters, not at most {MAX_NAME_LENGTH}"


def _find_range_error(name: str, number: float, least: float, most: float) -> str:
    # Written so that what is not a number is out of range as well.
    return "" if least <= number <= most else f"{name} is not between {least:.0f} and {most:.0f}"
