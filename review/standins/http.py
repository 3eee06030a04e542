"""A minimal HTTP/1.1 server and message reader for the stand-ins, on asyncio streams."""

import asyncio
import socket
import struct
from dataclasses import dataclass

LINE_LIMIT = 1_048_576


@dataclass
class Message:
    """The first line, header fields (names in lower case) and body of a message."""

    line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with ``Content-Length``; ``None`` at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field.endswith(b"\n"):
            return None
        if not field.strip():
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError:
        return None
    return Message(line.decode("latin-1").strip(), headers, body)


def format_response(status: int, headers: list[str], body: bytes = b"") -> bytes:
    """Encode a response with its length."""
    lines = [f"HTTP/1.1 {status} Status", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, rather than closing it in order."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Listens on a free loopback port and passes each connection to a method."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._run, "127.0.0.1", 0, limit=LINE_LIMIT, backlog=256
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset(writer)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError
