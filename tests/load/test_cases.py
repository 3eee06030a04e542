"""Guards against cases that a deployment cannot run."""

import pytest

from persimmonspur.load.cases import CASES
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.load.faults import list_first_replicas, repartition_configuration
from persimmonspur.model.configuration import KEY_SPACE_UNITS

# Section 1.7 of the design.
REQUIRED = {
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


def test_every_case_of_the_design_is_registered():
    assert set(CASES) >= REQUIRED
    assert "steady" in CASES


@pytest.mark.parametrize("name", list(CASES))
@pytest.mark.parametrize("deployment", list(DEPLOYMENTS))
def test_schedules_are_in_order_and_flows_name_real_services(name, deployment):
    case = CASES.get(name)
    positions = [step.position for step in case.build_schedule()]
    assert positions == sorted(positions)
    assert all(0 <= position <= 1 for position in positions)
    shape = DEPLOYMENTS[deployment]
    services = {service.name for service in shape.services}
    for flow in case.build_flows(shape, 100.0).values():
        assert flow.service in services
        assert flow.rate > 0


@pytest.mark.parametrize("deployment", list(DEPLOYMENTS))
def test_a_repartition_keeps_the_old_epoch_and_covers_the_key_space(deployment):
    before = build_configuration(DEPLOYMENTS[deployment])
    after = repartition_configuration(before)
    for old, new in zip(before.services, after.services, strict=True):
        assert new.shard_maps[0] == old.shard_maps[0]
        shards = new.shard_maps[1].shards
        assert sum(shard.units for shard in shards) == KEY_SPACE_UNITS
        served = {shard for endpoint in new.endpoints for shard in endpoint.shards}
        assert {shard.name for shard in shards} <= served


def test_one_replica_of_each_shard_is_hit():
    service = build_configuration(DEPLOYMENTS["ulaanbaatar"]).services[0]
    chosen = list_first_replicas(service)
    assert len({endpoint.shards[0] for endpoint in chosen}) == len(service.shard_maps[0].shards)
    assert len(chosen) == len(service.shard_maps[0].shards)
