"""Fields of the operators' file: what each allows and how it is read."""

import re
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from attrs import field, frozen

T = TypeVar("T")
Convert = Callable[[Any], Any]

NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
RANGE = re.compile(r"\{(\d+)\.\.(\d+)\}")
MAX_EXPANDED = 100_000
MAX_VALUE_CHARACTERS = 80
REQUIRED = object()

NAME_ALLOWED = "lower-case letters, digits, '.' and '-', at most 63 characters"
ADDRESS_ALLOWED = "ip:port, for example 10.21.1.7:7400"
PATTERN_ALLOWED = "text with at most one range, for example shop-{0..29}"


@frozen
class DocumentError:
    """One fault of a document.

    :param path: where the field is, for example ``services.shop.limits.slots``.
    :param value: the value found, as people read it.
    :param allowed: what is allowed there.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault in one line."""
        return f"{self.path}: {self.value}; allowed: {self.allowed}"


@frozen
class FieldRule:
    """One field of a section.

    :param allowed: what values are allowed, for people.
    :param convert: returns the value to keep.
    :param help: one sentence for the reference page.
    :param default: value if the field is missing; :data:`REQUIRED` if it must be given.
    """

    name: str
    allowed: str
    convert: Convert
    help: str
    default: Any = REQUIRED


@frozen
class SectionSchema(Generic[T]):
    """A map with a fixed set of fields.

    :param title: where the section stands in a file.
    :param build: called with every field by name.
    """

    title: str
    build: Callable[..., T]
    fields: tuple[FieldRule, ...]


@frozen
class Reader:
    """Reads values and collects every fault."""

    errors: list[DocumentError] = field(factory=list)

    def report(self, path: str, value: Any, allowed: str) -> None:
        """Add a fault."""
        self.errors.append(DocumentError(path, describe_value(value), allowed))

    def read_section(self, path: str, raw: Any, section: SectionSchema[T]) -> T | None:
        """Read a map with fixed fields.

        :returns: ``None`` if any field is at fault.
        """
        before = len(self.errors)
        names = [rule.name for rule in section.fields]
        if not isinstance(raw, dict):
            self.report(path or "document", raw, f"a map with the fields {', '.join(names)}")
            return None
        for name in raw:
            if name not in names:
                self.report(join_path(path, name), "unknown field", ", ".join(names))
        values = {}
        for rule in section.fields:
            if rule.name not in raw:
                if rule.default is REQUIRED:
                    self.report(join_path(path, rule.name), "missing", rule.allowed)
                values[rule.name] = rule.default
                continue
            values[rule.name] = self.convert(join_path(path, rule.name), raw[rule.name], rule)
        if len(self.errors) > before:
            return None
        return section.build(**values)

    def convert(self, path: str, value: Any, rule: FieldRule) -> Any:
        """Convert one value; report it and return ``None`` if it is not allowed."""
        try:
            return rule.convert(value)
        except ValueError:
            self.report(path, value, rule.allowed)
            return None

    def read_names(self, path: str, raw: Any) -> list[str]:
        """Return the allowed keys of a map of named things; report the others."""
        if not isinstance(raw, dict):
            self.report(path, raw, "a map by name")
            return []
        names = []
        for name in raw:
            if not isinstance(name, str) or not NAME.fullmatch(name):
                self.report(join_path(path, name), name, f"a name: {NAME_ALLOWED}")
                continue
            names.append(name)
        return names


def join_path(path: str, name: Any) -> str:
    """Return the path of a field inside another."""
    return f"{path}.{name}" if path else str(name)


def describe_value(value: Any) -> str:
    """Show a value in one bounded line."""
    text = value if isinstance(value, str) else repr(value)
    text = " ".join(text.split()) or "''"
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[:MAX_VALUE_CHARACTERS] + "..."


def take_any(value: Any) -> Any:
    """Keep a value that a later step reads."""
    return value


def take_name(value: Any) -> str:
    """Take a name.

    :raises ValueError: if it is not one.
    """
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise ValueError(value)
    return value


def take_names(value: Any) -> tuple[str, ...]:
    """Take a list of names without repetition.

    :raises ValueError: if it is not one.
    """
    if not isinstance(value, list):
        raise ValueError(value)
    names = tuple(take_name(item) for item in value)
    if len(set(names)) != len(names):
        raise ValueError(value)
    return names


def take_some_names(value: Any) -> tuple[str, ...]:
    """Take a list of at least one name.

    :raises ValueError: if it is not one.
    """
    names = take_names(value)
    if not names:
        raise ValueError(value)
    return names


def take_address(value: Any) -> str:
    """Take an ``ip:port`` address.

    :raises ValueError: if it is not one.
    """
    match = ADDRESS.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(value)
    *parts, port = (int(part) for part in match.groups())
    if max(parts) > 255 or not 0 < port <= 65_535:
        raise ValueError(value)
    return str(value)


def take_pattern(value: Any) -> str:
    """Take text with at most one range ``{a..b}``.

    :raises ValueError: if it is not that.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(value)
    if value.count("{") > 1 or value.count("}") > 1:
        raise ValueError(value)
    match = RANGE.search(value)
    if match is None:
        if "{" in value or "}" in value:
            raise ValueError(value)
        return value
    first, last = int(match[1]), int(match[2])
    if last < first or last - first >= MAX_EXPANDED:
        raise ValueError(value)
    return value


def take_patterns(value: Any) -> tuple[str, ...]:
    """Take one pattern or a list of them.

    :raises ValueError: if it is neither.
    """
    items = value if isinstance(value, list) else [value]
    if not items:
        raise ValueError(value)
    return tuple(take_pattern(item) for item in items)


def expand_pattern(pattern: str) -> list[str]:
    """Return every text that a pattern stands for, in order."""
    match = RANGE.search(pattern)
    if match is None:
        return [pattern]
    start, stop = match.span()
    numbers = range(int(match[1]), int(match[2]) + 1)
    return [f"{pattern[:start]}{number}{pattern[stop:]}" for number in numbers]


def take_integer(least: int, most: int) -> Convert:
    """Return a converter for whole numbers in a range."""

    def convert(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(value)
        if not least <= value <= most:
            raise ValueError(value)
        return value

    return convert


def take_number(least: float, most: float) -> Convert:
    """Return a converter for numbers in a range."""

    def convert(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(value)
        if not least <= value <= most:
            raise ValueError(value)
        return float(value)

    return convert
