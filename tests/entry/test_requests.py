"""Tests of the parser for client requests: what is legal is read, all else costs little."""

import gc
import weakref

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.requests import (
    MAX_REQUEST_LINE_REST_BYTES,
    RequestParser,
    estimate_largest_request,
)

LIMITS = ClientLimits()
SMALL = ClientLimits(1_000, 5_000, 300.0, 600.0)
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 4_096


def make_parser(limits=LIMITS):
    return RequestParser(lambda: limits, Clock(), lambda: None)


def feed(parser, data, size=READ_BYTES):
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])


def read(data, limits=LIMITS, size=READ_BYTES):
    parser = make_parser(limits)
    feed(parser, data, size)
    return parser


def make_largest_head(max_header_bytes=LIMITS.max_header_bytes):
    """Return a head of exactly the largest size that consists of the shortest lines."""
    head = b"GET /a HTTP/1.1\r\nHost: h\r\n"
    count, padding = divmod(max_header_bytes - len(head) - 2, 4)
    return head[:-2] + b"h" * padding + b"\r\n" + b"a:\r\n" * count + b"\r\n"


@pytest.mark.parametrize("size", [1, 7, READ_BYTES, 65_536])
def test_largest_head_of_the_shortest_lines_is_read(size):
    # Guards against a limit on lines, or a count of bytes, that refuses a legal head.
    head = make_largest_head()
    assert len(head) == LIMITS.max_header_bytes
    parser = read(head, size=size)
    assert parser.error is None
    assert len(parser.pop().request.headers) > 4_000


@pytest.mark.parametrize("size", [1, READ_BYTES, 65_536])
def test_head_over_the_limit_is_refused(size):
    largest = LIMITS.max_header_bytes + MAX_REQUEST_LINE_REST_BYTES
    parser = read(make_largest_head(largest + 1), size=size)
    assert parser.error.status == 431 and not parser.completed


@pytest.mark.parametrize("size", [1, READ_BYTES, 65_536])
def test_limit_counts_the_target_and_the_header_lines(size):
    # Guards against refusing a client whose header lines alone are as large as allowed.
    target = b"/a"
    line = b"h: " + b"x" * (LIMITS.max_header_bytes - len(target) - 5) + b"\r\n"
    parser = read(b"OPTIONS " + target + b" HTTP/1.1\r\n" + line + b"\r\n", size=size)
    assert parser.error is None and len(parser.completed) == 1


def test_head_within_the_limit_is_read_behind_another_request():
    # Guards against counting the bytes of an earlier request as part of the next head.
    first = b"POST /a HTTP/1.1\r\nContent-Length: 6000\r\n\r\n" + b"x" * 6_000
    parser = read(first + make_largest_head() * 2, size=16_384)
    assert parser.error is None and len(parser.completed) == 3


def test_largest_body_in_one_byte_chunks_with_trailers_is_read():
    # Guards against a limit on chunk framing that refuses a legal body.
    size = LIMITS.max_body_bytes
    trailers = b"a:\r\n" * 4_000
    parser = read(CHUNKED + b"01\r\nx\r\n" * size + b"0\r\n" + trailers + b"\r\n")
    assert parser.error is None
    request = parser.pop().request
    assert request.body == b"x" * size


def test_trailers_are_not_headers():
    # Guards against a trailer that replaces a header, such as the host that selects the route.
    parser = read(CHUNKED + b"1\r\na\r\n0\r\nHost: other\r\nX-Request-Id: z\r\n\r\n")
    names = [name for name, _ in parser.pop().request.headers]
    assert names == [b"Host", b"Transfer-Encoding"]


