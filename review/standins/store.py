"""The platform's object store, as PROTOCOL.md describes it."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import Message, Server, format_response, read_message, reset

PAGE_SIZE = 500
Change = tuple[int, str, bytes, bool]


class Store(Server):
    """Objects by kind and name, with watches.

    Each object is kept as the JSON text that the store sends, so that an entry of a foreign
    writer can hold what its writer put into it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self._objects: dict[str, dict[str, bytes]] = {}
        self._created: dict[tuple[str, str], int] = {}
        self._changes: list[Change] = []
        self._changed = asyncio.Event()
        self._down = False

    def go_down(self) -> None:
        """Reset all connections, and each new one, until :meth:`come_back`."""
        self._down = True
        self.reset_connections()

    def come_back(self) -> None:
        """Answer calls again."""
        self._down = False

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object and return the revision of the change."""
        return self.put_raw(kind, name, json.dumps(spec).encode())

    def put_raw(self, kind: str, name: str, spec: bytes) -> int:
        """Write an object whose specification is given as JSON text."""
        self.revision += 1
        created = self._created.setdefault((kind, name), self.revision)
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "being_deleted": False,
        }
        item = b'{"meta":%b,"spec":%b,"status":null}' % (json.dumps(meta).encode(), spec)
        self._objects.setdefault(kind, {})[name] = item
        self._record(kind, item, False)
        return self.revision

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object and return whether it existed."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        self._created.pop((kind, name), None)
        self._record(kind, item, True)
        return True

    def _record(self, kind: str, item: bytes, removed: bool) -> None:
        self._changes.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection in order."""
        if self._down:
            reset(writer)
            return
        while (message := await read_message(reader)) is not None:
            status, body = await self._execute(message)
            writer.write(format_response(status, ["Content-Type: application/json"], body))
            await writer.drain()

    async def _execute(self, message: Message) -> tuple[int, bytes]:
        method, target, _ = message.line.split(" ")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = unquote(url.path).removeprefix("/-/objects/").partition("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), float(query.get("wait_ms", "0")))
        if method == "GET" and not name:
            return self._list(kind, query.get("after", ""))
        known = self._objects.get(kind, {})
        if method == "GET":
            return (200, known[name]) if name in known else (404, b"{}")
        if method == "DELETE":
            return (200, b"{}") if self.remove(kind, name) else (404, b"{}")
        document = json.loads(message.body)
        name = name or document["meta"]["name"]
        if method == "POST" and name in known:
            return 409, known[name]
        if method == "PUT" and name not in known:
            return 404, b"{}"
        self.put(kind, name, document["spec"])
        return 200, self._objects[kind][name]

    def _list(self, kind: str, after: str) -> tuple[int, bytes]:
        names = sorted(name for name in self._objects.get(kind, {}) if name > after)
        items = b",".join(self._objects[kind][name] for name in names[:PAGE_SIZE])
        has_more = b"true" if len(names) > PAGE_SIZE else b"false"
        text = b'{"items":[%b],"has_more":%b,"store_revision":%d}'
        return 200, text % (items, has_more, self.revision)

    async def _watch(self, kind: str, revision: int, wait_ms: float) -> tuple[int, bytes]:
        if not 100 <= revision <= self.revision:
            return 410, b"{}"
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            found = [c for c in self._changes if c[0] > revision and c[1] == kind]
            left_s = deadline - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        events = b",".join(
            b'{"object":%b,"removed":%b}' % (item, b"true" if removed else b"false")
            for _, _, item, removed in found
        )
        return 200, b'{"events":[%b],"store_revision":%d}' % (events, self.revision)
