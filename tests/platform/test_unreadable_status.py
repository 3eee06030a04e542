"""Endpoints whose status line is no status of HTTP."""

import gevent
import pytest
from deployments import Deployment
from platformsim import make_route

from persimmonspur.clock import Clock

STATUSES = (0, 99, 600, 999)


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.close()


def start(deployment, *routes):
    deployment.configure(*routes)
    deployment.start()
    with gevent.Timeout(10.0):
        while not (deployment.instance.state.version and list_identities(deployment)):
            gevent.sleep(0.01)


def list_identities(deployment):
    return [endpoint.identity for endpoint in deployment.instance.state.endpoints.list_all()]


def spoil_first_response(searchers, status):
    """Let the first of all responses carry a status."""
    first = []

    def respond(searcher, headers):
        response = searcher.build_response(headers)
        if first:
            return response
        first.append(searcher)
        return response.replace(b" 200 ", b" %03d " % status, 1)

    for searcher in searchers:
        searcher.respond = lambda headers, searcher=searcher: respond(searcher, headers)


@pytest.mark.parametrize("status", STATUSES)
def test_request_with_an_unreadable_response_may_have_run(deployment, status):
    # Guards against 504 at the deadline, against a second run, and against a status that no
    # client understands.
    searcher = deployment.add_searcher("i-1", "s1")
    spoil_first_response([searcher], status)
    start(deployment, make_route(kind="non_idempotent"))
    started_ms = Clock().now_ms()
    answer = deployment.send_request("/one/x", "POST", b"{}", deadline_ms=2_000)
    assert answer[0] == 502
    assert Clock().now_ms() - started_ms < 1_500
    assert len(searcher.executed) == 1


@pytest.mark.parametrize("status", STATUSES)
def test_idempotent_request_is_sent_to_another_endpoint(deployment, status):
    searchers = [deployment.add_searcher(f"i-{number}", "s1") for number in range(2)]
    spoil_first_response(searchers, status)
    start(deployment, make_route())
    with gevent.Timeout(10.0):
        while len(list_identities(deployment)) < 2:
            gevent.sleep(0.01)
    assert deployment.send_request("/one/x", request_id="r1")[0] == 200
    assert [searcher.executed for searcher in searchers] == [["r1"], ["r1"]]