@pytest.mark.parametrize(
    ("start", "repeated", "reason"),
    [
        (b"GET /a HTTP/1.1\r\n", b"a:\r\n", "head"),
        (b"GET /a HTTP/1.1\r\na: ", b"b", "head"),
        (b"GET /", b"a", "head"),
        (b"", b"\r\n", "empty_lines"),
        (b"GET /a HTTP/1.1\r\n\r\n", b"\r\n", "empty_lines"),
        (CHUNKED + b"1\r\na\r\n0\r\n", b"a: b\r\n", "framing"),
        (CHUNKED + b"1\r\na\r\n0\r\na: ", b"b", "framing"),
        (CHUNKED + b"1;", b"a", "framing"),
        (CHUNKED + b"1;", b"a=b;", "framing"),
        (CHUNKED, b"1;" + b"a" * 900 + b"\r\nx\r\n", "framing"),
        (CHUNKED, b"1\r\nx\r\n", "body"),
    ],
)
@pytest.mark.parametrize("size", [5, READ_BYTES])
def test_data_without_end_is_refused_early(start, repeated, reason, size):
    # Guards against a connection that costs memory or parsing without a bound.
    parser = make_parser(SMALL)
    feed(parser, start, size)
    largest_bytes = fed_bytes = 0
    while parser.error is None:
        feed(parser, repeated * (size // len(repeated) + 1), size)
        fed_bytes += size
        largest_bytes = max(largest_bytes, parser.memory_bytes)
        assert fed_bytes < 200_000
    assert parser.error.reason == reason
    # One read may pass a limit before it is noticed.
    assert largest_bytes <= estimate_largest_request(SMALL) + 2 * READ_BYTES + 256 * READ_BYTES // 4


def test_content_length_over_the_limit_is_refused_before_the_body():
    parser = read(b"POST /a HTTP/1.1\r\nContent-Length: 262145\r\n\r\n")
    assert parser.error.status == 413


def test_empty_lines_before_a_request_are_skipped():
    parser = read(b"\r\n\r\n", size=1)
    assert not parser.receiving and parser.memory_bytes == 0
    parser.feed(b"\r\nGET /a HTTP/1.1\r\n\r\n")
    assert parser.pop().request.target == b"/a"


def test_memory_of_requests_is_counted_until_they_are_taken():
    parser = read(b"GET /a HTTP/1.1\r\na: b\r\n\r\n" * 3)
    counted = parser.memory_bytes
    assert counted > 3 * 1_024
    parser.pop()
    assert parser.memory_bytes == counted * 2 // 3
    parser.pop()
    parser.pop()
    assert parser.memory_bytes == 0


def test_largest_legal_request_is_not_counted_as_more_than_estimated():
    # Guards against a budget that has no room for a legal request.
    head = make_largest_head()[:-4].replace(b"GET", b"POST", 1)
    length = b"Content-Length: 262144\r\n"
    head = head[: LIMITS.max_header_bytes - len(length) - 64]
    head = head[: head.rindex(b"\r\n") + 2]
    parser = make_parser()
    feed(parser, head + length + b"\r\n" + b"x" * LIMITS.max_body_bytes)
    assert len(parser.completed) == 1
    assert parser.memory_bytes <= estimate_largest_request(LIMITS)


def test_release_frees_the_parser_without_garbage_collection():
    # Guards against the memory of closed connections, which a reference cycle would keep.
    parser = read(b"GET /a HTTP/1.1\r\na: ")
    reference = weakref.ref(parser)
    gc.disable()
    try:
        parser.release()
        del parser
        assert reference() is None
    finally:
        gc.enable()


TOKENS = st.text("abcXYZ019!#$%&'*+-.^_`|~", min_size=1, max_size=12).map(str.encode)
VALUES = st.binary(max_size=20).map(
    lambda value: bytes(byte for byte in value if byte >= 32 and byte != 127).strip()
)
FIELDS = st.lists(st.tuples(TOKENS.map(lambda name: b"x" + name), VALUES), max_size=8)


def format_fields(fields):
    return b"".join(name + b": " + value + b"\r\n" for name, value in fields)


@st.composite
def legal_requests(draw):
    """Return the bytes of a request, its header fields and its body."""
    fields = draw(FIELDS)
    pieces = draw(st.lists(st.binary(min_size=1, max_size=40), max_size=6))
    body = b"".join(pieces)
    start = draw(st.sampled_from([b"", b"\r\n"])) + b"POST /a HTTP/1.1\r\n"
    if not draw(st.booleans()):
        length = (b"Content-Length", b"%d" % len(body))
        fields = [*fields, length]
        return start + format_fields(fields) + b"\r\n" + body, fields, body
    fields = [*fields, (b"Transfer-Encoding", b"chunked")]
    chunks = b""
    for piece in pieces:
        extension = draw(st.sampled_from([b"", b";a", b";a=b", b';a="b c"']))
        chunks += b"%x%b\r\n%b\r\n" % (len(piece), extension, piece)
    chunks += b"0\r\n" + format_fields(draw(FIELDS)) + b"\r\n"
    return start + format_fields(fields) + b"\r\n" + chunks, fields, body


@given(
    st.lists(legal_requests(), min_size=1, max_size=3),
    st.lists(st.integers(1, 30), min_size=1, max_size=40),
)
def test_legal_requests_are_read_however_they_are_split(requests, sizes):
    # Guards against a limit that depends on how the network splits a request.
    data = b"".join(request[0] for request in requests)
    parser = make_parser()
    position = turn = 0
    while position < len(data):
        size = sizes[turn % len(sizes)]
        parser.feed(data[position : position + size])
        position += size
        turn += 1
    assert parser.error is None and not parser.receiving
    assert len(parser.completed) == len(requests)
    for _, fields, body in requests:
        request = parser.pop().request
        assert request.headers == fields and request.body == body


@given(st.binary(max_size=400), st.integers(1, 50))
def test_random_bytes_never_raise(data, size):
    parser = read(data, SMALL, size)
    assert parser.memory_bytes <= estimate_largest_request(SMALL)
