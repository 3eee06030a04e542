"""Keeps a local copy of one kind of object in the store: list once, then watch for changes."""

import random
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import gevent
from attrs import frozen
from expression import Result
from gevent.event import Event

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.history import ChangeBatch, ChangeHistory
from persimmonspur.core.fleet.pacing import WatchPacer
from persimmonspur.core.fleet.position import NO_POSITION, StorePosition
from persimmonspur.errors import ErrorKind, Failure

T = TypeVar("T")

WATCH_TIMEOUT_MS = 20_000.0
# Watch timeout after a list, after a failed call, and after changes where watches are verified.
# A store that hung never answers the calls it received meanwhile, so a long watch that was sent
# then would delay noticing its recovery.
PROBE_TIMEOUT_MS = 1_000.0
# The first list has a short timeout because a store that hung and recovered answers only
# the next call. The timeout doubles up to the maximum to allow for a slow store.
FIRST_LIST_TIMEOUT_MS = 400.0
MAX_LIST_TIMEOUT_MS = 1_600.0
BACKOFF_FIRST_MS = 150.0
BACKOFF_MAX_MS = 1_500.0
# Enough for the longest backoff.
MAX_DOUBLINGS = 10
# A watch without changes that is answered sooner was not held by the store or the relay.
MIN_WATCH_MS = 50.0
# Longest backoff after unexpected exceptions. Each is followed by a list, which costs more than a
# watch.
EXCEPTION_BACKOFF_MAX_MS = 5_000.0
# Removals within this time after an outage may be entries that expired during the outage.
# The same holds for entries that are missing after the store was restored from a copy.
RECOVERY_PERIOD_MS = 2_500.0


@frozen
class Snapshot(Generic[T]):
    """All objects of one kind at one position in the store.

    :param newest: position of the latest change among the objects.
    :param rejected: one failure for each invalid entry.
    """

    items: dict[str, T]
    position: StorePosition
    newest: StorePosition = NO_POSITION
    rejected: tuple[Failure, ...] = ()


@frozen
class Updates(Generic[T]):
    """Changes since a position; a removed object is ``None``.

    :param newest: position of the latest change among them; unknown without changes.
    :param rejected: one failure for each invalid entry.
    :param recovering: whether the relay that sent them recently lost the store.
    :param relayed: whether a relay sent them, which paces its own calls of the store.
    """

    changes: tuple[tuple[str, T | None], ...]
    position: StorePosition
    newest: StorePosition = NO_POSITION
    rejected: tuple[Failure, ...] = ()
    recovering: bool = False
    relayed: bool = False


class Source(Protocol[T]):
    """Lists and watches one kind of object."""

    def list(self, timeout_ms: float) -> Result[Snapshot[T], Failure]:
        """Return all objects.

        :param timeout_ms: timeout of one call.
        """

    def watch(self, position: StorePosition, wait_ms: float) -> Result[Updates[T], Failure]:
        """Wait for changes after a position.

        :param wait_ms: maximum time to wait for a change.
        :returns: the changes; ``CONFLICT`` if the store no longer has the history since
            the position.
        """


