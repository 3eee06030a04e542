"""The filter that keeps non-repeatable queries from running twice."""

from persimmonspur.daemon.filters.chain import FILTERS, Next, RequestContext
from persimmonspur.model.query import QueryAnswer


@FILTERS.register("claim")
def claim(context: RequestContext, call_next: Next) -> QueryAnswer:
    """Send a non-repeatable query to the owner of its claim partition."""
    if context.query.repeatable:
        return call_next(context)
    return context.instance.claims.run(context.query, context.priority)
