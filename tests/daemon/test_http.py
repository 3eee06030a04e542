"""Tests rejections, their `ran` field and the count of active requests."""

import io
import json

import pytest

from fakes import build_instance
from persimmonspur.daemon.filters import admission, standard  # noqa: F401
from persimmonspur.daemon.http import MAX_BODY_BYTES, WsgiApplication
from persimmonspur.daemon.lifecycle import Phase

QUERY = {"service": "shopdesk", "class": "counter", "timeout_ms": 100, "request_id": "r1"}


def call(wsgi_app, method, path, body=b"", query="", length=None):
    response = {}
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(body)) if length is None else length,
        "wsgi.input": io.BytesIO(body),
    }

    def start(status, headers):
        response.update(status=int(status[:3]), headers=dict(headers))

    body_iterable = wsgi_app(environ, start)
    response["body"] = b"".join(body_iterable)
    response["unfinished"] = wsgi_app.active_requests
    body_iterable.close()
    return response


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"timeout_ms": 0}, "timeout_ms: 0.0; allowed: above 0"),
        ({"timeout_ms": "soon"}, "$.timeout_ms"),
        ({"request_id": ""}, "request_id: ''; allowed: 1 to 128"),
        ({"key": 70_000}, "key: 70000; allowed: 0 to 65535"),
        ({"limit": 0}, "limit: 0; allowed: 1 or more"),
        ({"colour": 1}, "colour"),
    ],
)
def test_invalid_body_is_rejected_with_field_value_and_allowed_values(change, message):
    wsgi_app = WsgiApplication(build_instance())
    response = call(wsgi_app, "POST", "/v1/query", json.dumps({**QUERY, **change}).encode())
    document = json.loads(response["body"])
    assert response["status"] == 400
    assert (document["error"], document["ran"]) == ("invalid_request", "no")
    assert message in document["message"]


def test_oversized_body_is_rejected_without_reading_it():
    length = str(MAX_BODY_BYTES + 1)
    response = call(WsgiApplication(build_instance()), "POST", "/v1/query", length=length)
    assert response["status"] == 400
    assert response["headers"]["connection"] == "close"


def test_query_before_the_first_configuration_is_rejected_as_not_run():
    response = call(
        WsgiApplication(build_instance()), "POST", "/v1/query", json.dumps(QUERY).encode()
    )
    assert response["status"] == 503
    assert json.loads(response["body"])["ran"] == "no"


@pytest.mark.parametrize(
    ("change", "ran"),
    [
        ({}, "no"),
        ({"repeatable": False}, "no"),
        ({"repeatable": False, "first_attempt": True, "epoch": 3}, "no"),
    ],
)
def test_rejection_before_a_send_says_that_this_attempt_did_not_run(change, ran):
    """Fields that older clients send about previous attempts must not change `ran`."""
    body = json.dumps({**QUERY, **change}).encode()
    response = call(WsgiApplication(build_instance()), "POST", "/v1/query", body)
    assert json.loads(response["body"])["ran"] == ran


def test_unexpected_error_is_reported_with_ran_unknown():
    instance = build_instance()
    instance.cell = None
    response = call(WsgiApplication(instance), "GET", "/v1/resolve")
    assert response["status"] == 500
    assert json.loads(response["body"])["ran"] == "unknown"


def test_request_is_active_until_the_server_has_written_its_response():
    wsgi_app = WsgiApplication(build_instance())
    assert call(wsgi_app, "GET", "/healthz")["unfinished"] == 1
    assert wsgi_app.active_requests == 0


def test_leaving_instance_closes_connections():
    instance = build_instance()
    assert "connection" not in call(WsgiApplication(instance), "GET", "/healthz")["headers"]
    instance.phase = Phase.LEAVING
    assert call(WsgiApplication(instance), "GET", "/healthz")["headers"]["connection"] == "close"
