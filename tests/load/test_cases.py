"""Tests that every experiment case can run on every example deployment."""

import pytest

from persimmonspur.load.cases import CASES
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.load.faults import list_first_replicas, repartition_configuration
from persimmonspur.model.configuration import KEY_SPACE_UNITS

# Cases listed in section 1.7 of the design.
DESIGN_CASES = {
    "morning",
    "evening",
    "both",
    "straggler",
    "replica-loss",
    "cold-restart",
    "domain-move",
    "platform-down",
    "entry-loss",
    "reindex",
    "overload",
}


def test_all_cases_of_the_design_are_registered():
    assert set(CASES) >= DESIGN_CASES
    assert "steady" in CASES


@pytest.mark.parametrize("name", list(CASES))
@pytest.mark.parametrize("deployment", list(DEPLOYMENTS))
def test_schedules_are_ordered_and_flows_use_existing_services(name, deployment):
    case = CASES.get(name)
    positions = [step.position for step in case.build_schedule()]
    assert positions == sorted(positions)
    assert all(0 <= position <= 1 for position in positions)
    spec = DEPLOYMENTS[deployment]
    services = {service.name for service in spec.services}
    for flow in case.build_flows(spec, 100.0).values():
        assert flow.service in services
        assert flow.rate > 0


@pytest.mark.parametrize("deployment", list(DEPLOYMENTS))
def test_repartition_keeps_the_old_epoch_and_covers_the_key_space(deployment):
    before = build_configuration(DEPLOYMENTS[deployment])
    after = repartition_configuration(before)
    for old, new in zip(before.services, after.services, strict=True):
        assert new.shard_maps[0] == old.shard_maps[0]
        shards = new.shard_maps[1].shards
        assert sum(shard.units for shard in shards) == KEY_SPACE_UNITS
        served = {shard for endpoint in new.endpoints for shard in endpoint.shards}
        assert {shard.name for shard in shards} <= served


def test_first_replicas_are_one_per_shard():
    service = build_configuration(DEPLOYMENTS["ulaanbaatar"]).services[0]
    first_replicas = list_first_replicas(service)
    assert len({endpoint.shards[0] for endpoint in first_replicas}) == len(
        service.shard_maps[0].shards
    )
    assert len(first_replicas) == len(service.shard_maps[0].shards)
