"""Tests that the stand-in searcher simulates and counts overload, restarts and expiry."""

import gevent
import pytest

from persimmonspur.adapters.endpoints import HttpEndpointClient
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Endpoint
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.query import SnapshotId
from persimmonspur.standins.searcher import Searcher, SearcherSpec


@pytest.fixture
def searcher():
    searcher = Searcher(SearcherSpec("e", "s", 2, 8, 0.0, {"a": (0, 256)}, ["1.1"]), Clock(), 1)
    searcher.endpoint = Endpoint("e", "s", searcher.serve(), "d", ("a",))
    searcher.client = HttpEndpointClient(Clock())
    yield searcher
    searcher.client.disconnect("e")
    searcher._server.stop()


def search(searcher, name="q/a/1", work_ms=1.0, timeout_ms=5_000.0):
    body = {"once": True, "work_ms": work_ms}
    request = SubRequest(
        name, "q", "s", "a", "e", SnapshotId(1, 1), timeout_ms, 0, False, False, body
    )
    return gevent.spawn(searcher.client.search, searcher.endpoint, request, timeout_ms)


def wait_until(condition):
    while not condition():
        gevent.sleep(0.001)


def test_runs_are_counted_by_request_and_shard_over_all_attempts(searcher):
    assert search(searcher, "q/a/1").get().error is None
    assert search(searcher, "q/a/2").get().error is None
    assert searcher.counts.runs == {"q/a": 2}


def test_restart_breaks_work_and_connections(searcher):
    """Requests that survive a restart would hide that the searcher has become cold."""
    running = search(searcher, work_ms=60_000.0)
    wait_until(lambda: searcher._running_count == 1)
    searcher.restart_cold()
    outcome = running.get()
    assert (outcome.reset, outcome.ran) == (True, Ran.UNKNOWN)
    assert searcher._running_count == 0
    assert searcher.counts.completed == 0


def test_work_ends_at_its_expiry(searcher):
    """The owner frees the slot at the expiry, so longer work would overrun the slots."""
    searcher.slowdown = 1_000.0
    outcome = search(searcher, work_ms=60_000.0, timeout_ms=30.0).get()
    assert outcome.error is ErrorKind.DEADLINE_EXCEEDED
    wait_until(lambda: searcher.counts.expired == 1 and searcher._running_count == 0)


def test_work_above_the_cold_limit_is_an_overrun(searcher):
    searcher.restart_cold()
    first = search(searcher, "q/a/1", work_ms=60_000.0)
    wait_until(lambda: searcher._running_count == 1)
    assert search(searcher, "q/a/2").get().reset
    assert first.get().reset
    assert searcher.counts.cold_overruns == 1


def test_requests_during_a_drain_are_timed(searcher):
    searcher.control({"draining": True})
    assert search(searcher).get().ran is Ran.NO
    assert searcher.counts.drained_requests == 1
    assert searcher.counts.last_drained_ms >= 0.0
