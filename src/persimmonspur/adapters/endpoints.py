"""Calls to endpoints over HTTP."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import gevent
import msgspec
from geventhttpclient.response import HTTPSocketResponse

from persimmonspur.adapters.connections import EndpointConnections
from persimmonspur.adapters.http import HTTP_ERRORS
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Configuration, Endpoint, EndpointLimits
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

CONTROL_TIMEOUT_MS = 1_000.0
# One connection more than the slots, so that a cancellation need not wait for one.
SPARE_CONNECTIONS = 1
# Callers choose request ids, so that other characters are escaped in headers.
_SAFE = "/:.-_~@+,;="

_KINDS = {
    409: ErrorKind.SNAPSHOT_NOT_HELD,
    429: ErrorKind.OVERLOADED,
    499: ErrorKind.CANCELLED,
    503: ErrorKind.ENDPOINT_DRAINING,
    504: ErrorKind.DEADLINE_EXCEEDED,
}


class HttpEndpointClient:
    """Implements :class:`persimmonspur.ports.EndpointClient`."""

    def __init__(self, clock: Clock) -> None:
        """Connect lazily."""
        self._clock = clock
        self._limits: dict[str, EndpointLimits] = {}
        self._connections: dict[str, EndpointConnections] = {}
        self._listener: Callable[[str], None] = _ignore

    def configure(self, configuration: Configuration) -> None:
        """Take the limits that bound the connections of each endpoint."""
        self._limits = {service.name: service.limits for service in configuration.services}
        for service in configuration.services:
            for endpoint in service.endpoints:
                known = self._connections.get(endpoint.name)
                if known is not None:
                    known.size = self._find_size(endpoint)

    def set_idle_close_listener(self, listener: Callable[[str], None]) -> None:
        """Set what is called with an endpoint's name when it closes an idle connection."""
        self._listener = listener

    def search(
        self,
        endpoint: Endpoint,
        request: SubRequest,
        timeout_ms: float,
        expires_at_ms: float | None = None,
    ) -> EndpointOutcome:
        """Run a sub-request; never raises.

        Without a response, ``ran`` is ``no`` if nothing was sent and ``unknown`` otherwise.
        """
        started_ms = self._clock.now_ms()
        if expires_at_ms is None:
            expires_at_ms = self._clock.wall_ms() + timeout_ms
        headers = {
            "x-request-id": request.id,
            "x-service": request.service,
            "x-shard": request.shard,
            "x-snapshot": str(request.snapshot),
            "x-timeout-ms": f"{timeout_ms:.1f}",
            "x-expires-at-ms": f"{expires_at_ms:.0f}",
            "x-class": str(request.priority),
            "content-type": "application/json",
        }
        body = msgspec.json.encode(request.body)
        call = _Call(self._find_connections(endpoint), "POST", "/search", headers, body)
        timeout = gevent.Timeout(timeout_ms / 1000)
        try:
            with timeout:
                response, data = call.run()
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            return self._build_error(call, ErrorKind.DEADLINE_EXCEEDED, "no response", started_ms)
        except HTTP_ERRORS as error:
            return self._build_error(call, ErrorKind.UNREACHABLE, repr(error), started_ms)
        return self._parse(response, data, started_ms)

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask the endpoint to stop a request; best effort."""
        self._call_control(endpoint, "POST", "/cancel", {"x-request-id": request_id})

    def fetch_report(self, endpoint: Endpoint, timeout_ms: float) -> EndpointReport | None:
        """Return the endpoint's report, or ``None`` if it does not answer."""
        response = self._call_control(endpoint, "GET", "/status", {}, timeout_ms)
        return _parse_report(response) if response is not None else None

    def disconnect(self, name: str) -> None:
        """Close the connections of an endpoint."""
        known = self._connections.pop(name, None)
        if known is not None:
            known.close()

    def _call_control(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: dict[str, str],
        timeout_ms: float = CONTROL_TIMEOUT_MS,
    ) -> HTTPSocketResponse | None:
        call = _Call(self._find_connections(endpoint), method, path, headers, b"")
        try:
            with gevent.Timeout(timeout_ms / 1000):
                return call.run()[0]
        except (gevent.Timeout, *HTTP_ERRORS):
            return None

    def _find_connections(self, endpoint: Endpoint) -> EndpointConnections:
        known = self._connections.get(endpoint.name)
        if known is not None and known.address == endpoint.address:
            return known
        self.disconnect(endpoint.name)
        connections = EndpointConnections(
            endpoint.address, self._find_size(endpoint), lambda: self._listener(endpoint.name)
        )
        self._connections[endpoint.name] = connections
        return connections

    def _find_size(self, endpoint: Endpoint) -> int:
        limits = self._limits.get(endpoint.service)
        if limits is None:
            return 1 + SPARE_CONNECTIONS
        return max(1, min(limits.connections, limits.slots + SPARE_CONNECTIONS))

    def _build_error(
        self, call: "_Call", kind: ErrorKind, message: str, started_ms: float
    ) -> EndpointOutcome:
        duration_ms = self._clock.now_ms() - started_ms
        ran = Ran.UNKNOWN if call.sent else Ran.NO
        reset = kind is ErrorKind.UNREACHABLE
        return EndpointOutcome(
            kind, message, ran, None, None, None, duration_ms, reset, True, call.incarnation
        )

    def _parse(
        self, response: HTTPSocketResponse, data: bytes, started_ms: float
    ) -> EndpointOutcome:
        duration_ms = self._clock.now_ms() - started_ms
        report = _parse_report(response)
        status = response.status_code
        if status != 200:
            kind = _KINDS.get(status, ErrorKind.ENDPOINT_FAILED)
            ran = _parse_ran(response.get("x-ran"))
            message = f"endpoint answered status {status}"
            return EndpointOutcome(kind, message, ran, None, None, report, duration_ms)
        try:
            document: Any = msgspec.json.decode(data)
            snapshot = SnapshotId.parse(str(response.get("x-snapshot", "")))
            records = document["records"]
        except (msgspec.DecodeError, ValueError, KeyError, TypeError) as error:
            message = f"unreadable response: {error}"
            return EndpointOutcome(
                ErrorKind.ENDPOINT_FAILED, message, Ran.YES, None, None, report, duration_ms
            )
        return EndpointOutcome(None, "", Ran.YES, records, snapshot, report, duration_ms)


