from persimmonspur.entry.handlers import PathHandler
from persimmonspur.entry.server import HttpRequest, ServerResponse


def get_response(handler, target):
    responses = []
    handler.handle(HttpRequest("GET", target, [], b"", 0.0), responses.append)
    return responses[0]


def test_path_handler_ignores_the_query_string():
    # Guards against a readiness check that fails because its URL has a query string.
    handler = PathHandler("/-/ready", lambda: ServerResponse(200, [], b"yes"))
    assert get_response(handler, b"/-/ready").body == b"yes"
    assert get_response(handler, b"/-/ready?x=1").body == b"yes"
    assert get_response(handler, b"/other").status == 404
