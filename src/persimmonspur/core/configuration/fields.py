"""Schema of configuration file fields, and the functions that parse their values."""

import re
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from attrs import field, frozen

T = TypeVar("T")
ValueParser = Callable[[Any], Any]

NAME_REGEX = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
ADDRESS_REGEX = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
RANGE_REGEX = re.compile(r"\{(\d+)\.\.(\d+)\}")
MAX_RANGE_SIZE = 100_000
MAX_DISPLAYED_CHARACTERS = 80
REQUIRED = object()

NAME_ALLOWED = "lower-case letters, digits, '.' and '-', at most 63 characters"
ADDRESS_ALLOWED = "ip:port, for example 10.21.1.7:7400"
PATTERN_ALLOWED = "text with at most one range, for example shop-{0..29}"


@frozen
class DocumentError:
    """One validation error of a document.

    :param path: path of the field, for example ``services.shop.limits.slots``.
    :param value: the value found, as human-readable text.
    :param allowed: description of the allowed values.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the error in one line."""
        return f"{self.path}: {self.value}; allowed: {self.allowed}"


@frozen
class FieldRule:
    """Schema of one field of a section.

    :param allowed: human-readable description of the allowed values.
    :param parse: returns the parsed value; raises ``ValueError`` if it is not allowed.
    :param help: meaning of the field, for the reference page.
    :param default: value if the field is missing; :data:`REQUIRED` if there is none.
    """

    name: str
    allowed: str
    parse: ValueParser
    help: str
    default: Any = REQUIRED


@frozen
class SectionSchema(Generic[T]):
    """Schema of a mapping with a fixed set of fields.

    :param title: path of the section in the file.
    :param build: constructor of the parsed section; gets every field as a keyword argument.
    """

    title: str
    build: Callable[..., T]
    fields: tuple[FieldRule, ...]


@frozen
class DocumentReader:
    """Parses parts of a document and collects all validation errors."""

    errors: list[DocumentError] = field(factory=list)

    def report(self, path: str, value: Any, allowed: str) -> None:
        """Add a validation error."""
        self.errors.append(DocumentError(path, describe_value(value), allowed))

    def read_section(self, path: str, raw: Any, section: SectionSchema[T]) -> T | None:
        """Parse a mapping with a fixed set of fields.

        :returns: ``None`` if any field is invalid.
        """
        previous_errors = len(self.errors)
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
            values[rule.name] = self.parse_value(join_path(path, rule.name), raw[rule.name], rule)
        if len(self.errors) > previous_errors:
            return None
        return section.build(**values)

    def parse_value(self, path: str, value: Any, rule: FieldRule) -> Any:
        """Parse one value; report it and return ``None`` if it is not allowed."""
        try:
            return rule.parse(value)
        except ValueError:
            self.report(path, value, rule.allowed)
            return None

    def read_names(self, path: str, raw: Any) -> list[str]:
        """Return the valid keys of a mapping that is keyed by name; report the invalid ones."""
        if not isinstance(raw, dict):
            self.report(path, raw, "a map by name")
            return []
        names = []
        for name in raw:
            if not isinstance(name, str) or not NAME_REGEX.fullmatch(name):
                self.report(join_path(path, name), name, f"a name: {NAME_ALLOWED}")
                continue
            names.append(name)
        return names


def join_path(path: str, name: Any) -> str:
    """Return the path of a nested field."""
    return f"{path}.{name}" if path else str(name)


def describe_value(value: Any) -> str:
    """Return a value as a single line of limited length."""
    text = value if isinstance(value, str) else repr(value)
    text = " ".join(text.split()) or "''"
    if len(text) <= MAX_DISPLAYED_CHARACTERS:
        return text
    return text[:MAX_DISPLAYED_CHARACTERS] + "..."


def accept_any(value: Any) -> Any:
    """Accept any value; a later step validates it."""
    return value


def parse_name(value: Any) -> str:
    """Parse a name.

    :raises ValueError: if the value is not a valid name.
    """
    if not isinstance(value, str) or not NAME_REGEX.fullmatch(value):
        raise ValueError(value)
    return value


def parse_names(value: Any) -> tuple[str, ...]:
    """Parse a list of distinct names.

    :raises ValueError: if the value is not such a list.
    """
    if not isinstance(value, list):
        raise ValueError(value)
    names = tuple(parse_name(item) for item in value)
    if len(set(names)) != len(names):
        raise ValueError(value)
    return names


def parse_nonempty_names(value: Any) -> tuple[str, ...]:
    """Parse a list of at least one name, all distinct.

    :raises ValueError: if the value is not such a list.
    """
    names = parse_names(value)
    if not names:
        raise ValueError(value)
    return names


def parse_address(value: Any) -> str:
    """Parse an ``ip:port`` address.

    :raises ValueError: if the value is not such an address.
    """
    match = ADDRESS_REGEX.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(value)
    *parts, port = (int(part) for part in match.groups())
    if max(parts) > 255 or not 0 < port <= 65_535:
        raise ValueError(value)
    return str(value)


def parse_pattern(value: Any) -> str:
    """Parse a pattern: text with at most one range ``{a..b}``.

    :raises ValueError: if the value is not a valid pattern.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(value)
    if value.count("{") > 1 or value.count("}") > 1:
        raise ValueError(value)
    match = RANGE_REGEX.search(value)
    if match is None:
        if "{" in value or "}" in value:
            raise ValueError(value)
        return value
    first, last = int(match[1]), int(match[2])
    if last < first or last - first >= MAX_RANGE_SIZE:
        raise ValueError(value)
    return value


def parse_patterns(value: Any) -> tuple[str, ...]:
    """Parse one pattern or a list of patterns.

    :raises ValueError: if the value is neither.
    """
    items = value if isinstance(value, list) else [value]
    if not items:
        raise ValueError(value)
    return tuple(parse_pattern(item) for item in items)


def expand_pattern(pattern: str) -> list[str]:
    """Return all strings that a pattern expands to, in order."""
    match = RANGE_REGEX.search(pattern)
    if match is None:
        return [pattern]
    start, stop = match.span()
    numbers = range(int(match[1]), int(match[2]) + 1)
    return [f"{pattern[:start]}{number}{pattern[stop:]}" for number in numbers]


def make_integer_parser(min_value: int, max_value: int) -> ValueParser:
    """Return a parser of integers from ``min_value`` to ``max_value``."""

    def parse(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(value)
        if not min_value <= value <= max_value:
            raise ValueError(value)
        return value

    return parse


def make_number_parser(min_value: float, max_value: float) -> ValueParser:
    """Return a parser of numbers from ``min_value`` to ``max_value``."""

    def parse(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(value)
        if not min_value <= value <= max_value:
            raise ValueError(value)
        return float(value)

    return parse
