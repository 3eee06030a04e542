import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.messages import ShardResult
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.entry.server import HttpRequest
from persimmonspur.errors import Ran
from persimmonspur.platform import headers

ENDPOINT = Endpoint("i-1", "s", "10.0.0.1:80", "d", 4)


def make_request(*fields, body=b"", method="GET"):
    return HttpRequest(method, b"/a/b?c=d", list(fields), body, 5.0)


def test_request_is_forwarded_unchanged_except_hop_by_hop_headers():
    # Guards against changing the method, path, body or request id on the way to the endpoint.
    received = headers.parse_client_request(
        make_request(
            (b"Host", b"h"),
            (b"X-Request-Id", b"abc"),
            (b"X-Deadline-Ms", b"600"),
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Expect-Instance", b"forged"),
            (b"X-Other", b"2"),
            body=b"xyz",
            method="POST",
        )
    )
    assert received.timeout_ms == 600 and received.request_id == "abc"
    data = headers.format_endpoint_request(received, ENDPOINT, 480.7)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a/b?c=d HTTP/1.1"
    assert body == b"xyz"
    assert set(lines[1:]) == {
        b"Host: h",
        b"X-Request-Id: abc",
        b"X-Other: 2",
        b"Content-Length: 3",
        b"X-Deadline-Ms: 480",
        b"X-Expect-Instance: i-1",
    }


@given(st.binary(max_size=20))
def test_any_deadline_is_read_or_ignored(value):
    received = headers.parse_client_request(make_request((b"X-Deadline-Ms", value)))
    assert received.timeout_ms is None or received.timeout_ms >= 0


def test_response_to_another_request_is_recognized():
    request = headers.parse_client_request(make_request((b"X-Request-Id", b"abc")))
    own = HttpResponse(200, [(b"x-request-id", b"abc")], b"", True)
    other = HttpResponse(200, [(b"X-Request-Id", b"abd")], b"", True)
    assert headers.is_response_to(own, request)
    assert not headers.is_response_to(other, request)


def test_rejections_say_that_the_request_did_not_run():
    shed = headers.parse_endpoint_response(
        HttpResponse(503, [(b"X-Not-Executed", b"1")], b"", True)
    )
    assert shed.ran is Ran.NO and not shed.misdirected
    other = headers.parse_endpoint_response(HttpResponse(421, [], b"", True))
    assert other.ran is Ran.NO and other.misdirected
    failed = headers.parse_endpoint_response(HttpResponse(503, [], b"", True))
    assert failed.ran is Ran.YES


def test_load_is_parsed_and_invalid_values_are_ignored():
    reply = headers.parse_endpoint_response(
        HttpResponse(200, [(b"X-Server-Load", b"3,1,4")], b"", True)
    )
    assert reply.load == (3, 1)
    reply = headers.parse_endpoint_response(
        HttpResponse(200, [(b"X-Server-Load", b"a,b")], b"", True)
    )
    assert reply.load is None


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"9.8", 9.8), (b"0", 0.0), (b" 12 ", 12.0), (b"-1", None), (b"nan", None), (b"fast", None)],
)
def test_limit_is_parsed_and_invalid_values_are_ignored(value, expected):
    response = HttpResponse(200, [(b"server-limit", value)], b"", True)
    assert headers.parse_endpoint_response(response).rate_limit_per_s == expected
    assert (
        headers.parse_endpoint_response(HttpResponse(200, [], b"", True)).rate_limit_per_s is None
    )


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_endpoint_is_recognized_in_any_response(status):
    response = HttpResponse(status, [(b"server-leaving", b" 1 ")], b"", True)
    assert headers.parse_endpoint_response(response).leaving


@pytest.mark.parametrize(
    ("status", "fields"),
    [(200, []), (200, [(b"Server-Leaving", b"0")]), (421, [(b"Server-Leaving", b"1")])],
)
def test_staying_endpoint_is_not_taken_for_a_leaving_one(status, fields):
    # Guards against an endpoint that is given up because of the one that has its address now.
    assert not headers.parse_endpoint_response(HttpResponse(status, fields, b"", True)).leaving


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"2", 2_000.0),
        (b" 0.25 ", 250.0),
        (b".5", 500.0),
        (b"0", 0.0),
        (b"9" * 400, float("inf")),
        (b"-1", None),
        (b"1_0", None),
        (b"nan", None),
        (b"\xb2", None),
        (b"", None),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_retry_after_is_parsed_and_unreadable_values_are_ignored(value, expected):
    response = HttpResponse(503, [(b"Retry-After", value)], b"", True)
    assert headers.parse_endpoint_response(response).retry_after_ms == expected


@pytest.mark.parametrize("status", [200, 421, 429, 500])
def test_only_a_503_names_a_time_for_which_the_endpoint_wants_no_requests(status):
    response = HttpResponse(status, [(b"Retry-After", b"2")], b"", True)
    assert headers.parse_endpoint_response(response).retry_after_ms is None


def test_merged_response_lists_its_shards():
    response_format = headers.PlatformResponseFormat()
    fields = dict(
        response_format.format_merged_response(
            [ShardResult("s", "p1", b""), ShardResult("t", "p2", b"")], 1
        )
    )
    assert fields[b"X-Part-Stamps"] == b"p1, p2"
    assert fields[b"X-Missing-Parts"] == b"1"
    assert b"X-Missing-Parts" not in dict(
        response_format.format_merged_response([ShardResult("s", "p1", b"")], 0)
    )


def test_rejection_carries_a_retry_delay():
    assert headers.PlatformResponseFormat().format_rejection(250.0) == [(b"Retry-After", b"0.250")]


@pytest.mark.parametrize("load", [b"9" * 5_000 + b",0", b"0," + b"9" * 400, b"1", b"1,-1", b"x,y"])
def test_unreadable_load_of_an_endpoint_is_ignored(load):
    # Guards against a response that raises, so that its request waits for the deadline.
    response = HttpResponse(200, [(b"X-Server-Load", load)], b"", True)
    assert headers.parse_endpoint_response(response).load is None
