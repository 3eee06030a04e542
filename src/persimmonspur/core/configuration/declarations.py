"""Contents of a configuration file, parsed but not yet checked for consistency."""

from typing import Any

from attrs import define, field, frozen

from persimmonspur.core.configuration.fields import (
    ADDRESS_ALLOWED,
    NAME_ALLOWED,
    NAME_REGEX,
    DocumentReader,
    expand_pattern,
    parse_address,
)
from persimmonspur.core.configuration.sections import (
    ENDPOINT,
    GROUP,
    LIMITS,
    SERVICE,
    SHARD_MAP,
    GroupSection,
    ServiceSection,
    ShardMapSection,
)
from persimmonspur.model.configuration import (
    KEY_SPACE_UNITS,
    DesiredState,
    Endpoint,
    EndpointLimits,
    PriorityClass,
    Shard,
    ShardMap,
)


@frozen
class DeclaredEndpoint:
    """An endpoint and the path of the field that declares it."""

    path: str
    endpoint: Endpoint


@define
class DeclaredService:
    """The valid contents of a service.

    :param section: ``None`` if any field of the service itself is invalid.
    :param shard_maps_valid: whether every shard map could be parsed.
    :param endpoints_valid: whether every endpoint could be parsed.
    """

    name: str
    section: ServiceSection | None = None
    limits: EndpointLimits | None = None
    shard_maps: list[ShardMap] = field(factory=list)
    shard_maps_valid: bool = True
    endpoints: list[DeclaredEndpoint] = field(factory=list)
    endpoints_valid: bool = True


@define
class Declarations:
    """Everything in a file that could be parsed."""

    failure_domains: tuple[str, ...] = ()
    classes: list[PriorityClass] = field(factory=list)
    services: list[DeclaredService] = field(factory=list)
    desired_domains: dict[str, DesiredState] = field(factory=dict)
    desired_instances: dict[str, DesiredState] = field(factory=dict)
    desired_endpoints: dict[str, DesiredState] = field(factory=dict)


class ServiceReader:
    """Parses one service."""

    def __init__(self, reader: DocumentReader, name: str, raw: Any) -> None:
        self._reader = reader
        self._raw_service = raw
        self._path = f"services.{name}"
        self._service = DeclaredService(name)

    def read(self) -> DeclaredService:
        """Parse every field of the service, even if other fields are invalid."""
        service = self._service
        service.section = self._reader.read_section(self._path, self._raw_service, SERVICE)
        if not isinstance(self._raw_service, dict):
            return service
        if "limits" in self._raw_service:
            path = f"{self._path}.limits"
            service.limits = self._reader.read_section(path, self._raw_service["limits"], LIMITS)
        if "shard_maps" in self._raw_service:
            self._read_shard_maps()
        previous_errors = len(self._reader.errors)
        for index, raw in enumerate(self._get_list("endpoints")):
            self._read_endpoint(f"{self._path}.endpoints[{index}]", raw)
        for index, raw in enumerate(self._get_list("endpoint_groups")):
            path = f"{self._path}.endpoint_groups[{index}]"
            group = self._reader.read_section(path, raw, GROUP)
            if group is not None:
                self._expand_group(path, group)
        service.endpoints_valid = len(self._reader.errors) == previous_errors
        return service

    def _get_list(self, name: str) -> list[Any]:
        raw = self._raw_service.get(name)
        if raw is None:
            return []
        if not isinstance(raw, list):
            self._reader.report(f"{self._path}.{name}", raw, "a list")
            return []
        return raw

    def _read_shard_maps(self) -> None:
        previous_errors = len(self._reader.errors)
        items = self._get_list("shard_maps")
        if not items:
            self._reader.report(f"{self._path}.shard_maps", "empty", "at least one shard map")
        for index, raw in enumerate(items):
            path = f"{self._path}.shard_maps[{index}]"
            section = self._reader.read_section(path, raw, SHARD_MAP)
            if section is None:
                continue
            shards = self._read_shards(path, section)
            self._service.shard_maps.append(ShardMap(section.epoch, tuple(shards)))
        self._service.shard_maps_valid = len(self._reader.errors) == previous_errors

    def _read_shards(self, path: str, section: ShardMapSection) -> list[Shard]:
        if (section.shards is None) == (section.even is None):
            self._reader.report(path, "shards and even", "exactly one of them")
            return []
        if section.even is not None:
            return self._split_evenly(path, expand_pattern(section.even))
        shards = []
        for name in self._reader.read_names(f"{path}.shards", section.shards):
            bounds = section.shards[name]
            if not _is_range(bounds):
                allowed = f"[start, stop] with 0 <= start < stop <= {KEY_SPACE_UNITS}"
                self._reader.report(f"{path}.shards.{name}", bounds, allowed)
                continue
            shards.append(Shard(name, bounds[0], bounds[1]))
        return shards

    def _split_evenly(self, path: str, names: list[str]) -> list[Shard]:
        if len(names) > KEY_SPACE_UNITS:
            allowed = f"at most {KEY_SPACE_UNITS} shards"
            self._reader.report(f"{path}.even", f"{len(names)} shards", allowed)
            return []
        if not NAME_REGEX.fullmatch(names[-1]):
            self._reader.report(f"{path}.even", names[-1], NAME_ALLOWED)
        bounds = [KEY_SPACE_UNITS * index // len(names) for index in range(len(names) + 1)]
        return [Shard(name, bounds[index], bounds[index + 1]) for index, name in enumerate(names)]

    def _read_endpoint(self, path: str, raw: Any) -> None:
        section = self._reader.read_section(path, raw, ENDPOINT)
        if section is None:
            return
        endpoint = Endpoint(
            section.name,
            self._service.name,
            section.address,
            section.failure_domain,
            section.shards,
        )
        self._service.endpoints.append(DeclaredEndpoint(path, endpoint))

    def _expand_group(self, path: str, group: GroupSection) -> None:
        names = expand_pattern(group.names)
        addresses = expand_pattern(group.addresses)
        if len(addresses) != len(names):
            allowed = f"as many as names ({len(names)})"
            self._reader.report(f"{path}.addresses", f"{len(addresses)} addresses", allowed)
            return
        if not NAME_REGEX.fullmatch(names[-1]):
            self._reader.report(f"{path}.names", names[-1], NAME_ALLOWED)
        shard_lists = [expand_pattern(pattern) for pattern in group.shards]
        domains = group.failure_domains
        for index, name in enumerate(names):
            round_number, position = divmod(index, len(shard_lists[0]))
            endpoint = Endpoint(
                name,
                self._service.name,
                addresses[index],
                domains[(position + round_number) % len(domains)],
                tuple(shard_list[index % len(shard_list)] for shard_list in shard_lists),
            )
            self._service.endpoints.append(DeclaredEndpoint(path, endpoint))
            if not _is_address(addresses[index]):
                self._reader.report(f"{path}.addresses", addresses[index], ADDRESS_ALLOWED)


def _is_range(bounds: Any) -> bool:
    if not isinstance(bounds, list) or len(bounds) != 2:
        return False
    if not all(isinstance(bound, int) and not isinstance(bound, bool) for bound in bounds):
        return False
    start, stop = int(bounds[0]), int(bounds[1])
    return 0 <= start < stop <= KEY_SPACE_UNITS


def _is_address(value: str) -> bool:
    try:
        parse_address(value)
    except ValueError:
        return False
    return True
