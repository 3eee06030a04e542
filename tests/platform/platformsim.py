"""Fakes of the platform's store and of a searcher, written against their published protocols."""

import hashlib
import json
from urllib.parse import parse_qs, unquote, urlsplit

import gevent
from attrs import define, field
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

# Longer than any test waits for an answer.
SILENCE_S = 120.0


class FakeStore:
    """An object store with watches; attributes inject faults.

    :ivar down: whether every request is answered with status 503.
    :ivar silent: whether requests are left unanswered, also once the store answers others
        again.
    :ivar responses_to_lose: number of coming writes that are executed but not answered.
    :ivar on_list: called with the name after which each page of a list starts, before the page
        is read.
    :ivar era: number of the store's current history, sent with every response.
    """

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 100
        self.oldest_revision = 100
        self.requests = []
        self.down = False
        self.silent = False
        self.responses_to_lose = 0
        self.era = 1
        self.on_list = None
        self.page_size = 500
        self._raw_specs = {}
        self._changed = Event()
        self._server = WSGIServer(("127.0.0.1", 0), self._handle, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self):
        self._server.stop(timeout=0.1)

    def put(self, kind, name, spec):
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "being_deleted": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = item
        self._add_event(kind, item, False)

    def put_raw(self, kind, name, data):
        """Store a specification as bytes, which need not be JSON.

        :param data: is sent as it is wherever the object is read.
        """
        mark = f"raw-{len(self._raw_specs)}-{name}"
        self._raw_specs[json.dumps(mark).encode()] = data
        self.put(kind, name, mark)

    def put_status(self, kind, name, status):
        self.revision += 1
        known = self.objects[kind][name]
        meta = known["meta"] | {"revision": self.revision}
        item = {"meta": meta, "spec": known["spec"], "status": status}
        self.objects[kind][name] = item
        self._add_event(kind, item, False)

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._add_event(kind, item, True)

    def compact_history(self):
        self.oldest_revision = self.revision + 1
        self.events.clear()
        self.revision += 1
        self._notify_watches()

    def take_copy(self):
        """Return a copy of all objects, to restore the store from."""
        objects = {kind: dict(items) for kind, items in self.objects.items()}
        return objects, self.revision, list(self.events)

    def restore(self, copy, rewritten_kinds=()):
        """Lose all changes since a copy; their revisions are given out again.

        Watches that wait are cut off.

        :param rewritten_kinds: kinds whose writers write the lost objects again.
        """
        lost = {kind: self.objects.get(kind, {}) for kind in rewritten_kinds}
        objects, self.revision, self.events = copy
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.objects.clear()
        self.objects.update(objects)
        self.era += 1
        for kind, items in lost.items():
            for name, item in items.items():
                if self.objects.get(kind, {}).get(name) != item:
                    self.put(kind, name, item["spec"])
        self._notify_watches()

    def _add_event(self, kind, item, removed):
        self.events.append((self.revision, kind, item, removed))
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = Event()

    def _handle(self, environ, start_response):
        url = urlsplit(environ["PATH_INFO"] + "?" + environ["QUERY_STRING"])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        method = environ["REQUEST_METHOD"]
        body = environ["wsgi.input"].read()
        self.requests.append((method, environ["PATH_INFO"], query))
        if self.silent:
            Event().wait(SILENCE_S)
        if self.down:
            return self.respond_unavailable(start_response, self.era)
        path_parts = unquote(url.path).removeprefix("/-/objects/").split("/")
        status, document = self._execute(method, path_parts, query, body)
        if method != "GET" and self.responses_to_lose:
            self.responses_to_lose -= 1
            environ["wsgi.input"].rfile.close()
            raise ConnectionResetError("response lost")
        return self._respond(start_response, status, document, self.era, self._raw_specs)

    def _execute(self, method, path_parts, query, body):
        kind = path_parts[0]
        if method == "GET" and "watch" in query:
            return self._watch(kind, int(query["watch"]), float(query.get("wait_ms", 0)))
        if method == "GET":
            return self._list(kind, query.get("after", ""))
        if method == "DELETE":
            existed = path_parts[1] in self.objects.get(kind, {})
            self.delete(kind, path_parts[1])
            return (200 if existed else 404), {}
        document = json.loads(body)
        name = document["meta"]["name"]
        exists = name in self.objects.get(kind, {})
        if method == "POST" and exists:
            return 409, self.objects[kind][name]
        if method == "PUT" and not exists:
            return 404, {}
        expected = document["meta"].get("revision")
        if method == "PUT" and expected is not None:
            current = self.objects[kind][name]
            if current["meta"]["revision"] != expected:
                return 409, current
        if path_parts[2:] == ["status"]:
            self.put_status(kind, name, document["status"])
            return 200, self.objects[kind][name]
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind][name]

    def _list(self, kind, after):
        if self.on_list is not None:
            self.on_list(after)
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self.objects[kind][name] for name in names[: self.page_size]]
        return 200, {
            "items": items,
            "has_more": len(names) > self.page_size,
            "store_revision": self.revision,
        }

    def _watch(self, kind, revision, wait_ms):
        era = self.era
        with gevent.Timeout(wait_ms / 1000, False):
            while True:
                if self.era != era:
                    return 503, {}
                if not self.oldest_revision <= revision <= self.revision:
                    return 410, {}
                events = [event for event in self.events if event[0] > revision]
                found = [event for event in events if event[1] == kind]
                if found:
                    break
                self._changed.wait()
        found = [event for event in self.events if event[0] > revision and event[1] == kind]
        changes = [{"object": item, "removed": removed} for _, _, item, removed in found]
        return 200, {"events": changes, "store_revision": self.revision}

    def open_front(self):
        """Return another address of this store, with faults of its own."""
        return StoreFront(self)

    def handle(self, environ, start_response):
        """Serve one request that came in at a front."""
        return self._handle(environ, start_response)

    @staticmethod
    def respond_unavailable(start_response, era=1):
        """Reject one request because the store is down."""
        return FakeStore._respond(start_response, 503, {"error": "down"}, era)

    @staticmethod
    def _respond(start_response, status, document, era=1, raw_specs=None):
        data = json.dumps(document).encode()
        for mark, raw in (raw_specs or {}).items():
            data = data.replace(mark, raw)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("Store-Era", str(era)),
        ]
        start_response(f"{status} Status", headers)
        return [data]


