"""Checks that the modules of the package have no import cycles."""

import ast
from pathlib import Path

ROOT = Path(__file__).parents[1] / "src" / "persimmonspur"


def get_module_name(path):
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def read_imports(path, modules):
    """Return the modules of the package that a file imports, including those for types only."""
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module)
            imported.update(f"{node.module}.{alias.name}" for alias in node.names)
    return imported & modules


def find_cycle(graph):
    """Return the modules of one import cycle in order, or an empty list."""
    visited = set()

    def visit(module, path):
        if module in path:
            return path[path.index(module) :]
        if module in visited:
            return []
        for imported in sorted(graph[module]):
            cycle = visit(imported, [*path, module])
            if cycle:
                return cycle
        visited.add(module)
        return []

    for module in sorted(graph):
        cycle = visit(module, [])
        if cycle:
            return cycle
    return []


def test_modules_have_no_import_cycles():
    paths = {get_module_name(path): path for path in ROOT.rglob("*.py")}
    modules = set(paths)
    graph = {name: read_imports(path, modules) - {name} for name, path in paths.items()}
    assert find_cycle(graph) == []


def test_find_cycle_returns_a_cycle():
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c"]
