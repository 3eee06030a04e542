"""Tests the path of queries through admission and the query controller."""

import gevent
import pytest
from gevent.event import Event

from fakes import build_instance
from persimmonspur.daemon.controllers.queries import QueryController
from persimmonspur.daemon.controllers.registry import PeerMessage
from persimmonspur.daemon.filters.admission import admit
from persimmonspur.daemon.filters.chain import FILTER_ORDER, RequestContext, build_failure
from persimmonspur.daemon.filters.standard import measure
from persimmonspur.errors import ErrorKind, Failure, Ran
from persimmonspur.model.messages import EndpointStatus, EndpointStatuses, SubReplies
from persimmonspur.model.query import Coverage, Query, QueryAnswer, SnapshotId
from simulation import CLASSES, SNAPSHOT, build_configuration, build_reply, build_service


class FakeEndpointController:
    """Records the sub-requests and cancellations for endpoints of this instance."""

    def __init__(self):
        self.offered = []
        self.cancelled = []

    def offer(self, sender, requests, age_ms):
        self.offered.extend(requests)

    def cancel(self, request_ids):
        self.cancelled.extend(request_ids)


@pytest.fixture
def instance():
    instance = build_instance(concurrency="1")
    instance.view.configure(build_configuration(build_service(shards=1)))
    instance.query_admission.configure(CLASSES)
    instance.endpoint_controller = FakeEndpointController()
    instance.query_controller = QueryController(instance)
    for view in instance.view.endpoints.values():
        view.owner = "entry-1"
        name = view.endpoint.name
        status = EndpointStatus(name, "warm", True, [SNAPSHOT], 0, 0, 2, 4.0)
        instance.view.observe_status(status)
    return instance


def build_query(**options):
    return Query("desk", "counter", 10_000.0, "r1", **options)


def run_greenlets():
    for _ in range(5):
        gevent.sleep(0)


def get_metric(instance, name, **labels):
    return instance.metrics.registry.get_sample_value(name, labels)


def test_admission_runs_before_the_timeout_is_reduced():
    assert (
        FILTER_ORDER.index("priority")
        < FILTER_ORDER.index("admission")
        < FILTER_ORDER.index("deadline")
    )
    assert FILTER_ORDER[-1] == "coordinate"


def test_query_waits_for_admission_and_releases_its_slot(instance):
    release = Event()
    started = []

    def call_next(context):
        started.append(context.query.request_id)
        release.wait()
        return QueryAnswer("r", SNAPSHOT, Coverage(1, 1), ())

    runs = [
        gevent.spawn(admit, RequestContext(instance, build_query(), 0.0), call_next)
        for _ in range(2)
    ]
    run_greenlets()
    assert len(started) == 1
    release.set()
    gevent.joinall(runs, timeout=10, raise_error=True)
    assert len(started) == 2
    assert (
        instance.query_admission.admission.running,
        instance.query_admission.admission.waiting,
    ) == (0, 0)


def test_query_not_admitted_before_its_deadline_is_rejected_without_running(instance):
    release = Event()
    first = gevent.spawn(
        admit, RequestContext(instance, build_query(), 0.0), lambda context: release.wait()
    )
    run_greenlets()
    query = Query("desk", "counter", 20.0, "r2")
    second = gevent.spawn(admit, RequestContext(instance, query, 0.0), None)
    run_greenlets()
    instance.clock.advance(25.0)
    answer = second.get(timeout=10)
    assert (answer.failure.kind, answer.failure.ran) == (ErrorKind.OVERLOADED, Ran.NO)
    release.set()
    first.join(timeout=10)


def test_concurrent_queries_with_one_request_id_get_their_own_replies(instance):
    runs = [gevent.spawn(instance.query_controller.run, build_query(), 0) for _ in range(2)]
    run_greenlets()
    first, second = instance.endpoint_controller.offered
    instance.query_controller.deliver(
        "entry-1", build_reply(second, [{"id": "second", "score": 1}])
    )
    instance.query_controller.deliver("entry-1", build_reply(first, [{"id": "first", "score": 1}]))
    answers = [run.get(timeout=10) for run in runs]
    assert [answer.records[0]["id"] for answer in answers] == ["first", "second"]
    # A duplicate reply after the end of its query has no effect.
    instance.query_controller.deliver("entry-1", build_reply(first, [{"id": "late", "score": 1}]))
    assert (
        get_metric(instance, "persimmonspur_sub_requests_total", service="desk", kind="first") == 2
    )
    assert get_metric(instance, "persimmonspur_pinned_version", service="desk") == 1


def test_reply_that_names_another_endpoint_is_ignored(instance):
    run = gevent.spawn(instance.query_controller.run, build_query(), 0)
    run_greenlets()
    [request] = instance.endpoint_controller.offered
    other_reply = build_reply(request, [{"id": "foreign", "score": 1}])
    other_reply.endpoint = "elsewhere"
    instance.query_controller.deliver("entry-1", other_reply)
    instance.query_controller.deliver(
        "entry-1", build_reply(request, [{"id": "right", "score": 1}])
    )
    assert run.get(timeout=10).records[0]["id"] == "right"


def test_messages_of_instances_that_do_not_own_the_endpoint_are_ignored(instance):
    handlers = instance.query_controller.list_handlers()
    status = EndpointStatus("s0-r0", "warm", False, [], 0, 0, 2, 4.0)
    handlers[EndpointStatuses](PeerMessage("entry-2", 1, 1, EndpointStatuses([status]), 0.0))
    assert instance.view.endpoints["s0-r0"].ready
    run = gevent.spawn(instance.query_controller.run, build_query(), 0)
    run_greenlets()
    reply = build_reply(instance.endpoint_controller.offered[0], [], queue=50)
    handlers[SubReplies](PeerMessage("entry-2", 1, 1, SubReplies([reply]), 0.0))
    run_greenlets()
    assert not run.ready()
    assert instance.view.endpoints[reply.endpoint].status.queue == 0
    instance.query_controller.deliver("entry-1", reply)
    assert run.get(timeout=10).coverage.complete


def test_service_removed_while_the_query_waited_is_unknown(instance):
    answer = instance.query_controller.run(Query("gone", "counter", 100.0, "r1"), 0)
    assert (answer.failure.kind, answer.failure.ran) == (ErrorKind.UNKNOWN_SERVICE, Ran.NO)


def test_rejections_and_coverage_are_counted(instance):
    query = build_query()
    rejected = build_failure(query, Failure.of(ErrorKind.OVERLOADED, "full"))
    measure(RequestContext(instance, query, 0.0), lambda context: rejected)
    half = QueryAnswer("r1", SnapshotId(1, 1), Coverage(1, 2), ("s1",))
    measure(RequestContext(instance, query, 0.0), lambda context: half)
    name = "persimmonspur_rejections_total"
    assert get_metric(instance, name, service="desk", kind="overloaded") == 1
    assert get_metric(instance, "persimmonspur_coverage_sum", service="desk") == 0.5
