"""Stand-in object API with an instance list, injectable faults and call counts."""

import base64
from contextlib import suppress
from socket import SHUT_RDWR
from typing import Any
from urllib.parse import parse_qs, unquote

import gevent
import msgspec
from attrs import define, field
from gevent.event import Event
from gevent.pywsgi import WSGIHandler

from persimmonspur.adapters.http import NoDelayServer, StartResponse, read_body, respond_json
from persimmonspur.clock import Clock


@define
class Faults:
    """Faults to inject into calls.

    :param down: answer every call, waiting watches included, with status 503.
    :param delay_ms: delay of every call, in milliseconds.
    :param lose_writes: how many of the next writes take effect but are answered with status 503.
    :param stale_reads: return the previous version of an object to reads.
    :param cut_before: on how many of the next calls the connection breaks before they take effect.
    :param cut_after: on how many of the next calls the connection breaks after they took effect.
    :param garble_reads: how many of the next reads return corrupted bytes.
    :param down_for: names of the clients for which the object API is down.
    :param listing_lag_ms: age of the returned instance list, in milliseconds.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_writes: int = 0
    stale_reads: bool = False
    cut_before: int = 0
    cut_after: int = 0
    garble_reads: int = 0
    down_for: list[str] = field(factory=list)
    listing_lag_ms: float = 0.0


@define
class Counts:
    """Numbers of received calls; a watch counts once, however long it waits.

    :param failed: calls that failed because of an injected fault.
    :param waiting: watches that are waiting now.
    :param by_client: calls by client name.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    watches: int = 0
    listings: int = 0
    failed: int = 0
    waiting: int = 0
    by_client: dict[str, int] = field(factory=dict)


@define
class _Listing:
    """A revision of the instance list and the time at which it was set."""

    revision: int
    instances: dict[str, str]
    set_at_ms: float


