import random

import gevent
import pytest
from expression import Error, Ok

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.entry import feeds
from persimmonspur.entry.feeds import Feed, Snapshot, Updates
from persimmonspur.errors import ErrorKind, Failure


def at(revision, era=1):
    return StorePosition(era, revision)


class ScriptedSource:
    """Returns scripted results in order, then blocks."""

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

    def watch(self, position, wait_ms):
        self.calls.append(position.revision)
        self.waits.append(wait_ms)
        return self._next()


def make_failure(kind=ErrorKind.STORE_UNAVAILABLE):
    return Error(Failure.of(kind, "failed"))


@pytest.fixture
def start_feed(monkeypatch):
    monkeypatch.setattr(feeds, "BACKOFF_FIRST_MS", 1.0)
    monkeypatch.setattr(feeds, "BACKOFF_MAX_MS", 2.0)
    running = []

    def start(*results, **options):
        source = ScriptedSource(*results)
        received, call_results = [], []
        feed = Feed(
            "feed",
            source,
            lambda snapshot, outage: received.append((snapshot, outage)),
            lambda updates, outage: received.append((updates, outage)),
            lambda name, failure, position: call_results.append(failure is None),
            Clock(),
            random.Random(1),
            **options,
        )
        source.feed = feed
        feed.start()
        running.append(feed)
        gevent.sleep(0.05)
        return source, received, call_results

    yield start
    for feed in running:
        feed.stop()


def test_watch_continues_from_the_last_revision(start_feed):
    source, received, _ = start_feed(
        Ok(Snapshot({"a": 1}, at(10))), Ok(Updates((("b", 2),), at(12))), Ok(Updates((), at(15)))
    )
    assert source.calls == ["list", 10, 12, 15]
    assert len(received) == 2


def test_discarded_history_causes_a_new_list(start_feed):
    # Guards against missing changes after the store discarded its history.
    source, received, call_results = start_feed(
        Ok(Snapshot({}, at(10))), make_failure(ErrorKind.CONFLICT), Ok(Snapshot({"a": 1}, at(20)))
    )
    assert source.calls == ["list", 10, "list", 20]
    assert call_results == [True, True]
    assert received[1] == (Snapshot({"a": 1}, at(20)), False)


def test_list_after_a_lost_history_is_kept_as_changes(start_feed):
    # Guards against followers of a relay that all have to list after the store was compacted.
    source, _, _ = start_feed(
        Ok(Snapshot({"a": 1, "b": 2}, at(10))),
        make_failure(ErrorKind.CONFLICT),
        Ok(Snapshot({"b": 3, "c": 4}, at(20))),
    )
    batch = source.feed.history.collect_since(at(10))
    assert batch.changes == (("a", None), ("b", 3), ("c", 4))
    assert batch.position == at(20)


def test_list_of_another_era_is_not_kept_as_changes(start_feed):
    # Guards against followers that apply changes between two histories of the store.
    source, _, _ = start_feed(
        Ok(Snapshot({"a": 1}, at(10))),
        make_failure(ErrorKind.CONFLICT),
        Ok(Snapshot({"a": 2}, at(5, era=2))),
    )
    assert source.feed.history.collect_since(at(10)) is None
    assert source.feed.history.collect_since(at(4, era=2)) is None


def test_first_result_after_an_outage_is_flagged(start_feed):
    _source, received, call_results = start_feed(
        Ok(Snapshot({}, at(10))),
        make_failure(),
        make_failure(),
        Ok(Updates((("a", None),), at(11))),
    )
    assert call_results == [True, False, False, True]
    assert received[1][1] is True


def test_failed_watch_is_retried_from_the_same_revision(start_feed):
    source, _, _ = start_feed(Ok(Snapshot({}, at(10))), make_failure(), Ok(Updates((), at(11))))
    assert source.calls == ["list", 10, 10, 11]


def test_calls_after_a_failure_wait_only_a_little(start_feed):
    # Guards against a watch that was sent while the store hung and that blocks for the full
    # timeout although the store has recovered.
    source, _, _ = start_feed(
        Ok(Snapshot({}, at(10))),
        Ok(Updates((), at(11))),
        make_failure(),
        make_failure(),
        Ok(Updates((), at(12))),
        Ok(Updates((), at(13))),
    )
    assert source.waits[1] > feeds.PROBE_TIMEOUT_MS
    assert all(wait_ms <= feeds.PROBE_TIMEOUT_MS for wait_ms in source.waits[2:4])
    assert source.waits[4] > feeds.PROBE_TIMEOUT_MS


