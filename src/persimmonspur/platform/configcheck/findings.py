"""What the checks of a configuration document find, and the checks themselves by name."""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from attrs import frozen

from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.platform.documents import ConfigurationDocument
from persimmonspur.registry import Registry


class TenantDocument(msgspec.Struct):
    """A client account."""

    name: str
    api_keys: list[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@frozen
class Checked:
    """A document whose fields have the right types.

    :param tenants: client accounts; ``None`` if the document has no such field.
    """

    document: ConfigurationDocument
    tenants: list[TenantDocument] | None


@frozen
class Finding:
    """Something that a check found.

    :param is_error: whether the document must not be used; otherwise it deserves a look.
    """

    error: DocumentError
    is_error: bool = True


Check = Callable[[Checked], Iterator[Finding]]
CHECKS: Registry[Check] = Registry("check")


def describe(path: str, value: Any, allowed: str, is_error: bool = True) -> Finding:
    """Return a finding about the value at a path."""
    return Finding(DocumentError(path, str(value), allowed), is_error)
