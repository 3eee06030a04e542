"""Pool of persistent HTTP/1.1 connections to endpoints, peers and the store."""

import socket
from collections.abc import Callable

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.messages import TimerHandle, Timers
from persimmonspur.digits import parse_digits
from persimmonspur.entry.memory import MemoryBudget
from persimmonspur.entry.responses import HttpResponse, ResponseParser, estimate_largest_response
from persimmonspur.entry.sockets import Connector, Stream
from persimmonspur.errors import Ran

CONNECT_TIMEOUT_MS = 500.0
# Fraction of the peer's keep-alive timeout during which a connection is reused. The margin
# avoids sending a request on a connection that the peer is about to close.
IDLE_TIMEOUT_FRACTION = 0.8
DEFAULT_IDLE_TIMEOUT_MS = 20_000.0
# A connection is opened in advance for this long after the latest call, and this long before
# the last reusable one expires.
SPARE_PERIOD_MS = 15_000.0
SPARE_MARGIN_MS = 1_000.0

# Responses to other requests that are skipped; a faulty server may send some without end.
MAX_SKIPPED_RESPONSES = 4

Accepts = Callable[[HttpResponse], bool]
OnResponse = Callable[[HttpResponse], None]
OnFailure = Callable[[Ran, str], None]


class Call:
    """One request that waits for its response.

    :ivar connection_lost: whether the connection ended before any byte of the response.
    """

    def __init__(
        self, data: bytes, accepts: Accepts, on_response: OnResponse, on_failure: OnFailure
    ) -> None:
        """Describe a call without sending it.

        :param accepts: returns whether a response belongs to this request; other
            responses are skipped.
        """
        self.data = data
        self.accepts = accepts
        self.on_response = on_response
        self.on_failure = on_failure
        self.connection: Connection | None = None
        self.timer: TimerHandle | None = None
        self.done = False
        self.connection_lost = False

    def cancel(self) -> None:
        """Close the connection without calling either callback."""
        if self.done:
            return
        self._finish()
        if self.connection is not None:
            self.connection.close()

    def succeed(self, response: HttpResponse) -> None:
        """Pass the response to the caller."""
        if self.done:
            return
        self._finish()
        self.on_response(response)

    def fail(self, ran: Ran, reason: str) -> None:
        """Report a failure to the caller.

        :param ran: whether the server may have executed the request.
        """
        if self.done:
            return
        self._finish()
        self.on_failure(ran, reason)

    def time_out(self) -> None:
        """Fail the call because its timeout expired."""
        if self.done:
            return
        connection = self.connection
        sent = connection is not None and connection.sent
        if connection is not None:
            connection.close()
        self.fail(Ran.UNKNOWN if sent else Ran.NO, "no response in time")

    def _finish(self) -> None:
        self.done = True
        if self.timer is not None:
            self.timer.cancel()


class Connection:
    """One connection, used by one call at a time.

    It is reused only if its last response was complete, matched its request, kept the
    connection alive and left no unread bytes.

    :ivar sent: whether the request of the current call may have been sent.
    :ivar idle_until_ms: local time until which the idle connection may be reused.
    """

    def __init__(self, pool: "ConnectionPool", call: Call | None) -> None:
        """Start to connect.

        :param call: call that waits for the connection; ``None`` opens it in advance.
        """
        self._pool = pool
        self._call = call
        self._spare = call is None
        self._stream: Stream | None = None
        self._parser = ResponseParser(self._on_response, pool.max_response_bytes)
        self._skipped_responses = 0
        self.sent = False
        self.idle_until_ms = 0.0
        if call is not None:
            call.connection = self
        self._connector = self._connect()
        self._connect_timer: TimerHandle | None = pool.timers.call_later(
            CONNECT_TIMEOUT_MS, self._on_connect_timeout
        )

    def _connect(self) -> Connector | None:
        try:
            return Connector(self._pool.address, self._on_connected, self._on_connect_failed)
        except (OSError, ValueError) as error:
            # No descriptor is left, or the address is invalid. Reported later because the
            # caller has not recorded its request yet.
            reason = str(error)
            self._pool.timers.call_later(0.0, lambda: self._on_connect_failed(reason))
            return None

    def start(self, call: Call) -> bool:
        """Send the next request on an idle connection.

        :returns: whether the connection was still usable.
        """
        stream = self._stream
        if stream is None or stream.closed:
            return False
        if self._pool.clock.now_ms() > self.idle_until_ms or stream.has_unread():
            self.close()
            return False
        call.connection = self
        self._call = call
        self._write(call)
        return True

    def close(self) -> None:
        """Close the connection; idempotent. The current call gets no result."""
        self._call = None
        if self._connector is not None:
            self._connector.cancel()
            self._connector = None
        self._cancel_connect_timer()
        if self._stream is not None:
            self._stream.close()
        self._parser.release()
        self._pool.memory.update(self, 0)
        self._pool.remove(self)

    @property
    def evictable(self) -> bool:
        """Whether the response that is being received can be refused; it always can."""
        return True

    def evict(self) -> None:
        """Fail the call, because all responses together take too much memory."""
        self._fail(Ran.UNKNOWN, "all responses together take too much memory")

    def _on_connected(self, sock: socket.socket) -> None:
        self._connector = None
        self._cancel_connect_timer()
        self._stream = Stream(sock, self._on_data, self._on_end)
        call = self._call
        if call is not None:
            self._write(call)
        elif self._spare:
            self.idle_until_ms = self._pool.clock.now_ms() + self._pool.idle_timeout_ms
            self._pool.release(self)
        else:
            self.close()

    def _write(self, call: Call) -> None:
        assert self._stream is not None
        self.sent = True
        self._stream.write(call.data)

    def _on_connect_failed(self, reason: str) -> None:
        self._connector = None
        self._cancel_connect_timer()
        self._fail(Ran.NO, f"cannot connect: {reason}")

    def _on_connect_timeout(self) -> None:
        self._connect_timer = None
        self._fail(Ran.NO, "cannot connect in time")

    def _cancel_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None

    def _on_data(self, data: bytes) -> None:
        if self._call is None:
            # Bytes received while the connection is idle belong to no request.
            self.close()
            return
        self._parser.feed(data)
        if self._stream is None or self._stream.closed:
            return
        if self._parser.protocol_error:
            self._fail(Ran.UNKNOWN, self._parser.protocol_error)
        else:
            self._pool.memory.update(self, self._parser.memory_bytes)

    def _on_end(self, reason: str) -> None:
        # The end of a response without a length; it may belong to another request.
        completed = not reason and self._call is not None and self._parser.finish()
        if self._call is not None:
            self._call.connection_lost = not completed and not self._parser.in_message
        self._fail(Ran.UNKNOWN, reason or "the peer closed the connection")

    def _on_response(self, response: HttpResponse) -> None:
        call = self._call
        if call is None:
            self.close()
            return
        if not call.accepts(response):
            # A duplicate response to an earlier request; the expected one may still follow.
            self._skipped_responses += 1
            if self._skipped_responses > MAX_SKIPPED_RESPONSES:
                self._fail(Ran.UNKNOWN, "too many responses to other requests")
            return
        self._call = None
        self.sent = False
        stream = self._stream
        reusable = (
            response.keep_alive
            and not self._skipped_responses
            and not self._parser.protocol_error
            and not self._parser.in_message
            and stream is not None
            and not stream.closed
            and not stream.unsent_bytes
        )
        idle_timeout_ms = parse_idle_timeout(response) * IDLE_TIMEOUT_FRACTION
        if reusable and idle_timeout_ms > 0:
            self.idle_until_ms = self._pool.clock.now_ms() + idle_timeout_ms
            self._pool.idle_timeout_ms = idle_timeout_ms
            self._pool.release(self)
        else:
            self._pool.idle_timeout_ms = 0.0
            self.close()
        call.succeed(response)

    def _fail(self, ran: Ran, reason: str) -> None:
        call = self._call
        self.close()
        if call is not None:
            call.fail(ran, reason)


