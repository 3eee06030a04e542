"""Stored form of a configuration: immutable parts and a small root that references them.

A part is a list of records. Each service has parts of its own, and further
parts hold the rest of the configuration, so a change rewrites only the root
and the parts that it affects.
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

# Content-defined chunking: between the two sizes, a part ends after a record whose
# hash is a multiple of the modulus, so a record added in the middle of a large
# service leaves the other parts unchanged. At the target scale (about 12 MB) the
# root then has about 400 entries (40 KB), so neither the root nor a part dominates
# the cost of a change.
MIN_PART_BYTES = 16_000
MAX_PART_BYTES = 64_000
BOUNDARY_MODULUS = 64

MAX_HISTORY_ATTEMPTS = 32


class DeploymentRecord(msgspec.Struct, tag="deployment"):
    """Name of the deployment."""

    name: str


class DomainRecord(msgspec.Struct, tag="failure_domain"):
    """One failure domain."""

    value: FailureDomain


class ClassRecord(msgspec.Struct, tag="class"):
    """One priority class of queries."""

    value: PriorityClass


class InstanceRecord(msgspec.Struct, tag="instance"):
    """Desired state of an instance."""

    name: str
    desired: DesiredState


class TerminatedRecord(msgspec.Struct, tag="terminated"):
    """An instance that has terminated permanently."""

    name: str


class ServiceRecord(msgspec.Struct, tag="service"):
    """A service; the records of its shard maps and endpoints follow."""

    name: str
    limits: EndpointLimits
    min_replicas: int
    typical_ms: float


class ShardMapRecord(msgspec.Struct, tag="shard_map"):
    """A shard map of the preceding service; the records of its shards follow."""

    epoch: int


class ShardRecord(msgspec.Struct, tag="shard"):
    """One shard of the preceding shard map."""

    value: Shard


class EndpointRecord(msgspec.Struct, tag="endpoint"):
    """One endpoint of the preceding service."""

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
    """Reference to a part.

    :param name: human-readable description of the content.
    :param digest: hexadecimal SHA-256 digest of the part.
    """

    name: str
    digest: str

    @property
    def key(self) -> str:
        """Key of the part in the object API."""
        return PART_PREFIX + self.digest


class ConfigurationRoot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The root object, which defines one version of the whole configuration.

    :param version: increases by one with every change.
    :param attempt: id of the write attempt, to recognise a write whose reply was lost.
    :param history: attempt ids of the previous versions, the latest first, to recognise
        a write even after later ones.
    """

    version: int
    attempt: str
    parts: tuple[PartReference, ...]
    history: tuple[str, ...] = ()

    def find_attempt_version(self, attempt: str) -> int:
        """Return the version that an attempt wrote; 0 if the attempt is not in the history."""
        if attempt == self.attempt:
            return self.version
        if attempt in self.history:
            return self.version - 1 - self.history.index(attempt)
        return 0

    def build_next_history(self) -> tuple[str, ...]:
        """Return the history for the root of the next version."""
        return (self.attempt, *self.history)[:MAX_HISTORY_ATTEMPTS]


@frozen
class SplitConfiguration:
    """A configuration split into parts.

    :param values: encoded parts by digest.
    """

    references: tuple[PartReference, ...]
    values: dict[str, bytes]


def compute_digest(value: bytes) -> str:
    """Return the digest that identifies a part."""
    return hashlib.sha256(value).hexdigest()


def encode_root(root: ConfigurationRoot) -> bytes:
    """Encode a root in its stored form."""
    return msgspec.json.encode(root)


def decode_root(data: bytes) -> ConfigurationRoot:
    """Decode a stored root.

    :raises msgspec.DecodeError: if the data is not a valid root.
    """
    root = msgspec.json.decode(data, type=ConfigurationRoot)
    if root.version < 1:
        raise msgspec.ValidationError(f"version: {root.version}; allowed: 1 or more")
    return root


