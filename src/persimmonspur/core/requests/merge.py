"""Merges records of several shards."""

import heapq
from typing import Any


def merge_records(parts: list[list[Any]], limit: int | None) -> list[Any]:
    """Merge records by descending score, then by id.

    :param parts: one list per shard; records are mappings with ``id`` and optional ``score``.
    :param limit: most records to return; ``None`` for all.
    """
    records = [record for part in parts for record in part]
    if limit is None:
        return sorted(records, key=_order)
    return heapq.nsmallest(limit, records, key=_order)


def _order(record: dict[str, Any]) -> tuple[float, str]:
    return (-float(record.get("score", 0.0)), str(record["id"]))