class ConnectionPool:
    """Persistent connections to one address.

    :ivar max_connections: maximum number of open connections.
    :ivar opened_count: number of connections opened so far.
    :ivar idle_timeout_ms: time for which an idle connection may be reused, from the latest
        response; 0 if the peer closed that connection.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        clock: Clock,
        timers: Timers,
        max_response_bytes: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create an empty pool; connections are opened on demand.

        :param address: ``ip:port``.
        :param max_response_bytes: size above which a response is a failure.
        :param memory: memory budget of the responses of this pool and others; one of its own,
            for a single response of the maximum size, by default.
        """
        self.address = address
        self.max_connections = max_connections
        self.clock = clock
        self.timers = timers
        self.max_response_bytes = max_response_bytes
        self.memory = memory or build_pool_memory(max_response_bytes)
        self.opened_count = 0
        self.idle_timeout_ms = 0.0
        self._last_call_ms = 0.0
        self._connections: set[Connection] = set()
        self._idle: list[Connection] = []

    def start(self, call: Call, timeout_ms: float) -> bool:
        """Send a request on an idle connection or a new one.

        :param timeout_ms: time after which the call fails without a response.
        :returns: ``False`` if all connections are in use and no more may be opened.
        """
        self._last_call_ms = self.clock.now_ms()
        while self._idle:
            if self._idle.pop().start(call):
                break
        else:
            if len(self._connections) >= self.max_connections:
                return False
            self._open(call)
        if not call.done:
            call.timer = self.timers.call_later(timeout_ms, call.time_out)
        return True

    def prepare(self, now_ms: float) -> None:
        """Open a connection in advance if the next call might find none to reuse.

        Does nothing for an address that was not called lately or that closes its connections.
        """
        if not self.idle_timeout_ms or now_ms - self._last_call_ms > SPARE_PERIOD_MS:
            return
        if self.in_use or len(self._connections) >= self.max_connections:
            return
        needed_until_ms = now_ms + SPARE_MARGIN_MS
        if any(connection.idle_until_ms > needed_until_ms for connection in self._idle):
            return
        self._open(None)

    def _open(self, call: Call | None) -> None:
        self.opened_count += 1
        self._connections.add(Connection(self, call))

    def release(self, connection: Connection) -> None:
        """Return a reusable connection to the pool."""
        self._idle.append(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle):
            connection.close()

    @property
    def in_use(self) -> int:
        """Number of connections with a call in progress."""
        return len(self._connections) - len(self._idle)


def build_pool_memory(max_response_bytes: int) -> MemoryBudget:
    """Create a memory budget for a single response of the maximum size."""
    largest_bytes = estimate_largest_response(max_response_bytes)
    return MemoryBudget(largest_bytes, lambda: largest_bytes)


def parse_idle_timeout(response: HttpResponse) -> float:
    """Return the keep-alive timeout that the peer announced, in milliseconds."""
    for name, value in response.headers:
        if name.lower() != b"keep-alive":
            continue
        for item in value.split(b","):
            key, _, text = item.strip().partition(b"=")
            seconds = parse_digits(text.strip())
            if key.lower() == b"timeout" and seconds is not None:
                return seconds * 1000.0
    return DEFAULT_IDLE_TIMEOUT_MS
