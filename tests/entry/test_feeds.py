import random

import gevent
import pytest
from expression import Error, Ok

from persimmonspur.clock import Clock
from persimmonspur.entry import feeds
from persimmonspur.entry.feeds import Feed, Snapshot, Updates
from persimmonspur.errors import ErrorKind, Failure


class Source:
    """Plays results in order, then waits."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []
        self.waits = []
        self.timeouts = []

    def _next(self):
        if not self.results:
            gevent.sleep(60)
        return self.results.pop(0)

    def list(self, timeout_ms):
        self.calls.append("list")
        self.timeouts.append(timeout_ms)
        return self._next()

    def watch(self, revision, wait_ms):
        self.calls.append(revision)
        self.waits.append(wait_ms)
        return self._next()


def fail(kind=ErrorKind.STORE_UNAVAILABLE):
    return Error(Failure.of(kind, "failed"))


@pytest.fixture
def follow(monkeypatch):
    monkeypatch.setattr(feeds, "BACKOFF_FIRST_MS", 1.0)
    monkeypatch.setattr(feeds, "BACKOFF_MAX_MS", 2.0)
    running = []

    def start(*results):
        source = Source(*results)
        taken, store = [], []
        feed = Feed(
            "feed",
            source,
            lambda snapshot, outage: taken.append((snapshot, outage)),
            lambda updates, outage: taken.append((updates, outage)),
            lambda name, failure: store.append(failure is None),
            Clock(),
            random.Random(1),
        )
        source.feed = feed
        feed.start()
        running.append(feed)
        gevent.sleep(0.05)
        return source, taken, store

    yield start
    for feed in running:
        feed.stop()


def test_feed_continues_from_the_last_revision(follow):
    source, taken, _ = follow(
        Ok(Snapshot({"a": 1}, 10)), Ok(Updates((("b", 2),), 12)), Ok(Updates((), 15))
    )
    assert source.calls == ["list", 10, 12, 15]
    assert len(taken) == 2


def test_forgotten_history_lists_again(follow):
    # Guards against changes that are missed after the store dropped its history.
    source, taken, store = follow(
        Ok(Snapshot({}, 10)), fail(ErrorKind.CONFLICT), Ok(Snapshot({"a": 1}, 20))
    )
    assert source.calls == ["list", 10, "list", 20]
    assert store == [True, True]
    assert taken[1] == (Snapshot({"a": 1}, 20), False)


def test_outage_is_told_once_it_ends(follow):
    _source, taken, store = follow(
        Ok(Snapshot({}, 10)), fail(), fail(), Ok(Updates((("a", None),), 11))
    )
    assert store == [True, False, False, True]
    assert taken[1][1] is True


def test_failed_watch_does_not_lose_its_place(follow):
    source, _, _ = follow(Ok(Snapshot({}, 10)), fail(), Ok(Updates((), 11)))
    assert source.calls == ["list", 10, 10, 11]


def test_calls_after_a_failure_wait_only_a_little(follow):
    # Guards against a watch that was sent to a silent store and waits for its full time
    # although the store is back.
    source, _, _ = follow(
        Ok(Snapshot({}, 10)), fail(), fail(), Ok(Updates((), 11)), Ok(Updates((), 12))
    )
    assert source.waits[0] > feeds.PROBE_TIMEOUT_MS
    assert all(wait_ms <= feeds.PROBE_TIMEOUT_MS for wait_ms in source.waits[1:3])
    assert source.waits[3] > feeds.PROBE_TIMEOUT_MS


def test_restarted_feed_calls_at_once_and_keeps_its_place(follow):
    source, _, _ = follow(Ok(Snapshot({}, 10)))
    source.feed.restart()
    gevent.sleep(0.01)
    assert source.calls == ["list", 10, 10]
    assert source.waits[1] <= feeds.PROBE_TIMEOUT_MS


def test_first_list_gives_up_soon_and_later_ones_wait_for_a_slow_store(follow):
    # Guards against a start that waits out a long timeout on a call that was sent while
    # the store was silent, although the store is back.
    source, _, _ = follow(fail(), fail(), fail(), Ok(Snapshot({}, 10)))
    assert source.timeouts[0] <= 400
    assert source.timeouts == sorted(source.timeouts)
    assert source.timeouts[-1] >= 1_500


def test_wait_after_a_failure_ends_when_the_store_answers_another_feed(follow, monkeypatch):
    # Guards against an instance that starts while the store is away and then serves later
    # than it could, because each feed waits for its own next try.
    monkeypatch.setattr(feeds, "BACKOFF_FIRST_MS", 60_000.0)
    monkeypatch.setattr(feeds, "BACKOFF_MAX_MS", 60_000.0)
    source, taken, _ = follow(fail(), Ok(Snapshot({}, 10)))
    told = []
    source.feed.on_store_recovered = lambda: told.append(source.calls[-1])
    assert source.calls == ["list"]
    source.feed.retry_now()
    gevent.sleep(0.02)
    assert source.calls == ["list", "list", 10]
    assert len(taken) == 1
    assert told == ["list"]
