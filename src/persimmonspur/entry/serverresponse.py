"""Responses to requests at an address of this process, and what handles the requests."""

from collections.abc import Callable
from typing import Protocol

from attrs import field, frozen

from persimmonspur.core.fleet.messages import Headers
from persimmonspur.entry.requests import HttpRequest

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@frozen
class ServerResponse:
    """The response to one request."""

    status: int
    headers: Headers = field(factory=list)
    body: bytes = b""


Respond = Callable[[ServerResponse], None]


class Handler(Protocol):
    """Handles the requests that arrive at one address."""

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Start to handle a request.

        :param respond: sends the response; to be called once.
        :returns: function to call if the client disconnects before the response, if any.
        """


def format_response(response: ServerResponse, keep_alive: bool, head_only: bool = False) -> bytes:
    """Return the bytes of a response.

    :param head_only: whether it responds to ``HEAD`` and is sent without its body.
    """
    reason = REASON_PHRASES.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {reason}\r\n".encode()]
    for name, value in response.headers:
        lines.append(name + b": " + value + b"\r\n")
    if response.status != 204:
        lines.append(b"Content-Length: %d\r\n" % len(response.body))
    if not keep_alive:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not head_only:
        lines.append(response.body)
    return b"".join(lines)
