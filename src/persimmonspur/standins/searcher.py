"""Stand-in searcher with slots, a connection limit, cold starts, draining and faults."""

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

SUCCESSES_PER_WARM_SLOT = 20
CRASH_DOWNTIME_MS = 1_000.0


class SearcherSpec(msgspec.Struct):
    """Configuration of a stand-in searcher.

    :param connections: maximum number of connections before an overrun is counted.
    :param connect_ms: delay before a new connection is served, in milliseconds.
    :param shards: key space range by shard name.
    :param work_ms: mean service time in milliseconds, unless the request body sets it.
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
    """Counters of a searcher.

    :param most_running: highest number of concurrent requests, rejected ones included.
    :param overruns: requests that arrived while all slots were in use.
    :param cold_overruns: requests that arrived while the searcher was at its cold limit.
    :param connection_overruns: connections accepted above the limit.
    :param last_request_ms: wall-clock time of the last request in milliseconds.
    :param drained_requests: requests that arrived while the searcher was draining.
    :param last_drained_ms: time from the start of the drain to the last of these requests,
        in milliseconds.
    :param runs: number of runs of each non-repeatable request, by request and shard.
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
    drained_requests: int = 0
    last_drained_ms: float = 0.0
    restarts: int = 0
    expired: int = 0
    runs: dict[str, int] = field(factory=dict)


