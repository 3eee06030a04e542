"""Parser for HTTP responses on a persistent connection.

It also shows whether the connection is in a clean state after a response.
"""

from collections.abc import Callable

import httptools
from attrs import frozen

from persimmonspur.core.fleet.messages import Headers

# Other statuses have no meaning: the library takes those below for interim responses.
MIN_STATUS = 100
MAX_STATUS = 599
# Bytes before the body, interim responses included. A faulty server may send some without end.
MAX_HEAD_BYTES = 65_536


@frozen
class HttpResponse:
    """One complete response.

    :param keep_alive: whether the peer keeps the connection open.
    """

    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


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
        self._parser = httptools.HttpResponseParser(self)
        self._completed: list[HttpResponse] = []
        self.protocol_error = ""
        self._in_message = False
        self._head_complete = False
        self._has_framing = False
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._received_bytes = 0

    @property
    def in_message(self) -> bool:
        """Whether a response has started and is not complete."""
        return self._in_message

    def feed(self, data: bytes) -> None:
        """Parse received bytes, then report the responses that are complete.

        Nothing is read after a protocol error.
        """
        if self.protocol_error:
            return
        self._received_bytes += len(data)
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
        completed = self._completed
        self._completed = []
        for response in completed:
            self._on_response(response)

    def finish(self) -> bool:
        """Handle an orderly close of the connection by the peer.

        :returns: whether the close completed a response.
        """
        if self.protocol_error or not self._head_complete or self._has_framing:
            return False
        response = HttpResponse(
            self._parser.get_status_code(),
            self._headers,
            b"".join(self._body),
            keep_alive=False,
        )
        self._in_message = False
        self._on_response(response)
        return True

    def on_message_begin(self) -> None:
        """Start a response (called by the parser)."""
        self._in_message = True
        self._head_complete = False
        self._has_framing = False
        self._headers = []
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field (called by the parser)."""
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Finish the header fields (called by the parser)."""
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self.protocol_error = f"not a response: status {status:03}"
        self._head_complete = status >= 200
        if status in (204, 304):
            self._has_framing = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (called by the parser)."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Finish a response (called by the parser); interim responses are discarded."""
        self._in_message = False
        self._head_complete = False
        status = self._parser.get_status_code()
        if status < 200 or self.protocol_error:
            return
        self._received_bytes = 0
        self._completed.append(
            HttpResponse(
                status,
                self._headers,
                b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
