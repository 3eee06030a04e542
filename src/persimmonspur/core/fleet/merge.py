"""Merges the fixed-size records of several shards."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records in descending order.

    Records are compared byte by byte, and duplicates are kept. A remainder at the end of a
    body that is shorter than a record is ignored.

    :param bodies: one body per shard, with records in any order.
    :param count: maximum number of records to return.
    """
    records: list[bytes] = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records.extend(body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES))
    return b"".join(heapq.nlargest(count, records))
