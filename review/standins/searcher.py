"""A searcher, as PROTOCOL.md describes it."""

import asyncio
import time
from dataclasses import dataclass, field

from standins.http import Server, format_response, read_message
from standins.store import Store

FIRST_BORN_MS = 1_700_000_000_000


@dataclass
class Arrival:
    """A request that reached the searcher, and whether it ran there."""

    request_id: str
    at_s: float
    ran: bool


@dataclass
class Searcher(Server):
    """Runs requests in its slots and registers itself in the store.

    :ivar identity: its id in the store.
    :ivar work_s: time for which it works on each request.
    """

    identity: str
    service: str
    zone: str
    work_s: float = 0.01
    slots: int = 4
    arrivals: list[Arrival] = field(default_factory=list)
    state: str = "ready"
    cold_left_ms: int = 0
    seq: int = 1
    born_ms: int = FIRST_BORN_MS

    def __post_init__(self) -> None:
        super().__init__()
        self._free = asyncio.Semaphore(self.slots)
        self._running = 0

    def __hash__(self) -> int:
        return id(self)

    def register(self, store: Store) -> None:
        """Write its entry."""
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": self.cold_left_ms,
            "seq": self.seq,
            "born": self.born_ms,
        }
        store.put("servers", self.identity, entry)

    def report(self, store: Store, state: str = "ready", cold_left_ms: int = 0) -> float:
        """Report a change of its state and return the time at which the store accepted it."""
        self.state = state
        self.cold_left_ms = cold_left_ms
        self.seq += 1
        self.register(store)
        return time.monotonic()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection in order."""
        while (message := await read_message(reader)) is not None:
            request_id = message.headers.get("x-request-id", "")
            echo = f"X-Request-Id: {request_id}"
            if message.headers.get("x-expect-instance", self.identity) != self.identity:
                head = [echo, f"X-Instance-Id: {self.identity}"]
                writer.write(format_response(421, head))
                continue
            self.arrivals.append(Arrival(request_id, time.monotonic(), True))
            async with self._free:
                self._running += 1
                await asyncio.sleep(self.work_s)
                load = f"X-Server-Load: {self._running},0,{self.slots}"
                self._running -= 1
            stamp = f"X-Server-Stamp: {self.identity}.{request_id}"
            head = [echo, stamp, load, "Keep-Alive: timeout=10"]
            writer.write(format_response(200, head, f"answer of {self.identity}".encode()))
            await writer.drain()
