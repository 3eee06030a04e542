"""Converts between the platform's HTTP messages and the project's requests and responses."""

import re

from persimmonspur.core.fleet.accounts import NO_ACCOUNTS, Account, AccountDirectory
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.messages import ClientRequest, EndpointResponse, Headers, ShardResult
from persimmonspur.digits import parse_digits
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.entry.server import HttpRequest
from persimmonspur.errors import Ran

REQUEST_ID = b"X-Request-Id"
DEADLINE_MS = b"X-Deadline-Ms"
EXPECTED_ENDPOINT = b"X-Expect-Instance"
# Proves that the endpoint executed the request.
SERVER_STAMP = b"X-Server-Stamp"
NOT_EXECUTED = b"X-Not-Executed"
SERVER_LOAD = b"X-Server-Load"
# Requests per second that the endpoint takes from all instances together.
SERVER_LIMIT = b"Server-Limit"
# In any response of an endpoint: it is leaving and wants no more requests.
SERVER_LEAVING = b"Server-Leaving"
PART_STAMPS = b"X-Part-Stamps"
MISSING_PARTS = b"X-Missing-Parts"
RETRY_AFTER = b"Retry-After"
# Name of the client account that sent a request.
ACCOUNT = b"X-Tenant"
API_KEY = b"Authorization"
API_KEY_SCHEME = b"Token"
CHALLENGE = b"WWW-Authenticate"

STATUS_MISDIRECTED = 421
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503

# Hop-by-hop fields, and fields that this instance sets itself.
_HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_REPLACED_FIELDS = frozenset((DEADLINE_MS.lower(), EXPECTED_ENDPOINT.lower()))
# Also dropped where the configuration has client accounts.
_ACCOUNT_FIELDS = frozenset((API_KEY.lower(), ACCOUNT.lower()))

