"""Merges the fixed-size records of several shards."""

import heapq
from collections.abc import Iterable, Iterator

RECORD_BYTES = 16


def merge_top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records in descending order.

    Records are compared byte by byte, and duplicates are kept. A remainder at the end of a
    body that is shorter than a record is ignored.

    :param bodies: one body per shard, with records in any order.
    :param count: maximum number of records to return.
    """
    return b"".join(heapq.nlargest(count, _split_records(bodies)))


def reduce_to_top_records(body: bytes, count: int) -> bytes:
    """Return a body of a shard without the records that cannot be in a merged response.

    :param count: maximum number of records in the merged response.
    """
    if len(body) <= count * RECORD_BYTES:
        return body
    return merge_top_records((body,), count)


def _split_records(bodies: Iterable[bytes]) -> Iterator[bytes]:
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        for start in range(0, end, RECORD_BYTES):
            yield body[start : start + RECORD_BYTES]
