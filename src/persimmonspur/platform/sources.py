"""Feeds of the platform's store as typed sources."""

from collections.abc import Callable
from typing import Generic, TypeVar

from expression import Result

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.routes import RouteTable
from persimmonspur.entry.feeds import Snapshot, Updates
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.platform.documents import (
    StoreObject,
    decode_endpoint,
    decode_member,
    decode_route_table,
)
from persimmonspur.platform.store import (
    CONFIGURATION_KIND,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    INSTANCE_KIND,
    Listing,
    PlatformStore,
    WatchResult,
)

T = TypeVar("T")

Read = Callable[[StoreObject], Result[T, Failure]]


class StoreObjectSource(Generic[T]):
    """Implements :class:`persimmonspur.entry.feeds.Source` for one kind of object."""

    def __init__(self, store: PlatformStore, kind: str, read: Read[T]) -> None:
        """Describe a source.

        :param read: decodes one object.
        """
        self._store = store
        self._kind = kind
        self._read = read

    def list(self, timeout_ms: float) -> Result[Snapshot[T], Failure]:
        """Return all objects of the kind."""
        return self._store.list(self._kind, timeout_ms).map(self._read_listing)

    def watch(self, revision: int, wait_ms: float) -> Result[Updates[T], Failure]:
        """Wait for changes of the kind."""
        return self._store.watch(self._kind, revision, wait_ms).map(self._read_changes)

    def _read_listing(self, listing: Listing) -> Snapshot[T]:
        items: dict[str, T] = {}
        rejected = _build_malformed_failures(listing.unreadable)
        for item in listing.objects:
            read = self._read(item)
            if read.is_error():
                rejected.append(read.error)
                continue
            items[item.meta.name] = read.ok
        newest = max((item.meta.revision for item in listing.objects), default=0)
        return Snapshot(items, listing.revision, newest, tuple(rejected))

    def _read_changes(self, changes: WatchResult) -> Updates[T]:
        updates: list[tuple[str, T | None]] = []
        rejected = _build_malformed_failures(changes.unreadable)
        for change in changes.changes:
            name = change.object.meta.name
            if change.removed:
                updates.append((name, None))
                continue
            read = self._read(change.object)
            if read.is_error():
                # The entry names nothing that can be used any more.
                rejected.append(read.error)
                updates.append((name, None))
                continue
            updates.append((name, read.ok))
        newest = max((change.object.meta.revision for change in changes.changes), default=0)
        return Updates(tuple(updates), changes.revision, newest, tuple(rejected))


def open_configuration_source(store: PlatformStore) -> StoreObjectSource[RouteTable]:
    """Return the source of configurations."""
    return StoreObjectSource(store, CONFIGURATION_KIND, lambda item: decode_route_table(item.spec))


def open_endpoint_source(store: PlatformStore, clock: Clock) -> StoreObjectSource[Endpoint]:
    """Return the source of endpoints."""
    return StoreObjectSource(
        store, ENDPOINT_KIND, lambda item: decode_endpoint(item, clock.now_ms())
    )


def open_evacuation_source(store: PlatformStore) -> StoreObjectSource[str]:
    """Return the source of evacuated failure domains, by name."""
    return StoreObjectSource(store, EVACUATION_KIND, lambda item: _read_name(item))


def open_member_source(store: PlatformStore) -> StoreObjectSource[Member]:
    """Return the source of registered instances."""
    return StoreObjectSource(store, INSTANCE_KIND, decode_member)


def _build_malformed_failures(count: int) -> list[Failure]:
    if not count:
        return []
    return [Failure.of(ErrorKind.INVALID_CONFIGURATION, f"{count} entries are no objects")]


def _read_name(item: StoreObject) -> Result[str, Failure]:
    return Result.Ok(item.meta.name)
