"""Holds the example files and the shapes of the load tools against the table of the design page."""

from collections import defaultdict
from importlib.resources import files

import pytest
from attrs import evolve

from persimmonspur.core.configuration.document import parse_document
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.configuration import Limits

# deployment: failure domains, hop ms, {service: (endpoints, slots, connections, connect ms)}
TABLE = {
    "ulaanbaatar": (
        ("sukhbaatar", "bayanzurkh", "khan-uul"),
        0.5,
        {
            "repair-counter": (30, 4, 75, 6),
            "billing-office": (45, 4, 75, 6),
            "pickup-dispatch": (10, 4, 200, 1),
            "stock-ledger": (5, 4, 200, 1),
        },
    ),
    "bengal-east": (
        ("kolkata-a", "kolkata-b", "howrah-a", "durgapur-a"),
        1.5,
        {
            "shopdesk": (30, 3, 65, 6),
            "rider-app": (45, 3, 65, 6),
            "creditnote": (13, 2, 75, 1),
            "refill-ledger": (7, 2, 75, 1),
        },
    ),
}


def read_text(name):
    return files("persimmonspur.examples").joinpath(f"{name}.yaml").read_text()


def read_example(name):
    result = parse_document(read_text(name))
    assert result.is_ok(), [str(error) for error in result.error]
    return result.ok.configuration


@pytest.mark.parametrize("name", TABLE)
@pytest.mark.parametrize("source", [read_example, lambda n: build_configuration(DEPLOYMENTS[n])])
def test_every_figure_of_the_table(name, source):
    domains, _, services = TABLE[name]
    configuration = source(name)
    assert tuple(domain.name for domain in configuration.failure_domains) == domains
    assert [entry.name for entry in configuration.classes] == ["counter", "interactive", "batch"]
    assert {
        service.name: (len(service.endpoints), service.limits) for service in configuration.services
    } == {
        service: (count, Limits(slots, connections, connect_ms))
        for service, (count, slots, connections, connect_ms) in services.items()
    }


@pytest.mark.parametrize("name", TABLE)
def test_latencies_are_named(name):
    _, hop_ms, _ = TABLE[name]
    assert DEPLOYMENTS[name].hop_ms == hop_ms
    assert f"One-way latency: {hop_ms} ms between failure domains, 1 ms to callers" in read_text(
        name
    )


@pytest.mark.parametrize("name", TABLE)
@pytest.mark.parametrize("source", [read_example, lambda n: build_configuration(DEPLOYMENTS[n])])
def test_replicas_of_a_shard_are_in_different_failure_domains(name, source):
    for service in source(name).services:
        domains = defaultdict(list)
        for endpoint in service.endpoints:
            domains[endpoint.shards].append(endpoint.failure_domain)
        replicas = 2 if len(service.endpoints) <= 10 else 3
        for places in domains.values():
            assert len(places) >= replicas
            assert len(set(places)) == min(len(places), len(TABLE[name][0])), service.name


@pytest.mark.parametrize("name", TABLE)
def test_the_load_tools_build_the_same_deployment(name):
    def strip(configuration):
        return evolve(
            configuration,
            services=tuple(
                evolve(
                    service,
                    endpoints=tuple(evolve(entry, address="") for entry in service.endpoints),
                )
                for service in configuration.services
            ),
        )

    assert strip(read_example(name)) == strip(build_configuration(DEPLOYMENTS[name]))