class Feed(Generic[T]):
    """Follows one kind of object in the store.

    :ivar position: position in the store from which the next watch continues; without a
        revision, the objects are listed first.
    :ivar newest: position of the latest change that was applied.
    :ivar items: all objects at the position, by name.
    :ivar last_success_ms: local time of the last successful call.
    :ivar unanswered_restarts: restarts since the last call that was answered or failed.
    :ivar history: recent changes, for instances that follow this one.
    :ivar on_change: called after changes were applied and after a call failed.
    :ivar on_exception: called with the feed's name and an unexpected exception, after which the
        feed backs off and lists all objects again.
    :ivar on_store_recovered: called on the first successful call after failures, with the
        local time at which the first failed call was sent.
    """

    def __init__(
        self,
        name: str,
        source: Source[T],
        on_snapshot: Callable[[Snapshot[T], bool], None],
        on_updates: Callable[[Updates[T], bool], None],
        on_store_call: Callable[[str, Failure | None, StorePosition], None],
        clock: Clock,
        rng: random.Random,
        batch_delay_ms: float = 0.0,
        verifies_watches: Callable[[], bool] = lambda: False,
        is_urgent: Callable[[T | None, T | None], bool] | None = None,
        expects_urgent: Callable[[], bool] = lambda: True,
        watches_briefly: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a feed that is not running.

        :param on_snapshot: called with a full list and whether the store was recently
            unavailable.
        :param on_updates: called with changes and whether the store was recently
            unavailable.
        :param on_store_call: called after each store call with the feed's name, the
            failure, if any, and the position from which the feed continued.
        :param batch_delay_ms: delay before the next watch after changes, so that a burst
            of changes needs few calls; with ``is_urgent``, only during the start.
        :param verifies_watches: returns whether the watch after changes is short at first, to
            notice a store that went silent right after a change. It costs one call more.
        :param is_urgent: returns whether a change from one state of an object to another must
            take effect at once; ``None`` stands for a missing object. A feed with urgent
            changes watches again at once, as often as :class:`WatchPacer` allows.
        :param expects_urgent: returns whether changes may be urgent now; if not, the delay is
            the same as without ``is_urgent``.
        :param watches_briefly: returns whether all watches are short now, because this instance
            relies on the state being confirmed lately.
        """
        self.name = name
        self._source = source
        self._on_snapshot = on_snapshot
        self._on_updates = on_updates
        self._on_store_call = on_store_call
        self._clock = clock
        self._rng = rng
        self._batch_delay_ms = batch_delay_ms
        self._is_urgent = is_urgent
        self._expects_urgent = expects_urgent
        self._pacer = WatchPacer(batch_delay_ms)
        self._verifies_watches = verifies_watches
        self._watches_briefly = watches_briefly
        self._greenlet: gevent.Greenlet[[], None] | None = None
        self._backoff_ms = 0.0
        self._exception_backoff_ms = 0.0
        self._useless_calls = 0
        self._recovered_ms = -RECOVERY_PERIOD_MS
        self._probing = False
        self._list_timeout_ms = FIRST_LIST_TIMEOUT_MS
        self.position = NO_POSITION
        self.newest = NO_POSITION
        self._copied_position = NO_POSITION
        self.items: dict[str, T] = {}
        self.last_success_ms = 0.0
        self.unanswered_restarts = 0
        self._call_started_ms: float | None = None
        self._outage_started_ms = 0.0
        self.history: ChangeHistory[T] = ChangeHistory()
        self.on_change: Callable[[], None] | None = None
        self.on_exception: Callable[[str, Exception], None] | None = None
        self.on_store_recovered: Callable[[float], None] | None = None
        self._retry_requested = Event()

    @property
    def known_position(self) -> StorePosition:
        """Position in the store up to which all changes are known."""
        return max(self.position, self.newest)

    @property
    def listed(self) -> bool:
        """Whether a list of all objects was received."""
        return self.history.position != NO_POSITION

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._backoff_ms > 0

    @property
    def call_age_ms(self) -> float:
        """Time since the call in progress was sent; 0 without one."""
        if self._call_started_ms is None:
            return 0.0
        return self._clock.now_ms() - self._call_started_ms

    def advance_newest(self, position: StorePosition) -> None:
        """Record that state up to a position was received from a peer.

        Changes up to that position, which this feed has yet to receive, are not passed on:
        each of them may be older than the state of the peer.
        """
        self.newest = max(self.newest, position)
        self._copied_position = max(self._copied_position, position)

    def start(self) -> None:
        """Start the greenlet that follows the store."""
        self._greenlet = gevent.spawn(self._follow)

    def stop(self) -> None:
        """Stop following the store; idempotent."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None
            self._call_started_ms = None

    def retry_now(self) -> None:
        """Skip the remaining backoff because the store is known to answer again."""
        self._retry_requested.set()

    def restart_call_sent_since(self, time_ms: float) -> None:
        """Repeat the call in progress if it was sent since a local time.

        The store may have been silent when it received the call, and then never answers it.
        """
        if self._call_started_ms is not None and self._call_started_ms >= time_ms:
            self.restart()

    def record_restore(self, era: int) -> None:
        """Record that the store was restored, and repeat a call that refers to an earlier era.

        What was written to the store after the copy was made is missing at first.

        :param era: number of the restored store's era.
        """
        self._recovered_ms = self._clock.now_ms()
        if self._call_started_ms is not None and 0 < self.position.era < era:
            self.restart()

    def restart(self) -> None:
        """Abort the current call, which may never be answered, and start a new one."""
        self.stop()
        self._probing = True
        self.unanswered_restarts += 1
        self.start()

    def _follow(self) -> None:
        while True:
            try:
                self._call_once()
            except Exception as error:
                self._handle_exception(error)

    def _call_once(self) -> None:
        if not self.position.revision:
            self._list_once()
            return
        self._watch_once()
        self._exception_backoff_ms = 0.0

    def _handle_exception(self, error: Exception) -> None:
        """Continue from a list after a pause, since it is unknown what was applied."""
        self._call_started_ms = None
        self.position = NO_POSITION
        if self.on_exception is not None:
            self.on_exception(self.name, error)
        doubled_ms = max(BACKOFF_FIRST_MS, 2 * self._exception_backoff_ms)
        self._exception_backoff_ms = min(EXCEPTION_BACKOFF_MAX_MS, doubled_ms)
        gevent.sleep(self._exception_backoff_ms * (0.5 + self._rng.random()) / 1000)

    def _list_once(self) -> None:
        started_ms = self._call_started_ms = self._clock.now_ms()
        listed = self._source.list(self._list_timeout_ms)
        self._record_call_end()
        if listed.is_error():
            self._list_timeout_ms = min(MAX_LIST_TIMEOUT_MS, 2 * self._list_timeout_ms)
            self._back_off(listed.error, started_ms)
            return
        self._record_success()
        self._probing = True
        self._pacer.start(self._clock.now_ms())
        snapshot = listed.ok
        recovering = self._is_recovering()
        self._copied_position = NO_POSITION
        self._on_snapshot(snapshot, recovering)
        self._record_list(snapshot, recovering)
        self.position = snapshot.position
        self.newest = max(self.newest, snapshot.newest)
        self.items = dict(snapshot.items)
        self._notify_change()

    def _record_list(self, snapshot: Snapshot[T], recovering: bool) -> None:
        """Turn a list into changes, so that followers need no list after a lost history."""
        after = self.history.position
        same_era = after.era == snapshot.position.era
        if not self.listed or not same_era or after > snapshot.position:
            self.history.reset(snapshot.position)
            return
        changes = compare_items(self.items, snapshot.items)
        batch = ChangeBatch(after, snapshot.position, snapshot.newest, changes, recovering)
        self.history.append(batch)

    def _watch_once(self) -> None:
        # Jitter prevents instances that started together from calling the store in step.
        brief = self._backoff_ms or self._probing or self._watches_briefly()
        max_wait_ms = PROBE_TIMEOUT_MS if brief else WATCH_TIMEOUT_MS
        wait_ms = max_wait_ms * (0.75 + 0.25 * self._rng.random())
        started_ms = self._call_started_ms = self._clock.now_ms()
        watched = self._source.watch(self.position, wait_ms)
        self._record_call_end()
        if watched.is_error():
            if watched.error.kind is ErrorKind.CONFLICT:
                self.position = NO_POSITION
                self._probing = False
                self._pause_if_repeated()
                return
            self._back_off(watched.error, started_ms)
            return
        self._record_success()
        self._probing = bool(watched.ok.changes) and self._verifies_watches()
        delay_ms = self._compute_delay_ms(watched.ok)
        self._apply(watched.ok)
        has_news = watched.ok.changes or watched.ok.rejected
        if not has_news and self._clock.now_ms() - started_ms < MIN_WATCH_MS:
            self._pause_if_repeated()
            return
        self._useless_calls = 0
        if delay_ms:
            gevent.sleep(delay_ms / 1000)

    def _pause_if_repeated(self) -> None:
        """Pause after the second of several calls in a row that were answered without a result.

        The store may answer so for as long as it is faulty. A single such answer is normal.
        """
        self._useless_calls += 1
        if self._useless_calls < 2:
            return
        doubled_ms = BACKOFF_FIRST_MS * 2 ** min(self._useless_calls - 2, MAX_DOUBLINGS)
        gevent.sleep(min(BACKOFF_MAX_MS, doubled_ms) * (0.5 + self._rng.random()) / 1000)

    def _compute_delay_ms(self, updates: Updates[T]) -> float:
        """Return the pause after changes that are not applied yet."""
        if not updates.changes:
            return 0.0
        is_urgent = self._is_urgent
        if is_urgent is None:
            return self._batch_delay_ms
        if updates.relayed:
            return 0.0
        if not self._expects_urgent():
            return self._batch_delay_ms
        urgent = any(is_urgent(self.items.get(name), value) for name, value in updates.changes)
        return self._pacer.compute_delay_ms(urgent, self._clock.now_ms())

    def _apply(self, updates: Updates[T]) -> None:
        recovering = updates.recovering or self._is_recovering()
        is_known = updates.position <= self._copied_position
        if (updates.changes or updates.rejected) and not is_known:
            self._on_updates(updates, recovering)
        batch = ChangeBatch(
            self.position, updates.position, updates.newest, updates.changes, recovering
        )
        self.position = updates.position
        self.newest = max(self.newest, updates.newest)
        self._update_items(updates)
        self.history.append(batch)
        if updates.changes:
            self._notify_change()

    def _update_items(self, updates: Updates[T]) -> None:
        for name, value in updates.changes:
            if value is None:
                self.items.pop(name, None)
            else:
                self.items[name] = value

    def _notify_change(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def _is_recovering(self) -> bool:
        return self._clock.now_ms() - self._recovered_ms < RECOVERY_PERIOD_MS

    def _record_call_end(self) -> None:
        self._call_started_ms = None
        self.unanswered_restarts = 0

    def _record_success(self) -> None:
        self.last_success_ms = self._clock.now_ms()
        if self._backoff_ms:
            self._backoff_ms = 0.0
            self._recovered_ms = self.last_success_ms
            if self.on_store_recovered is not None:
                self.on_store_recovered(self._outage_started_ms)
        self._on_store_call(self.name, None, self.position)

    def _back_off(self, failure: Failure, started_ms: float) -> None:
        self._on_store_call(self.name, failure, self.position)
        if not self._backoff_ms:
            self._outage_started_ms = started_ms
        self._backoff_ms = min(BACKOFF_MAX_MS, max(BACKOFF_FIRST_MS, self._backoff_ms * 2))
        self._notify_change()
        self._retry_requested.clear()
        self._retry_requested.wait(self._backoff_ms * (0.5 + self._rng.random()) / 1000)


def compare_items(old: dict[str, T], new: dict[str, T]) -> tuple[tuple[str, T | None], ...]:
    """Return the changes that lead from one list of objects to another."""
    changes: list[tuple[str, T | None]] = []
    for name in old:
        if name not in new:
            changes.append((name, None))
    for name, value in new.items():
        if old.get(name) != value:
            changes.append((name, value))
    return tuple(changes)
