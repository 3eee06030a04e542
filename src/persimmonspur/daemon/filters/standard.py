"""Filters that measure, validate and run queries."""

from attrs import evolve

from persimmonspur.daemon import events
from persimmonspur.daemon.filters.chain import FILTERS, NextFilter, RequestContext, build_failure
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.model.query import QueryAnswer


@FILTERS.register("measure")
def measure(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Record the duration, result and coverage of every query."""
    answer = call_next(context)
    instance = context.instance
    duration_ms = instance.clock.now_ms() - context.received_ms
    result = str(answer.failure.kind) if answer.failure is not None else "ok"
    query = context.query
    instance.metrics.query_ms.labels(query.service, query.priority_class, result).observe(
        duration_ms
    )
    if answer.failure is not None and answer.failure.ran is Ran.NO:
        instance.metrics.rejections.labels(query.service, result).inc()
    if answer.coverage.total > 0 and answer.snapshot is not None:
        share = answer.coverage.covered / answer.coverage.total
        instance.metrics.coverage.labels(query.service).observe(share)
    if not answer.coverage.complete:
        instance.metrics.incomplete.labels(query.service).inc()
    instance.timeline.record(
        events.QUERY_FINISHED, query.request_id, result=result, duration_ms=round(duration_ms, 2)
    )
    return answer


@FILTERS.register("ready")
def require_ready(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Reject queries until a configuration and a cell table are known."""
    instance = context.instance
    if instance.configuration_holder.version > 0 and instance.cell.table_version > 0:
        return call_next(context)
    failure = Failure.of(ErrorKind.NOT_READY, "no configuration yet", retry_after_ms=500.0)
    return build_failure(context.query, failure)


@FILTERS.register("leaving")
def reject_when_stopping(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Reject queries once the addresses that callers cached have expired."""
    if not context.instance.stopping:
        return call_next(context)
    failure = Failure.of(ErrorKind.LEAVING, "this instance is leaving", retry_after_ms=0.0)
    return build_failure(context.query, failure)


@FILTERS.register("service")
def require_service(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Reject queries for services that the configuration does not declare."""
    if context.query.service in context.instance.view.services:
        return call_next(context)
    known = ", ".join(sorted(context.instance.view.services))
    failure = Failure.of(
        ErrorKind.UNKNOWN_SERVICE, f"service: {context.query.service!r}; allowed: {known}"
    )
    return build_failure(context.query, failure)


@FILTERS.register("priority")
def set_priority(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Set the priority from the query's class; reject unknown classes."""
    configuration = context.instance.configuration_holder.configuration
    classes = configuration.classes if configuration is not None else ()
    for priority_class in classes:
        if priority_class.name != context.query.priority_class:
            continue
        context.priority = priority_class.priority
        return call_next(context)
    known = ", ".join(known_class.name for known_class in classes)
    failure = Failure.of(
        ErrorKind.INVALID_REQUEST, f"class: {context.query.priority_class!r}; allowed: {known}"
    )
    return build_failure(context.query, failure)


@FILTERS.register("deadline")
def apply_deadline(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Reduce the query's timeout by the time that has already passed."""
    elapsed_ms = context.instance.clock.now_ms() - context.received_ms
    remaining_ms = context.query.timeout_ms - elapsed_ms
    if remaining_ms <= 0:
        failure = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no time left to start", Ran.NO)
        return build_failure(context.query, failure)
    context.query = evolve(context.query, timeout_ms=remaining_ms)
    return call_next(context)


@FILTERS.register("coordinate")
def coordinate(context: RequestContext, call_next: NextFilter) -> QueryAnswer:
    """Run the query and return its answer."""
    return context.instance.query_controller.run(context.query, context.priority)
