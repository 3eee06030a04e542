"""Stand-in for the platform's store: objects, revisions, watches and 20 s of history."""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, unquote

from wire import read_request, write_response

HISTORY_S = 20.0


class Store:
    """All objects, the latest changes, and the calls that wait for further ones."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        # Revision, time, kind, object as JSON, whether it was removed.
        self.history: list[tuple[int, float, str, bytes, bool]] = []
        self.dropped_revision = 1
        self.changed = asyncio.Condition()

    async def _record(self, kind: str, item: dict, removed: bool) -> None:
        now = time.monotonic()
        encoded = json.dumps(item, separators=(",", ":")).encode()
        self.history.append((self.revision, now, kind, encoded, removed))
        while self.history and self.history[0][1] < now - HISTORY_S:
            self.dropped_revision = self.history.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    async def write(self, kind: str, name: str, document: dict, create: bool) -> tuple[int, dict]:
        items = self.objects.setdefault(kind, {})
        known = items.get(name)
        if create and known is not None:
            return 409, known
        if not create and known is None:
            return 404, {}
        expected = document.get("meta", {}).get("revision")
        if known is not None and expected is not None and expected != known["meta"]["revision"]:
            return 409, known
        if known is not None and known["spec"] == document.get("spec"):
            return 200, known
        self.revision += 1
        created = known["meta"]["created"] if known is not None else self.revision
        meta = {"name": name, "revision": self.revision, "created": created}
        meta |= {"finalizers": [], "being_deleted": False}
        item = {"meta": meta, "spec": document.get("spec"), "status": None}
        items[name] = item
        await self._record(kind, item, removed=False)
        return 200, item

    async def remove(self, kind: str, name: str) -> int:
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return 404
        self.revision += 1
        item["meta"]["revision"] = self.revision
        await self._record(kind, item, removed=True)
        return 200

    def list(self, kind: str) -> bytes:
        items = [self.objects[kind][name] for name in sorted(self.objects.get(kind, {}))]
        page = {"items": items, "has_more": False, "store_revision": self.revision}
        return json.dumps(page, separators=(",", ":")).encode()

    async def watch(self, kind: str, after: int, wait_s: float) -> tuple[int, bytes]:
        deadline = time.monotonic() + wait_s
        while True:
            if after < self.dropped_revision:
                return 410, b"{}"
            events = []
            for revision, _, event_kind, encoded, removed in self.history:
                if revision > after and event_kind == kind:
                    flag = b"true" if removed else b"false"
                    events.append(b'{"object":%b,"removed":%b}' % (encoded, flag))
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                listed = b",".join(events)
                return 200, b'{"events":[%b],"store_revision":%d}' % (listed, self.revision)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    continue

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        path, _, query = target.partition("?")
        parts = [unquote(part) for part in path.removeprefix("/-/objects/").split("/")]
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and not name:
            if "watch" in fields:
                wait_s = int(fields.get("wait_ms", "0")) / 1000
                return await self.watch(kind, int(fields["watch"]), wait_s)
            return 200, self.list(kind)
        if method == "GET":
            item = self.objects.get(kind, {}).get(name)
            return (200, json.dumps(item).encode()) if item is not None else (404, b"{}")
        if method == "DELETE":
            return await self.remove(kind, name), b"{}"
        document = json.loads(body)
        create = method == "POST"
        name = document["meta"]["name"] if create else name
        status, item = await self.write(kind, name, document, create)
        return status, json.dumps(item, separators=(",", ":")).encode()


async def serve(address: str) -> None:
    store = Store()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await store.answer(request.method, request.target, request.body)
                headers = [("Content-Type", "application/json")]
                await write_response(writer, status, headers, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(handle, host, int(port), limit=4_000_000)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
