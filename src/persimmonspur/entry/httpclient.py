"""HTTP client whose calls block the calling greenlet."""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result
from gevent.event import AsyncResult

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.messages import Timers
from persimmonspur.entry.connections import Call, ConnectionPool
from persimmonspur.entry.features import NO_FEATURES
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.entry.serverlimits import (
    PEER_RESPONSES,
    ResponseLimits,
    build_response_limits,
)
from persimmonspur.errors import ErrorKind, Failure, Ran

M = TypeVar("M")

STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
_FAILED_STATUSES = {
    STATUS_GONE: ErrorKind.CONFLICT,
    STATUS_UNAVAILABLE: ErrorKind.NOT_READY,
}
MAX_CONNECTIONS = 8


class HttpClient:
    """Sends requests to one address over persistent connections."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        timers: Timers,
        response_limits: ResponseLimits | None = None,
    ) -> None:
        """Create a client; connections are opened on demand.

        :param address: ``ip:port``.
        :param response_limits: limits of the responses to this client and others; those of a
            single client on the smallest machine by default.
        """
        limits = response_limits or build_response_limits(PEER_RESPONSES, NO_FEATURES)
        self._address = address
        self._pool = ConnectionPool(
            address, MAX_CONNECTIONS, clock, timers, limits.max_response_bytes, limits.memory
        )

    def request(
        self, method: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[HttpResponse, Failure]:
        """Send a request and wait for the response.

        :param timeout_ms: maximum time to wait for the response.
        :returns: the response, whatever its status.
        """
        outcome: AsyncResult[Result[HttpResponse, Failure]] = AsyncResult()
        call = Call(
            self._format(method, path, body),
            lambda response: True,
            lambda response: outcome.set(Ok(response)),
            lambda ran, reason: outcome.set(Error(_build_failure(method, path, ran, reason))),
        )
        if not self._pool.start(call, timeout_ms):
            return Error(_build_failure(method, path, Ran.NO, "all connections are in use"))
        try:
            result = outcome.get()
        except BaseException:
            # The greenlet was killed, perhaps because the connection hangs; closes the connection.
            call.cancel()
            raise
        assert result is not None
        return result

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close_idle()

    def _format(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n".encode()]
        if body:
            lines.append(b"Content-Type: application/json\r\n")
            lines.append(b"Content-Length: %d\r\n" % len(body))
        lines.append(b"\r\n")
        lines.append(body)
        return b"".join(lines)


def fetch_message(
    client: HttpClient, peer: str, path: str, timeout_ms: float, message_type: type[M]
) -> Result[M, Failure]:
    """Fetch a message from another instance.

    :param peer: name of the instance in failure messages.
    :param timeout_ms: maximum time to wait for the response.
    :param message_type: type of the message in the response body.
    :returns: the message; ``CONFLICT`` if the peer no longer has what is asked for, and
        ``NOT_READY`` if it cannot have it now.
    """
    result = client.request("GET", path, b"", timeout_ms)
    if result.is_error():
        return Error(result.error)
    if result.ok.status != 200:
        kind = _FAILED_STATUSES.get(result.ok.status, ErrorKind.UNREACHABLE)
        return Error(Failure.of(kind, f"{peer}: status {result.ok.status}"))
    try:
        return Ok(msgspec.msgpack.decode(result.ok.body, type=message_type))
    except (msgspec.DecodeError, RecursionError) as error:
        return Error(Failure.of(ErrorKind.UNREACHABLE, f"{peer}: invalid response body: {error}"))


def _build_failure(method: str, path: str, ran: Ran, reason: str) -> Failure:
    return Failure.of(ErrorKind.STORE_UNAVAILABLE, f"{method} {path}: {reason}", ran)
