"""Tests of entry instances that learn from each other which requests crash endpoints."""

import gevent
import pytest
from deployments import Deployment, register_with_each_other
from platformsim import make_route

from persimmonspur.core.fleet.quarantine import QUARANTINE_CRASHES

DEADLY = "/one/deadly"


@pytest.fixture
def first(tmp_path):
    first = Deployment(tmp_path, name="front-1")
    for index in range(5):
        first.add_searcher(f"i-{index}", "s1")
    for searcher in first.searchers.values():
        searcher.respond = lambda headers, searcher=searcher: crash_on_deadly_path(searcher)
    first.configure(make_route())
    first.start()
    yield first
    first.close()


def crash_on_deadly_path(searcher):
    line, headers, _ = searcher.received[-1]
    return None if DEADLY in line else searcher.build_response(headers)


def count_executed(deployment):
    return sum(len(searcher.executed) for searcher in deployment.searchers.values())


def start_peer(first, tmp_path):
    peer = Deployment(tmp_path, store=first.store, name="front-2")
    peer.start()
    register_with_each_other(first, peer)
    return peer


def test_no_instance_sends_a_request_that_crashed_three_endpoints(first, tmp_path):
    # Guards against each instance finding out by itself, and against one that restarts and
    # knows nothing of before.
    peer = start_peer(first, tmp_path)
    try:
        for number in range(4):
            first.send_request(DEADLY, request_id=f"d{number}")
        gevent.sleep(0.2)
        assert peer.send_request(DEADLY, request_id="d4")[0] == 503
        peer.close()
        peer = start_peer(first, tmp_path)
        gevent.sleep(1.0)
        status, fields, _ = peer.send_request(DEADLY, request_id="d5")
        assert status == 503 and float(fields["retry-after"]) > 60.0
        assert count_executed(first) == QUARANTINE_CRASHES
        assert peer.send_request("/one/sound")[0] == 200
    finally:
        peer.close()


def test_quarantine_is_explained_in_the_log(first):
    for number in range(4):
        first.send_request(DEADLY, request_id=f"d{number}")
    lines = first.read_log()
    standings = [line["standing"] for line in lines if line["name"] == "request_standing"]
    assert standings == ["suspected", "quarantined"]
    outcomes = [line["outcome"] for line in lines if line["name"] == "request_answered"]
    assert outcomes == ["failed", "quarantined", "quarantined", "quarantined"]
