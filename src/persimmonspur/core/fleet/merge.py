"""Merges the fixed-size records of several shards."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_greatest(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records, greatest first.

    Records compare byte by byte; equal ones all count. A remainder shorter than a
    record is not a record.

    :param bodies: one body per shard, records in any order.
    :param count: most records to return.
    """
    records: list[bytes] = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records.extend(body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES))
    return b"".join(heapq.nlargest(count, records))