def split_configuration(configuration: Configuration) -> SplitConfiguration:
    """Split a configuration into parts; equal configurations give the same parts."""
    references: list[PartReference] = []
    values: dict[str, bytes] = {}
    groups = [("rest", _build_general_records(configuration))]
    groups.extend(
        (f"service/{service.name}", _build_service_records(service))
        for service in configuration.services
    )
    for name, records in groups:
        for index, value in enumerate(_pack_parts(records)):
            digest = compute_digest(value)
            values[digest] = value
            references.append(PartReference(f"{name}/{index}", digest))
    return SplitConfiguration(tuple(references), values)


def assemble_configuration(
    references: Iterable[PartReference],
    values: Mapping[str, bytes],
    decoded: MutableMapping[str, list[Record]] | None = None,
) -> Result[Configuration, str]:
    """Assemble a configuration from all of its parts.

    :param decoded: cache of verified and decoded records by digest; parts that it lacks are
        added. A change leaves most parts the same, and decoding all of them would stall
        a daemon at the target scale.
    :returns: the configuration, or a description of the error in the parts.
    """
    records_by_digest = decoded if decoded is not None else {}
    builder = _ConfigurationBuilder()
    for reference in references:
        if reference.digest not in records_by_digest:
            result = _decode_part(reference, values.get(reference.digest))
            if result.is_error():
                return Error(result.error)
            records_by_digest[reference.digest] = result.ok
        for record in records_by_digest[reference.digest]:
            error_message = builder.add(record)
            if error_message:
                return Error(error_message)
    if not builder.deployment:
        return Error("no part contains the name of the deployment")
    return Ok(builder.build())


def _decode_part(reference: PartReference, value: bytes | None) -> Result[list[Record], str]:
    name = f"part {reference.name} ({reference.digest})"
    if value is None:
        return Error(f"{name} is missing")
    if compute_digest(value) != reference.digest:
        return Error(f"{name} does not match its digest")
    try:
        return Ok(msgspec.json.decode(value, type=list[Record]))
    except msgspec.DecodeError as error:
        return Error(f"{name}: {error}")


def _build_general_records(configuration: Configuration) -> list[Record]:
    records: list[Record] = [DeploymentRecord(configuration.deployment)]
    records.extend(DomainRecord(domain) for domain in configuration.failure_domains)
    records.extend(ClassRecord(entry) for entry in configuration.classes)
    for name in sorted(configuration.instances):
        records.append(InstanceRecord(name, configuration.instances[name]))
    records.extend(TerminatedRecord(name) for name in sorted(configuration.terminated))
    return records


def _build_service_records(service: Service) -> list[Record]:
    records: list[Record] = [
        ServiceRecord(service.name, service.limits, service.min_replicas, service.typical_ms)
    ]
    for shard_map in service.shard_maps:
        records.append(ShardMapRecord(shard_map.epoch))
        records.extend(ShardRecord(shard) for shard in shard_map.shards)
    records.extend(EndpointRecord(endpoint) for endpoint in service.endpoints)
    return records


def _pack_parts(records: list[Record]) -> list[bytes]:
    parts: list[bytes] = []
    pending: list[bytes] = []
    size = 2
    for record in records:
        data = msgspec.json.encode(record)
        if pending and size + len(data) + 1 > MAX_PART_BYTES:
            parts.append(_join_records(pending))
            pending, size = [], 2
        pending.append(data)
        size += len(data) + 1
        boundary_hash = int.from_bytes(hashlib.sha256(data).digest()[:4], "big")
        if size >= MIN_PART_BYTES and boundary_hash % BOUNDARY_MODULUS == 0:
            parts.append(_join_records(pending))
            pending, size = [], 2
    if pending:
        parts.append(_join_records(pending))
    return parts


def _join_records(items: list[bytes]) -> bytes:
    return b"[" + b",".join(items) + b"]"


class _ConfigurationBuilder:
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
        # Fast path: nearly all records are endpoints.
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
            return "a record of a service precedes the record of the service itself"
        _, shard_maps, _ = self._services[-1]
        match record:
            case ShardMapRecord():
                shard_maps.append((record.epoch, []))
            case ShardRecord():
                if not shard_maps:
                    return "a shard precedes its shard map"
                shard_maps[-1][1].append(record.value)
        return ""