class _Handler(WSGIHandler):
    """WSGI handler that passes the socket to the application, which may break the connection."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ["persimmonspur.socket"] = self.socket
        return environ


@define
class _Object:
    version: int
    value: bytes
    previous: "tuple[int, bytes] | None" = None
    changed: Event = field(factory=Event)


class ObjectApiStandIn:
    """Server side of the protocol of :mod:`persimmonspur.adapters.objectapi`."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.faults = Faults()
        self.counts = Counts()
        self._clock = clock if clock is not None else Clock()
        self._listings = [_Listing(1, {}, self._clock.now_ms())]
        self._objects: dict[str, _Object] = {}

    def serve(self, address: str) -> NoDelayServer:
        """Start serving; the caller has to stop the returned server.

        :param address: ``ip:port``; port 0 selects a free port.
        """
        host, _, port = address.rpartition(":")
        server = NoDelayServer(
            (host, int(port)), self.handle, log=None, error_log=None, handler_class=_Handler
        )
        server.start()
        return server

    def handle(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Handle an HTTP request."""
        body = read_body(environ)
        path = unquote(environ["PATH_INFO"])
        method = environ["REQUEST_METHOD"]
        if path == "/control":
            return self._control(body, start_response)
        if path == "/counts":
            return respond_json(start_response, 200, msgspec.to_builtins(self.counts))
        return self._handle_call(path, method, body, environ, start_response)

    def set_instances(self, instances: dict[str, str]) -> None:
        """Replace the instance list.

        :param instances: ``live`` or ``leaving`` by name.
        """
        revision = self._listings[-1].revision + 1
        self._listings.append(_Listing(revision, instances, self._clock.now_ms()))

    def store(self, key: str, value: bytes) -> int:
        """Replace an object unconditionally, without counting a call.

        :returns: the new version.
        """
        stored = self._objects.get(key)
        if stored is None:
            stored = self._objects[key] = _Object(1, value)
            return stored.version
        stored.previous = (stored.version, stored.value)
        stored.version += 1
        stored.value = value
        changed, stored.changed = stored.changed, Event()
        changed.set()
        return stored.version

    def find(self, key: str) -> bytes | None:
        """Return the value of an object without counting a call."""
        stored = self._objects.get(key)
        return stored.value if stored is not None else None

    def _handle_call(
        self,
        path: str,
        method: str,
        body: bytes,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        client = environ.get("HTTP_X_CLIENT", "")
        self.counts.by_client[client] = self.counts.by_client.get(client, 0) + 1
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000)
        if self._is_down(client):
            self.counts.failed += 1
            return respond_json(start_response, 503, {"message": "down"})
        if self.faults.cut_before > 0:
            self.faults.cut_before -= 1
            return self._break_connection(environ, start_response)
        response = self._route(path, method, body, environ, start_response)
        if self.faults.cut_after > 0:
            self.faults.cut_after -= 1
            return self._break_connection(environ, start_response)
        return response

    def _route(
        self,
        path: str,
        method: str,
        body: bytes,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        if path == "/instances":
            return self._list_instances(start_response)
        if path.startswith("/watch/"):
            self.counts.waiting += 1
            try:
                return self._watch(path[len("/watch/") :], environ, start_response)
            finally:
                self.counts.waiting -= 1
        if not path.startswith("/objects/"):
            return respond_json(start_response, 404, {"message": f"no such path {path}"})
        key = path[len("/objects/") :]
        if method == "GET":
            return self._read(key, start_response)
        if method != "POST":
            # Client libraries retry other methods by themselves.
            return respond_json(start_response, 404, {"message": f"no method {method}"})
        return self._write(key, body, environ, start_response)

    def _is_down(self, client: str) -> bool:
        return self.faults.down or client in self.faults.down_for

    def _break_connection(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        self.counts.failed += 1
        with suppress(OSError):
            environ["persimmonspur.socket"].shutdown(SHUT_RDWR)
        return respond_json(start_response, 503, {"message": "cut"})

    def _list_instances(self, start_response: StartResponse) -> list[bytes]:
        self.counts.listings += 1
        cutoff_ms = self._clock.now_ms() - self.faults.listing_lag_ms
        listing = self._listings[0]
        for later in self._listings:
            if later.set_at_ms <= cutoff_ms:
                listing = later
        document = {"revision": listing.revision, "instances": listing.instances}
        return respond_json(start_response, 200, document)

    def _read(self, key: str, start_response: StartResponse) -> list[bytes]:
        self.counts.reads += 1
        stored = self._objects.get(key)
        if stored is None:
            return respond_json(start_response, 404, {"message": f"no object {key}"})
        version, value = stored.version, stored.value
        if self.faults.stale_reads and stored.previous is not None:
            version, value = stored.previous
        if self.faults.garble_reads > 0:
            self.faults.garble_reads -= 1
            value = b"\x00" + value[1:]
        return _respond_value(start_response, version, value)

    def _write(
        self, key: str, body: bytes, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        self.counts.writes += 1
        expected = int(environ.get("HTTP_X_EXPECTED_VERSION", "0"))
        stored = self._objects.get(key)
        current_version = stored.version if stored is not None else 0
        if current_version != expected:
            self.counts.conflicts += 1
            headers = [("x-version", str(current_version))]
            return respond_json(start_response, 409, {"message": "conflict"}, headers)
        version = self.store(key, body)
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            self.counts.failed += 1
            return respond_json(start_response, 503, {"message": "reply lost"})
        headers = [("x-version", str(version))]
        return respond_json(start_response, 200, {"version": version}, headers)

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
            # Waits in short steps, so that an outage also ends waiting watches.
            wait_s = min(remaining_s, 0.25)
            remaining_s -= wait_s
            if stored is not None:
                stored.changed.wait(wait_s)
            else:
                gevent.sleep(wait_s)
            if self._is_down(environ.get("HTTP_X_CLIENT", "")):
                self.counts.failed += 1
                return respond_json(start_response, 503, {"message": "down"})
        start_response("204 No Content", [("content-length", "0")])
        return []

    def _control(self, body: bytes, start_response: StartResponse) -> list[bytes]:
        document = msgspec.json.decode(body)
        for name, value in document.get("faults", {}).items():
            setattr(self.faults, name, value)
        if "instances" in document:
            self.set_instances(document["instances"])
        objects = {
            key: base64.b64encode(stored.value).decode() for key, stored in self._objects.items()
        }
        return respond_json(start_response, 200, {"objects": objects})


def _respond_value(start_response: StartResponse, version: int, value: bytes) -> list[bytes]:
    return respond_json(start_response, 200, value, [("x-version", str(version))])
