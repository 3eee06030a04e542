"""The filter that limits the number of concurrent queries."""

from persimmonspur.daemon.filters.chain import FILTERS, NextFilter, RequestContext, build_failure
from persimmonspur.model.query import QueryAnswer


@FILTERS.register("admission")
def admit(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Wait for admission, or reject the query before any part of it runs."""
    query = context.query
    deadline_ms = context.received_ms + query.timeout_ms
    query_admission = context.instance.query_admission
    with query_admission.wait_for_admission(query.priority_class, deadline_ms) as failure:
        if failure is not None:
            return build_failure(query, failure)
        context.instance.metrics.admitted.set(query_admission.admission.running)
        return call_next(context)
