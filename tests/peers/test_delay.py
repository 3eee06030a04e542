"""Tests that the estimated age of a message does not depend on clock differences."""

from persimmonspur.peers.delay import WINDOW_MS, DelayEstimator


def test_clock_difference_does_not_count_as_age():
    estimator = DelayEstimator()
    assert estimator.estimate_age(1, sent_ms=1_000, received_ms=9_000) == 0
    assert estimator.estimate_age(1, sent_ms=2_000, received_ms=10_000) == 0


def test_message_that_waited_in_a_buffer_is_old():
    estimator = DelayEstimator()
    estimator.estimate_age(1, sent_ms=1_000, received_ms=500)
    assert estimator.estimate_age(1, sent_ms=2_000, received_ms=6_500) == 5_000


def test_restarted_sender_starts_a_new_clock():
    estimator = DelayEstimator()
    estimator.estimate_age(1, sent_ms=1_000_000, received_ms=1_000_000)
    assert estimator.estimate_age(2, sent_ms=10, received_ms=1_000_010) == 0


def test_drift_of_the_sender_clock_does_not_accumulate():
    estimator = DelayEstimator()
    received_ms = 0.0
    for _ in range(100):
        received_ms += WINDOW_MS / 10
        age_ms = estimator.estimate_age(1, sent_ms=received_ms * 0.999, received_ms=received_ms)
    # Without windows the error of the estimate would have grown to 600 ms.
    assert age_ms <= 3 * WINDOW_MS * 0.001