class Searcher:
    """A stand-in searcher.

    While cold, it can handle one more concurrent request for every
    :data:`SUCCESSES_PER_WARM_SLOT` successful requests. A request above this limit makes
    it crash.
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
        self._successes = SUCCESSES_PER_WARM_SLOT * spec.slots
        self._running_count = 0
        self._down_until_ms = 0.0
        self._draining_since_ms = 0.0
        self._active_requests: dict[str, _ActiveRequest] = {}
        self._server: _SearcherServer | None = None

    def serve(self) -> str:
        """Start serving.

        :returns: address of the server, ``ip:port``.
        """
        host, _, port = self.spec.address.rpartition(":")
        self._server = _SearcherServer((host, int(port)), self.handle, log=None, error_log=None)
        self._server.searcher = self
        self._server.start()
        return f"{host}:{self._server.server_port}"

    def restart_cold(self) -> None:
        """Become cold and abort all requests, as after an unannounced restart."""
        self._incarnation += 1
        self._successes = 0
        self.counts.restarts += 1
        self._abort_requests()

    @property
    def cold_limit(self) -> int:
        """Number of concurrent requests that the searcher can currently handle."""
        return min(self.spec.slots, 1 + self._successes // SUCCESSES_PER_WARM_SLOT)

    @property
    def unreachable(self) -> bool:
        """Whether the searcher currently refuses connections."""
        return self.down or self._clock.now_ms() < self._down_until_ms

    def control(self, change: dict[str, Any]) -> None:
        """Apply changes from ``/control``.

        :param change: new values of ``draining``, ``slowdown``, ``down``, ``shedding``,
            ``snapshots`` and ``shards``; a true ``cold`` restarts the searcher cold.
        """
        if change.get("draining") and not self.draining:
            self._draining_since_ms = self._clock.now_ms()
        for name in ("draining", "slowdown", "down", "shedding"):
            if name in change:
                setattr(self, name, change[name])
        if change.get("down"):
            self._abort_requests()
        if "snapshots" in change:
            self.spec.snapshots = change["snapshots"]
        if "shards" in change:
            self.spec.shards = msgspec.convert(change["shards"], dict[str, tuple[int, int]])
        if change.get("cold"):
            self.restart_cold()

    def handle(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Handle an HTTP request; the response echoes the request's id."""
        body = read_body(environ)
        start_response = _echo_request_id(environ, start_response)
        if self.unreachable:
            return self._respond(start_response, 503, {"message": "down"}, "no")
        path = environ["PATH_INFO"]
        if path == "/search":
            return self._handle_search(environ, body, start_response)
        if path == "/cancel":
            active_request = self._active_requests.get(environ.get("HTTP_X_REQUEST_ID", ""))
            if active_request is not None:
                active_request.ended.set()
        return self._respond(start_response, 200, {})

    def _abort_requests(self) -> None:
        # Simulates the end of a process, which loses its requests and connections.
        for active_request in list(self._active_requests.values()):
            active_request.aborted = True
            active_request.ended.set()
        self._active_requests.clear()
        self._running_count = 0
        if self._server is not None:
            self._server.break_connections()

    def _handle_search(
        self, environ: dict[str, Any], body: bytes, start_response: StartResponse
    ) -> list[bytes]:
        counts = self.counts
        counts.requests += 1
        counts.last_request_ms = self._clock.wall_ms()
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        snapshot = environ.get("HTTP_X_SNAPSHOT", "")
        shard = self.spec.shards.get(environ.get("HTTP_X_SHARD", ""))
        if self.draining:
            counts.drained_requests += 1
            counts.last_drained_ms = self._clock.now_ms() - self._draining_since_ms
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
            # Each attempt has its own id, REQUEST/SHARD/ATTEMPT. Without the attempt it
            # identifies the request and the shard.
            key = request_id.rpartition("/")[0]
            counts.runs[key] = counts.runs.get(key, 0) + 1
        work_ms = float(document.get("work_ms", self.spec.work_ms))
        interruption = self._run_request(request_id, work_ms, self._compute_remaining_ms(environ))
        if interruption is not None:
            status, ran = interruption
            return self._respond(start_response, status, {"message": "not finished"}, ran)
        counts.completed += 1
        self._successes += 1
        version = int(snapshot.partition(".")[2])
        records = list_records(self.spec.service, version, *shard, int(document.get("top", 10)))
        return self._respond(start_response, 200, {"records": records}, snapshot=snapshot)

    def _compute_remaining_ms(self, environ: dict[str, Any]) -> float:
        expires_ms = float(environ.get("HTTP_X_EXPIRES_AT_MS", "inf"))
        return expires_ms - self._clock.wall_ms()

    def _admit(self) -> bool:
        counts = self.counts
        counts.most_running = max(counts.most_running, self._running_count + 1)
        if self._running_count >= self.spec.slots:
            counts.overruns += 1
            counts.shed += 1
            return False
        if self._running_count >= self.cold_limit:
            counts.cold_overruns += 1
            counts.crashes += 1
            self._down_until_ms = self._clock.now_ms() + CRASH_DOWNTIME_MS
            self.restart_cold()
            return False
        if self.shedding:
            counts.shed += 1
            return False
        return True

    def _run_request(
        self, request_id: str, work_ms: float, remaining_ms: float
    ) -> tuple[int, str] | None:
        """Simulate the execution of a request.

        :param remaining_ms: time until the request expires, which ends its execution.
        :returns: HTTP status and ``x-ran`` if the request did not finish.
        """
        counts = self.counts
        self._running_count += 1
        active_request = _ActiveRequest()
        self._active_requests[request_id] = active_request
        duration_ms = work_ms * self._rng.lognormvariate(-0.045, 0.3) * self.slowdown
        stopped = active_request.ended.wait(min(duration_ms, max(0.0, remaining_ms)) / 1000)
        if active_request.aborted:
            raise ConnectionResetError("the process ended")
        self._running_count -= 1
        self._active_requests.pop(request_id, None)
        if stopped:
            counts.cancelled += 1
            return 499, "yes"
        if duration_ms > remaining_ms:
            counts.expired += 1
            return 504, "yes"
        return None

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
            ("x-load", f"{self._running_count / self.spec.slots:.2f}"),
            ("x-state", "draining" if self.draining else state),
            ("x-snapshots", ",".join(self.spec.snapshots)),
            ("x-ran", ran),
        ]
        if snapshot:
            headers.append(("x-snapshot", snapshot))
        return respond_json(start_response, status, document, headers)


@define(eq=False)
class _ActiveRequest:
    """A request in progress.

    :param aborted: whether the simulated process ended before the request.
    """

    ended: Event = field(factory=Event)
    aborted: bool = False


class _SearcherServer(NoDelayServer):
    searcher: Searcher

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._sockets: set[gevent.socket.socket] = set()

    def break_connections(self) -> None:
        """Break all connections, as if the process had ended."""
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(gevent.socket.SHUT_RDWR)

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
        self._sockets.add(sock)
        try:
            gevent.sleep(self.searcher.spec.connect_ms / 1000)
            super().handle(sock, address)
        finally:
            self._sockets.discard(sock)
            counts.connections -= 1


def _echo_request_id(environ: dict[str, Any], start_response: StartResponse) -> StartResponse:
    request_id = environ.get("HTTP_X_REQUEST_ID")
    if request_id is None:
        return start_response

    def start_with_id(status: str, headers: list[tuple[str, str]]) -> Any:
        return start_response(status, [*headers, ("x-request-id", request_id)])

    return start_with_id
