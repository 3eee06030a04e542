import pytest

from persimmonspur.digits import parse_digits
from persimmonspur.entry.options import read_options
from persimmonspur.entry.relays import RelayHandler
from persimmonspur.entry.server import HttpRequest


@pytest.mark.parametrize(
    ("text", "number"), [("0", 0), (b"17", 17), ("007", 7), ("9" * 18, 10**18 - 1)]
)
def test_digits_are_converted(text, number):
    assert parse_digits(text) == number


@pytest.mark.parametrize(
    "text", ["", b"", "\u00b2", "\u0668", b"\xb2", "-1", " 1", "1.0", "9" * 19]
)
def test_everything_else_is_no_number(text):
    # Guards against characters that count as digits and that int refuses, and against numbers
    # that messages cannot carry.
    assert parse_digits(text) is None


@pytest.mark.parametrize("after", ["%C2%B2.1", "1.%C2%B2", "1." + "9" * 5_000, "1", "1.2.3"])
def test_poll_with_an_unreadable_position_is_not_found(after):
    # Guards against an exception in the server for polls of other instances.
    responses = []
    handler = RelayHandler({"endpoints": None})
    request = HttpRequest("GET", f"/changes/endpoints?after={after}".encode(), [], b"", 0.0)
    handler.handle(request, responses.append)
    assert [response.status for response in responses] == [404]


def test_unreadable_port_in_the_environment_is_reported():
    environment = {"PERSIMMONSPUR_METRICS_ADDRESS": "127.0.0.1:\u00b2"}
    assert read_options(environment).is_error()
