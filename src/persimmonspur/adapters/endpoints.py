"""Endpoint client over HTTP."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import gevent
import gevent.socket
import msgspec
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from persimmonspur.adapters.connections import EndpointConnectionPool
from persimmonspur.adapters.http import HTTP_ERRORS
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Configuration, Endpoint, EndpointLimits
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

CONTROL_TIMEOUT_MS = 1_000.0
READ_BLOCK_BYTES = 65_536
# Connections beyond the slots, so that a cancellation does not wait for a search.
SPARE_CONNECTIONS = 1
# Request ids are chosen by callers, so all other characters in header values are escaped.
_SAFE_HEADER_CHARACTERS = "/:.-_~@+,;="

_STATUS_ERROR_KINDS = {
    409: ErrorKind.SNAPSHOT_NOT_HELD,
    429: ErrorKind.OVERLOADED,
    499: ErrorKind.CANCELLED,
    503: ErrorKind.ENDPOINT_DRAINING,
    504: ErrorKind.DEADLINE_EXCEEDED,
}


class HttpEndpointClient:
    """Implements :class:`persimmonspur.ports.EndpointClient`."""

    def __init__(self, clock: Clock) -> None:
        """Create a client; connections are opened on demand."""
        self._clock = clock
        self._limits: dict[str, EndpointLimits] = {}
        self._pools: dict[str, EndpointConnectionPool] = {}
        self._idle_close_listener: Callable[[str], None] = _ignore_idle_close

    def configure(self, configuration: Configuration) -> None:
        """Update the connection limits of the endpoints."""
        self._limits = {service.name: service.limits for service in configuration.services}
        for service in configuration.services:
            for endpoint in service.endpoints:
                pool = self._pools.get(endpoint.name)
                if pool is not None:
                    pool.size = self._compute_pool_size(endpoint)

    def set_idle_close_listener(self, listener: Callable[[str], None]) -> None:
        """Set the callback that receives an endpoint's name when it closes an idle connection."""
        self._idle_close_listener = listener

    def search(
        self,
        endpoint: Endpoint,
        request: SubRequest,
        timeout_ms: float,
        expires_at_ms: float | None = None,
    ) -> EndpointOutcome:
        """Send a sub-request and return its outcome; never raises.

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
        call = _Call(self._get_pool(endpoint), "POST", "/search", headers, body)
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
        return self._parse_search_response(response, data, started_ms)

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Cancel a request at the endpoint (best effort)."""
        self._call_control(endpoint, "POST", "/cancel", {"x-request-id": request_id})

    def fetch_report(self, endpoint: Endpoint, timeout_ms: float) -> EndpointReport | None:
        """Fetch the endpoint's report; ``None`` if it does not respond."""
        response = self._call_control(endpoint, "GET", "/status", {}, timeout_ms)
        return _parse_report(response) if response is not None else None

    def disconnect(self, name: str) -> None:
        """Close the connections of an endpoint."""
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.close()

    def _call_control(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: dict[str, str],
        timeout_ms: float = CONTROL_TIMEOUT_MS,
    ) -> HTTPSocketResponse | None:
        call = _Call(self._get_pool(endpoint), method, path, headers, b"")
        try:
            with gevent.Timeout(timeout_ms / 1000):
                return call.run()[0]
        except (gevent.Timeout, *HTTP_ERRORS):
            return None

    def _get_pool(self, endpoint: Endpoint) -> EndpointConnectionPool:
        existing = self._pools.get(endpoint.name)
        if existing is not None and existing.address == endpoint.address:
            return existing
        self.disconnect(endpoint.name)
        pool = EndpointConnectionPool(
            endpoint.address,
            self._compute_pool_size(endpoint),
            lambda: self._idle_close_listener(endpoint.name),
        )
        self._pools[endpoint.name] = pool
        return pool

    def _compute_pool_size(self, endpoint: Endpoint) -> int:
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

    def _parse_search_response(
        self, response: HTTPSocketResponse, data: bytes, started_ms: float
    ) -> EndpointOutcome:
        duration_ms = self._clock.now_ms() - started_ms
        report = _parse_report(response)
        status = response.status_code
        if status != 200:
            kind = _STATUS_ERROR_KINDS.get(status, ErrorKind.ENDPOINT_FAILED)
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
    """One HTTP request and its response.

    :ivar sent: whether the endpoint may have received the request.
    :ivar incarnation: incarnation that responded earlier on the same connection.
    """

    def __init__(
        self,
        pool: EndpointConnectionPool,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self.sent = False
        self.incarnation = ""
        self._pool = pool
        self._method = method
        self._request_id = headers.get("x-request-id", "")
        lines = [f"{method} {path} HTTP/1.1", f"host: {pool.address}"]
        lines.append(f"content-length: {len(body)}")
        for name, value in headers.items():
            lines.append(f"{name}: {quote(value, safe=_SAFE_HEADER_CHARACTERS)}")
        self._data = "\r\n".join([*lines, "", ""]).encode("ascii") + body

    def run(self) -> tuple[HTTPSocketResponse, bytes]:
        sock = self._pool.acquire()
        self.sent = True
        self.incarnation = self._pool.get_incarnation(sock)
        response = self._pool.send_request(sock, self._data, self._method)
        data = _read_body(response)
        self._check_request_id(sock, response)
        self._pool.record_incarnation(sock, str(response.get("x-incarnation", "")))
        return response, data

    def _check_request_id(self, sock: gevent.socket.socket, response: HTTPSocketResponse) -> None:
        """Reject a response to another request, such as a late copy of an earlier one.

        Endpoints that do not echo the id cannot be checked.
        """
        echoed_id = response.get("x-request-id")
        expected_id = quote(self._request_id, safe=_SAFE_HEADER_CHARACTERS)
        if echoed_id is None or not expected_id or str(echoed_id) == expected_id:
            return
        self._pool.discard(sock)
        raise HTTPParseError(f"response to another request: {echoed_id}")


def _read_body(response: HTTPSocketResponse) -> bytes:
    data = bytearray()
    while block := response.read(READ_BLOCK_BYTES):
        data += block
    return bytes(data)


def _ignore_idle_close(name: str) -> None:
    """Do nothing; the default idle close listener."""


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
