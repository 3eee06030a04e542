"""Human-readable differences between two configurations."""

from collections.abc import Iterator

from attrs import frozen

from persimmonspur.model.configuration import Configuration, Service

MAX_LISTED_NAMES = 6


@frozen
class Change:
    """A changed field of an item, or a whole item that was added or removed.

    :param parent: path of the collection with the item, for example
        ``services.shop.endpoints``.
    :param name: name of the item.
    :param field: the changed field; empty if the item was added or removed.
    :param before: former value; empty if there was none.
    :param after: new value; empty if there is none.
    """

    parent: str
    name: str
    field: str
    before: str
    after: str


def list_changes(before: Configuration | None, after: Configuration) -> list[Change]:
    """Return removed items first, then added and changed ones in configuration order."""
    old = _describe(before) if before is not None else {}
    new = _describe(after)
    changes: list[Change] = []
    for key, fields in old.items():
        if key not in new and not _in_unmatched_service(key, old, new):
            changes.append(Change(*key, "", _summarize(fields), ""))
    for key, fields in new.items():
        old_fields = old.get(key)
        if old_fields is None:
            if not _in_unmatched_service(key, new, old):
                changes.append(Change(*key, "", "", _summarize(fields)))
            continue
        changes.extend(
            Change(*key, name, old_fields.get(name, ""), value)
            for name, value in fields.items()
            if old_fields.get(name, "") != value
        )
    return changes


def render_changes(changes: list[Change]) -> list[str]:
    """Return one line for each group of equal changes."""
    groups: dict[tuple[str, ...], list[Change]] = {}
    for change in changes:
        # Items added or removed together share a line even if their values differ.
        values = (change.before, change.after) if change.field else (str(bool(change.before)),)
        groups.setdefault((change.parent, change.field, *values), []).append(change)
    lines = []
    for group in groups.values():
        first = group[0]
        names = ", ".join(change.name for change in group[:MAX_LISTED_NAMES])
        if len(group) > MAX_LISTED_NAMES:
            names += f" and {len(group) - MAX_LISTED_NAMES} more"
        location = f"{first.parent}.{names}" if first.parent else names
        if first.field:
            lines.append(f"~ {location}: {first.field} {first.before} -> {first.after}")
            continue
        detail = f": {first.before or first.after}" if len(group) == 1 else ""
        lines.append(f"{'-' if first.before else '+'} {location}{detail}")
    return lines


_Key = tuple[str, str]
_Items = dict[_Key, dict[str, str]]


def _describe(configuration: Configuration) -> _Items:
    items: _Items = {("", "deployment"): {"name": configuration.deployment}}
    for domain in configuration.failure_domains:
        items["failure_domains", domain.name] = {"desired": domain.desired}
    for entry in configuration.classes:
        items["classes", entry.name] = {
            "priority": str(entry.priority),
            "share": f"{entry.share:g}",
        }
    for service in configuration.services:
        items.update(_describe_service(service))
    for name, desired in configuration.instances.items():
        items["instances", name] = {"desired": desired}
    for name in sorted(configuration.terminated):
        items["terminated", name] = {"state": "terminated"}
    return items


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


def _in_unmatched_service(key: _Key, own: _Items, other: _Items) -> bool:
    parent = key[0].split(".")
    if parent[0] != "services" or len(parent) < 2:
        return False
    # Names may contain dots: the service name is everything between the first and last part.
    service = ("services", ".".join(parent[1:-1]))
    return service in own and service not in other


def _summarize(fields: dict[str, str]) -> str:
    text = ", ".join(f"{name} {value}" for name, value in fields.items())
    return text if len(text) <= 160 else text[:160] + "..."