def test_restarted_feed_watches_at_once_from_the_same_revision(start_feed):
    source, _, _ = start_feed(Ok(Snapshot({}, at(10))))
    source.feed.restart()
    gevent.sleep(0.01)
    assert source.calls == ["list", 10, 10]
    assert source.waits[1] <= feeds.PROBE_TIMEOUT_MS


def test_list_timeout_is_short_at_first_and_grows(start_feed):
    # Guards against a start that waits for the long timeout of a list that was sent while
    # the store hung, although the store has recovered.
    source, _, _ = start_feed(
        make_failure(), make_failure(), make_failure(), Ok(Snapshot({}, at(10)))
    )
    assert source.timeouts[0] <= 400
    assert source.timeouts == sorted(source.timeouts)
    assert source.timeouts[-1] >= 1_500


def test_backoff_ends_when_the_store_answers_another_feed(start_feed, monkeypatch):
    # Guards against a delayed start after a store outage because each feed waits for the end
    # of its own backoff.
    monkeypatch.setattr(feeds, "BACKOFF_FIRST_MS", 60_000.0)
    monkeypatch.setattr(feeds, "BACKOFF_MAX_MS", 60_000.0)
    source, received, _ = start_feed(make_failure(), Ok(Snapshot({}, at(10))))
    recovered = []
    source.feed.on_store_recovered = lambda outage_started_ms: recovered.append(source.calls[-1])
    assert source.calls == ["list"]
    source.feed.retry_now()
    gevent.sleep(0.02)
    assert source.calls == ["list", "list", 10]
    assert len(received) == 1
    assert recovered == ["list"]


def test_restarts_without_an_answer_are_counted(start_feed):
    # Guards against a log that cannot tell a call that hangs from one that is repeated.
    source, _, _ = start_feed(Ok(Snapshot({}, at(10))))
    source.feed.restart()
    gevent.sleep(0.02)
    source.feed.restart()
    gevent.sleep(0.02)
    assert source.feed.unanswered_restarts == 2
    assert 10 < source.feed.call_age_ms < 1_000
    source.results.append(Ok(Updates((), at(11))))
    source.feed.restart()
    gevent.sleep(0.02)
    assert source.feed.unanswered_restarts == 0


def test_verified_watch_after_changes_is_short_until_one_is_answered_empty(start_feed):
    # Guards against a watch that is sent into a silence of the store and hangs for its full time.
    source, _, _ = start_feed(
        Ok(Snapshot({}, at(10))),
        Ok(Updates((("a", 1),), at(11))),
        Ok(Updates((), at(12))),
        Ok(Updates((), at(13))),
        verifies_watches=lambda: True,
    )
    after_list, after_changes, *after_empty = source.waits
    assert max(after_list, after_changes) <= feeds.PROBE_TIMEOUT_MS
    assert min(after_empty) > feeds.PROBE_TIMEOUT_MS


def test_brief_watches_confirm_the_state_often(start_feed):
    # Guards against a state that counts as unconfirmed during a long watch without changes.
    source, _, _ = start_feed(
        Ok(Snapshot({}, at(10))),
        Ok(Updates((), at(11))),
        Ok(Updates((), at(12))),
        watches_briefly=lambda: True,
    )
    assert max(source.waits) <= feeds.PROBE_TIMEOUT_MS


def test_only_a_call_sent_during_the_outage_is_repeated(start_feed):
    # Guards against feeds that hang while another feed already reaches the store again, and
    # against repeating the calls that will be answered.
    source, _, _ = start_feed(Ok(Snapshot({}, at(10))))
    sent_before_ms = source.feed._clock.now_ms() - source.feed.call_age_ms
    source.feed.restart_call_sent_since(sent_before_ms + 1)
    gevent.sleep(0.02)
    assert source.calls == ["list", 10]
    source.feed.restart_call_sent_since(sent_before_ms - 1)
    gevent.sleep(0.02)
    assert source.calls == ["list", 10, 10]


def test_first_watch_after_a_list_is_short(start_feed):
    # Guards against instances that start while the store falls silent and hang for the full
    # time of a watch, and against followers that watch the store long after a relay is known.
    source, _, _ = start_feed(Ok(Snapshot({}, at(10))), Ok(Updates((), at(11))))
    assert source.waits[0] <= feeds.PROBE_TIMEOUT_MS < source.waits[1]


class RaisingSource(ScriptedSource):
    """Raises the results that are exceptions."""

    def _next(self):
        result = super()._next()
        if isinstance(result, Exception):
            raise result
        return result


def start_raising_feed(monkeypatch, results, on_updates=lambda updates, outage: None):
    monkeypatch.setattr(feeds, "BACKOFF_FIRST_MS", 1.0)
    source = RaisingSource(*results)
    errors = []
    feed = Feed(
        "feed",
        source,
        lambda snapshot, outage: None,
        on_updates,
        lambda name, failure, position: None,
        Clock(),
        random.Random(1),
    )
    feed.on_exception = lambda name, error: errors.append((name, str(error)))
    feed.start()
    gevent.sleep(0.1)
    feed.stop()
    return source, feed, errors


