"""HTTP/1.1 messages of the stand-ins."""

import asyncio
from dataclasses import dataclass, field

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, Message] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message()
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            message.headers[name.strip().lower()] = value.strip()
    length = int(message.headers.get("content-length", "0"))
    if length:
        message.body = await reader.readexactly(length)
    return lines[0], message


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request, or ``None`` if the connection ended between requests."""
    read = await _read_message(reader)
    if read is None:
        return None
    line, message = read
    message.method, message.target = line.split(" ")[:2]
    return message


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Return a response with a length, or ``None`` if the connection ended before it."""
    read = await _read_message(reader)
    if read is None:
        return None
    line, message = read
    message.status = int(line.split(" ")[1])
    return message


async def write_response(
    writer: asyncio.StreamWriter, status: int, headers: list[tuple[str, str]], body: bytes
) -> None:
    """Send a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
    await writer.drain()