class StoreFront:
    """One address of a fake store; its faults affect only those who use this address.

    :ivar down: whether every request is answered with status 503.
    :ivar silent: whether requests are left unanswered, also once others are answered again.
        Requests received before are answered when the silence ends.
    """

    def __init__(self, store):
        self.down = False
        self.silent = False
        self._store = store
        self._server = WSGIServer(("127.0.0.1", 0), self._handle, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self):
        self._server.stop(timeout=0.1)

    def _handle(self, environ, start_response):
        if self.silent:
            Event().wait(SILENCE_S)
        if self.down:
            return FakeStore.respond_unavailable(start_response)
        data = self._store.handle(environ, start_response)
        while self.silent:
            gevent.sleep(0.02)
        return data


@define(eq=False)
class FakeSearcher:
    """A search server.

    :ivar respond: builds the response to a request with the given headers, or returns
        ``None`` to close the connection; replaced by tests to inject faults.
    :ivar executed: ids of the requests that were executed.
    :ivar failed_sends: number of responses that the client no longer received.
    """

    identity: str
    latency_s: float = 0.0
    respond: object = None
    executed: list = field(factory=list)
    received: list = field(factory=list)
    connections: int = 0
    failed_sends: int = 0
    address: str = ""
    _server: object = None

    def __attrs_post_init__(self):
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self):
        self._server.stop(timeout=0.1)

    def stamp(self, request_id):
        return f"{self.identity}.{request_id}"

    def records(self, count=5):
        digests = (hashlib.md5(f"{self.identity}{index}".encode()) for index in range(count))
        return b"".join(digest.digest() for digest in digests)

    def build_response(self, headers, body=None, status=200, extra=b""):
        request_id = headers.get("x-request-id", "")
        body = self.records() if body is None else body
        head = (
            f"HTTP/1.1 {status} Status\r\nX-Request-Id: {request_id}\r\n"
            f"X-Server-Stamp: {self.stamp(request_id)}\r\nX-Server-Load: 1,0,4\r\n"
            f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n"
        )
        return head.encode() + extra + b"\r\n" + body

    def _serve(self, sock, address):
        self.connections += 1
        stream = sock.makefile("rb")
        while True:
            line = stream.readline()
            if not line:
                break
            headers = {}
            while True:
                header = stream.readline().strip()
                if not header:
                    break
                name, _, value = header.decode().partition(":")
                headers[name.lower()] = value.strip()
            body = stream.read(int(headers.get("content-length", 0)))
            self.received.append((line.decode().strip(), headers, body))
            if headers.get("x-expect-instance", self.identity) != self.identity:
                sock.sendall(
                    b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "
                    + self.identity.encode()
                    + b"\r\nContent-Length: 0\r\n\r\n"
                )
                continue
            if self.latency_s:
                gevent.sleep(self.latency_s)
            self.executed.append(headers.get("x-request-id"))
            respond = self.respond or (lambda headers: self.build_response(headers))
            data = respond(headers)
            if data is None:
                break
            try:
                sock.sendall(data)
            except OSError:
                self.failed_sends += 1
                break
        sock.close()


def make_tenant(name="acme", keys=("key-acme",), **fields):
    return {"name": name, "api_keys": list(keys)} | fields


def make_configuration(version=1, routes=(), services=(), tenants=None, cold_per_s=0.0, **limits):
    accounts = {} if tenants is None else {"tenants": list(tenants)}
    return accounts | {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": 76,
                "protocol": "h1",
                "tls": False,
                "cold_s": 3.0,
                "cold_per_s": cold_per_s,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        | limits,
    }


def make_route(name="r1", service="s1", **fields):
    return {
        "name": name,
        "host": "host.example",
        "path_prefix": "/one/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "latency_target_ms": 500,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    } | fields


def make_gather_route(services, name="g1", **fields):
    route = {
        "name": name,
        "host": "host.example",
        "path_prefix": "/all/",
        "kind": "idempotent",
        "timeout_ms": 1500,
        "latency_target_ms": 183,
        "priority": 1,
        "gather": list(services),
        "max_attempts": 2,
        "top_k": 5,
        "min_share": 0.75,
    }
    return route | fields


def make_entry(searcher, service, state="ready", zone="zone-a", **fields):
    return {
        "service": service,
        "addr": searcher.address,
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1_700_000_000_000,
    } | fields
