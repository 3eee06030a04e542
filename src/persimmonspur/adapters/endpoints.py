"""Calls to endpoints over HTTP."""

from typing import Any

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketResponse

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Configuration, Endpoint, Limits
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

CONTROL_TIMEOUT_MS = 1_000.0
# One connection more than the slots, so that a cancellation need not wait for one.
SPARE_CONNECTIONS = 1

_KINDS = {
    409: ErrorKind.SNAPSHOT_NOT_HELD,
    429: ErrorKind.OVERLOADED,
    499: ErrorKind.CANCELLED,
    503: ErrorKind.ENDPOINT_DRAINING,
    504: ErrorKind.DEADLINE_EXCEEDED,
}


class HttpEndpointCalls:
    """Implements :class:`persimmonspur.ports.EndpointCalls`."""

    def __init__(self, clock: Clock) -> None:
        """Connect lazily."""
        self._clock = clock
        self._limits: dict[str, Limits] = {}
        self._clients: dict[str, tuple[str, HTTPClient]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the limits that bound the connections of each endpoint."""
        self._limits = {service.name: service.limits for service in configuration.services}

    def search(self, endpoint: Endpoint, request: SubRequest, timeout_ms: float) -> EndpointOutcome:
        """Run a sub-request; never raises."""
        started_ms = self._clock.now_ms()
        headers = {
            "x-request-id": request.id,
            "x-service": request.service,
            "x-shard": request.shard,
            "x-snapshot": str(request.snapshot),
            "x-timeout-ms": f"{timeout_ms:.1f}",
            "x-expires-at-ms": f"{self._clock.wall_ms() + timeout_ms:.0f}",
            "x-class": str(request.priority),
            "content-type": "application/json",
        }
        body = msgspec.json.encode(request.body)
        client = self._find_client(endpoint)
        try:
            with gevent.Timeout(timeout_ms / 1000):
                response = client.request("POST", "/search", body=body, headers=headers)
                data = bytes(response.read())
        except gevent.Timeout:
            return self._build_error(
                ErrorKind.DEADLINE_EXCEEDED, "no response in time", started_ms, reset=False
            )
        except ConnectionRefusedError as error:
            return self._build_error(
                ErrorKind.UNREACHABLE, repr(error), started_ms, reset=True, ran=Ran.NO
            )
        except HTTP_ERRORS as error:
            return self._build_error(ErrorKind.UNREACHABLE, repr(error), started_ms, reset=True)
        return self._parse(response, data, started_ms)

    def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask the endpoint to stop a request; best effort."""
        self._call_control(endpoint, "POST", "/cancel", {"x-request-id": request_id})

    def fetch_report(self, endpoint: Endpoint, timeout_ms: float) -> EndpointReport | None:
        """Return the endpoint's report, or ``None`` if it does not answer."""
        response = self._call_control(endpoint, "GET", "/status", {}, timeout_ms)
        return _parse_report(response) if response is not None else None

    def forget(self, name: str) -> None:
        """Close the connections of an endpoint."""
        known = self._clients.pop(name, None)
        if known is not None:
            known[1].close()

    def _call_control(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: dict[str, str],
        timeout_ms: float = CONTROL_TIMEOUT_MS,
    ) -> HTTPSocketResponse | None:
        try:
            with gevent.Timeout(timeout_ms / 1000):
                response = self._find_client(endpoint).request(method, path, headers=headers)
                response.read()
        except (gevent.Timeout, *HTTP_ERRORS):
            return None
        return response

    def _find_client(self, endpoint: Endpoint) -> HTTPClient:
        known = self._clients.get(endpoint.name)
        if known is not None and known[0] == endpoint.address:
            return known[1]
        self.forget(endpoint.name)
        limits = self._limits.get(endpoint.service)
        slots = limits.slots if limits is not None else 1
        concurrency = slots + SPARE_CONNECTIONS
        client = connect_client(endpoint.address, concurrency, 30_000.0)
        self._clients[endpoint.name] = (endpoint.address, client)
        return client

    def _build_error(
        self,
        kind: ErrorKind,
        message: str,
        started_ms: float,
        *,
        reset: bool,
        ran: Ran = Ran.UNKNOWN,
    ) -> EndpointOutcome:
        duration_ms = self._clock.now_ms() - started_ms
        return EndpointOutcome(kind, message, ran, None, None, None, duration_ms, reset)

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
