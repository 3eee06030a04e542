"""Checks the types of all fields of a document, and names each wrong one by its path."""

import types
import typing
from typing import Any

import msgspec

from persimmonspur.core.configuration.fields import DocumentError

MAX_VALUE_CHARACTERS = 80


def find_field_errors(value: Any, expected: Any, path: str = "") -> list[DocumentError]:
    """Return an error for each field that is missing or has a wrong type.

    :param expected: type of the value: a structure, a list of structures, or any other type
        that is checked as a whole.
    :param path: path of the value in the document.
    """
    expected = _drop_none(expected, value)
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        return _find_structure_errors(value, expected, path)
    if typing.get_origin(expected) is list and isinstance(value, list):
        item_type = typing.get_args(expected)[0]
        errors = []
        for index, item in enumerate(value):
            errors += find_field_errors(item, item_type, f"{path}[{index}]")
        return errors
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        return [build_error(path, value, str(error))]
    return []


def build_error(path: str, value: Any, allowed: str) -> DocumentError:
    """Return an error that shows the value, or the type of a map or list, which may be long."""
    text = type(value).__name__ if isinstance(value, dict | list) else repr(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    return DocumentError(path or "the document", text, allowed)


def _find_structure_errors(
    value: Any, expected: type[msgspec.Struct], path: str
) -> list[DocumentError]:
    if not isinstance(value, dict):
        return [build_error(path, value, "a map")]
    errors = []
    for field in msgspec.structs.fields(expected):
        field_path = f"{path}.{field.encode_name}" if path else field.encode_name
        if field.encode_name in value:
            errors += find_field_errors(value[field.encode_name], field.type, field_path)
        elif field.required:
            errors.append(DocumentError(field_path, "missing", "this field is required"))
    return errors


def _drop_none(expected: Any, value: Any) -> Any:
    """Return the other type of an optional one, unless the value is missing."""
    if value is None or typing.get_origin(expected) not in (typing.Union, types.UnionType):
        return expected
    others = [item for item in typing.get_args(expected) if item is not type(None)]
    return others[0] if len(others) == 1 else expected
