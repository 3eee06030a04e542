"""Queries and their answers."""

from typing import Any

import msgspec
from attrs import field, frozen

from persimmonspur.errors import Failure
from persimmonspur.model.configuration import KEY_SPACE_UNITS


class SnapshotId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies an index version that is partitioned by the shard map of an epoch."""

    epoch: int
    version: int

    def __str__(self) -> str:
        """Return the format used in headers, ``epoch.version``."""
        return f"{self.epoch}.{self.version}"

    @classmethod
    def parse(cls, text: str) -> "SnapshotId":
        """Parse ``epoch.version``.

        :raises ValueError: if the text has another format.
        """
        epoch, _, version = text.partition(".")
        return cls(int(epoch), int(version))


@frozen
class Query:
    """A caller's request.

    :param timeout_ms: time that the caller waits, in milliseconds.
    :param repeatable: whether the request may be executed more than once.
    :param allow_partial: whether an answer with missing shards is acceptable.
    :param key: unit of the key space for a query of a single shard; ``None`` for all shards.
    :param limit: maximum number of records in the answer; ``None`` for all.
    """

    service: str
    priority_class: str
    timeout_ms: float
    request_id: str
    repeatable: bool = True
    allow_partial: bool = False
    key: int | None = None
    body: Any = None
    limit: int | None = None


@frozen
class Coverage:
    """Part of the queried key space that an answer covers, in key space units."""

    covered: int
    total: int = KEY_SPACE_UNITS

    @property
    def complete(self) -> bool:
        """Whether the answer covers everything that was queried."""
        return self.covered == self.total


@frozen
class QueryAnswer:
    """The answer to a query.

    :param snapshot: the single snapshot that all records come from.
    :param missing_shards: names of the shards that are not covered.
    :param failure: reason of the error; ``None`` on success.
    :param sub_requests: number of sub-requests sent, including hedges and retries.
    """

    request_id: str
    snapshot: SnapshotId | None
    coverage: Coverage
    missing_shards: tuple[str, ...]
    records: list[Any] = field(factory=list)
    failure: Failure | None = None
    sub_requests: int = 0
