"""Validation of addresses that other processes announce."""

import ipaddress

from persimmonspur.digits import parse_digits

MAX_PORT = 65_535


def find_address_error(address: str) -> str:
    """Return why an address cannot be used, or an empty string.

    Host names are invalid: looking one up would block the event loop.

    :param address: IPv4 address and port, as ``ip:port``.
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return f"address {address!r} is not in the form ip:port"
    if ip.is_unspecified or ip.is_multicast or ip == ipaddress.IPv4Address("255.255.255.255"):
        return f"address {address!r} does not name one host"
    number = parse_digits(port)
    if number is None or not 0 < number <= MAX_PORT:
        return f"address {address!r} has no valid port"
    return ""
