"""Tests that the example files and the load tools' deployments match the design's table."""

from collections import defaultdict
from importlib.resources import files

import pytest
from attrs import evolve

from persimmonspur.core.configuration.document import parse_document
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.configuration import EndpointLimits

# deployment: failure domains, latency between them in ms,
# rows of service, endpoints, slots, connections, connect ms
DESIGN_TABLE = {
    "ulaanbaatar": (
        "sukhbaatar bayanzurkh khan-uul",
        0.5,
        """repair-counter 30 4 75 6
        billing-office 45 4 75 6
        pickup-dispatch 10 4 200 1
        stock-ledger 5 4 200 1""",
    ),
    "bengal-east": (
        "kolkata-a kolkata-b howrah-a durgapur-a",
        1.5,
        """shopdesk 30 3 65 6
        rider-app 45 3 65 6
        creditnote 13 2 75 1
        refill-ledger 7 2 75 1""",
    ),
}
SOURCES = pytest.mark.parametrize(
    "source", [lambda n: read_example(n), lambda n: build_configuration(DEPLOYMENTS[n])]
)


def read_text(name):
    return files("persimmonspur.examples").joinpath(f"{name}.yaml").read_text()


def read_example(name):
    result = parse_document(read_text(name))
    assert result.is_ok(), [str(error) for error in result.error]
    return result.ok.configuration


@pytest.mark.parametrize("name", DESIGN_TABLE)
@SOURCES
def test_deployments_match_the_table(name, source):
    domains, _, rows = DESIGN_TABLE[name]
    configuration = source(name)
    assert [domain.name for domain in configuration.failure_domains] == domains.split()
    assert [entry.name for entry in configuration.classes] == ["counter", "interactive", "batch"]
    for service, row in zip(configuration.services, rows.splitlines(), strict=True):
        count, *limits = (int(number) for number in row.split()[1:])
        assert (service.name, len(service.endpoints)) == (row.split()[0], count)
        assert service.limits == EndpointLimits(*limits)


@pytest.mark.parametrize("name", DESIGN_TABLE)
def test_latencies_match_the_table(name):
    _, inter_domain_latency_ms, _ = DESIGN_TABLE[name]
    assert DEPLOYMENTS[name].inter_domain_latency_ms == inter_domain_latency_ms
    assert (
        f"One-way latency: {inter_domain_latency_ms} ms between failure domains, 1 ms to callers"
        in read_text(name)
    )


@pytest.mark.parametrize("name", DESIGN_TABLE)
@SOURCES
def test_replicas_of_a_shard_are_in_different_failure_domains(name, source):
    for service in source(name).services:
        domains = defaultdict(list)
        for endpoint in service.endpoints:
            domains[endpoint.shards].append(endpoint.failure_domain)
        replicas = 2 if len(service.endpoints) <= 10 else 3
        for shard_domains in domains.values():
            assert len(shard_domains) >= replicas
            assert len(set(shard_domains)) == min(
                len(shard_domains), len(DESIGN_TABLE[name][0].split())
            ), service.name


@pytest.mark.parametrize("name", DESIGN_TABLE)
def test_load_tools_build_the_deployments_of_the_example_files(name):
    def list_parts(configuration):
        for service in configuration.services:
            yield evolve(service, endpoints=())
            yield from (evolve(entry, address="") for entry in service.endpoints)

    example, built = read_example(name), build_configuration(DEPLOYMENTS[name])
    assert list(list_parts(example)) == list(list_parts(built))
    assert evolve(example, services=()) == evolve(built, services=())
