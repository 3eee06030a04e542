import math

from persimmonspur.core.fleet.freshness import (
    HEARTBEAT_SILENCE_MS,
    SETTLING_MS,
    ConfigurationFreshness,
)
from persimmonspur.core.fleet.position import StorePosition

OLD = StorePosition(1, 10)
NEW = StorePosition(1, 11)


def make(strict=True):
    return ConfigurationFreshness(strict, 5_000.0)


def is_outdated(freshness, now_ms, failing=False, has_peers=True):
    return freshness.may_be_outdated(OLD, 1, failing, has_peers, now_ms)


def test_configuration_is_revoked_when_its_confirmation_is_too_old():
    freshness = make()
    assert freshness.is_revoked(0.0)
    freshness.record_store_call(1_000.0)
    assert not freshness.is_revoked(6_000.0) and freshness.is_revoked(6_000.1)
    assert not make(strict=False).is_revoked(1e9)


def test_peer_passes_the_age_of_its_confirmation_on():
    # Guards against instances that confirm each other without the store.
    freshness = make()
    freshness.record_heartbeat(OLD, 1, 4_000.0, OLD, 10_000.0)
    assert freshness.get_age_ms(10_000.0) == 4_000.0
    freshness.record_heartbeat(OLD, 1, 4_900.0, OLD, 10_900.0)
    assert not freshness.is_revoked(11_000.0) and freshness.is_revoked(11_001.0)


def test_peer_with_a_newer_or_unconfirmed_configuration_confirms_nothing():
    freshness = make()
    freshness.record_heartbeat(NEW, 1, 0.0, OLD, 0.0)
    freshness.record_heartbeat(OLD, 1, -1, OLD, 0.0)
    assert freshness.get_age_ms(0.0) == math.inf


def test_heartbeats_that_queued_up_during_a_suspension_confirm_nothing():
    # Guards against a process that wakes up and takes old datagrams for new ones.
    freshness = make()
    freshness.record_heartbeat(OLD, 1, 0.0, OLD, 0.0)
    freshness.record_heartbeat(OLD, 1, 0.0, OLD, 20_000.0)
    assert freshness.is_revoked(20_000.0)
    freshness.record_heartbeat(OLD, 1, 0.0, OLD, 20_000.0 + SETTLING_MS)
    assert not freshness.is_revoked(20_000.0 + SETTLING_MS)


def test_newer_configuration_of_a_peer_makes_the_own_one_outdated():
    for position, version in ((NEW, 1), (OLD, 2)):
        freshness = make()
        freshness.record_heartbeat(position, version, -1, OLD, 0.0)
        assert is_outdated(freshness, 0.0)
    freshness = make()
    freshness.record_heartbeat(OLD, 1, -1, OLD, 0.0)
    assert not is_outdated(freshness, 0.0, failing=True)


def test_configuration_of_an_isolated_instance_may_be_outdated():
    freshness = make(strict=False)
    freshness.record_heartbeat(OLD, 1, -1, OLD, 0.0)
    freshness.record_store_call(0.0)
    assert not is_outdated(freshness, HEARTBEAT_SILENCE_MS)
    assert is_outdated(freshness, HEARTBEAT_SILENCE_MS + 1)
    freshness.record_store_call(HEARTBEAT_SILENCE_MS)
    assert not is_outdated(freshness, HEARTBEAT_SILENCE_MS + 1)
    assert is_outdated(freshness, HEARTBEAT_SILENCE_MS + 1, failing=True)


def test_only_instance_is_not_outdated_while_its_watch_waits():
    # Guards against a wrong key that gets 503 because no configuration changes.
    freshness = make(strict=False)
    freshness.record_store_call(0.0)
    assert not is_outdated(freshness, 15_000.0, has_peers=False)
    assert is_outdated(freshness, 15_000.0, failing=True, has_peers=False)
