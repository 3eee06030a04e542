"""A small searcher with slots, connection limits, cold starts, drains and faults."""

import contextlib
from random import Random
from typing import Any

import gevent
import gevent.socket
import msgspec
from attrs import define, field
from gevent.event import Event

from persimmonspur.adapters.http import NoDelayServer, StartResponse, read_body, respond_json
from persimmonspur.clock import Clock
from persimmonspur.standins.dataset import list_records

COLD_SUCCESSES = 20
CRASH_MS = 1_000.0


class SearcherSpec(msgspec.Struct):
    """What a stand-in searcher is.

    :param shards: key space range by shard name.
    :param work_ms: mean service time unless the request's body says otherwise.
    """

    name: str
    service: str
    slots: int
    connections: int
    connect_ms: float
    shards: dict[str, tuple[int, int]]
    snapshots: list[str]
    work_ms: float = 4.0
    address: str = "127.0.0.1:0"


@define
class SearcherCounts:
    """What a searcher saw.

    :param most_running: highest concurrent work that was offered.
    :param overruns: requests offered above the slots, or above the cold limit.
    :param connection_overruns: connections above the limit.
    :param runs: times that each non-repeatable request ran, by request and shard.
    :param run_ids: sub-requests that ran, by id.
    """

    requests: int = 0
    completed: int = 0
    cancelled: int = 0
    shed: int = 0
    most_running: int = 0
    overruns: int = 0
    cold_overruns: int = 0
    crashes: int = 0
    connections: int = 0
    most_connections: int = 0
    connection_overruns: int = 0
    last_request_ms: float = 0.0
    runs: dict[str, int] = field(factory=dict)


