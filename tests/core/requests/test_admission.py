"""Guards admission: shares, order, fairness and early rejection."""

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


def fill(admission, name, start=0, count=100):
    """Offer many queries; return the ids of those that were admitted."""
    admitted = []
    for number in range(start, start + count):
        for action in offer(admission, number, name):
            if isinstance(action, Admit):
                admitted.append(action.id)
    return admitted


def teach(admission, name, duration_ms):
    """Let the class's mean time be known."""
    offer(admission, -1, name)
    admission.complete(-1, duration_ms)


def test_concurrency_is_bounded(admission):
    fill(admission, "counter", 0)
    fill(admission, "interactive", 100)
    fill(admission, "batch", 200)
    assert admission.running == 20


def test_batch_queries_leave_the_shares_of_others_free(admission):
    assert len(fill(admission, "batch", 0)) == 4
    assert len(fill(admission, "interactive", 100)) == 6
    assert len(fill(admission, "counter", 200)) == 10


def test_urgent_classes_use_what_others_leave_idle(admission):
    assert len(fill(admission, "counter", 0)) == 20


def test_a_free_slot_goes_to_a_class_below_its_share_first(admission):
    running = fill(admission, "counter", 0)
    fill(admission, "interactive", 100)
    fill(admission, "batch", 200)
    order = []
    for number in running[:12]:
        for action in admission.complete(number, 10.0):
            assert isinstance(action, Admit)
            order.append(action.id)
    # Interactive and batch queries wait with 3 and 2 entries; neither starves behind counters.
    assert [number for number in order if number >= 100] == order[:5]
    assert order[:3] == [100, 101, 102] and order[3:5] == [200, 201]


def test_the_earliest_deadline_is_next_within_a_class(admission):
    fill(admission, "counter", 0, 20)
    for number, deadline_ms in ((50, 900.0), (51, 300.0), (52, 600.0)):
        assert offer(admission, number, "counter", deadline_ms) == []
    ends = [admission.complete(number, 1.0)[0].id for number in range(3)]
    assert ends == [51, 52, 50]


def test_the_queue_is_short_and_says_when_to_come_back(admission):
    teach(admission, "batch", 100.0)
    fill(admission, "batch", 0, 4)
    assert offer(admission, 50, "batch") == offer(admission, 51, "batch") == []
    [refusal] = offer(admission, 52, "batch")
    assert isinstance(refusal, Reject)
    assert (refusal.failure.kind, refusal.failure.ran) == (ErrorKind.OVERLOADED, Ran.NO)
    # Three queries of 100 ms before it share four slots.
    assert refusal.failure.retry_after_ms == pytest.approx(75.0)


def test_a_query_that_would_wait_past_its_deadline_is_refused_at_once(admission):
    teach(admission, "counter", 100.0)
    fill(admission, "counter", 0, 20)
    [refusal] = offer(admission, 50, "counter", deadline_ms=52.0)
    assert isinstance(refusal, Reject)
    assert offer(admission, 51, "counter", deadline_ms=200.0) == []


def test_no_query_waits_longer_than_its_deadline(admission):
    teach(admission, "counter", 100.0)
    fill(admission, "counter", 0, 20)
    assert offer(admission, 50, "counter", deadline_ms=200.0) == []
    assert admission.expire(149.0) == []
    [refusal] = admission.expire(151.0)
    assert (refusal.id, refusal.failure.ran) == (50, Ran.NO)
    assert admission.waiting == 0


def test_a_query_that_gave_up_waiting_takes_no_slot(admission):
    fill(admission, "counter", 0, 20)
    offer(admission, 50, "counter")
    assert admission.complete(50, 1.0) == []
    assert admission.complete(0, 2.0) == []
    assert admission.running == 19


def test_ends_are_counted_once(admission):
    fill(admission, "counter", 0, 5)
    admission.complete(0, 1.0)
    admission.complete(0, 1.0)
    assert admission.running == 4


def test_a_class_that_is_not_declared_gets_only_idle_slots(admission):
    fill(admission, "other", 0)
    assert admission.running == 0
    assert len(fill(admission, "counter", 200)) == 20


def test_shares_follow_the_configuration(admission):
    admission.configure((PriorityClass("counter", 0, 0.2), PriorityClass("batch", 2, 0.8)))
    # The dropped class keeps no share.
    assert len(fill(admission, "batch", 0)) == 16
    assert len(fill(admission, "counter", 100)) == 4
