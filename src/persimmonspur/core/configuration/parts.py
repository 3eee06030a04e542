"""Stored form of a configuration: immutable parts and a small root that names them.

A part is a list of records. The records of a service fill parts of their own,
and the rest of the configuration fills further ones, so a change costs the
parts that it touches and the root.
"""

import hashlib
from collections.abc import Iterable, Mapping, MutableMapping

import msgspec
from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.model.configuration import (
    Configuration,
    DesiredState,
    Endpoint,
    EndpointLimits,
    FailureDomain,
    PriorityClass,
    Service,
    Shard,
    ShardMap,
)

ROOT_KEY = "config/root"
PART_PREFIX = "config/parts/"
MAX_OBJECT_BYTES = 1_000_000

# A part ends after a record whose hash says so, which keeps the other parts
# of a large service the same when a record is added in the middle. At the
# target scale (about 12 MB) the root then has about 400 entries (40 KB), so
# neither the root nor a part dominates the cost of a change.
MIN_PART_BYTES = 16_000
MAX_PART_BYTES = 64_000
BOUNDARY_MODULUS = 64

HISTORY_ATTEMPTS = 32


class DeploymentRecord(msgspec.Struct, tag="deployment"):
    """Name of the deployment."""

    name: str


class DomainRecord(msgspec.Struct, tag="failure_domain"):
    """One failure domain."""

    value: FailureDomain


class ClassRecord(msgspec.Struct, tag="class"):
    """One class of queries."""

    value: PriorityClass


class InstanceRecord(msgspec.Struct, tag="instance"):
    """DesiredState state of an instance."""

    name: str
    desired: DesiredState


class TerminatedRecord(msgspec.Struct, tag="terminated"):
    """An instance that has ended for good."""

    name: str


class ServiceRecord(msgspec.Struct, tag="service"):
    """Starts a service; its shard maps and endpoints follow."""

    name: str
    limits: EndpointLimits
    min_replicas: int
    typical_ms: float


class ShardMapRecord(msgspec.Struct, tag="shard_map"):
    """Starts a shard map of the service; its shards follow."""

    epoch: int


class ShardRecord(msgspec.Struct, tag="shard"):
    """One shard of the shard map."""

    value: Shard


class EndpointRecord(msgspec.Struct, tag="endpoint"):
    """One endpoint of the service."""

    value: Endpoint


Record = (
    DeploymentRecord
    | DomainRecord
    | ClassRecord
    | InstanceRecord
    | TerminatedRecord
    | ServiceRecord
    | ShardMapRecord
    | ShardRecord
    | EndpointRecord
)


class PartReference(msgspec.Struct, frozen=True):
    """Names a part.

    :param name: what the part holds, for people.
    :param digest: SHA-256 of its bytes in hexadecimal digits.
    """

    name: str
    digest: str

    @property
    def key(self) -> str:
        """Key of the part in the object API."""
        return PART_PREFIX + self.digest


