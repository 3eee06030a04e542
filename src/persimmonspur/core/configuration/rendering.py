"""Renders a configuration as a configuration file."""

from typing import Any

import yaml

from persimmonspur.model.configuration import Configuration, DesiredState, Service, ShardMap


def render_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return the document that declares a configuration, without endpoint groups."""
    return {
        "deployment": configuration.deployment,
        "failure_domains": [domain.name for domain in configuration.failure_domains],
        "classes": {
            entry.name: {"priority": entry.priority, "share": entry.share}
            for entry in configuration.classes
        },
        "services": {service.name: _render_service(service) for service in configuration.services},
        "desired": _render_desired(configuration),
        "terminated": sorted(configuration.terminated),
    }


def render_yaml(configuration: Configuration) -> str:
    """Return the file as YAML text."""
    document = render_configuration(configuration)
    return yaml.safe_dump(document, sort_keys=False, default_flow_style=None, width=100)


def _render_service(service: Service) -> dict[str, Any]:
    limits = service.limits
    return {
        "limits": {
            "slots": limits.slots,
            "connections": limits.connections,
            "connect_ms": limits.connect_ms,
            "queue": limits.queue,
        },
        "min_replicas": service.min_replicas,
        "typical_ms": service.typical_ms,
        "shard_maps": [_render_shard_map(shard_map) for shard_map in service.shard_maps],
        "endpoints": [
            {
                "name": endpoint.name,
                "address": endpoint.address,
                "failure_domain": endpoint.failure_domain,
                "shards": list(endpoint.shards),
            }
            for endpoint in service.endpoints
        ],
    }


def _render_shard_map(shard_map: ShardMap) -> dict[str, Any]:
    shards = {shard.name: [shard.start, shard.stop] for shard in shard_map.shards}
    return {"epoch": shard_map.epoch, "shards": shards}


def _render_desired(configuration: Configuration) -> dict[str, dict[str, str]]:
    endpoints = {
        endpoint.name: endpoint.desired.value
        for service in configuration.services
        for endpoint in service.endpoints
        if endpoint.desired is not DesiredState.SERVING
    }
    domains = {
        domain.name: domain.desired.value
        for domain in configuration.failure_domains
        if domain.desired is not DesiredState.SERVING
    }
    instances = {name: state.value for name, state in sorted(configuration.instances.items())}
    return {"failure_domains": domains, "instances": instances, "endpoints": endpoints}
