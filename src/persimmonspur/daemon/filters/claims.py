"""The filter that keeps non-repeatable queries from running twice."""

from attrs import evolve

from persimmonspur.daemon.filters.chain import FILTERS, Next, RequestContext
from persimmonspur.errors import Ran
from persimmonspur.model.query import QueryAnswer


@FILTERS.register("label")
def label_rejection(context: RequestContext, call_next: Next) -> QueryAnswer:
    """Say ``unknown`` where only the claim owner knows whether a request ran.

    A filter that rejects a non-repeatable query before its claim knows that this
    attempt did not run, but an earlier attempt with the same id may have.
    """
    answer = call_next(context)
    query = context.query
    if query.repeatable or query.first_attempt or context.claimed:
        return answer
    if answer.failure is None or answer.failure.ran is not Ran.NO:
        return answer
    return evolve(answer, failure=evolve(answer.failure, ran=Ran.UNKNOWN))


@FILTERS.register("claim")
def claim(context: RequestContext, call_next: Next) -> QueryAnswer:
    """Send a non-repeatable query to the owner of its claim partition."""
    if context.query.repeatable:
        return call_next(context)
    context.claimed = True
    return context.instance.claims.run(context.query, context.priority)
