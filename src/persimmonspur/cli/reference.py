"""Writes the reference page of the operators' file.

``python -m persimmonspur.cli.reference > docs/configuration.md``
"""

import sys
from typing import Any

from persimmonspur.core.configuration.fields import REQUIRED, SectionSchema
from persimmonspur.core.configuration.sections import SECTIONS

INTRODUCTION = """\
# Configuration file

One YAML or JSON document declares a whole deployment. `persimmonspur check FILE` validates it \
as a whole and lists every fault with the field, the value and what is allowed; \
`persimmonspur apply FILE` makes it the next configuration. `src/persimmonspur/examples/` holds \
two complete files. This page is generated from the code; a test fails if they differ. To write \
it again:

    python -m persimmonspur.cli.reference > docs/configuration.md

Names consist of lower-case letters, digits, '.' and '-'. No map may hold a name twice, and \
unknown fields are faults. A text with a range such as `shop-{0..29}` stands for 30 texts.
"""

EXAMPLE = """\
## Example

```yaml
deployment: town
failure_domains: [north, south, west]
classes:
  counter: {priority: 0, share: 0.6}
  batch: {priority: 1, share: 0.4}
services:
  shop:
    limits: {slots: 4, connections: 75, connect_ms: 6}
    shard_maps:
      - {epoch: 1, even: "shop-e1-s{0..9}"}
    endpoint_groups:
      - names: "shop-{0..29}"
        addresses: "10.21.1.{1..30}:7400"
        failure_domains: [north, south, west]
        shards: "shop-e1-s{0..9}"
desired:
  endpoints: {shop-7: draining}
```
"""

CHANGES = """\
## Changes

A file is also checked against the stored configuration: the deployment keeps its name, a stored \
shard map epoch keeps its shards, a new epoch is above the stored ones, and the highest epoch of \
a service does not fall. To repartition a service, add a shard map with a higher epoch beside the \
present one, let endpoints serve shards of both, and remove the old one when no index version \
needs it.
"""


def render_reference() -> str:
    """Return the page as Markdown text."""
    parts = [INTRODUCTION, EXAMPLE]
    parts.extend(_render_section(section) for section in SECTIONS)
    parts.append(CHANGES)
    return "\n".join(parts)


def _render_section(section: SectionSchema[Any]) -> str:
    lines = [
        f"## {_name_section(section)}",
        "",
        "| field | allowed | default | meaning |",
        "|---|---|---|---|",
    ]
    for rule in section.fields:
        default = _describe_default(rule.default)
        lines.append(f"| `{rule.name}` | {rule.allowed} | {default} | {rule.help} |")
    return "\n".join(lines) + "\n"


def _name_section(section: SectionSchema[Any]) -> str:
    return "The document" if section.title == "document" else f"`{section.title}`"


def _describe_default(default: Any) -> str:
    if default is REQUIRED:
        return "required"
    return "none" if default is None else f"{default:g}"


if __name__ == "__main__":
    sys.stdout.write(render_reference())
