"""A readable difference between two configurations."""

from collections.abc import Iterator

from attrs import frozen

from persimmonspur.model.configuration import Configuration, Service

SHOWN_NAMES = 6


@frozen
class Change:
    """One changed field, or one thing that came or went.

    :param parent: where the thing stands, for example ``services.shop.endpoints``.
    :param name: the thing.
    :param field: the changed field; empty if the whole thing came or went.
    :param before: former value; empty if there was none.
    :param after: new value; empty if there is none.
    """

    parent: str
    name: str
    field: str
    before: str
    after: str


def list_changes(before: Configuration | None, after: Configuration) -> list[Change]:
    """Return what differs, in the order of the configuration."""
    old = _describe(before) if before is not None else {}
    new = _describe(after)
    changes: list[Change] = []
    for key, fields in old.items():
        if key not in new and not _has_parent(key, old, new):
            changes.append(Change(*key, "", _summarize(fields), ""))
    for key, fields in new.items():
        known = old.get(key)
        if known is None:
            if not _has_parent(key, new, old):
                changes.append(Change(*key, "", "", _summarize(fields)))
            continue
        changes.extend(
            Change(*key, name, known.get(name, ""), value)
            for name, value in fields.items()
            if known.get(name, "") != value
        )
    return changes


def render_changes(changes: list[Change]) -> list[str]:
    """Return one line for each kind of change; equal changes of several things share one."""
    groups: dict[tuple[str, ...], list[Change]] = {}
    for change in changes:
        # Things that come or go together share a line although their values differ.
        values = (change.before, change.after) if change.field else (str(bool(change.before)),)
        groups.setdefault((change.parent, change.field, *values), []).append(change)
    lines = []
    for group in groups.values():
        first = group[0]
        names = ", ".join(change.name for change in group[:SHOWN_NAMES])
        if len(group) > SHOWN_NAMES:
            names += f" and {len(group) - SHOWN_NAMES} more"
        where = f"{first.parent}.{names}" if first.parent else names
        if first.field:
            lines.append(f"~ {where}: {first.field} {first.before} -> {first.after}")
            continue
        detail = f": {first.before or first.after}" if len(group) == 1 else ""
        lines.append(f"{'-' if first.before else '+'} {where}{detail}")
    return lines


_Key = tuple[str, str]
_Things = dict[_Key, dict[str, str]]


def _describe(configuration: Configuration) -> _Things:
    things: _Things = {("", "deployment"): {"name": configuration.deployment}}
    for domain in configuration.failure_domains:
        things["failure_domains", domain.name] = {"desired": domain.desired}
    for entry in configuration.classes:
        things["classes", entry.name] = {
            "priority": str(entry.priority),
            "share": f"{entry.share:g}",
        }
    for service in configuration.services:
        things.update(_describe_service(service))
    for name, desired in configuration.instances.items():
        things["instances", name] = {"desired": desired}
    for name in sorted(configuration.terminated):
        things["terminated", name] = {"state": "terminated"}
    return things


def _describe_service(service: Service) -> Iterator[tuple[_Key, dict[str, str]]]:
    limits = service.limits
    yield (
        ("services", service.name),
        {
            "slots": str(limits.slots),
            "connections": str(limits.connections),
            "connect_ms": f"{limits.connect_ms:g}",
            "queue": str(limits.queue),
            "min_replicas": str(service.min_replicas),
            "typical_ms": f"{service.typical_ms:g}",
        },
    )
    path = f"services.{service.name}"
    for shard_map in service.shard_maps:
        shards = ", ".join(
            f"{shard.name} [{shard.start}, {shard.stop}]" for shard in shard_map.shards
        )
        yield (
            (f"{path}.shard_maps", f"epoch {shard_map.epoch}"),
            {"shards": f"{len(shard_map.shards)} shards: {shards}"},
        )
    for endpoint in service.endpoints:
        yield (
            (f"{path}.endpoints", endpoint.name),
            {
                "address": endpoint.address,
                "failure_domain": endpoint.failure_domain,
                "shards": ", ".join(endpoint.shards),
                "desired": endpoint.desired,
            },
        )


def _has_parent(key: _Key, here: _Things, there: _Things) -> bool:
    parent = key[0].split(".")
    if parent[0] != "services" or len(parent) < 2:
        return False
    # Names may contain dots, so the service is what lies between the first and last part.
    service = ("services", ".".join(parent[1:-1]))
    return service in here and service not in there


def _summarize(fields: dict[str, str]) -> str:
    text = ", ".join(f"{name} {value}" for name, value in fields.items())
    return text if len(text) <= 160 else text[:160] + "..."
