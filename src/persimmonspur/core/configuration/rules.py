"""Checks that the fields of a configuration are consistent and that a change is allowed."""

from collections import Counter
from collections.abc import Iterable

from persimmonspur.core.configuration.declarations import Declarations, DeclaredService
from persimmonspur.core.configuration.fields import DocumentError, DocumentReader
from persimmonspur.model.configuration import (
    KEY_SPACE_UNITS,
    Configuration,
    Service,
    ShardMap,
)


def check_declarations(reader: DocumentReader, declarations: Declarations) -> None:
    """Report errors that involve several fields."""
    shares = sum(entry.share for entry in declarations.classes)
    # Allows for the rounding error of sums of decimal fractions.
    if shares > 1 + 1e-9:
        reader.report("classes", f"shares add up to {shares:g}", "at most 1 together")
    for service in declarations.services:
        _check_shard_maps(reader, service)
        _check_endpoints(reader, service, declarations.failure_domains)
    _check_unique(reader, declarations)
    _check_desired(reader, declarations)


def check_change(current: Configuration, target: Configuration) -> list[DocumentError]:
    """Return the errors that forbid the replacement of one valid configuration by another."""
    reader = DocumentReader()
    if target.deployment != current.deployment:
        reader.report("deployment", target.deployment, f"{current.deployment}, as stored")
    for service in target.services:
        stored = current.find_service(service.name)
        if stored is not None:
            _check_epochs(reader, stored, service)
    return reader.errors


def _check_epochs(reader: DocumentReader, current: Service, target: Service) -> None:
    path = f"services.{target.name}.shard_maps"
    stored_maps = {shard_map.epoch: shard_map for shard_map in current.shard_maps}
    highest = max(stored_maps)
    for shard_map in target.shard_maps:
        stored = stored_maps.get(shard_map.epoch)
        if stored is None and shard_map.epoch < highest:
            allowed = f"a new epoch above {highest}, the highest stored one"
            reader.report(path, f"epoch {shard_map.epoch}", allowed)
        if stored is not None and stored.shards != shard_map.shards:
            allowed = "the stored shards of that epoch; use a new epoch for other shards"
            reader.report(path, f"epoch {shard_map.epoch} with other shards", allowed)
    if max(shard_map.epoch for shard_map in target.shard_maps) < highest:
        reader.report(path, "highest epoch falls", f"the stored epoch {highest} or above")


def _check_shard_maps(reader: DocumentReader, service: DeclaredService) -> None:
    path = f"services.{service.name}.shard_maps"
    previous_epoch = 0
    for shard_map in service.shard_maps:
        if shard_map.epoch <= previous_epoch:
            reader.report(
                path, f"epoch {shard_map.epoch} after {previous_epoch}", "epochs in ascending order"
            )
        previous_epoch = shard_map.epoch
        if shard_map.shards and service.shard_maps_valid:
            _check_partition(reader, f"{path} epoch {shard_map.epoch}", shard_map)
    names = (shard.name for shard_map in service.shard_maps for shard in shard_map.shards)
    for name in _find_duplicates(names):
        reader.report(path, f"shard {name} declared twice", "each shard name once in a service")


def _check_partition(reader: DocumentReader, path: str, shard_map: ShardMap) -> None:
    allowed = f"each of the {KEY_SPACE_UNITS} key space units in exactly one shard, in order"
    expected = 0
    for shard in shard_map.shards:
        if shard.start != expected:
            what = "a gap" if shard.start > expected else "an overlap"
            found = f"shard {shard.name} starts at {shard.start}, not {expected}: {what}"
            reader.report(path, found, allowed)
        expected = shard.stop
    if expected != KEY_SPACE_UNITS:
        reader.report(path, f"the last shard stops at {expected}", allowed)


def _check_endpoints(
    reader: DocumentReader, service: DeclaredService, domains: tuple[str, ...]
) -> None:
    shards = [shard.name for shard_map in service.shard_maps for shard in shard_map.shards]
    declared_shards = set(shards)
    served: set[str] = set()
    for entry in service.endpoints:
        endpoint = entry.endpoint
        served.update(endpoint.shards)
        # An empty list of failure domains has already been reported itself.
        if domains and endpoint.failure_domain not in domains:
            found = f"{endpoint.name} in {endpoint.failure_domain}"
            reader.report(f"{entry.path}.failure_domain", found, ", ".join(domains))
        for shard in endpoint.shards:
            if shard not in declared_shards and service.shard_maps_valid:
                found = f"{endpoint.name} serves {shard}"
                reader.report(f"{entry.path}.shards", found, "shards of the service's shard maps")
    for shard in dict.fromkeys(shards):
        if service.endpoints_valid and shard not in served:
            path = f"services.{service.name}.shard_maps"
            reader.report(path, f"shard {shard} has no endpoint", "at least one endpoint each")


def _check_unique(reader: DocumentReader, declarations: Declarations) -> None:
    names: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for service in declarations.services:
        for entry in service.endpoints:
            endpoint = entry.endpoint
            if endpoint.name in names:
                found = f"{endpoint.name} is also in {names[endpoint.name]}"
                reader.report(entry.path, found, "each endpoint name once")
            names.setdefault(endpoint.name, entry.path)
            if endpoint.address in addresses:
                found = f"{endpoint.address} is also the address of {addresses[endpoint.address]}"
                reader.report(entry.path, found, "each address once")
            addresses.setdefault(endpoint.address, endpoint.name)


def _check_desired(reader: DocumentReader, declarations: Declarations) -> None:
    domains = declarations.failure_domains
    for name in declarations.desired_domains:
        if domains and name not in domains:
            reader.report("desired.failure_domains", name, ", ".join(domains))
    endpoints = {
        entry.endpoint.name for service in declarations.services for entry in service.endpoints
    }
    for name in declarations.desired_endpoints:
        if name not in endpoints:
            reader.report("desired.endpoints", name, "a declared endpoint")


def _find_duplicates(names: Iterable[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]
