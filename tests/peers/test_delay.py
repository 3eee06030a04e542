"""Guards against stale messages that look fresh because clocks differ."""

from persimmonspur.peers.delay import WINDOW_MS, DelayEstimator


def test_clock_difference_is_not_age():
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


def test_drift_of_the_sender_clock_is_forgotten():
    estimator = DelayEstimator()
    received_ms = 0.0
    for _ in range(100):
        received_ms += WINDOW_MS / 10
        age_ms = estimator.estimate_age(1, sent_ms=received_ms * 0.999, received_ms=received_ms)
    # Without windows the estimate would be 600 ms off by now.
    assert age_ms <= 3 * WINDOW_MS * 0.001
