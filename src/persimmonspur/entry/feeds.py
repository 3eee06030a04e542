"""Follows one kind of object in the store by a list and then watches."""

import random
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import gevent
from attrs import frozen
from expression import Result
from gevent.event import Event

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.history import ChangeBatch, ChangeHistory
from persimmonspur.errors import ErrorKind, Failure

T = TypeVar("T")

WATCH_TIMEOUT_MS = 20_000.0
# After a failed call the next ones wait for this time only: a store that went silent
# never answers the calls of that time.
PROBE_TIMEOUT_MS = 1_000.0
# The first list without any state waits only this long, since a store that went silent
# and came back answers the next call; later ones wait longer for a slow store.
FIRST_LIST_TIMEOUT_MS = 400.0
MAX_LIST_TIMEOUT_MS = 1_600.0
BACKOFF_FIRST_MS = 150.0
BACKOFF_MAX_MS = 1_500.0
# Removals within this time after an outage may be entries that lapsed meanwhile.
RECOVERY_PERIOD_MS = 2_500.0


@frozen
class Snapshot(Generic[T]):
    """All objects of a kind.

    :param newest: revision of the latest change among the objects.
    :param rejected: entries that cannot be used, with the reasons.
    """

    items: dict[str, T]
    revision: int
    newest: int = 0
    rejected: tuple[Failure, ...] = ()


@frozen
class Updates(Generic[T]):
    """Changes since a revision; a removed object is ``None``.

    :param newest: revision of the latest change among them; 0 without changes.
    :param recovering: whether the store was away shortly before, as a relay saw it.
    """

    changes: tuple[tuple[str, T | None], ...]
    revision: int
    newest: int = 0
    rejected: tuple[Failure, ...] = ()
    recovering: bool = False


class Source(Protocol[T]):
    """Lists and watches one kind of object."""

    def list(self, timeout_ms: float) -> Result[Snapshot[T], Failure]:
        """Return all objects.

        :param timeout_ms: longest wait for one call.
        """

    def watch(self, revision: int, wait_ms: float) -> Result[Updates[T], Failure]:
        """Wait for changes; ``CONFLICT`` means that the history is gone."""


class Feed(Generic[T]):
    """Keeps one kind of object up to date.

    :ivar revision: of the newest state that was applied.
    :ivar newest: revision of the latest change that was applied.
    :ivar last_success_ms: local time of the last successful call.
    :ivar history: recent changes, for instances that follow this one.
    :ivar on_change: called when changes were applied, or calls begin to fail.
    :ivar on_store_recovered: called with the first successful call after failures.
    """

    def __init__(
        self,
        name: str,
        source: Source[T],
        on_snapshot: Callable[[Snapshot[T], bool], None],
        on_updates: Callable[[Updates[T], bool], None],
        on_store_call: Callable[[str, Failure | None], None],
        clock: Clock,
        rng: random.Random,
        batch_delay_ms: float = 0.0,
    ) -> None:
        """Describe a feed.

        :param on_snapshot: takes a list, and whether the store was away before.
        :param on_updates: takes changes, and whether the store was away before.
        :param on_store_call: told of each call and its failure.
        :param batch_delay_ms: rest after changes, so that a burst of them costs few calls.
        """
        self.name = name
        self._source = source
        self._on_snapshot = on_snapshot
        self._on_updates = on_updates
        self._on_store_call = on_store_call
        self._clock = clock
        self._rng = rng
        self._batch_delay_ms = batch_delay_ms
        self._greenlet: gevent.Greenlet[[], None] | None = None
        self._backoff_ms = 0.0
        self._recovered_ms = -RECOVERY_PERIOD_MS
        self._probing = False
        self._list_timeout_ms = FIRST_LIST_TIMEOUT_MS
        self.revision = 0
        self.newest = 0
        self.last_success_ms = 0.0
        self.history: ChangeHistory[T] = ChangeHistory()
        self.on_change: Callable[[], None] | None = None
        self.on_store_recovered: Callable[[], None] | None = None
        self._retry_requested = Event()

    @property
    def known_revision(self) -> int:
        """Revision of the store up to which all changes are known."""
        return max(self.revision, self.newest)

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._backoff_ms > 0

    def advance_newest(self, revision: int) -> None:
        """Note that a peer handed over the state up to a change."""
        self.newest = max(self.newest, revision)

    def start(self) -> None:
        """Start to follow."""
        self._greenlet = gevent.spawn(self._follow)

    def stop(self) -> None:
        """Stop; idempotent."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None

    def retry_now(self) -> None:
        """End the wait after a failed call, since the store answers again."""
        self._retry_requested.set()

    def restart(self) -> None:
        """Call the store anew because the present call may never be answered."""
        self.stop()
        self._probing = True
        self.start()

    def _follow(self) -> None:
        while True:
            if self.revision:
                self._watch_once()
            else:
                self._list_once()

    def _list_once(self) -> None:
        listed = self._source.list(self._list_timeout_ms)
        if listed.is_error():
            self._list_timeout_ms = min(MAX_LIST_TIMEOUT_MS, 2 * self._list_timeout_ms)
            self._back_off(listed.error)
            return
        self._record_success()
        self._on_snapshot(listed.ok, self._is_recovering())
        self.revision = listed.ok.revision
        self.newest = max(self.newest, listed.ok.newest)
        self.history.reset(self.revision)

    def _watch_once(self) -> None:
        # The spread keeps instances that started together from calling together.
        max_wait_ms = PROBE_TIMEOUT_MS if self._backoff_ms or self._probing else WATCH_TIMEOUT_MS
        wait_ms = max_wait_ms * (0.75 + 0.25 * self._rng.random())
        watched = self._source.watch(self.revision, wait_ms)
        if watched.is_error():
            if watched.error.kind is ErrorKind.CONFLICT:
                self.revision = 0
                self._probing = False
                return
            self._back_off(watched.error)
            return
        self._record_success()
        self._probing = False
        self._apply(watched.ok)
        if watched.ok.changes and self._batch_delay_ms:
            gevent.sleep(self._batch_delay_ms / 1000)

    def _apply(self, updates: Updates[T]) -> None:
        recovering = updates.recovering or self._is_recovering()
        if updates.changes or updates.rejected:
            self._on_updates(updates, recovering)
        batch = ChangeBatch(
            self.revision, updates.revision, updates.newest, updates.changes, recovering
        )
        self.revision = updates.revision
        self.newest = max(self.newest, updates.newest)
        self.history.append(batch)
        if updates.changes:
            self._notify_change()

    def _notify_change(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def _is_recovering(self) -> bool:
        return self._clock.now_ms() - self._recovered_ms < RECOVERY_PERIOD_MS

    def _record_success(self) -> None:
        self.last_success_ms = self._clock.now_ms()
        if self._backoff_ms:
            self._backoff_ms = 0.0
            self._recovered_ms = self.last_success_ms
            if self.on_store_recovered is not None:
                self.on_store_recovered()
        self._on_store_call(self.name, None)

    def _back_off(self, failure: Failure) -> None:
        self._on_store_call(self.name, failure)
        self._backoff_ms = min(BACKOFF_MAX_MS, max(BACKOFF_FIRST_MS, self._backoff_ms * 2))
        self._notify_change()
        self._retry_requested.clear()
        self._retry_requested.wait(self._backoff_ms * (0.5 + self._rng.random()) / 1000)
