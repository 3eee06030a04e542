"""One connection of a client.

It handles one request at a time. While a request is handled or its response is not sent yet, at
most one read of further data is kept; the rest waits in the kernel.
"""

import socket
from collections.abc import Callable
from typing import Protocol

import gevent
from attrs import evolve

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.memory import MemoryBudget
from persimmonspur.entry.pacing import WorkPacer
from persimmonspur.entry.requests import ReceivedRequest, RequestError, RequestParser
from persimmonspur.entry.serverresponse import Handler, ServerResponse, format_response
from persimmonspur.entry.sockets import Stream, read_round_trip_ms

# Bytes that are parsed in one turn of the event loop, so that no connection starves others: a
# head of the shortest lines costs about 0.5 ms, a body in one-byte chunks about 1 ms.
HEAD_RECEIVE_BYTES = 4_096
BODY_RECEIVE_BYTES = 16_384
# A read with more header lines and pieces of bodies than this, and more waiting requests than
# this, are expensive: what follows waits for its turn among the expensive connections.
MAX_CHEAP_ITEMS = 256
MAX_CHEAP_REQUESTS = 8
# A connection is closed if the client does not read its response within this time.
WRITE_TIMEOUT_MS = 10_000.0
# After a refusal, data that the client still sends is dropped for this long and up to this size.
# Closing a connection with unread data resets it, and the client may lose the response.
LINGER_MS = 1_000.0
LINGER_BYTES = 1_048_576
LINGER_RECEIVE_BYTES = 65_536
# Delay that is advised where a request is refused for a limit that all clients share.
REFUSAL_RETRY_AFTER_S = 1

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TIMED_OUT = RequestError(408, "timeout")
NO_MEMORY = RequestError(503, "memory")
NO_CONNECTION = RequestError(503, "connections")


class ConnectionOwner(Protocol):
    """The server that a connection belongs to.

    :ivar closing: whether every response closes its connection.
    """

    handler: Handler
    get_limits: Callable[[], ClientLimits]
    clock: Clock
    closing: bool
    memory: MemoryBudget
    pacer: WorkPacer

    def remove(self, connection: "ClientConnection") -> None:
        """Remove a closed connection."""

    def record_refusal(self, reason: str) -> None:
        """Record that requests on a connection, or the connection, were refused."""


