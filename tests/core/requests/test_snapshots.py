"""Tests the choice of the snapshot during version changes and repartitioning."""

import pytest
from attrs import evolve

from persimmonspur.core.requests.snapshots import SnapshotPinCache, pin_snapshot
from persimmonspur.model.query import SnapshotId
from simulation import build_context, build_service, report

OLD, NEW = SnapshotId(1, 1), SnapshotId(1, 2)
NEXT_EPOCH = SnapshotId(2, 1)


def build_repartitioned(**options):
    """Build a service with shards ``s*`` of epoch 1 and ``t*`` of epoch 2 on separate endpoints."""
    service = build_service(shards=2, **options)
    next_service = build_service(shards=3, epoch=2, prefix="t")
    return evolve(
        service,
        shard_maps=(*service.shard_maps, *next_service.shard_maps),
        endpoints=(*service.endpoints, *next_service.endpoints),
    )


def set_snapshots(context, names, *snapshots):
    for name in context.view.endpoints:
        if name.startswith(names):
            report(context.view, name, snapshots=snapshots)


def pin(context, service, key=None):
    return pin_snapshot(context.view, service, key)


@pytest.mark.parametrize(("min_replicas", "expected"), [(1, NEW), (2, OLD)])
def test_a_new_version_waits_for_enough_replicas_of_every_shard(min_replicas, expected):
    service = build_service(shards=2, min_replicas=min_replicas)
    context = build_context(service)
    set_snapshots(context, ("s0-r0", "s1-r1"), OLD, NEW)
    assert pin(context, service).snapshot == expected
    set_snapshots(context, ("s0-r1", "s1-r2"), OLD, NEW)
    assert pin(context, service).snapshot == NEW


def test_too_few_replicas_do_not_reduce_coverage():
    service = build_service(shards=2, min_replicas=2)
    context = build_context(service)
    set_snapshots(context, "s", OLD)
    set_snapshots(context, "s1-r0", OLD, NEW)
    for replica in (1, 2):
        report(context.view, f"s0-r{replica}", usable=False)
    pinned = pin(context, service)
    assert pinned.snapshot == OLD and pinned.complete


def test_the_next_epoch_is_read_once_all_its_shards_are_served():
    service = build_repartitioned()
    context = build_context(service)
    set_snapshots(context, "s", OLD)
    set_snapshots(context, ("t0", "t1"), NEXT_EPOCH)
    set_snapshots(context, "t2")
    pinned = pin(context, service)
    assert pinned.snapshot == OLD and [shard.name for shard in pinned.shards] == ["s0", "s1"]
    set_snapshots(context, "t2", NEXT_EPOCH)
    pinned = pin(context, service)
    assert pinned.snapshot == NEXT_EPOCH
    assert [shard.name for shard in pinned.shards] == ["t0", "t1", "t2"]


def test_a_snapshot_of_one_epoch_does_not_count_for_shards_of_another():
    service = build_repartitioned()
    context = build_context(service)
    set_snapshots(context, "s", OLD)
    set_snapshots(context, "t", SnapshotId(1, 9))
    assert pin(context, service).snapshot == OLD


def test_a_key_selects_one_shard_of_the_pinned_epoch():
    service = build_repartitioned()
    context = build_context(service)
    set_snapshots(context, "s", OLD)
    set_snapshots(context, "t0", NEXT_EPOCH)
    set_snapshots(context, ("t1", "t2"))
    assert [shard.name for shard in pin(context, service, 0).shards] == ["t0"]
    # The shard of epoch 1 that contains the key is larger, which is not better coverage.
    assert pin(context, service, 0).snapshot == NEXT_EPOCH
    assert [shard.name for shard in pin(context, service, 40_000).shards] == ["s1"]


def test_without_any_snapshot_nothing_is_pinned():
    service = build_service()
    context = build_context(service)
    set_snapshots(context, "s")
    assert pin(context, service) is None


def test_cached_pins_follow_every_change():
    service = build_service(shards=1)
    context = build_context(service)
    pins = SnapshotPinCache()
    assert pins.pin(context.view, service, None).snapshot == OLD
    set_snapshots(context, "s0-r0", OLD, NEW)
    assert pins.pin(context.view, service, None).snapshot == NEW
    report(context.view, "s0-r0", usable=False)
    assert pins.pin(context.view, service, None).snapshot == OLD
    context.view.endpoints["s0-r1"].owner = "o9"
    assert len(pins.pin(context.view, service, None).holders["s0"]) == 1
    context.view.remove_snapshot(context.view.endpoints["s0-r2"], OLD)
    assert pins.pin(context.view, service, None) is None
