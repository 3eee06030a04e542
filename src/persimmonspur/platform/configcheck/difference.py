"""Differences between two configuration documents, by the paths of their fields."""

from typing import Any

from attrs import frozen

MAX_VALUE_CHARACTERS = 80
# Values of these fields are not shown.
SECRET_FIELDS = frozenset(("api_keys",))
_MISSING = object()


@frozen
class Difference:
    """A field, or an item of a list, that differs.

    :param path: path of the field; items with a name are shown by it.
    :param before: value in force; empty if there is none.
    :param after: value to come; empty if there is none.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the difference in one line."""
        if not self.before:
            return f"+ {self.path}: {self.after}"
        if not self.after:
            return f"- {self.path}: {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def list_differences(before: Any, after: Any, path: str = "") -> list[Difference]:
    """Return the differences of two documents in the order of the fields."""
    if before == after:
        return []
    if path.rpartition(".")[2] in SECRET_FIELDS:
        return [_compare_secrets(before, after, path)]
    named_before, named_after = _index(before), _index(after)
    if named_before is None or named_after is None:
        return [Difference(path, _show(before), _show(after))]
    in_list = isinstance(before, list)
    differences = []
    for name in [*named_before, *(name for name in named_after if name not in named_before)]:
        item_path = f"{path}[{name}]" if in_list else f"{path}.{name}".lstrip(".")
        old = named_before.get(name, _MISSING)
        new = named_after.get(name, _MISSING)
        differences += list_differences(old, new, item_path)
    if not differences:
        differences.append(Difference(path, "another order", "this order"))
    return differences


def _index(value: Any) -> dict[str, Any] | None:
    """Return the parts of a map, or of a list whose items have different names."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    items: dict[str, Any] = {}
    for item in value:
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or name in items:
            return None
        items[name] = item
    return items


def _compare_secrets(before: Any, after: Any, path: str) -> Difference:
    return Difference(path, _count_secrets(before), _count_secrets(after))


def _count_secrets(value: Any) -> str:
    if value is _MISSING:
        return ""
    return f"{len(value)} keys" if isinstance(value, list) else "other keys"


def _show(value: Any) -> str:
    """Return a value in a few characters, without secrets."""
    if value is _MISSING:
        return ""
    text = repr(_hide_secrets(value))
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[:MAX_VALUE_CHARACTERS] + "..."


def _hide_secrets(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            name: _count_secrets(item) if name in SECRET_FIELDS else _hide_secrets(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_hide_secrets(item) for item in value]
    return value
