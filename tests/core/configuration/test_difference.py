from attrs import evolve

from persimmonspur.core.configuration.difference import list_changes, render_changes
from persimmonspur.core.configuration.states import TargetKind, set_desired_state
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.configuration import DesiredState

CURRENT = build_configuration(DEPLOYMENTS["ulaanbaatar"])


def render(target, current=CURRENT):
    return render_changes(list_changes(current, target))


def test_equal_configurations_have_no_difference():
    assert render(CURRENT) == []


def test_a_changed_field_shows_both_values():
    target = set_desired_state(CURRENT, TargetKind.ENDPOINT, "stock-ledger-0", DesiredState.OUT).ok
    assert render(target) == [
        "~ services.stock-ledger.endpoints.stock-ledger-0: desired serving -> out"
    ]


def test_a_removed_service_is_one_line_without_its_endpoints():
    (line,) = render(evolve(CURRENT, services=CURRENT.services[1:]))
    assert line.startswith("- services.repair-counter: slots 4")


def test_equal_changes_of_many_endpoints_share_a_line():
    service = CURRENT.services[1]
    endpoints = tuple(evolve(entry, desired=DesiredState.DRAINING) for entry in service.endpoints)
    services = (CURRENT.services[0], evolve(service, endpoints=endpoints), *CURRENT.services[2:])
    (line,) = render(evolve(CURRENT, services=services))
    assert line.endswith("billing-office-5 and 39 more: desired serving -> draining")


def test_the_first_configuration_lists_everything():
    lines = render(CURRENT, None)
    assert [line.split(".")[0] for line in lines] == [
        "+ deployment: name ulaanbaatar",
        "+ failure_domains",
        "+ classes",
        "+ services",
    ]


def test_changed_shards_are_shown():
    service = CURRENT.services[0]
    shard_map = service.shard_maps[0]
    moved = evolve(shard_map, shards=shard_map.shards[1:])
    target = evolve(CURRENT, services=(evolve(service, shard_maps=(moved,)), *CURRENT.services[1:]))
    (line,) = render(target)
    assert line.startswith("~ services.repair-counter.shard_maps.epoch 1: shards 10 shards")