def test_feed_continues_after_an_exception_of_its_source(monkeypatch):
    # Guards against a feed whose greenlet ended, so that no change is noticed any more.
    source, feed, errors = start_raising_feed(
        monkeypatch,
        [
            RecursionError("too deep"),
            Ok(Snapshot({"a": 1}, at(10))),
            ValueError("digits"),
            Ok(Snapshot({"b": 1}, at(12))),
            Ok(Updates((("c", 2),), at(13))),
        ],
    )
    assert errors == [("feed", "too deep"), ("feed", "digits")]
    assert source.calls == ["list", "list", 10, "list", 12, 13]
    assert feed.items == {"b": 1, "c": 2}
    assert feed.history.collect_since(at(10)).changes == (("a", None), ("b", 1), ("c", 2))


def test_feed_lists_again_after_changes_that_could_not_be_applied(monkeypatch):
    # Guards against a state of which only a part of the changes was applied.
    def refuse(updates, outage):
        raise TypeError("not applied")

    source, feed, errors = start_raising_feed(
        monkeypatch,
        [
            Ok(Snapshot({"a": 1}, at(10))),
            Ok(Updates((("a", 2),), at(11))),
            Ok(Snapshot({"a": 2}, at(11))),
        ],
        refuse,
    )
    assert errors == [("feed", "not applied")]
    assert source.calls == ["list", 10, "list", 11]
    assert feed.items == {"a": 2}


def test_pause_after_exceptions_grows(monkeypatch):
    # Guards against a list in quick succession for as long as some entry raises.
    source, _, errors = start_raising_feed(monkeypatch, [ValueError("again")] * 100)
    assert 3 <= len(errors) <= 10
    assert source.calls == ["list"] * len(errors)


def list_urgent_calls(start_feed, *updates, expects_urgent=True):
    """Return the calls within 50 ms of a feed for which a removed object is urgent."""
    source, _, _ = start_feed(
        Ok(Snapshot({"a": 1, "b": 1}, at(10))),
        *(Ok(update) for update in updates),
        batch_delay_ms=60_000.0,
        is_urgent=lambda before, after: before is not None and after is None,
        expects_urgent=lambda: expects_urgent,
    )
    return source.calls


def test_watch_after_an_urgent_change_is_sent_at_once(start_feed):
    # Guards against a second urgent change that waits for the pause after the first.
    calls = list_urgent_calls(
        start_feed, Updates((("a", None),), at(11)), Updates((("b", None),), at(12))
    )
    assert calls == ["list", 10, 11, 12]


def test_changes_are_batched_while_none_is_urgent(start_feed):
    # Guards against a call of the store for each change where all changes have seconds to take
    # effect.
    calls = list_urgent_calls(
        start_feed,
        Updates((("a", None),), at(11)),
        Updates((("b", None),), at(12)),
        expects_urgent=False,
    )
    assert calls == ["list", 10]


def test_changes_that_can_wait_are_batched_at_the_start(start_feed):
    calls = list_urgent_calls(start_feed, Updates((("c", 1),), at(11)), Updates((), at(12)))
    assert calls == ["list", 10]


def test_changes_from_a_relay_are_followed_by_a_poll_at_once(start_feed):
    # Guards against a pause at each instance in the chain from the store.
    calls = list_urgent_calls(start_feed, Updates((("c", 1),), at(11), relayed=True))
    assert calls == ["list", 10, 11]


class RepeatingSource:
    """Answers each watch at once with the same result."""

    def __init__(self, watched):
        self.watched = watched
        self.calls = 0

    def list(self, timeout_ms):
        self.calls += 1
        gevent.sleep(0)
        return Ok(Snapshot({}, at(10)))

    def watch(self, position, wait_ms):
        self.calls += 1
        gevent.sleep(0)
        return self.watched


@pytest.mark.parametrize(
    "watched", [make_failure(ErrorKind.CONFLICT), Ok(Updates((), at(10)))], ids=["gone", "empty"]
)
def test_store_that_answers_watches_at_once_is_not_called_without_pause(watched):
    # Guards against a feed that calls a faulty store, or a relay, as fast as it answers.
    source = RepeatingSource(watched)
    feed = Feed(
        "feed",
        source,
        lambda snapshot, outage: None,
        lambda updates, outage: None,
        lambda name, failure, position: None,
        Clock(),
        random.Random(1),
    )
    feed.start()
    gevent.sleep(1.0)
    feed.stop()
    assert 3 <= source.calls < 20
