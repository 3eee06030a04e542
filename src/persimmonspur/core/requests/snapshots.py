"""Choice of the one snapshot that a query reads."""

from attrs import frozen

from persimmonspur.core.routing.view import RoutingView
from persimmonspur.model.configuration import Service, Shard, ShardMap
from persimmonspur.model.query import SnapshotId


@frozen
class PinnedSnapshot:
    """A snapshot and the shards that a query needs in its epoch.

    :param servable_units: key space units that usable endpoints hold.
    """

    snapshot: SnapshotId
    shards: tuple[Shard, ...]
    servable_units: int


def pin_snapshot(view: RoutingView, service: Service, key: int | None) -> PinnedSnapshot | None:
    """Choose the newest snapshot with the best coverage.

    :param key: unit of the key space if one shard holds the answer.
    :returns: ``None`` if no usable endpoint holds any snapshot.
    """
    best: PinnedSnapshot | None = None
    for shard_map in service.shard_maps:
        shards = select_shards(shard_map, key)
        counts = _count_holders(view, service, shard_map, shards)
        for snapshot, holders in counts.items():
            units = 0
            for shard in shards:
                if holders.get(shard.name, 0) >= service.min_replicas:
                    units += shard.units
            candidate = PinnedSnapshot(snapshot, shards, units)
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


def _rank(pinned: PinnedSnapshot) -> tuple[int, SnapshotId]:
    return (pinned.servable_units, pinned.snapshot)


def _count_holders(
    view: RoutingView, service: Service, shard_map: ShardMap, shards: tuple[Shard, ...]
) -> dict[SnapshotId, dict[str, int]]:
    counts: dict[SnapshotId, dict[str, int]] = {}
    for shard in shards:
        for replica in view.list_replicas(service.name, shard.name):
            if replica.status is None or not replica.status.usable:
                continue
            for snapshot in replica.status.snapshots:
                if snapshot.epoch != shard_map.epoch:
                    continue
                holders = counts.setdefault(snapshot, {})
                holders[shard.name] = holders.get(shard.name, 0) + 1
    return counts