class ConfigurationRoot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The root object: names one version of the whole configuration.

    :param version: grows by one with every change.
    :param attempt: id of the write attempt, to recognise a write whose reply was lost.
    :param history: attempts of the versions before, the latest first, so that a write
        is recognised even after others followed.
    """

    version: int
    attempt: str
    parts: tuple[PartReference, ...]
    history: tuple[str, ...] = ()

    def find_attempt(self, attempt: str) -> int:
        """Return the version that an attempt wrote; 0 if none of the known ones."""
        if attempt == self.attempt:
            return self.version
        if attempt in self.history:
            return self.version - 1 - self.history.index(attempt)
        return 0

    def list_history(self) -> tuple[str, ...]:
        """Return the history for the next version."""
        return (self.attempt, *self.history)[:HISTORY_ATTEMPTS]


@frozen
class SplitConfiguration:
    """A configuration in parts.

    :param values: bytes of each part by digest.
    """

    references: tuple[PartReference, ...]
    values: dict[str, bytes]


def compute_digest(value: bytes) -> str:
    """Return the digest that names a part."""
    return hashlib.sha256(value).hexdigest()


def encode_root(root: ConfigurationRoot) -> bytes:
    """Encode a root in its stored form."""
    return msgspec.json.encode(root)


def decode_root(data: bytes) -> ConfigurationRoot:
    """Decode a stored root.

    :raises msgspec.DecodeError: if the data is not a root.
    """
    root = msgspec.json.decode(data, type=ConfigurationRoot)
    if root.version < 1:
        raise msgspec.ValidationError(f"version: {root.version}; allowed: 1 or more")
    return root


def split_configuration(configuration: Configuration) -> SplitConfiguration:
    """Split a configuration into parts; the same configuration gives the same parts."""
    references: list[PartReference] = []
    values: dict[str, bytes] = {}
    groups = [("rest", _list_rest(configuration))]
    groups.extend(
        (f"service/{service.name}", _list_service(service)) for service in configuration.services
    )
    for name, records in groups:
        for index, value in enumerate(_fill_parts(records)):
            digest = compute_digest(value)
            values[digest] = value
            references.append(PartReference(f"{name}/{index}", digest))
    return SplitConfiguration(tuple(references), values)


def assemble_configuration(
    references: Iterable[PartReference],
    values: Mapping[str, bytes],
    decoded: MutableMapping[str, list[Record]] | None = None,
) -> Result[Configuration, str]:
    """Put a configuration together from all of its parts.

    :param decoded: records by digest of parts that were verified and decoded before; gets
        those of the others. Most parts stay the same in a change, and decoding all of
        them would stall a daemon at the target scale.
    :returns: the configuration, or what is wrong with the parts.
    """
    known = decoded if decoded is not None else {}
    builder = _Builder()
    for reference in references:
        if reference.digest not in known:
            result = _decode_part(reference, values.get(reference.digest))
            if result.is_error():
                return Error(result.error)
            known[reference.digest] = result.ok
        for record in known[reference.digest]:
            fault = builder.add(record)
            if fault:
                return Error(fault)
    if not builder.deployment:
        return Error("no part names the deployment")
    return Ok(builder.build())


def _decode_part(reference: PartReference, value: bytes | None) -> Result[list[Record], str]:
    name = f"part {reference.name} ({reference.digest})"
    if value is None:
        return Error(f"{name} is missing")
    if compute_digest(value) != reference.digest:
        return Error(f"{name} has other bytes")
    try:
        return Ok(msgspec.json.decode(value, type=list[Record]))
    except msgspec.DecodeError as error:
        return Error(f"{name}: {error}")


def _list_rest(configuration: Configuration) -> list[Record]:
    records: list[Record] = [DeploymentRecord(configuration.deployment)]
    records.extend(DomainRecord(domain) for domain in configuration.failure_domains)
    records.extend(ClassRecord(entry) for entry in configuration.classes)
    for name in sorted(configuration.instances):
        records.append(InstanceRecord(name, configuration.instances[name]))
    records.extend(TerminatedRecord(name) for name in sorted(configuration.terminated))
    return records


def _list_service(service: Service) -> list[Record]:
    records: list[Record] = [
        ServiceRecord(service.name, service.limits, service.min_replicas, service.typical_ms)
    ]
    for shard_map in service.shard_maps:
        records.append(ShardMapRecord(shard_map.epoch))
        records.extend(ShardRecord(shard) for shard in shard_map.shards)
    records.extend(EndpointRecord(endpoint) for endpoint in service.endpoints)
    return records


def _fill_parts(records: list[Record]) -> list[bytes]:
    parts: list[bytes] = []
    pending: list[bytes] = []
    size = 2
    for record in records:
        data = msgspec.json.encode(record)
        if pending and size + len(data) + 1 > MAX_PART_BYTES:
            parts.append(_join(pending))
            pending, size = [], 2
        pending.append(data)
        size += len(data) + 1
        boundary = int.from_bytes(hashlib.sha256(data).digest()[:4], "big")
        if size >= MIN_PART_BYTES and boundary % BOUNDARY_MODULUS == 0:
            parts.append(_join(pending))
            pending, size = [], 2
    if pending:
        parts.append(_join(pending))
    return parts


def _join(items: list[bytes]) -> bytes:
    return b"[" + b",".join(items) + b"]"


class _Builder:
    def __init__(self) -> None:
        self.deployment = ""
        self._domains: list[FailureDomain] = []
        self._classes: list[PriorityClass] = []
        self._instances: dict[str, DesiredState] = {}
        self._terminated: set[str] = set()
        self._services: list[
            tuple[ServiceRecord, list[tuple[int, list[Shard]]], list[Endpoint]]
        ] = []

    def add(self, record: Record) -> str:
        # Nearly all records are endpoints.
        if isinstance(record, EndpointRecord) and self._services:
            self._services[-1][2].append(record.value)
            return ""
        match record:
            case DeploymentRecord():
                self.deployment = record.name
            case DomainRecord():
                self._domains.append(record.value)
            case ClassRecord():
                self._classes.append(record.value)
            case InstanceRecord():
                self._instances[record.name] = record.desired
            case TerminatedRecord():
                self._terminated.add(record.name)
            case ServiceRecord():
                self._services.append((record, [], []))
            case _:
                return self._add_to_service(record)
        return ""

    def build(self) -> Configuration:
        services = []
        for record, shard_maps, endpoints in self._services:
            maps = tuple(ShardMap(epoch, tuple(shards)) for epoch, shards in shard_maps)
            services.append(
                Service(
                    record.name,
                    record.limits,
                    maps,
                    tuple(endpoints),
                    record.min_replicas,
                    record.typical_ms,
                )
            )
        return Configuration(
            self.deployment,
            tuple(self._domains),
            tuple(self._classes),
            tuple(services),
            self._instances,
            frozenset(self._terminated),
        )

    def _add_to_service(self, record: ShardMapRecord | ShardRecord | EndpointRecord) -> str:
        if not self._services:
            return "a record of a service comes before the service"
        _, shard_maps, _ = self._services[-1]
        match record:
            case ShardMapRecord():
                shard_maps.append((record.epoch, []))
            case ShardRecord():
                if not shard_maps:
                    return "a shard comes before its shard map"
                shard_maps[-1][1].append(record.value)
        return ""
