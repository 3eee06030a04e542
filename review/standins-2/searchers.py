"""Stand-in for searchers: many addresses in one process.

Reads a JSON list of searchers from the file that is named on the command line. Writes a line to
standard output for each request that a searcher is the first one of the process to run: its id,
method, target, and the length and digest of its body.
"""

import asyncio
import hashlib
import json
import os
import random
import sys
import time

from wire import Message, read_request, write_response

KEEP_ALIVE = ("Keep-Alive", "timeout=15")
RECORD_BYTES = 16
QUEUE_LENGTH = 18


_printed: set[str] = set()


def record_run(request_id: str, request: Message) -> None:
    """Write a line about a request at its first run in this process."""
    if request_id in _printed:
        return
    _printed.add(request_id)
    digest = hashlib.sha256(request.body).hexdigest()[:16]
    print(request_id, request.method, request.target, len(request.body), digest, flush=True)


class Searcher:
    """One searcher: runs ``slots`` requests at a time and queues a few more."""

    def __init__(self, identity: str, slots: int, work_ms: float, records: int) -> None:
        self.identity = identity
        self.slots = slots
        self.work_ms = work_ms
        self.records = records
        self.semaphore = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.ran = 0

    def get_load(self) -> tuple[str, str]:
        return "X-Server-Load", f"{self.running},{self.waiting},{self.slots}"

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if request.target == "/health":
            headers = [("X-Instance-Id", self.identity), self.get_load()]
            await write_response(writer, 200, headers, b"")
            return
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.identity):
            headers = [("X-Instance-Id", self.identity), ("X-Not-Executed", "1")]
            await write_response(writer, 421, headers, b"")
            return
        request_id = request.headers.get("x-request-id", "")
        if not request_id or self.waiting >= QUEUE_LENGTH:
            status = 503 if request_id else 400
            await write_response(writer, status, [("X-Not-Executed", "1")], b"")
            return
        deadline = time.monotonic() + int(request.headers.get("x-deadline-ms", "60000")) / 1000
        self.waiting += 1
        async with self.semaphore:
            self.waiting -= 1
            if time.monotonic() >= deadline:
                await write_response(writer, 503, [("X-Not-Executed", "1")], b"")
                return
            self.running += 1
            self.ran += 1
            record_run(request_id, request)
            await asyncio.sleep(self.work_ms * random.uniform(0.7, 1.3) / 1000)
            self.running -= 1
        stamp = f"{self.identity}.{request_id}.{self.ran}"
        headers = [("X-Request-Id", request_id), ("X-Server-Stamp", stamp)]
        headers += [self.get_load(), KEEP_ALIVE]
        await write_response(writer, 200, headers, os.urandom(RECORD_BYTES * self.records))

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def serve(path: str) -> None:
    with open(path) as file:
        described = json.load(file)
    for entry in described:
        searcher = Searcher(entry["id"], entry["slots"], entry["work_ms"], entry["records"])
        host, _, port = entry["addr"].rpartition(":")
        await asyncio.start_server(searcher.handle, host, int(port), limit=1_000_000)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
