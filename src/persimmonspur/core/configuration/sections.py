"""The sections of the operators' file."""

from typing import Any

from attrs import frozen

from persimmonspur.core.configuration.fields import (
    ADDRESS_ALLOWED,
    NAME_ALLOWED,
    PATTERN_ALLOWED,
    FieldRule,
    SectionSchema,
    take_address,
    take_any,
    take_integer,
    take_name,
    take_names,
    take_number,
    take_pattern,
    take_patterns,
    take_some_names,
)
from persimmonspur.model.configuration import KEY_SPACE_UNITS, EndpointLimits

DESIRED_ALLOWED = "serving, draining, out"


@frozen
class DocumentSection:
    """The whole file; the values of maps and lists are read one by one."""

    deployment: str
    failure_domains: tuple[str, ...]
    classes: Any
    services: Any
    desired: Any
    terminated: tuple[str, ...] | None


@frozen
class ClassSection:
    """A class of queries."""

    priority: int
    share: float


@frozen
class ServiceSection:
    """A service; its maps and lists are read one by one."""

    limits: Any
    shard_maps: Any
    endpoints: Any
    endpoint_groups: Any
    min_replicas: int
    typical_ms: float


@frozen
class ShardMapSection:
    """A shard map in one of two forms."""

    epoch: int
    shards: Any
    even: str | None


@frozen
class EndpointSection:
    """One endpoint."""

    name: str
    address: str
    failure_domain: str
    shards: tuple[str, ...]


@frozen
class GroupSection:
    """Many similar endpoints."""

    names: str
    addresses: str
    failure_domains: tuple[str, ...]
    shards: tuple[str, ...]


@frozen
class DesiredSection:
    """DesiredState states by name; what is not named serves."""

    failure_domains: Any
    instances: Any
    endpoints: Any


DOCUMENT = SectionSchema(
    "document",
    DocumentSection,
    (
        FieldRule("deployment", NAME_ALLOWED, take_name, "Name of the deployment; never changes."),
        FieldRule(
            "failure_domains",
            "a list of different names, at least one",
            take_some_names,
            "Every failure domain that endpoints and instances run in.",
        ),
        FieldRule("classes", "a map by name", take_any, "Classes of queries, see `classes.NAME`."),
        FieldRule("services", "a map by name", take_any, "Services, see `services.NAME`."),
        FieldRule(
            "desired",
            "a map, see `desired`",
            take_any,
            "What should not simply serve. A file without this field keeps the present desired"
            " states; a file with it replaces all of them.",
            None,
        ),
        FieldRule(
            "terminated",
            "a list of different instance names",
            take_names,
            "Instances that have ended for good and are not waited for. A file without this"
            " field keeps the present list.",
            None,
        ),
    ),
)

CLASS = SectionSchema(
    "classes.NAME",
    ClassSection,
    (
        FieldRule(
            "priority", "a whole number from 0 to 9", take_integer(0, 9), "0 is the most urgent."
        ),
        FieldRule(
            "share",
            "a number from 0 to 1; all shares together at most 1",
            take_number(0, 1),
            "Part of an instance's concurrency that the class may always use.",
        ),
    ),
)

SERVICE = SectionSchema(
    "services.NAME",
    ServiceSection,
    (
        FieldRule("limits", "a map", take_any, "What each endpoint can handle, see `limits`."),
        FieldRule(
            "shard_maps",
            "a list with at least one shard map, epochs rising",
            take_any,
            "The partitions of the key space that index versions use; more than one during a"
            " repartition.",
        ),
        FieldRule(
            "endpoints", "a list", take_any, "Endpoints one by one, see `endpoints[]`.", None
        ),
        FieldRule(
            "endpoint_groups",
            "a list",
            take_any,
            "Many similar endpoints at once, see `endpoint_groups[]`.",
            None,
        ),
        FieldRule(
            "min_replicas",
            "a whole number from 1 to 100",
            take_integer(1, 100),
            "Replicas of each shard that must hold a snapshot before queries use it.",
            1,
        ),
        FieldRule(
            "typical_ms",
            "a number from 0.001 to 60000",
            take_number(0.001, 60_000),
            "Expected service time before any was observed, in milliseconds.",
            10.0,
        ),
    ),
)