class ClientConnection:
    """One connection of a client.

    :ivar state_since_ms: local time of the last change between idle, receiving a request,
        sending a response and closing.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self._owner = owner
        self._parser = RequestParser(owner.get_limits, owner.clock, self._send_continue)
        self._held = b""
        self._running = False
        self._running_bytes = 0
        self._on_disconnect: Callable[[], None] | None = None
        self._keep_alive = True
        self._is_head_request = False
        self._is_new = True
        self._ending = False
        self._refused = False
        self._lingering = False
        self._dropped_bytes = 0
        self.state_since_ms = owner.clock.now_ms()
        self._stream = Stream(sock, self._on_data, self._on_end, self._on_sent)
        self._stream.receive_bytes = HEAD_RECEIVE_BYTES

    @property
    def idle(self) -> bool:
        """Whether no request is being received, handled or answered."""
        if self._lingering:
            return True
        if self._running or self._ending or self._parser.receiving or self._parser.completed:
            return False
        return not (self._held or self._stream.unsent_bytes or self._stream.has_unread())

    @property
    def receiving(self) -> bool:
        """Whether a part of a request was received."""
        return self._parser.receiving

    @property
    def lingering(self) -> bool:
        """Whether the response that ends the connection was sent."""
        return self._lingering

    @property
    def evictable(self) -> bool:
        """Whether the requests on this connection can be refused as not run."""
        return not self._running and not self._ending

    def evict(self) -> None:
        """Refuse the requests on this connection to release their memory."""
        self._refuse(NO_MEMORY)

    def close_for_another(self) -> bool:
        """Close the connection at once to make room for another one.

        :returns: whether it was closed; if not, it handles or answers a request.
        """
        if self.idle:
            self.close()
            return True
        if not self.evictable or self._parser.completed or self._stream.unsent_bytes:
            return False
        self.refuse_at_once()
        return True

    def refuse_at_once(self) -> None:
        """Answer that nothing ran, and close without waiting for the client."""
        self._owner.record_refusal(NO_CONNECTION.reason)
        self._stream.write(_format_refusal(NO_CONNECTION))
        self._stream.shutdown_write()
        # What has arrived would otherwise reset the connection.
        self._stream.drop_unread(LINGER_RECEIVE_BYTES)
        self.close()

    def enforce_timeouts(self, now_ms: float, limits: ClientLimits) -> None:
        """Close the connection if the client exceeded a time limit."""
        if self._stream.paused and self._stream.peer_closed():
            self.close()
        if self._running or now_ms - self.state_since_ms <= self._get_allowed_ms(limits):
            return
        if self._parser.receiving and not self._stream.unsent_bytes:
            self._refuse(TIMED_OUT)
        else:
            self.close()

    def _get_allowed_ms(self, limits: ClientLimits) -> float:
        """Return the time that the client has for what it does now."""
        if self._lingering:
            return LINGER_MS
        if self._stream.unsent_bytes:
            return WRITE_TIMEOUT_MS
        if not self._parser.receiving:
            return limits.idle_timeout_ms
        if self._parser.head_complete:
            return limits.header_timeout_ms + limits.idle_timeout_ms
        return limits.header_timeout_ms

    def close(self) -> None:
        """Close the connection and notify the handler of a request in progress."""
        self._stream.close()
        self._release()
        self._owner.remove(self)
        on_disconnect = self._on_disconnect
        self._on_disconnect = None
        if on_disconnect is not None:
            on_disconnect()

    def _release(self) -> None:
        """Release the memory of all requests."""
        self._parser.release()
        self._held = b""
        self._running_bytes = 0
        self._owner.memory.update(self, 0)

    def _on_data(self, data: bytes) -> None:
        if self._ending:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > LINGER_BYTES:
                self.close()
        elif self._running or self._parser.completed or self._stream.unsent_bytes:
            self._held = data
            self._stream.pause()
            self._update_memory()
        else:
            self._parse(data)

    def _on_end(self, reason: str) -> None:
        self.close()

    def _on_sent(self) -> None:
        if self._ending:
            self._linger()
        else:
            self._continue()

    def _parse(self, data: bytes) -> None:
        was_receiving = self._parser.receiving
        parsed_items = self._parser.parsed_items
        self._parser.feed(data)
        if not was_receiving and (self._parser.receiving or self._parser.completed):
            self.state_since_ms = self._owner.clock.now_ms()
        self._stream.receive_bytes = (
            BODY_RECEIVE_BYTES if self._parser.head_complete else HEAD_RECEIVE_BYTES
        )
        self._update_memory()
        if self._ending:
            return
        if self._parser.parsed_items - parsed_items > MAX_CHEAP_ITEMS:
            self._stream.pause()
            self._owner.pacer.add(self._resume)
        self._continue()

    def _resume(self) -> None:
        """Read again after a read that was expensive."""
        if not self._held:
            self._stream.resume()

    def _update_memory(self) -> None:
        """Report the memory of the requests, which may end this connection or others."""
        count = self._parser.memory_bytes + self._running_bytes + len(self._held)
        self._owner.memory.update(self, count)

    def _continue(self) -> None:
        """Handle the next request, or receive further data."""
        if self._running or self._ending or self._stream.closed or self._stream.unsent_bytes:
            return
        if self._parser.completed:
            self._handle(self._parser.pop())
        elif self._parser.error is not None:
            self._refuse(self._parser.error)
        elif self._held:
            data = self._held
            self._held = b""
            self._stream.resume()
            self._parse(data)

    def _handle(self, received: ReceivedRequest) -> None:
        self._keep_alive = received.keep_alive
        self._running_bytes = received.memory_bytes
        self._running = True
        self._is_head_request = received.request.method == "HEAD"
        request = evolve(
            received.request,
            round_trip_ms=read_round_trip_ms(self._stream.sock),
            on_new_connection=self._is_new,
        )
        self._is_new = False
        on_disconnect = self._owner.handler.handle(request, self._respond)
        if self._running:
            self._on_disconnect = on_disconnect

    def _respond(self, response: ServerResponse) -> None:
        if not self._running:
            return
        self._running = False
        self._running_bytes = 0
        self._on_disconnect = None
        self.state_since_ms = self._owner.clock.now_ms()
        if self._stream.closed:
            return
        parser = self._parser
        is_last = parser.error is not None and not parser.completed
        keep_alive = self._keep_alive and not self._owner.closing and not is_last
        self._stream.write(format_response(response, keep_alive, self._is_head_request))
        if not keep_alive:
            self._end()
            return
        self._update_memory()
        if parser.completed or self._held:
            # Other connections get their turn before the next request of this one.
            if len(parser.completed) > MAX_CHEAP_REQUESTS:
                self._owner.pacer.add(self._continue)
            else:
                gevent.get_hub().loop.run_callback(self._continue)

    def _refuse(self, error: RequestError) -> None:
        self._owner.record_refusal(error.reason)
        self._refused = True
        self.state_since_ms = self._owner.clock.now_ms()
        self._stream.write(_format_refusal(error))
        self._end()

    def _end(self) -> None:
        """Close the connection once its last response is sent."""
        self._ending = True
        self._release()
        self._stream.receive_bytes = LINGER_RECEIVE_BYTES
        self._stream.resume()
        if not self._stream.unsent_bytes:
            self._linger()

    def _linger(self) -> None:
        """Send the end of the connection, and drop what the client still sends."""
        if not self._refused and not self._stream.has_unread():
            self.close()
            return
        self._lingering = True
        self.state_since_ms = self._owner.clock.now_ms()
        self._stream.shutdown_write()

    def _send_continue(self) -> None:
        self._stream.write(CONTINUE)


def _format_refusal(error: RequestError) -> bytes:
    response = ServerResponse(error.status)
    if error.status == 503:
        response = ServerResponse(503, [(b"Retry-After", b"%d" % REFUSAL_RETRY_AFTER_S)])
    return format_response(response, keep_alive=False)
