"""Clients that ask the directory for addresses and keep a connection open."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass

from standins.http import Message, read_message

LOOKUP_TTL_S = 2.0
CONNECT_TIMEOUT_S = 1.0


@dataclass
class Sent:
    """One client attempt.

    :ivar status: status of the answer; 0 if the connection ended without one, and ``None``
        if none came while the client waited.
    :ivar took_s: time until the answer, or until the client gave up.
    """

    request_id: str
    path: str
    at_s: float
    status: int | None = None
    took_s: float = 0.0
    stamp: str = ""


async def call(address: str, text: str, timeout_s: float) -> Message | None:
    """Send a request on a new connection; ``None`` without an answer."""
    host, _, port = address.partition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(text.encode())
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


async def resolve(directory: str, zone: str) -> list[str]:
    """Return the addresses that the directory of one instance names."""
    target = f"/-/resolve?name=host.example&region=region&zone={zone}"
    message = await call(directory, f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n", 1.0)
    if message is None or " 200 " not in message.line:
        return []
    return list(json.loads(message.body)["addrs"])


class Client:
    """Sends one request after the other, each on the connection that it keeps.

    :ivar sent: all attempts, in order.
    """

    def __init__(
        self, directories: list[str], zone: str, path: str, deadline_ms: int, wait_s: float
    ) -> None:
        self._directories = directories
        self._zone = zone
        self._path = path
        self._deadline_ms = deadline_ms
        self._wait_s = wait_s
        self._addresses: list[str] = []
        self._looked_up_s = 0.0
        self._address = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.sent: list[Sent] = []

    async def run(self, until_s: float, pause_s: float) -> None:
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until_s:
            started_s = time.monotonic()
            await self.send()
            left_s = pause_s * random.uniform(0.8, 1.2) - (time.monotonic() - started_s)
            await asyncio.sleep(max(0.0, left_s))
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def send(self) -> Sent:
        """Send one request and wait for its answer."""
        await self._look_up()
        record = Sent(uuid.uuid4().hex[:16], self._path, time.monotonic())
        self.sent.append(record)
        try:
            async with asyncio.timeout(self._wait_s):
                message = await self._exchange(record)
            record.status = int(message.line.split(" ")[1]) if message is not None else 0
            if message is not None:
                record.stamp = message.headers.get("x-server-stamp", "")
            if message is None or message.headers.get("connection", "") == "close":
                self.close()
        except OSError as error:
            # TimeoutError is an OSError: no answer while the client waited.
            record.status = None if isinstance(error, TimeoutError) else 0
            self.close()
        record.took_s = time.monotonic() - record.at_s
        return record

    async def _exchange(self, record: Sent) -> Message | None:
        if self._streams is None:
            self._address = random.choice(self._addresses)
            host, _, port = self._address.partition(":")
            connecting = asyncio.open_connection(host, int(port))
            self._streams = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        reader, writer = self._streams
        writer.write(
            f"GET {self._path} HTTP/1.1\r\nHost: host.example\r\n"
            f"X-Request-Id: {record.request_id}\r\n"
            f"X-Deadline-Ms: {self._deadline_ms}\r\n\r\n".encode()
        )
        return await read_message(reader)

    async def _look_up(self) -> None:
        if self._addresses and time.monotonic() - self._looked_up_s < LOOKUP_TTL_S:
            return
        for directory in random.sample(self._directories, len(self._directories)):
            addresses = await resolve(directory, self._zone)
            if not addresses:
                continue
            self._addresses = addresses
            self._looked_up_s = time.monotonic()
            if self._address not in addresses:
                self.close()
            return
