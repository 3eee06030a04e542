"""A small object API with an instance list, faults and call counts."""

import base64
from typing import Any
from urllib.parse import parse_qs, unquote

import gevent
import msgspec
from attrs import define, field
from gevent.event import Event

from persimmonspur.adapters.http import NoDelayServer, StartResponse, read_body, respond_json


@define
class Faults:
    """What goes wrong at present.

    :param down: every call is answered with status 503, watches are cut.
    :param delay_ms: added to every call, in milliseconds.
    :param lose_writes: number of coming writes that take effect without an answer.
    :param stale_reads: reads return the version before the present one.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_writes: int = 0
    stale_reads: bool = False


@define
class Counts:
    """Calls received, a waiting watch as one."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    watches: int = 0
    listings: int = 0


@define
class _Object:
    version: int
    value: bytes
    former: "tuple[int, bytes] | None" = None
    changed: Event = field(factory=Event)


class ObjectApiStandIn:
    """Serves the protocol that :mod:`persimmonspur.adapters.objectapi` speaks."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.counts = Counts()
        self.instances: dict[str, str] = {}
        self.revision = 1
        self._objects: dict[str, _Object] = {}

    def serve(self, address: str) -> NoDelayServer:
        """Start to serve; the caller stops the returned server.

        :param address: ``ip:port``; port 0 takes a free one.
        """
        host, _, port = address.rpartition(":")
        server = NoDelayServer((host, int(port)), self.handle, log=None, error_log=None)
        server.start()
        return server

    def handle(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Answer one HTTP request."""
        body = read_body(environ)
        path = unquote(environ["PATH_INFO"])
        method = environ["REQUEST_METHOD"]
        if path == "/control":
            return self._control(body, start_response)
        if path == "/counts":
            return respond_json(start_response, 200, msgspec.to_builtins(self.counts))
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return respond_json(start_response, 503, {"message": "down"})
        if path == "/instances":
            self.counts.listings += 1
            listing = {"revision": self.revision, "instances": self.instances}
            return respond_json(start_response, 200, listing)
        if path.startswith("/watch/"):
            return self._watch(path[len("/watch/") :], environ, start_response)
        if not path.startswith("/objects/"):
            return respond_json(start_response, 404, {"message": f"no such path {path}"})
        key = path[len("/objects/") :]
        if method == "GET":
            return self._read(key, start_response)
        return self._write(key, body, environ, start_response)

    def _read(self, key: str, start_response: StartResponse) -> list[bytes]:
        self.counts.reads += 1
        stored = self._objects.get(key)
        if stored is None:
            return respond_json(start_response, 404, {"message": f"no object {key}"})
        version, value = stored.version, stored.value
        if self.faults.stale_reads and stored.former is not None:
            version, value = stored.former
        return _respond_value(start_response, version, value)

    def _write(
        self, key: str, body: bytes, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        self.counts.writes += 1
        expected = int(environ.get("HTTP_X_EXPECTED_VERSION", "0"))
        stored = self._objects.get(key)
        present = stored.version if stored is not None else 0
        if present != expected:
            self.counts.conflicts += 1
            headers = [("x-version", str(present))]
            return respond_json(start_response, 409, {"message": "conflict"}, headers)
        if stored is None:
            stored = self._objects[key] = _Object(1, body)
        else:
            stored.former = (stored.version, stored.value)
            stored.version += 1
            stored.value = body
        changed, stored.changed = stored.changed, Event()
        changed.set()
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            return respond_json(start_response, 503, {"message": "reply lost"})
        headers = [("x-version", str(stored.version))]
        return respond_json(start_response, 200, {"version": stored.version}, headers)

    def _watch(
        self, key: str, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        self.counts.watches += 1
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after = int(query.get("after", ["0"])[0])
        remaining_s = float(query.get("timeout_ms", ["30000"])[0]) / 1000
        while remaining_s > 0:
            stored = self._objects.get(key)
            if stored is not None and stored.version > after:
                return _respond_value(start_response, stored.version, stored.value)
            # Short steps, so that an outage also cuts watches that wait.
            step_s = min(remaining_s, 0.25)
            remaining_s -= step_s
            if stored is not None:
                stored.changed.wait(step_s)
            else:
                gevent.sleep(step_s)
            if self.faults.down:
                return respond_json(start_response, 503, {"message": "down"})
        start_response("204 No Content", [("content-length", "0")])
        return []

    def _control(self, body: bytes, start_response: StartResponse) -> list[bytes]:
        document = msgspec.json.decode(body)
        for name, value in document.get("faults", {}).items():
            setattr(self.faults, name, value)
        if "instances" in document:
            self.instances = document["instances"]
            self.revision += 1
        objects = {
            key: base64.b64encode(stored.value).decode() for key, stored in self._objects.items()
        }
        return respond_json(start_response, 200, {"objects": objects})


def _respond_value(start_response: StartResponse, version: int, value: bytes) -> list[bytes]:
    return respond_json(start_response, 200, value, [("x-version", str(version))])
