"""Splits JSON arrays and objects without decoding their parts.

One part that cannot be decoded, such as text that is not Unicode or lists nested too deep, then
does not spoil the others.
"""

import re

# Strings as a whole, whatever bytes they hold, and the characters that give structure.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["\[\]{},:]', re.DOTALL)
_CLOSING = {b"[": b"]", b"{": b"}"}


def split_array(data: bytes) -> list[bytes] | None:
    """Return the undecoded elements of an array, or ``None`` if the data is no array."""
    return _split(data, b"[")


def split_object(data: bytes) -> dict[bytes, bytes] | None:
    """Return the undecoded values of an object by name, or ``None`` if the data is no object.

    Names with escapes are left as they are. As in other decoders, the last of several members
    with one name counts.
    """
    members = _split(data, b"{")
    if members is None:
        return None
    values: dict[bytes, bytes] = {}
    for member in members:
        name = _TOKEN.match(member)
        if name is None or len(name.group()) < 2:
            return None
        rest = member[name.end() :].lstrip()
        if not rest.startswith(b":"):
            return None
        values[name.group()[1:-1]] = rest[1:].strip()
    return values


def _split(data: bytes, opening: bytes) -> list[bytes] | None:
    """Return what is between the commas of the outermost container."""
    data = data.strip()
    if not data.startswith(opening):
        return None
    parts: list[bytes] = []
    depth = 0
    start = len(opening)
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token == b'"':
            # A string that never ends.
            return None
        if token in (b"[", b"{"):
            depth += 1
        elif token in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                return _finish(data, match.end(), parts, data[start : match.start()], opening)
        elif token == b"," and depth == 1:
            parts.append(data[start : match.start()].strip())
            start = match.end()
    return None


def _finish(
    data: bytes, end: int, parts: list[bytes], last: bytes, opening: bytes
) -> list[bytes] | None:
    if end != len(data) or not data.endswith(_CLOSING[opening]):
        return None
    last = last.strip()
    if last or parts:
        parts.append(last)
    return parts
