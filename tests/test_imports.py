"""Guards against packages that import each other in a circle."""

import ast
from pathlib import Path

ROOT = Path(__file__).parents[1] / "src" / "persimmonspur"


def name_module(path):
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def read_imports(path, modules):
    """Return the modules of the package that a file imports, for types or not."""
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module)
            imported.update(f"{node.module}.{alias.name}" for alias in node.names)
    return imported & modules


def find_circle(graph):
    """Return the modules of one circle, in order; empty without any."""
    done = set()

    def visit(module, path):
        if module in path:
            return path[path.index(module) :]
        if module in done:
            return []
        for imported in sorted(graph[module]):
            circle = visit(imported, [*path, module])
            if circle:
                return circle
        done.add(module)
        return []

    for module in sorted(graph):
        circle = visit(module, [])
        if circle:
            return circle
    return []


def test_imports_go_one_way():
    paths = {name_module(path): path for path in ROOT.rglob("*.py")}
    modules = set(paths)
    graph = {name: read_imports(path, modules) - {name} for name, path in paths.items()}
    assert find_circle(graph) == []


def test_a_circle_is_found():
    assert find_circle({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c"]
