"""Checks that every test named in docs/guarantees.md exists."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
TEST_NAME = re.compile(r"`(test_\w+|Test\w+)`")


def test_every_named_test_exists():
    sources = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("*.py"))
    names = TEST_NAME.findall((ROOT / "docs" / "guarantees.md").read_text())
    assert names
    for name in names:
        defined = re.search(rf"^\s*(def|class) {name}\b|^{name} =", sources, re.MULTILINE)
        assert defined, f"{name} is not defined below tests/"
