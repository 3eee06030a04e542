"""Settings that all tests share."""

from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

# The verdict must be the same on every run: fixed examples, no time limits.
settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


def read_known_red():
    """Return the tests listed in KNOWN-RED.txt, one 'test: <node id>' line each."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.partition(":")[2].strip() for line in lines if line.startswith("test:")]


def pytest_collection_modifyitems(config, items):
    """Pass over exactly the listed tests; a listed test that does not exist is an error."""
    listed = read_known_red()
    collected = {item.nodeid: item for item in items}
    for node_id in listed:
        if node_id in collected:
            collected[node_id].add_marker(pytest.mark.skip(reason=f"KNOWN-RED: {node_id}"))
        elif not config.args or config.args == ["tests"]:
            raise pytest.UsageError(f"KNOWN-RED.txt lists {node_id!r}, which does not exist")
