"""Choice of the one snapshot that a query reads."""

from attrs import define, field, frozen

from persimmonspur.core.routing.view import EndpointView, RoutingView
from persimmonspur.model.configuration import Service, Shard, ShardMap
from persimmonspur.model.query import SnapshotId


@frozen
class PinnedSnapshot:
    """A snapshot and the shards that a query needs in its epoch.

    :param servable_units: key space units that usable endpoints hold.
    :param replicated_units: key space units that at least ``min_replicas`` of them hold.
    :param holders: the usable endpoints that hold the snapshot, by shard name.
    """

    snapshot: SnapshotId
    shards: tuple[Shard, ...]
    servable_units: int
    replicated_units: int = 0
    holders: dict[str, list[EndpointView]] = field(factory=dict, eq=False)

    @property
    def complete(self) -> bool:
        """Whether every needed shard can be served."""
        return self.servable_units == sum(shard.units for shard in self.shards)


@define
class SnapshotPinCache:
    """Pins snapshots and keeps the result until an endpoint's readiness or snapshots change.

    Looking at every replica of every shard costs more than the rest of a
    query's start, and changes are rare.
    """

    _pins: dict[str, PinnedSnapshot | None] = field(factory=dict)
    _generation: int = -1

    def pin(self, view: RoutingView, service: Service, key: int | None) -> PinnedSnapshot | None:
        """Return what :func:`pin_snapshot` returns."""
        if key is not None:
            return pin_snapshot(view, service, key)
        if view.generation != self._generation:
            self._pins.clear()
            self._generation = view.generation
        if service.name not in self._pins:
            self._pins[service.name] = pin_snapshot(view, service, None)
        return self._pins[service.name]


def pin_snapshot(view: RoutingView, service: Service, key: int | None) -> PinnedSnapshot | None:
    """Choose the newest snapshot that ``min_replicas`` endpoints of every needed shard hold.

    If there is none, choose the one with the best coverage. A snapshot
    belongs to one epoch, so shards of two shard maps are never mixed.

    :param key: unit of the key space if one shard holds the answer.
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
    """Return the shards that a query needs: all, or the one that holds the key."""
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
    # A snapshot that enough endpoints hold everywhere has the highest shares.
    # Shares and not units are compared, since with a key the shards of two
    # epochs that hold it may differ in size.
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
