"""Generates the reference page of the configuration file.

``python -m persimmonspur.cli.reference > docs/configuration.md``
"""

import sys
from typing import Any

from persimmonspur.core.configuration.fields import REQUIRED, SectionSchema
from persimmonspur.core.configuration.sections import SECTIONS

INTRODUCTION = """\
# Configuration file

One YAML or JSON document declares a whole deployment. `persimmonspur check FILE` validates it \
as a whole and lists every error with the field, the value and what is allowed; \
`persimmonspur apply FILE` stores it as the next configuration. `src/persimmonspur/examples/` \
contains two complete files. This page is generated from the code; a test fails if they differ. \
To regenerate it:

    python -m persimmonspur.cli.reference > docs/configuration.md

Names consist of lower-case letters, digits, '.' and '-'. Duplicate names in a map and unknown \
fields are errors. A string with a range such as `shop-{0..29}` expands to 30 strings.
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
current one, let endpoints serve shards of both, and remove the old one when no index version \
needs it.
"""


def render_reference() -> str:
    """Render the page as Markdown."""
    parts = [INTRODUCTION, EXAMPLE]
    parts.extend(_render_section(section) for section in SECTIONS)
    parts.append(CHANGES)
    return "\n".join(parts)


def _render_section(section: SectionSchema[Any]) -> str:
    lines = [
        f"## {_format_section_title(section)}",
        "",
        "| field | allowed | default | meaning |",
        "|---|---|---|---|",
    ]
    for field in section.fields:
        default = _format_default(field.default)
        lines.append(f"| `{field.name}` | {field.allowed} | {default} | {field.help} |")
    return "\n".join(lines) + "\n"


def _format_section_title(section: SectionSchema[Any]) -> str:
    return "The document" if section.title == "document" else f"`{section.title}`"


def _format_default(default: Any) -> str:
    if default is REQUIRED:
        return "required"
    return "none" if default is None else f"{default:g}"


if __name__ == "__main__":
    sys.stdout.write(render_reference())