class _Call:
    """One HTTP exchange.

    :param sent: whether the endpoint may have received the request.
    :param incarnation: incarnation that answered earlier on the connection.
    """

    def __init__(
        self,
        connections: EndpointConnections,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.sent = False
        self.incarnation = ""
        self._connections = connections
        self._method = method
        lines = [f"{method} {path} HTTP/1.1", f"host: {connections.address}"]
        lines.append(f"content-length: {len(body)}")
        for name, value in headers.items():
            lines.append(f"{name}: {quote(value, safe=_SAFE)}")
        self._data = "\r\n".join([*lines, "", ""]).encode("ascii") + body

    def run(self) -> tuple[HTTPSocketResponse, bytes]:
        sock = self._connections.acquire()
        self.sent = True
        self.incarnation = self._connections.find_incarnation(sock)
        response = self._connections.exchange(sock, self._data, self._method)
        data = bytes(response.read())
        self._connections.note_incarnation(sock, str(response.get("x-incarnation", "")))
        return response, data


def _ignore(name: str) -> None:
    """Ignore a closed connection until a listener is set."""


def _parse_ran(value: Any) -> Ran:
    return Ran(value) if value in ("yes", "no") else Ran.UNKNOWN


def _parse_report(response: HTTPSocketResponse) -> EndpointReport | None:
    incarnation = response.get("x-incarnation")
    if incarnation is None:
        return None
    snapshots = []
    for part in str(response.get("x-snapshots", "")).split(","):
        if not part.strip():
            continue
        try:
            snapshots.append(SnapshotId.parse(part.strip()))
        except ValueError:
            continue
    try:
        load = float(str(response.get("x-load", "0")))
    except ValueError:
        load = 0.0
    return EndpointReport(
        str(incarnation), str(response.get("x-state", "warm")), load, tuple(snapshots)
    )
