"""Parser for HTTP responses on a persistent connection.

It also shows whether the connection is in a clean state after a response.
"""

from collections.abc import Callable

import httptools
from attrs import frozen

from persimmonspur.core.fleet.messages import Headers
from persimmonspur.digits import parse_digits

# Other statuses have no meaning: the library takes those below for interim responses.
MIN_STATUS = 100
MAX_STATUS = 599
# Bytes before the body, interim responses included. A faulty server may send some without end.
MAX_HEAD_BYTES = 65_536
# Header lines of one response, and trailer lines after its body. The shortest line is 4 bytes long
# and takes 60 times that when it is kept.
MAX_HEADER_LINES = 1_024
# Estimated memory of one header line besides its bytes: two bytes objects, a tuple and a slot.
HEADER_LINE_BYTES = 192
# Bytes of chunk framing and trailers that are allowed in addition to this many for each byte of
# the body.
MAX_FRAMING_BYTES = 65_536
FRAMING_BYTES_PER_BODY_BYTE = 2


def estimate_largest_response(max_response_bytes: int) -> int:
    """Return the estimated memory in bytes of the most expensive response within a limit."""
    return MAX_HEAD_BYTES + HEADER_LINE_BYTES * MAX_HEADER_LINES + 2 * max_response_bytes


@frozen
class HttpResponse:
    """One complete response.

    :param keep_alive: whether the peer keeps the connection open.
    """

    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


class _LimitExceededError(Exception):
    """Stops the parser library; the error is recorded before."""


class ResponseParser:
    """Parses the bytes received on one connection.

    :ivar protocol_error: why the connection can no longer be used; empty if it can.
    """

    def __init__(
        self, on_response: Callable[[HttpResponse], None], max_response_bytes: int
    ) -> None:
        """Create a parser for one connection.

        :param max_response_bytes: maximum size of one response, its head and framing included.
        """
        self._max_response_bytes = max_response_bytes
        self._on_response = on_response
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._completed: list[HttpResponse] = []
        self.protocol_error = ""
        self._in_message = False
        self._head_complete = False
        self._has_framing = False
        self._headers: Headers = []
        self._line_count = 0
        self._body = bytearray()
        self._message_count = 0
        self._received_bytes = 0
        self._framing_bytes = 0

    @property
    def in_message(self) -> bool:
        """Whether a response has started and is not complete."""
        return self._in_message

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the response that is being received."""
        if not self._in_message:
            return 0
        # The parser library keeps a header line or trailer line that is not complete.
        line_bytes = min(self._received_bytes, MAX_HEAD_BYTES)
        if self._head_complete:
            line_bytes += min(self._framing_bytes, MAX_FRAMING_BYTES)
        # The body is copied as it grows, and once when it is complete.
        return line_bytes + HEADER_LINE_BYTES * len(self._headers) + 2 * len(self._body)

    def release(self) -> None:
        """Drop what was received and ignore further data.

        The parser library refers to this object, which would otherwise keep both in memory
        until the next garbage collection.
        """
        self._parser = None
        self._in_message = False
        self._headers = []
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Parse received bytes, then report the responses that are complete.

        Nothing is read after a protocol error.
        """
        if self.protocol_error or self._parser is None:
            return
        self._received_bytes += len(data)
        message_count = self._message_count
        in_body = self._in_message and self._head_complete
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.protocol_error = "the response switches protocols"
        except httptools.HttpParserError as error:
            self.protocol_error = self.protocol_error or f"not a response: {error}"
        if not self._head_complete and self._received_bytes > MAX_HEAD_BYTES:
            self.protocol_error = f"the head of a response exceeds {MAX_HEAD_BYTES} bytes"
        elif self._received_bytes > self._max_response_bytes:
            self.protocol_error = f"a response exceeds {self._max_response_bytes} bytes"
        elif in_body and self._in_message and message_count == self._message_count:
            self._count_framing(len(data), len(self._body) - body_bytes)
        completed = self._completed
        self._completed = []
        for response in completed:
            self._on_response(response)

    def _count_framing(self, count: int, new_body_bytes: int) -> None:
        """Count bytes that were received after the head and are not part of the body."""
        self._framing_bytes += count - new_body_bytes
        allowed_bytes = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * len(self._body)
        if self._framing_bytes > allowed_bytes:
            self.protocol_error = f"a response of {len(self._body)} bytes has too much framing"

    def _exceed(self, reason: str) -> None:
        """Stop parsing; called by callbacks of the parser."""
        self.protocol_error = reason
        raise _LimitExceededError(reason)

    def finish(self) -> bool:
        """Handle an orderly close of the connection by the peer.

        :returns: whether the close completed a response.
        """
        if self.protocol_error or not self._head_complete or self._has_framing:
            return False
        if self._parser is None:
            return False
        response = HttpResponse(
            self._parser.get_status_code(),
            self._headers,
            bytes(self._body),
            keep_alive=False,
        )
        self._in_message = False
        self._on_response(response)
        return True

    def on_message_begin(self) -> None:
        """Start a response (called by the parser)."""
        self._in_message = True
        self._message_count += 1
        self._head_complete = False
        self._has_framing = False
        self._headers = []
        self._line_count = 0
        self._body = bytearray()
        self._framing_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field (called by the parser); trailers are dropped."""
        self._line_count += 1
        if self._line_count > MAX_HEADER_LINES:
            self._exceed(f"a response has more than {MAX_HEADER_LINES} header lines")
        if self._head_complete:
            return
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        if lowered == b"content-length":
            self._check_length(value)
        self._headers.append((name, value))

    def _check_length(self, value: bytes) -> None:
        """Fail at once if the announced body exceeds the limit."""
        length = parse_digits(value.strip())
        if length is None or length > self._max_response_bytes:
            self._exceed(f"a response exceeds {self._max_response_bytes} bytes")

    def on_headers_complete(self) -> None:
        """Finish the header fields (called by the parser)."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self.protocol_error = f"not a response: status {status:03}"
        self._head_complete = status >= 200
        if status in (204, 304):
            self._has_framing = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by the parser)."""
        self._body += body

    def on_message_complete(self) -> None:
        """Finish a response (called by the parser); interim responses are discarded."""
        assert self._parser is not None
        self._in_message = False
        self._head_complete = False
        status = self._parser.get_status_code()
        body = bytes(self._body)
        self._body = bytearray()
        if status < 200 or self.protocol_error:
            return
        self._received_bytes = 0
        self._completed.append(
            HttpResponse(
                status,
                self._headers,
                body,
                keep_alive=self._parser.should_keep_alive(),
            )
        )
