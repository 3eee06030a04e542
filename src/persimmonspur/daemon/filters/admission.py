"""The filter that bounds the queries that run at once."""

from persimmonspur.daemon.filters.chain import FILTERS, Next, RequestContext, build_failure
from persimmonspur.model.query import QueryAnswer


@FILTERS.register("admission")
def admit(context: RequestContext, call_next: Next) -> QueryAnswer:
    """Wait for room, or reject the query before anything of it runs."""
    query = context.query
    deadline_ms = context.received_ms + query.timeout_ms
    desk = context.instance.admission
    with desk.enter(query.priority_class, deadline_ms) as failure:
        if failure is not None:
            return build_failure(query, failure)
        context.instance.metrics.admitted.set(desk.admission.running)
        return call_next(context)
