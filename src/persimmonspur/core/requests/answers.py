"""Builds the answers to queries."""

from collections.abc import Collection, Iterable
from typing import Any

from persimmonspur.core.requests.coverage import list_missing, measure_coverage
from persimmonspur.core.requests.merge import merge_records
from persimmonspur.core.requests.progress import ShardProgress
from persimmonspur.core.requests.snapshots import PinnedSnapshot
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.model.query import Coverage, Query, QueryAnswer


def build_answer(
    query: Query,
    pinned: PinnedSnapshot,
    shards: Collection[ShardProgress],
    ran: Ran,
    overload_retry_after_ms: float | None,
    sent: int,
) -> QueryAnswer:
    """Merge the records of the answered shards and list the missing shards.

    :param ran: whether any part of the query ran.
    :param overload_retry_after_ms: time after which the caller may retry, set if the latest
        rejection was due to overload.
    :param sent: number of sub-requests sent.
    """
    answered = {progress.name for progress in shards if progress.records is not None}
    coverage = measure_coverage(pinned.shards, answered)
    missing = list_missing(pinned.shards, answered)
    failure = None
    if not coverage.complete and not query.allow_partial:
        message = f"missing shards: {', '.join(missing)}"
        kind = ErrorKind.INCOMPLETE
        if ran is Ran.NO and overload_retry_after_ms is not None:
            kind = ErrorKind.OVERLOADED
        failure = Failure.of(kind, message, ran, overload_retry_after_ms)
    records = _merge(query, shards) if failure is None else []
    return QueryAnswer(query.request_id, pinned.snapshot, coverage, missing, records, failure, sent)


def build_rejection(
    query: Query, pinned: PinnedSnapshot | None, failure: Failure, sent: int = 0
) -> QueryAnswer:
    """Build the answer to a query that was not run, with zero coverage."""
    if pinned is None:
        return QueryAnswer(query.request_id, None, Coverage(0), (), [], failure, sent)
    coverage = measure_coverage(pinned.shards, ())
    missing = list_missing(pinned.shards, ())
    return QueryAnswer(query.request_id, None, coverage, missing, [], failure, sent)


def _merge(query: Query, shards: Iterable[ShardProgress]) -> list[Any]:
    parts = [progress.records for progress in shards if progress.records is not None]
    return merge_records(parts, query.limit)
