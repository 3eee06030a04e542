"""Clients that follow the pages: addresses from the directory, kept connections, one retry."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from deployment import Deployment, format_request, new_id
from wire import Message, read_response


@dataclass
class Kind:
    """A kind of request.

    :param rate: requests a second.
    """

    name: str
    prefix: str
    budget_ms: int
    rate: float
    body: bytes = b""


@dataclass
class Crowd:
    """Sends requests of some kinds until it is stopped, and counts how they end.

    :ivar cut: ids of the attempts on kept connections that ended without an answer.
    """

    deployment: Deployment
    kinds: list[Kind]
    ends: Counter = field(default_factory=Counter)
    addresses: list[str] = field(default_factory=list)
    idle: dict[str, list] = field(default_factory=dict)
    tasks: set = field(default_factory=set)
    cut: list[str] = field(default_factory=list)
    stopped: bool = False

    async def refresh(self) -> None:
        """Keep the directory's answer for 2 s; an older one serves if there is no new one."""
        while not self.stopped:
            self.addresses = await self.deployment.resolve() or self.addresses
            await asyncio.sleep(2.0)

    def start(self) -> None:
        """Start to send."""
        self._spawn(self.refresh())
        for kind in self.kinds:
            self._spawn(self._send_all(kind))

    async def stop(self) -> None:
        """Stop sending, and drop what has no answer."""
        self.stopped = True
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_all(self, kind: Kind) -> None:
        next_at = time.monotonic()
        while not self.stopped:
            next_at += random.expovariate(kind.rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            if self.addresses:
                self._spawn(self._send_with_retry(kind))

    async def _send_with_retry(self, kind: Kind) -> None:
        deadline = time.monotonic() + kind.budget_ms / 1000
        failed: set[str] = set()
        end = "no time"
        for _ in range(2):
            left_ms = int((deadline - time.monotonic()) * 1000)
            if left_ms <= 0:
                break
            choices = [address for address in self.addresses if address not in failed]
            address = random.choice(choices or self.addresses)
            end, retry_after_s = await self._attempt(kind, address, left_ms)
            if end == "200":
                break
            failed.add(address)
            left_s = deadline - time.monotonic()
            await asyncio.sleep(max(0.0, min(retry_after_s, left_s / 3)))
        self.ends[f"{kind.name}: {end}"] += 1

    async def _attempt(self, kind: Kind, address: str, left_ms: int) -> tuple[str, float]:
        request_id = new_id()
        kept = bool(self.idle.get(address))
        self.deployment.note_sent(request_id, address, f"{kind.prefix} {len(kind.body)}")
        end, retry_after_s = await self._await_end(kind, address, left_ms, request_id, kept)
        self.deployment.note_end(request_id, end)
        return end, retry_after_s

    async def _await_end(
        self, kind: Kind, address: str, left_ms: int, request_id: str, kept: bool
    ) -> tuple[str, float]:
        try:
            response = await asyncio.wait_for(
                self._exchange(kind, address, request_id, left_ms), left_ms / 1000
            )
        except TimeoutError:
            return "client gave up", 0.0
        except (OSError, asyncio.IncompleteReadError):
            response = None
        if response is None:
            if kept:
                self.cut.append(request_id)
            return "closed", 0.0
        return str(response.status), float(response.headers.get("retry-after", "0"))

    async def _exchange(
        self, kind: Kind, address: str, request_id: str, left_ms: int
    ) -> Message | None:
        connections = self.idle.setdefault(address, [])
        if connections:
            reader, writer = connections.pop()
        else:
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=4_000_000), 1.0
            )
        kept = False
        try:
            headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(left_ms)}
            method = "POST" if kind.body else "GET"
            writer.write(format_request(method, f"{kind.prefix}2f", headers, kind.body))
            await writer.drain()
            response = await read_response(reader)
            kept = response is not None and response.headers.get("connection", "") != "close"
            return response
        finally:
            if kept:
                connections.append((reader, writer))
            else:
                writer.close()
