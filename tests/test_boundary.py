"""Checks that the core imports no I/O modules and uses no shared random state."""

import ast
from pathlib import Path

import pytest

import persimmonspur

ROOT = Path(persimmonspur.__file__).parent
ALLOWED_LIBRARIES = {
    "attrs",
    "bisect",
    "collections",
    "dataclasses",
    "enum",
    "expression",
    "functools",
    "hashlib",
    "heapq",
    "itertools",
    "json",
    "math",
    "msgspec",
    "cattrs",
    "operator",
    "random",
    "re",
    "struct",
    "typing",
    "yaml",
}
ALLOWED_PACKAGES = ("persimmonspur.core", "persimmonspur.model", "persimmonspur.errors")
ALLOWED_MODULES = ("persimmonspur.registry", "persimmonspur.clock")
MODULES = sorted(
    [*(ROOT / "core").rglob("*.py"), *(ROOT / "model").rglob("*.py"), ROOT / "errors.py"]
)


def collect_imports(tree):
    names = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            names.append(node.module or "")
    return names


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_core_imports_no_io_modules(path):
    for name in collect_imports(ast.parse(path.read_text())):
        if name.startswith(ALLOWED_PACKAGES + ALLOWED_MODULES):
            continue
        assert name.split(".")[0] in ALLOWED_LIBRARIES, f"{path.name} imports {name}"


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(ROOT)))
def test_core_uses_no_shared_random_state(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Attribute) or not isinstance(node.value, ast.Name):
            continue
        if node.value.id != "random":
            continue
        assert node.attr == "Random", f"{path.name} uses random.{node.attr}"
