"""The chain of filters that every query passes."""

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
    """One query on its way through the chain.

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

# Registration order is import order, so the order of the chain is stated here.
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
    """Pass a query through all filters."""
    return _build_next(0)(context)


def build_failure(query: Query, failure: Failure) -> QueryAnswer:
    """Build the answer of a query that did not start."""
    return QueryAnswer(query.request_id, None, Coverage(0), (), [], failure, 0)


def _build_next(position: int) -> NextFilter:
    run = FILTERS.get(FILTER_ORDER[position])

    def call(context: RequestContext) -> QueryAnswer:
        return run(
            context, _build_next(position + 1) if position + 1 < len(FILTER_ORDER) else _refuse
        )

    return call


def _refuse(context: RequestContext) -> QueryAnswer:
    raise RuntimeError("the last filter must answer the query")
