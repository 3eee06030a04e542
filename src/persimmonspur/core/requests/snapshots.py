"""Selects the snapshot that a query reads from all shards."""

from attrs import define, field, frozen

from persimmonspur.core.routing.view import EndpointView, RoutingView
from persimmonspur.model.configuration import Service, Shard, ShardMap
from persimmonspur.model.query import SnapshotId


@frozen
class PinnedSnapshot:
    """A snapshot and the shards that a query requires in its epoch.

    :param servable_units: key space units held by at least one usable endpoint.
    :param replicated_units: key space units held by at least ``min_replicas`` usable endpoints.
    :param holders: usable endpoints that hold the snapshot, by shard name.
    """

    snapshot: SnapshotId
    shards: tuple[Shard, ...]
    servable_units: int
    replicated_units: int = 0
    holders: dict[str, list[EndpointView]] = field(factory=dict, eq=False)

    @property
    def complete(self) -> bool:
        """Whether every required shard can be served."""
        return self.servable_units == sum(shard.units for shard in self.shards)


@define
class SnapshotPinCache:
    """Caches pinned snapshots until an endpoint's readiness or snapshots change.

    Examining every replica of every shard costs more than the rest of a
    query's start, and changes are rare.
    """

    _pins: dict[str, PinnedSnapshot | None] = field(factory=dict)
    _generation: int = -1

    def pin(self, view: RoutingView, service: Service, key: int | None) -> PinnedSnapshot | None:
        """Return the result of :func:`pin_snapshot`, cached for queries without a key."""
        if key is not None:
            return pin_snapshot(view, service, key)
        if view.generation != self._generation:
            self._pins.clear()
            self._generation = view.generation
        if service.name not in self._pins:
            self._pins[service.name] = pin_snapshot(view, service, None)
        return self._pins[service.name]


def pin_snapshot(view: RoutingView, service: Service, key: int | None) -> PinnedSnapshot | None:
    """Choose the newest snapshot held by ``min_replicas`` endpoints of every required shard.

    If there is none, choose the one with the best coverage. A snapshot
    belongs to one epoch, so shards of two shard maps are never mixed.

    :param key: key space unit to look up, or ``None`` if the query reads all shards.
    :returns: ``None`` if no usable endpoint holds any snapshot.
    """
    best: PinnedSnapshot | None = None
    for shard_map in service.shard_maps:
        shards = select_shards(shard_map, key)
        for snapshot, holders in _find_holders(view, service, shard_map, shards).items():
            candidate = _build_pin(snapshot, shards, holders, service.min_replicas)
            if best is None or _rank(candidate) > _rank(best):
                best = candidate
    return best


def select_shards(shard_map: ShardMap, key: int | None) -> tuple[Shard, ...]:
    """Return the shards that a query requires: all, or the one that contains the key."""
    if key is None:
        return shard_map.shards
    for shard in shard_map.shards:
        if shard.start <= key < shard.stop:
            return (shard,)
    return ()


def _build_pin(
    snapshot: SnapshotId,
    shards: tuple[Shard, ...],
    holders: dict[str, list[EndpointView]],
    min_replicas: int,
) -> PinnedSnapshot:
    servable = 0
    replicated = 0
    for shard in shards:
        count = len(holders.get(shard.name, ()))
        if count > 0:
            servable += shard.units
        if count >= min_replicas:
            replicated += shard.units
    return PinnedSnapshot(snapshot, shards, servable, replicated, holders)


def _rank(pinned: PinnedSnapshot) -> tuple[float, float, SnapshotId]:
    # A snapshot that enough endpoints of every shard hold has the highest ratios.
    # Ratios are compared instead of units, since the shards that contain a key may
    # differ in size between two epochs.
    units = sum(shard.units for shard in pinned.shards) or 1
    servable = pinned.servable_units / units
    replicated = pinned.replicated_units / units
    return (servable, replicated, pinned.snapshot)


def _find_holders(
    view: RoutingView, service: Service, shard_map: ShardMap, shards: tuple[Shard, ...]
) -> dict[SnapshotId, dict[str, list[EndpointView]]]:
    found: dict[SnapshotId, dict[str, list[EndpointView]]] = {}
    for shard in shards:
        for replica in view.list_replicas(service.name, shard.name):
            if not replica.ready:
                continue
            for snapshot in replica.snapshots:
                if snapshot.epoch != shard_map.epoch:
                    continue
                found.setdefault(snapshot, {}).setdefault(shard.name, []).append(replica)
    return found
