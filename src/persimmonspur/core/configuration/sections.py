"""Schema of the configuration file."""

from typing import Any

from attrs import frozen

from persimmonspur.core.configuration.fields import (
    ADDRESS_ALLOWED,
    NAME_ALLOWED,
    PATTERN_ALLOWED,
    FieldRule,
    SectionSchema,
    accept_any,
    make_integer_parser,
    make_number_parser,
    parse_address,
    parse_name,
    parse_names,
    parse_nonempty_names,
    parse_pattern,
    parse_patterns,
)
from persimmonspur.model.configuration import KEY_SPACE_UNITS, EndpointLimits

DESIRED_ALLOWED = "serving, draining, out"


@frozen
class DocumentSection:
    """The whole file; the contents of its mappings and lists are parsed separately."""

    deployment: str
    failure_domains: tuple[str, ...]
    classes: Any
    services: Any
    desired: Any
    terminated: tuple[str, ...] | None


@frozen
class ClassSection:
    """A priority class of queries."""

    priority: int
    share: float


@frozen
class ServiceSection:
    """A service; the contents of its mappings and lists are parsed separately."""

    limits: Any
    shard_maps: Any
    endpoints: Any
    endpoint_groups: Any
    min_replicas: int
    typical_ms: float


@frozen
class ShardMapSection:
    """A shard map, given as either explicit or evenly divided shards."""

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
    """Several endpoints declared by patterns."""

    names: str
    addresses: str
    failure_domains: tuple[str, ...]
    shards: tuple[str, ...]


@frozen
class DesiredSection:
    """Desired states by name; the default is serving."""

    failure_domains: Any
    instances: Any
    endpoints: Any


DOCUMENT = SectionSchema(
    "document",
    DocumentSection,
    (
        FieldRule("deployment", NAME_ALLOWED, parse_name, "Name of the deployment; never changes."),
        FieldRule(
            "failure_domains",
            "a list of different names, at least one",
            parse_nonempty_names,
            "Every failure domain that endpoints and instances run in.",
        ),
        FieldRule(
            "classes", "a map by name", accept_any, "Classes of queries, see `classes.NAME`."
        ),
        FieldRule("services", "a map by name", accept_any, "Services, see `services.NAME`."),
        FieldRule(
            "desired",
            "a map, see `desired`",
            accept_any,
            "Desired states other than serving. A file without this field keeps the stored desired"
            " states; a file with it replaces all of them.",
            None,
        ),
        FieldRule(
            "terminated",
            "a list of different instance names",
            parse_names,
            "Instances that have terminated permanently and are not waited for. A file without"
            " this field keeps the stored list.",
            None,
        ),
    ),
)

CLASS = SectionSchema(
    "classes.NAME",
    ClassSection,
    (
        FieldRule(
            "priority",
            "a whole number from 0 to 9",
            make_integer_parser(0, 9),
            "0 is the most urgent.",
        ),
        FieldRule(
            "share",
            "a number from 0 to 1; all shares together at most 1",
            make_number_parser(0, 1),
            "Fraction of an instance's concurrency that is guaranteed to the class.",
        ),
    ),
)

SERVICE = SectionSchema(
    "services.NAME",
    ServiceSection,
    (
        FieldRule("limits", "a map", accept_any, "What each endpoint can handle, see `limits`."),
        FieldRule(
            "shard_maps",
            "a list with at least one shard map, epochs rising",
            accept_any,
            "Partitions of the key space that index versions use; more than one during a"
            " repartition.",
        ),
        FieldRule(
            "endpoints", "a list", accept_any, "Endpoints one by one, see `endpoints[]`.", None
        ),
        FieldRule(
            "endpoint_groups",
            "a list",
            accept_any,
            "Many similar endpoints at once, see `endpoint_groups[]`.",
            None,
        ),
        FieldRule(
            "min_replicas",
            "a whole number from 1 to 100",
            make_integer_parser(1, 100),
            "Replicas of each shard that must hold a snapshot before queries use it.",
            1,
        ),
        FieldRule(
            "typical_ms",
            "a number from 0.001 to 60000",
            make_number_parser(0.001, 60_000),
            "Expected service time until one has been observed, in milliseconds.",
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
            make_integer_parser(1, 10_000),
            "Concurrent requests at one endpoint.",
        ),
        FieldRule(
            "connections",
            "a whole number from 1 to 100000",
            make_integer_parser(1, 100_000),
            "Open connections to one endpoint, summed over all instances.",
        ),
        FieldRule(
            "connect_ms",
            "a number from 0 to 60000",
            make_number_parser(0, 60_000),
            "Cost of a new connection in milliseconds.",
        ),
        FieldRule(
            "queue",
            "a whole number from 0 to 100000",
            make_integer_parser(0, 100_000),
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
            make_integer_parser(1, 2**53),
            "Increases with every repartition; the shards of a stored epoch never change.",
        ),
        FieldRule(
            "shards",
            "a map of shard name to [start, stop]",
            accept_any,
            f"Shards by name; together they hold each of the {KEY_SPACE_UNITS} key space units"
            " once, in order. `stop` is the unit after the last one.",
            None,
        ),
        FieldRule(
            "even",
            PATTERN_ALLOWED,
            parse_pattern,
            "Instead of `shards`: divides the key space evenly over the names of a range.",
            None,
        ),
    ),
)

ENDPOINT = SectionSchema(
    "services.NAME.endpoints[]",
    EndpointSection,
    (
        FieldRule("name", NAME_ALLOWED, parse_name, "Unique in the deployment."),
        FieldRule("address", ADDRESS_ALLOWED, parse_address, "Unique in the deployment."),
        FieldRule(
            "failure_domain", "a declared failure domain", parse_name, "Where the endpoint runs."
        ),
        FieldRule(
            "shards",
            "a list of shards of the service, at least one",
            parse_nonempty_names,
            "Shards that the endpoint serves, of any shard map.",
        ),
    ),
)

GROUP = SectionSchema(
    "services.NAME.endpoint_groups[]",
    GroupSection,
    (
        FieldRule("names", PATTERN_ALLOWED, parse_pattern, "Names, one for each endpoint."),
        FieldRule("addresses", PATTERN_ALLOWED, parse_pattern, "As many addresses as names."),
        FieldRule(
            "failure_domains",
            "a list of declared failure domains, at least one",
            parse_nonempty_names,
            "Assigned round-robin and shifted by one with each pass over the shards, so that"
            " the replicas of a shard are in different failure domains.",
        ),
        FieldRule(
            "shards",
            f"{PATTERN_ALLOWED}, or a list of such patterns, one for each shard map",
            parse_patterns,
            "Assigned round-robin; each endpoint serves one shard of each pattern.",
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
            accept_any,
            "Desired states of whole failure domains.",
            None,
        ),
        FieldRule(
            "instances",
            f"a map of name to {DESIRED_ALLOWED}",
            accept_any,
            "Desired states of instances.",
            None,
        ),
        FieldRule(
            "endpoints",
            f"a map of declared name to {DESIRED_ALLOWED}",
            accept_any,
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