LIMITS = SectionSchema(
    "services.NAME.limits",
    EndpointLimits,
    (
        FieldRule(
            "slots",
            "a whole number from 1 to 10000",
            take_integer(1, 10_000),
            "Concurrent requests at one endpoint.",
        ),
        FieldRule(
            "connections",
            "a whole number from 1 to 100000",
            take_integer(1, 100_000),
            "Open connections to one endpoint, summed over all instances.",
        ),
        FieldRule(
            "connect_ms",
            "a number from 0 to 60000",
            take_number(0, 60_000),
            "Cost of a new connection in milliseconds.",
        ),
        FieldRule(
            "queue",
            "a whole number from 0 to 100000",
            take_integer(0, 100_000),
            "Requests that may wait for a slot at the owner.",
            64,
        ),
    ),
)

SHARD_MAP = SectionSchema(
    "services.NAME.shard_maps[]",
    ShardMapSection,
    (
        FieldRule(
            "epoch",
            "a whole number above 0",
            take_integer(1, 2**53),
            "Grows with every repartition; a stored epoch never changes its shards.",
        ),
        FieldRule(
            "shards",
            "a map of shard name to [start, stop]",
            take_any,
            f"Shards by name; together they hold each of the {KEY_SPACE_UNITS} key space units"
            " once, in order. `stop` is the unit after the last one.",
            None,
        ),
        FieldRule(
            "even",
            PATTERN_ALLOWED,
            take_pattern,
            "Instead of `shards`: divides the key space evenly over the names of a range.",
            None,
        ),
    ),
)

ENDPOINT = SectionSchema(
    "services.NAME.endpoints[]",
    EndpointSection,
    (
        FieldRule("name", NAME_ALLOWED, take_name, "Unique in the deployment."),
        FieldRule("address", ADDRESS_ALLOWED, take_address, "Unique in the deployment."),
        FieldRule(
            "failure_domain", "a declared failure domain", take_name, "Where the endpoint runs."
        ),
        FieldRule(
            "shards",
            "a list of shards of the service, at least one",
            take_some_names,
            "What the endpoint serves, of any shard map.",
        ),
    ),
)

GROUP = SectionSchema(
    "services.NAME.endpoint_groups[]",
    GroupSection,
    (
        FieldRule("names", PATTERN_ALLOWED, take_pattern, "Names, one endpoint each."),
        FieldRule("addresses", PATTERN_ALLOWED, take_pattern, "As many addresses as names."),
        FieldRule(
            "failure_domains",
            "a list of declared failure domains, at least one",
            take_some_names,
            "Dealt out in turn, shifted by one with each round through the shards, so that the"
            " replicas of a shard are in different failure domains.",
        ),
        FieldRule(
            "shards",
            f"{PATTERN_ALLOWED}, or a list of such texts, one for each shard map",
            take_patterns,
            "Dealt out in turn; each endpoint serves one shard of each text.",
        ),
    ),
)

DESIRED = SectionSchema(
    "desired",
    DesiredSection,
    (
        FieldRule(
            "failure_domains",
            f"a map of declared name to {DESIRED_ALLOWED}",
            take_any,
            "Desired states of whole failure domains.",
            None,
        ),
        FieldRule(
            "instances",
            f"a map of name to {DESIRED_ALLOWED}",
            take_any,
            "Desired states of instances.",
            None,
        ),
        FieldRule(
            "endpoints",
            f"a map of declared name to {DESIRED_ALLOWED}",
            take_any,
            "Desired states of single endpoints.",
            None,
        ),
    ),
)

SECTIONS: tuple[SectionSchema[Any], ...] = (
    DOCUMENT,
    CLASS,
    SERVICE,
    LIMITS,
    SHARD_MAP,
    ENDPOINT,
    GROUP,
    DESIRED,
)
