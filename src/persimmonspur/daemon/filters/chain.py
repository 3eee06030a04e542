"""The chain of filters that processes every query."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define

from persimmonspur.errors import Failure
from persimmonspur.model.query import Coverage, Query, QueryAnswer
from persimmonspur.registry import Registry

if TYPE_CHECKING:
    from persimmonspur.daemon.instance import Instance


@define
class RequestContext:
    """State of one query while the filters process it.

    :param received_ms: when the request arrived, in monotonic milliseconds.
    :param priority: set by the priority filter.
    """

    instance: "Instance"
    query: Query
    received_ms: float
    priority: int = 0


NextFilter = Callable[[RequestContext], QueryAnswer]
Filter = Callable[[RequestContext, NextFilter], QueryAnswer]

FILTERS: Registry[Filter] = Registry("filter")

# Explicit, because registration follows the order of imports.
FILTER_ORDER = (
    "measure",
    "ready",
    "leaving",
    "service",
    "priority",
    "admission",
    "deadline",
    "coordinate",
)


def run_chain(context: RequestContext) -> QueryAnswer:
    """Process a query with all filters and return its answer."""
    return _build_next(0)(context)


def build_failure(query: Query, failure: Failure) -> QueryAnswer:
    """Build the answer to a query that was rejected before it started."""
    return QueryAnswer(query.request_id, None, Coverage(0), (), [], failure, 0)


def _build_next(position: int) -> NextFilter:
    run = FILTERS.get(FILTER_ORDER[position])

    def call(context: RequestContext) -> QueryAnswer:
        return run(
            context,
            _build_next(position + 1) if position + 1 < len(FILTER_ORDER) else _raise_unanswered,
        )

    return call


def _raise_unanswered(context: RequestContext) -> QueryAnswer:
    raise RuntimeError("the last filter did not return an answer")