_API_KEY_KEY = API_KEY.lower()
_SERVER_STAMP_KEY = SERVER_STAMP.lower()
_NOT_EXECUTED_KEY = NOT_EXECUTED.lower()
_SERVER_LOAD_KEY = SERVER_LOAD.lower()
_SERVER_LIMIT_KEY = SERVER_LIMIT.lower()
_SERVER_LEAVING_KEY = SERVER_LEAVING.lower()
_RETRY_AFTER_KEY = RETRY_AFTER.lower()
_SECONDS = re.compile(rb"\d+(\.\d*)?|\.\d+")


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header field; names are compared case-insensitively."""
    lowered = name.lower()
    for key, value in headers:
        if key.lower() == lowered:
            return value
    return None


def parse_client_request(
    request: HttpRequest, accounts: AccountDirectory = NO_ACCOUNTS
) -> ClientRequest:
    """Convert a client's request, dropping hop-by-hop and replaced header fields.

    :param accounts: with client accounts, the API key is replaced by the name of its account.
    """
    request_id = b""
    host = b""
    timeout_ms = None
    dropped = set(_HOP_BY_HOP_FIELDS)
    headers: Headers = []
    for name, value in request.headers:
        lowered = name.lower()
        if lowered == b"connection":
            dropped.update(item.strip().lower() for item in value.split(b","))
        elif lowered == b"x-request-id":
            request_id = value
        elif lowered == b"host":
            host = value
        elif lowered == b"x-deadline-ms":
            timeout_ms = _parse_non_negative_number(value)
    for name, value in request.headers:
        lowered = name.lower()
        if lowered not in dropped and lowered not in _REPLACED_FIELDS:
            headers.append((name, value))
    account = None
    if accounts.active:
        account = _find_account(request.headers, accounts)
        headers = _replace_account_fields(headers, account)
    return ClientRequest(
        request_id.decode("latin-1"),
        request.method,
        host.decode("latin-1"),
        request.target,
        headers,
        request.body,
        timeout_ms,
        request.arrived_ms,
        request.round_trip_ms,
        request.round_trip_ms if request.on_new_connection else 0.0,
        account,
    )


def _find_account(headers: Headers, accounts: AccountDirectory) -> Account | None:
    """Return the account of a request's API key.

    A request with several keys is refused, since it is unclear whose it is.
    """
    credentials = [value for name, value in headers if name.lower() == _API_KEY_KEY]
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(b" ")
    if scheme.lower() != API_KEY_SCHEME.lower():
        return None
    return accounts.find(key.strip())


def _replace_account_fields(headers: Headers, account: Account | None) -> Headers:
    """Return the header fields with the name of the account instead of the API key."""
    replaced = [field for field in headers if field[0].lower() not in _ACCOUNT_FIELDS]
    if account is not None:
        replaced.append((ACCOUNT, account.name.encode("latin-1")))
    return replaced


def format_request_head(request: ClientRequest) -> bytes:
    """Encode the part of a request that is the same for each endpoint it is sent to."""
    lines = [request.method.encode("ascii"), b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in request.headers:
        lines += (name, b": ", value, b"\r\n")
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join(lines)


def format_endpoint_request(
    request: ClientRequest, endpoint: Endpoint, timeout_ms: float, head: bytes | None = None
) -> bytes:
    """Encode a request to an endpoint.

    :param timeout_ms: time that the endpoint has for its response.
    :param head: result of :func:`format_request_head`, if it is at hand.
    """
    return b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
        head if head is not None else format_request_head(request),
        DEADLINE_MS,
        max(1, int(timeout_ms)),
        EXPECTED_ENDPOINT,
        endpoint.identity.encode("latin-1"),
        request.body,
    )


def is_response_to(response: HttpResponse, request: ClientRequest) -> bool:
    """Return whether a response echoes the id of a request or carries no request id."""
    echoed_id = find_header(response.headers, REQUEST_ID)
    return echoed_id is None or echoed_id.decode("latin-1") == request.request_id


def parse_endpoint_response(response: HttpResponse) -> EndpointResponse:
    """Convert an endpoint's response, dropping hop-by-hop header fields.

    A response of another endpoint that has the address now says nothing about the state of the
    endpoint that was meant.
    """
    fields: dict[bytes, bytes] = {}
    headers: Headers = []
    for name, value in response.headers:
        lowered = name.lower()
        # Only the first of several fields with one name counts.
        fields.setdefault(lowered, value)
        if lowered not in _HOP_BY_HOP_FIELDS:
            headers.append((name, value))
    not_executed = _NOT_EXECUTED_KEY in fields
    misdirected = response.status == STATUS_MISDIRECTED
    return EndpointResponse(
        response.status,
        headers,
        response.body,
        fields.get(_SERVER_STAMP_KEY, b"").decode("latin-1"),
        Ran.NO if not_executed or misdirected else Ran.YES,
        misdirected=misdirected,
        load=_parse_load(fields.get(_SERVER_LOAD_KEY)),
        rate_limit_per_s=_parse_rate(fields.get(_SERVER_LIMIT_KEY)),
        leaving=_SERVER_LEAVING_KEY in fields and not misdirected and _is_leaving(fields),
        retry_after_ms=(
            _parse_seconds(fields.get(_RETRY_AFTER_KEY))
            if response.status == STATUS_UNAVAILABLE
            else None
        ),
    )


class PlatformResponseFormat:
    """Implements :class:`persimmonspur.core.fleet.formats.ResponseFormat`."""

    def format_endpoint_response(self, response: EndpointResponse) -> Headers:
        """Pass the endpoint's own headers on."""
        return response.headers

    def format_merged_response(self, results: list[ShardResult], missing: int) -> Headers:
        """Return headers with the stamps of the merged shards and the number of missing ones."""
        stamps = ", ".join(result.stamp for result in results)
        headers = [
            (PART_STAMPS, stamps.encode("latin-1")),
            (b"Content-Type", b"application/octet-stream"),
        ]
        if missing:
            headers.append((MISSING_PARTS, b"%d" % missing))
        return headers

    def format_rejection(self, retry_after_ms: float) -> Headers:
        """Return the delay, in seconds, after which the client may retry."""
        return [(RETRY_AFTER, b"%.3f" % (retry_after_ms / 1000))]

    def format_challenge(self) -> Headers:
        """Return the scheme in which the client sends its API key."""
        return [(CHALLENGE, API_KEY_SCHEME)]

    def format_failure(self) -> Headers:
        """Return no retry advice, since the request may have been executed."""
        return []


def _parse_non_negative_number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if number >= 0 else None


def _parse_rate(value: bytes | None) -> float | None:
    return _parse_non_negative_number(value) if value is not None else None


def _is_leaving(fields: dict[bytes, bytes]) -> bool:
    return fields[_SERVER_LEAVING_KEY].strip() == b"1"


def _parse_seconds(value: bytes | None) -> float | None:
    """Return a number of seconds in milliseconds; dates and other forms are not read."""
    if value is None or _SECONDS.fullmatch(value.strip()) is None:
        return None
    return float(value) * 1000


def _parse_load(value: bytes | None) -> tuple[int, int] | None:
    if value is None:
        return None
    items = value.split(b",")
    if len(items) < 2:
        return None
    running, waiting = parse_digits(items[0].strip()), parse_digits(items[1].strip())
    if running is None or waiting is None:
        return None
    return running, waiting
