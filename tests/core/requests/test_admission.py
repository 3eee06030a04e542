"""Tests admission: guaranteed slots, order, fairness and early rejection."""

import pytest

from persimmonspur.core.requests.admission import Admission, AdmissionRequest, Admit, Reject
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import PriorityClass

CLASSES = (
    PriorityClass("counter", 0, 0.5),
    PriorityClass("interactive", 1, 0.3),
    PriorityClass("batch", 2, 0.2),
)


@pytest.fixture
def admission():
    admission = Admission(20)
    admission.configure(CLASSES)
    return admission


def offer(admission, number, name, deadline_ms=1_000.0, now_ms=0.0):
    return admission.offer(AdmissionRequest(number, name, deadline_ms), now_ms)


def offer_many(admission, name, start=0, count=100):
    """Offer several queries and return the ids of the admitted ones."""
    admitted = []
    for number in range(start, start + count):
        for action in offer(admission, number, name):
            if isinstance(action, Admit):
                admitted.append(action.id)
    return admitted


def record_duration(admission, name, duration_ms):
    """Set the mean duration of a class by completing one query."""
    offer(admission, -1, name)
    admission.complete(-1, duration_ms)


def test_concurrency_is_limited(admission):
    offer_many(admission, "counter", 0)
    offer_many(admission, "interactive", 100)
    offer_many(admission, "batch", 200)
    assert admission.running == 20


def test_batch_queries_leave_the_guaranteed_slots_of_others_free(admission):
    assert len(offer_many(admission, "batch", 0)) == 4
    assert len(offer_many(admission, "interactive", 100)) == 6
    assert len(offer_many(admission, "counter", 200)) == 10


def test_urgent_classes_use_idle_slots_of_others(admission):
    assert len(offer_many(admission, "counter", 0)) == 20


def test_a_free_slot_goes_to_a_class_below_its_share_first(admission):
    running = offer_many(admission, "counter", 0)
    offer_many(admission, "interactive", 100)
    offer_many(admission, "batch", 200)
    order = []
    for number in running[:12]:
        for action in admission.complete(number, 10.0):
            assert isinstance(action, Admit)
            order.append(action.id)
    # 3 interactive and 2 batch queries are queued; counter queries must not starve them.
    assert [number for number in order if number >= 100] == order[:5]
    assert order[:3] == [100, 101, 102] and order[3:5] == [200, 201]


def test_the_earliest_deadline_is_next_within_a_class(admission):
    offer_many(admission, "counter", 0, 20)
    for number, deadline_ms in ((50, 900.0), (51, 300.0), (52, 600.0)):
        assert offer(admission, number, "counter", deadline_ms) == []
    admitted = [admission.complete(number, 1.0)[0].id for number in range(3)]
    assert admitted == [51, 52, 50]


def test_the_queue_is_limited_and_rejections_contain_a_retry_delay(admission):
    record_duration(admission, "batch", 100.0)
    offer_many(admission, "batch", 0, 4)
    assert offer(admission, 50, "batch") == offer(admission, 51, "batch") == []
    [rejection] = offer(admission, 52, "batch")
    assert isinstance(rejection, Reject)
    assert (rejection.failure.kind, rejection.failure.ran) == (ErrorKind.OVERLOADED, Ran.NO)
    # Two queued queries and the rejected one take 100 ms each on four slots.
    assert rejection.failure.retry_after_ms == pytest.approx(75.0)


def test_a_query_that_would_miss_its_deadline_is_rejected_immediately(admission):
    record_duration(admission, "counter", 100.0)
    offer_many(admission, "counter", 0, 20)
    [rejection] = offer(admission, 50, "counter", deadline_ms=52.0)
    assert isinstance(rejection, Reject)
    assert offer(admission, 51, "counter", deadline_ms=200.0) == []


def test_no_query_waits_longer_than_its_deadline(admission):
    record_duration(admission, "counter", 100.0)
    offer_many(admission, "counter", 0, 20)
    assert offer(admission, 50, "counter", deadline_ms=200.0) == []
    assert admission.expire(149.0) == []
    [rejection] = admission.expire(151.0)
    assert (rejection.id, rejection.failure.ran) == (50, Ran.NO)
    assert admission.waiting == 0


def test_a_withdrawn_query_takes_no_slot(admission):
    offer_many(admission, "counter", 0, 20)
    offer(admission, 50, "counter")
    assert admission.complete(50, 1.0) == []
    assert admission.complete(0, 2.0) == []
    assert admission.running == 19


def test_a_completion_is_counted_once(admission):
    offer_many(admission, "counter", 0, 5)
    admission.complete(0, 1.0)
    admission.complete(0, 1.0)
    assert admission.running == 4


def test_an_undeclared_class_gets_only_idle_slots(admission):
    offer_many(admission, "other", 0)
    assert admission.running == 0
    assert len(offer_many(admission, "counter", 200)) == 20


def test_shares_follow_the_configuration(admission):
    admission.configure((PriorityClass("counter", 0, 0.2), PriorityClass("batch", 2, 0.8)))
    # The removed class keeps no guaranteed slots.
    assert len(offer_many(admission, "batch", 0)) == 16
    assert len(offer_many(admission, "counter", 100)) == 4
