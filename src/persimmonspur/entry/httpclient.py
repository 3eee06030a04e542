"""HTTP calls that a greenlet waits for."""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result
from gevent.event import AsyncResult

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.messages import Timers
from persimmonspur.entry.connections import Call, ConnectionPool
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.errors import ErrorKind, Failure, Ran

M = TypeVar("M")

CONNECTIONS = 8


class HttpClient:
    """Calls one address over kept connections."""

    def __init__(self, address: str, clock: Clock, timers: Timers) -> None:
        """Connect lazily.

        :param address: ``ip:port``.
        """
        self._address = address
        self._pool = ConnectionPool(address, CONNECTIONS, clock, timers)

    def request(
        self, method: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[HttpResponse, Failure]:
        """Call and wait for the response.

        :param timeout_ms: longest wait.
        :returns: any response, whatever its status.
        """
        outcome: AsyncResult[Result[HttpResponse, Failure]] = AsyncResult()
        call = Call(
            self._format(method, path, body),
            lambda response: True,
            lambda response: outcome.set(Ok(response)),
            lambda ran, reason: outcome.set(Error(_make_failure(method, path, ran, reason))),
        )
        if not self._pool.start(call, timeout_ms):
            return Error(_make_failure(method, path, Ran.NO, "all connections are in use"))
        try:
            result = outcome.get()
        except BaseException:
            # The greenlet is stopped; its connection may be silent.
            call.cancel()
            raise
        assert result is not None
        return result

    def close(self) -> None:
        """Close the connections that no call uses."""
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
    """Ask another instance for a message.

    :param peer: names the instance in failures.
    :param timeout_ms: longest wait.
    :param message_type: of its answer.
    """
    called = client.request("GET", path, b"", timeout_ms)
    if called.is_error():
        return Error(called.error)
    if called.ok.status != 200:
        return Error(Failure.of(ErrorKind.UNREACHABLE, f"{peer}: status {called.ok.status}"))
    try:
        return Ok(msgspec.msgpack.decode(called.ok.body, type=message_type))
    except msgspec.DecodeError as error:
        return Error(Failure.of(ErrorKind.UNREACHABLE, f"{peer}: unreadable answer: {error}"))


def _make_failure(method: str, path: str, ran: Ran, reason: str) -> Failure:
    return Failure.of(ErrorKind.STORE_UNAVAILABLE, f"{method} {path}: {reason}", ran)
