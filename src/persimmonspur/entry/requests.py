"""Parser for the HTTP requests of one client, with bounds on what a request may cost.

The parser library keeps a Python object for each header line, and reports neither the bytes of
chunk framing nor the end of a head that never comes.
"""

from collections import deque
from collections.abc import Callable

import httptools
from attrs import define, field, frozen

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.messages import Headers
from persimmonspur.core.fleet.routes import ClientLimits

# Estimated memory of one request besides its bytes and its header lines.
REQUEST_BYTES = 1_024
# The same of one header line: two bytes objects, a tuple and a list slot when it is received
# (about 170 bytes), and a tuple and a slot of the request that is passed on (about 75 bytes).
HEADER_LINE_BYTES = 256
# The shortest header line is a one-letter name, a colon and the line ending.
MIN_LINE_BYTES = 4
# The limit of a head counts the target and the header lines; the rest of a head is the method, the
# protocol's version and the line endings around them.
MAX_REQUEST_LINE_REST_BYTES = 32
# Chunk framing beyond the head limit that is allowed for each byte of the body. One-byte chunks
# take 5 bytes each; the rest is for leading zeros and short extensions.
FRAMING_BYTES_PER_BODY_BYTE = 16


@frozen
class HttpRequest:
    """One complete request.

    :param arrived_ms: local time at which the request was completely received.
    :param round_trip_ms: round trip time to the client; 0 if unknown.
    :param on_new_connection: whether it is the first request on its connection.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_ms: float
    round_trip_ms: float = 0.0
    on_new_connection: bool = False


@frozen
class ReceivedRequest:
    """A complete request that waits to be handled.

    :param memory_bytes: estimated memory of the request.
    """

    request: HttpRequest
    keep_alive: bool
    memory_bytes: int


@frozen
class RequestError:
    """Why a client's data is refused.

    :param reason: short name of the cause for metrics and logs.
    """

    status: int
    reason: str


@define
class _PartialRequest:
    """A request that is still being received.

    :ivar head_bytes: received bytes of the head.
    :ivar head_bytes_final: whether the piece with the end of the head was counted.
    :ivar framing_bytes: received bytes after the head that are not part of the body.
    :ivar idle_framing_bytes: the same since the latest byte of the body.
    """

    target: bytes = b""
    headers: Headers = field(factory=list)
    body: bytearray = field(factory=bytearray)
    head_bytes: int = 0
    framing_bytes: int = 0
    idle_framing_bytes: int = 0
    head_complete: bool = False
    head_bytes_final: bool = False

    def estimate_memory(self) -> int:
        """Return the estimated memory in bytes."""
        # The body is copied once when it is complete.
        return (
            REQUEST_BYTES
            + HEADER_LINE_BYTES * len(self.headers)
            + self.head_bytes
            + self.idle_framing_bytes
            + 2 * len(self.body)
        )


def estimate_largest_request(limits: ClientLimits) -> int:
    """Return the estimated memory in bytes of the most expensive request within the limits."""
    lines = limits.max_header_bytes // MIN_LINE_BYTES
    return (
        REQUEST_BYTES
        + HEADER_LINE_BYTES * lines
        + 2 * limits.max_header_bytes
        + 2 * limits.max_body_bytes
    )


class RequestParser:
    """Parses the bytes received on one connection.

    Header lines after a chunked body (trailers) are read and dropped.

    :ivar completed: complete requests in the order of their arrival.
    :ivar error: why the connection can no longer be used, if it cannot.
    :ivar parsed_items: number of header lines and pieces of bodies parsed so far.
    """

    def __init__(
        self,
        get_limits: Callable[[], ClientLimits],
        clock: Clock,
        on_continue: Callable[[], None],
    ) -> None:
        """Create a parser for one connection.

        :param on_continue: called if the client waits for ``100 Continue`` before it sends
            a body.
        """
        self.completed: deque[ReceivedRequest] = deque()
        self.error: RequestError | None = None
        self.parsed_items = 0
        self._get_limits = get_limits
        self._limits = get_limits()
        self._clock = clock
        self._on_continue = on_continue
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._partial: _PartialRequest | None = None
        self._empty_bytes = 0
        self._message_count = 0
        self._completed_bytes = 0

    @property
    def _max_head_bytes(self) -> int:
        return self._limits.max_header_bytes + MAX_REQUEST_LINE_REST_BYTES

    @property
    def receiving(self) -> bool:
        """Whether a part of a request was received."""
        return self._partial is not None

    @property
    def head_complete(self) -> bool:
        """Whether the head of the request that is being received is complete."""
        return self._partial is not None and self._partial.head_complete

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the requests that are being received or wait."""
        partial_bytes = self._partial.estimate_memory() if self._partial is not None else 0
        return self._completed_bytes + partial_bytes

    def pop(self) -> ReceivedRequest:
        """Remove and return the first complete request."""
        received = self.completed.popleft()
        self._completed_bytes -= received.memory_bytes
        return received

    def release(self) -> None:
        """Drop all requests and ignore further data.

        The parser library refers to this object, which would otherwise keep both in memory
        until the next garbage collection.
        """
        self._parser = None
        self._partial = None
        self.completed.clear()
        self._completed_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        self._limits = self._get_limits()
        view = memoryview(data)
        while view and self.error is None and self._parser is not None:
            piece = view
            if not self.head_complete:
                # The parser never sees more of a head than is allowed, so a head that is
                # incomplete afterwards exceeds the limit.
                received = self._partial.head_bytes if self._partial is not None else 0
                piece = view[: max(1, self._max_head_bytes - received)]
            self._feed_piece(piece)
            view = view[len(piece) :]

    def _feed_piece(self, piece: memoryview) -> None:
        assert self._parser is not None
        partial = self._partial
        body_bytes = len(partial.body) if partial is not None else 0
        message_count = self._message_count
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self._fail(400, "upgrade")
        except httptools.HttpParserError:
            self._fail(400, "malformed")
        if self._partial is None:
            self._count_empty(len(piece), partial is None and message_count == self._message_count)
        elif self._partial is not partial:
            # The bytes before a request that begins within a piece are not known; if there were
            # any of an earlier request, the head may exceed its limit by one piece.
            is_whole = partial is None and message_count + 1 == self._message_count
            self._count_head(self._partial, len(piece) if is_whole else 0)
        elif not partial.head_bytes_final:
            self._count_head(partial, len(piece))
        else:
            self._count_framing(partial, len(piece), len(partial.body) - body_bytes)

    def _count_empty(self, count: int, is_empty: bool) -> None:
        """Count the bytes of a piece after which no request is being received.

        :param is_empty: whether the piece consists of empty lines.
        """
        self._empty_bytes = self._empty_bytes + count if is_empty else 0
        if self._empty_bytes > self._limits.max_header_bytes:
            self._fail(400, "empty_lines")

    def _count_head(self, partial: _PartialRequest, count: int) -> None:
        partial.head_bytes += count
        partial.head_bytes_final = partial.head_complete
        if partial.head_complete:
            return
        if partial.head_bytes >= self._max_head_bytes:
            self._fail(431, "head")

    def _count_framing(self, partial: _PartialRequest, count: int, new_body_bytes: int) -> None:
        partial.framing_bytes += count - new_body_bytes
        partial.idle_framing_bytes = 0 if new_body_bytes else partial.idle_framing_bytes + count
        max_header_bytes = self._limits.max_header_bytes
        allowed_bytes = 2 * max_header_bytes + FRAMING_BYTES_PER_BODY_BYTE * len(partial.body)
        if partial.idle_framing_bytes > max_header_bytes or partial.framing_bytes > allowed_bytes:
            self._fail(400, "framing")

    def _fail(self, status: int, reason: str) -> None:
        if self.error is None:
            self.error = RequestError(status, reason)

    def on_message_begin(self) -> None:
        """Start a request (called by the parser)."""
        self._message_count += 1
        self._partial = _PartialRequest()

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target (called by the parser)."""
        if self._partial is not None:
            self._partial.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field (called by the parser); trailers are dropped."""
        self.parsed_items += 1
        partial = self._partial
        if partial is not None and not partial.head_complete:
            partial.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the header fields (called by the parser)."""
        partial = self._partial
        if partial is None:
            return
        partial.head_complete = True
        expects_continue = False
        for name, value in partial.headers:
            lowered = name.lower()
            if lowered == b"content-length":
                if int(value) > self._limits.max_body_bytes:
                    self._fail(413, "body")
            elif lowered == b"expect" and value.lower() == b"100-continue":
                expects_continue = True
        if expects_continue and self.error is None:
            self._on_continue()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by the parser)."""
        self.parsed_items += 1
        partial = self._partial
        if partial is None or self.error is not None:
            return
        if len(partial.body) + len(body) > self._limits.max_body_bytes:
            self._fail(413, "body")
            return
        partial.body += body

    def on_message_complete(self) -> None:
        """Queue a complete request (called by the parser)."""
        partial = self._partial
        self._partial = None
        if partial is None or self.error is not None or self._parser is None:
            return
        request = HttpRequest(
            self._parser.get_method().decode("ascii"),
            partial.target,
            partial.headers,
            bytes(partial.body),
            self._clock.now_ms(),
        )
        memory_bytes = partial.estimate_memory()
        self._completed_bytes += memory_bytes
        self.completed.append(
            ReceivedRequest(request, self._parser.should_keep_alive(), memory_bytes)
        )
