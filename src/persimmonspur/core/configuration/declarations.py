"""What a file declares, before the rules between its parts are checked."""

from typing import Any

from attrs import define, field, frozen

from persimmonspur.core.configuration.fields import (
    ADDRESS_ALLOWED,
    NAME,
    NAME_ALLOWED,
    Reader,
    expand_pattern,
    take_address,
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
    """An endpoint and the field that declares it."""

    path: str
    endpoint: Endpoint


@define
class DeclaredService:
    """The parts of a service that could be read.

    :param section: ``None`` if a field is at fault.
    :param shard_maps_read: whether every shard map could be read.
    :param endpoints_read: whether every endpoint could be read.
    """

    name: str
    section: ServiceSection | None = None
    limits: EndpointLimits | None = None
    shard_maps: list[ShardMap] = field(factory=list)
    shard_maps_read: bool = True
    endpoints: list[DeclaredEndpoint] = field(factory=list)
    endpoints_read: bool = True


@define
class Declarations:
    """Everything that could be read of a file."""

    failure_domains: tuple[str, ...] = ()
    classes: list[PriorityClass] = field(factory=list)
    services: list[DeclaredService] = field(factory=list)
    desired_domains: dict[str, DesiredState] = field(factory=dict)
    desired_instances: dict[str, DesiredState] = field(factory=dict)
    desired_endpoints: dict[str, DesiredState] = field(factory=dict)


class ServiceReader:
    """Reads one service."""

    def __init__(self, reader: Reader, name: str, raw: Any) -> None:
        self._reader = reader
        self._raw = raw
        self._path = f"services.{name}"
        self._service = DeclaredService(name)

    def read(self) -> DeclaredService:
        """Read every part of the service, whatever is at fault in the others."""
        service = self._service
        service.section = self._reader.read_section(self._path, self._raw, SERVICE)
        if not isinstance(self._raw, dict):
            return service
        if "limits" in self._raw:
            path = f"{self._path}.limits"
            service.limits = self._reader.read_section(path, self._raw["limits"], LIMITS)
        if "shard_maps" in self._raw:
            self._read_shard_maps()
        before = len(self._reader.errors)
        for index, raw in enumerate(self._list("endpoints")):
            self._read_endpoint(f"{self._path}.endpoints[{index}]", raw)
        for index, raw in enumerate(self._list("endpoint_groups")):
            path = f"{self._path}.endpoint_groups[{index}]"
            group = self._reader.read_section(path, raw, GROUP)
            if group is not None:
                self._expand_group(path, group)
        service.endpoints_read = len(self._reader.errors) == before
        return service

    def _list(self, name: str) -> list[Any]:
        raw = self._raw.get(name)
        if raw is None:
            return []
        if not isinstance(raw, list):
            self._reader.report(f"{self._path}.{name}", raw, "a list")
            return []
        return raw

    def _read_shard_maps(self) -> None:
        before = len(self._reader.errors)
        items = self._list("shard_maps")
        if not items:
            self._reader.report(f"{self._path}.shard_maps", "empty", "at least one shard map")
        for index, raw in enumerate(items):
            path = f"{self._path}.shard_maps[{index}]"
            section = self._reader.read_section(path, raw, SHARD_MAP)
            if section is None:
                continue
            shards = self._read_shards(path, section)
            self._service.shard_maps.append(ShardMap(section.epoch, tuple(shards)))
        self._service.shard_maps_read = len(self._reader.errors) == before

    def _read_shards(self, path: str, section: ShardMapSection) -> list[Shard]:
        if (section.shards is None) == (section.even is None):
            self._reader.report(path, "shards and even", "exactly one of them")
            return []
        if section.even is not None:
            return self._divide_evenly(path, expand_pattern(section.even))
        shards = []
        for name in self._reader.read_names(f"{path}.shards", section.shards):
            bounds = section.shards[name]
            if not _is_range(bounds):
                allowed = f"[start, stop] with 0 <= start < stop <= {KEY_SPACE_UNITS}"
                self._reader.report(f"{path}.shards.{name}", bounds, allowed)
                continue
            shards.append(Shard(name, bounds[0], bounds[1]))
        return shards

    def _divide_evenly(self, path: str, names: list[str]) -> list[Shard]:
        if len(names) > KEY_SPACE_UNITS:
            allowed = f"at most {KEY_SPACE_UNITS} shards"
            self._reader.report(f"{path}.even", f"{len(names)} shards", allowed)
            return []
        if not NAME.fullmatch(names[-1]):
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
        if not NAME.fullmatch(names[-1]):
            self._reader.report(f"{path}.names", names[-1], NAME_ALLOWED)
        cycles = [expand_pattern(pattern) for pattern in group.shards]
        domains = group.failure_domains
        for index, name in enumerate(names):
            turn, position = divmod(index, len(cycles[0]))
            endpoint = Endpoint(
                name,
                self._service.name,
                addresses[index],
                domains[(position + turn) % len(domains)],
                tuple(cycle[index % len(cycle)] for cycle in cycles),
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
        take_address(value)
    except ValueError:
        return False
    return True
