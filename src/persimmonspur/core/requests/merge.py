"""Merges the records of several shards."""

import heapq
from typing import Any


def merge_records(parts: list[list[Any]], limit: int | None) -> list[Any]:
    """Merge records, sorted by descending score and then by id.

    :param parts: one list per shard; records are mappings with ``id`` and optional ``score``.
    :param limit: maximum number of records to return; ``None`` for all.
    """
    records = [record for part in parts for record in part]
    if limit is None:
        return sorted(records, key=_order)
    if limit < len(records):
        # Filtering by score first avoids sorting all records, which costs much more:
        # with many shards only a few records reach the lowest score that is returned.
        scores = [float(record.get("score", 0.0)) for record in records]
        lowest_score = heapq.nlargest(limit, scores)[-1]
        records = [
            record for record, score in zip(records, scores, strict=True) if score >= lowest_score
        ]
    return sorted(records, key=_order)[:limit]


def _order(record: dict[str, Any]) -> tuple[float, str]:
    return (-float(record.get("score", 0.0)), str(record["id"]))