class Searcher:
    """One stand-in searcher.

    While cold it can handle one request more for every
    :data:`COLD_SUCCESSES` successes; more concurrent work makes it crash.
    """

    def __init__(self, spec: SearcherSpec, clock: Clock, seed: int) -> None:
        self.spec = spec
        self.counts = SearcherCounts()
        self.draining = False
        self.slowdown = 1.0
        self.down = False
        self.shedding = False
        self._clock = clock
        self._rng = Random(seed)
        self._incarnation = 1
        self._successes = COLD_SUCCESSES * spec.slots
        self._running = 0
        self._down_until_ms = 0.0
        self._cancels: dict[str, Event] = {}
        self._server: _SearcherServer | None = None

    def serve(self) -> str:
        """Start to serve.

        :returns: ``ip:port`` of the server.
        """
        host, _, port = self.spec.address.rpartition(":")
        self._server = _SearcherServer((host, int(port)), self.handle, log=None, error_log=None)
        self._server.searcher = self
        self._server.start()
        return f"{host}:{self._server.server_port}"

    def restart_cold(self) -> None:
        """Lose all warmth, as after a restart that nobody announced."""
        self._incarnation += 1
        self._successes = 0

    @property
    def cold_limit(self) -> int:
        """Concurrent requests that the searcher can handle now."""
        return min(self.spec.slots, 1 + self._successes // COLD_SUCCESSES)

    @property
    def unreachable(self) -> bool:
        """Whether the searcher refuses connections at present."""
        return self.down or self._clock.now_ms() < self._down_until_ms

    def control(self, change: dict[str, Any]) -> None:
        """Apply changes: ``draining``, ``slowdown``, ``down``, ``snapshots``, ``cold``..."""
        for name in ("draining", "slowdown", "down", "shedding"):
            if name in change:
                setattr(self, name, change[name])
        if "snapshots" in change:
            self.spec.snapshots = change["snapshots"]
        if "shards" in change:
            self.spec.shards = msgspec.convert(change["shards"], dict[str, tuple[int, int]])
        if change.get("cold"):
            self.restart_cold()

    def handle(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Answer one HTTP request."""
        body = read_body(environ)
        if self.unreachable:
            return self._respond(start_response, 503, {"message": "down"}, "no")
        path = environ["PATH_INFO"]
        if path == "/search":
            return self._search(environ, body, start_response)
        if path == "/cancel":
            event = self._cancels.get(environ.get("HTTP_X_REQUEST_ID", ""))
            if event is not None:
                event.set()
        return self._respond(start_response, 200, {})

    def _search(
        self, environ: dict[str, Any], body: bytes, start_response: StartResponse
    ) -> list[bytes]:
        counts = self.counts
        counts.requests += 1
        counts.last_request_ms = self._clock.wall_ms()
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        snapshot = environ.get("HTTP_X_SNAPSHOT", "")
        shard = self.spec.shards.get(environ.get("HTTP_X_SHARD", ""))
        if self.draining:
            return self._respond(start_response, 503, {"message": "draining"}, "no")
        if shard is None or snapshot not in self.spec.snapshots:
            return self._respond(start_response, 409, {"message": "not held"}, "no")
        if float(environ.get("HTTP_X_EXPIRES_AT_MS", "inf")) < self._clock.wall_ms():
            return self._respond(start_response, 504, {"message": "expired"}, "no")
        if not self._admit():
            return self._respond(start_response, 429, {"message": "shed"}, "no")
        document = msgspec.json.decode(body) if body else None
        document = document if isinstance(document, dict) else {}
        if document.get("once"):
            key = request_id.rpartition("/")[0]
            counts.runs[key] = counts.runs.get(key, 0) + 1
        if self._work(request_id, float(document.get("work_ms", self.spec.work_ms))):
            counts.cancelled += 1
            return self._respond(start_response, 499, {"message": "cancelled"}, "yes")
        counts.completed += 1
        self._successes += 1
        version = int(snapshot.partition(".")[2])
        records = list_records(self.spec.service, version, *shard, int(document.get("top", 10)))
        return self._respond(start_response, 200, {"records": records}, snapshot=snapshot)

    def _admit(self) -> bool:
        counts = self.counts
        counts.most_running = max(counts.most_running, self._running + 1)
        if self._running >= self.spec.slots:
            counts.overruns += 1
            counts.shed += 1
            return False
        if self._running >= self.cold_limit:
            counts.cold_overruns += 1
            counts.crashes += 1
            self._down_until_ms = self._clock.now_ms() + CRASH_MS
            self.restart_cold()
            return False
        if self.shedding:
            counts.shed += 1
            return False
        return True

    def _work(self, request_id: str, work_ms: float) -> bool:
        self._running += 1
        cancelled = self._cancels[request_id] = Event()
        duration_ms = work_ms * self._rng.lognormvariate(-0.045, 0.3) * self.slowdown
        try:
            return bool(cancelled.wait(duration_ms / 1000))
        finally:
            self._running -= 1
            self._cancels.pop(request_id, None)

    def _respond(
        self,
        start_response: StartResponse,
        status: int,
        document: Any,
        ran: str = "yes",
        snapshot: str = "",
    ) -> list[bytes]:
        state = "warm" if self.cold_limit >= self.spec.slots else "cold"
        headers = [
            ("x-incarnation", f"{self.spec.name}-{self._incarnation}"),
            ("x-load", f"{self._running / self.spec.slots:.2f}"),
            ("x-state", "draining" if self.draining else state),
            ("x-snapshots", ",".join(self.spec.snapshots)),
            ("x-ran", ran),
        ]
        if snapshot:
            headers.append(("x-snapshot", snapshot))
        return respond_json(start_response, status, document, headers)


class _SearcherServer(NoDelayServer):
    searcher: Searcher

    def handle(self, sock: gevent.socket.socket, address: Any) -> None:
        counts = self.searcher.counts
        if self.searcher.unreachable:
            with contextlib.suppress(OSError):
                sock.close()
            return
        counts.connections += 1
        counts.most_connections = max(counts.most_connections, counts.connections)
        if counts.connections > self.searcher.spec.connections:
            counts.connection_overruns += 1
        try:
            gevent.sleep(self.searcher.spec.connect_ms / 1000)
            super().handle(sock, address)
        finally:
            counts.connections -= 1
