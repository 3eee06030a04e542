"""Sources of typed objects from the platform's store."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from expression import Error, Result

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.position import NO_POSITION, StorePosition
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.fleet.rollouts.orders import OrderState, RolloutOrder
from persimmonspur.core.fleet.routes import RouteTable
from persimmonspur.entry.feeds import Snapshot, Updates
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.platform.documents import (
    StoreObject,
    decode_endpoint,
    decode_member,
    decode_rollout,
    decode_route_table,
    encode_order_state,
)
from persimmonspur.platform.store import (
    CONFIGURATION_KIND,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    INSTANCE_KIND,
    ROLLOUT_KIND,
    Listing,
    PlatformStore,
    UnreadableObject,
    WatchResult,
)

T = TypeVar("T")

NAMELESS_ENTRY = "entry without a readable name"

Decoder = Callable[[StoreObject], Result[T, Failure]]


class StoreObjectSource(Generic[T]):
    """Implements :class:`persimmonspur.entry.feeds.Source` for one kind of object."""

    def __init__(self, store: PlatformStore, kind: str, decode: Decoder[T]) -> None:
        """Create a source.

        :param kind: kind of the objects in the store.
        :param decode: decodes one object.
        """
        self._store = store
        self._kind = kind
        self._decode = decode

    def list(self, timeout_ms: float) -> Result[Snapshot[T], Failure]:
        """Return all objects of this kind."""
        return self._store.list(self._kind, timeout_ms).map(self._decode_listing)

    def watch(self, position: StorePosition, wait_ms: float) -> Result[Updates[T], Failure]:
        """Wait for changes to objects of this kind."""
        return self._store.watch(self._kind, position, wait_ms).map(self._decode_changes)

    def _decode_listing(self, listing: Listing) -> Snapshot[T]:
        items: dict[str, T] = {}
        rejected: list[Failure] = []
        for item in listing.objects:
            decoded = self._decode_object(item)
            if decoded.is_error():
                rejected.append(decoded.error)
            elif item.meta is not None:
                items[item.meta.name] = decoded.ok
        newest = _find_newest(listing.position, listing.objects)
        return Snapshot(items, listing.position, newest, _merge_failures(rejected))

    def _decode_changes(self, changes: WatchResult) -> Updates[T]:
        updates: list[tuple[str, T | None]] = []
        rejected: list[Failure] = []
        for change in changes.changes:
            meta = change.object.meta
            if change.removed and meta is not None:
                updates.append((meta.name, None))
                continue
            decoded = self._decode_object(change.object)
            if decoded.is_error():
                rejected.append(decoded.error)
            if meta is not None:
                # An invalid entry no longer names a usable object, so it counts as removed.
                updates.append((meta.name, None if decoded.is_error() else decoded.ok))
        newest = _find_newest(changes.position, (change.object for change in changes.changes))
        return Updates(tuple(updates), changes.position, newest, _merge_failures(rejected))

    def _decode_object(self, item: StoreObject | UnreadableObject) -> Result[T, Failure]:
        if isinstance(item, UnreadableObject):
            name = item.meta.name if item.meta is not None else ""
            return Error(_build_failure(f"entry {name}: not readable" if name else NAMELESS_ENTRY))
        try:
            return self._decode(item)
        except Exception as error:
            # Entries may be written by anyone; one that the decoder does not expect must not
            # hide the others.
            return Error(_build_failure(f"entry {item.meta.name}: {type(error).__name__}: {error}"))


def open_configuration_source(store: PlatformStore) -> StoreObjectSource[RouteTable]:
    """Create the source of route tables."""
    return StoreObjectSource(store, CONFIGURATION_KIND, lambda item: decode_route_table(item.spec))


def open_endpoint_source(store: PlatformStore, clock: Clock) -> StoreObjectSource[Endpoint]:
    """Create the source of endpoints."""
    return StoreObjectSource(
        store, ENDPOINT_KIND, lambda item: decode_endpoint(item, clock.now_ms())
    )


def open_evacuation_source(store: PlatformStore) -> StoreObjectSource[str]:
    """Create the source of the names of evacuated failure domains."""
    return StoreObjectSource(store, EVACUATION_KIND, lambda item: _decode_name(item))


def open_rollout_source(store: PlatformStore) -> StoreObjectSource[RolloutOrder]:
    """Create the source of orders to move services to other versions."""
    return StoreObjectSource(store, ROLLOUT_KIND, decode_rollout)


class StoreOrderWriter:
    """Implements :class:`persimmonspur.entry.state.OrderWriter`."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def write_state(
        self, order: RolloutOrder, state: OrderState
    ) -> Result[tuple[RolloutOrder, int], Failure]:
        """Write a state if the order still has the known revision."""
        status = encode_order_state(order, state)
        written = self._store.put_status(ROLLOUT_KIND, order.service, order.revision, status)
        return written.bind(decode_rollout).map(lambda current: (current, self._store.era))


def open_member_source(store: PlatformStore) -> StoreObjectSource[Member]:
    """Create the source of registered instances."""
    return StoreObjectSource(store, INSTANCE_KIND, decode_member)


def _find_newest(
    position: StorePosition, objects: Iterable[StoreObject | UnreadableObject]
) -> StorePosition:
    """Return the position of the latest change among objects read at a position."""
    revisions = (item.meta.revision for item in objects if item.meta is not None)
    revision = max(revisions, default=0)
    return StorePosition(position.era, revision) if revision else NO_POSITION


def _build_failure(message: str) -> Failure:
    return Failure.of(ErrorKind.INVALID_CONFIGURATION, message)


def _merge_failures(failures: list[Failure]) -> tuple[Failure, ...]:
    """Replace the failures of entries without a readable name by one with their number."""
    named = [failure for failure in failures if failure.message != NAMELESS_ENTRY]
    nameless = len(failures) - len(named)
    if nameless:
        named.insert(0, _build_failure(f"{nameless} store entries are not valid objects"))
    return tuple(named)


def _decode_name(item: StoreObject) -> Result[str, Failure]:
    return Result.Ok(item.meta.name)
