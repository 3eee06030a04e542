"""Tests the retry budgets and the latency estimators that hedge delays are based on."""

from random import Random

from persimmonspur.core.routing.hedging import (
    MAX_EXTRA_TOKENS,
    MAX_HEDGE_TOKENS,
    MIN_HEDGE_DELAY_MS,
    RetryBudget,
)
from persimmonspur.core.routing.latency import LatencyEstimator


def acquire_all(try_acquire):
    count = 0
    while try_acquire():
        count += 1
    return count


def test_a_new_budget_allows_two_extra_attempts_one_of_them_a_hedge():
    budget = RetryBudget()
    assert acquire_all(budget.try_acquire_hedge) == 1
    assert acquire_all(budget.try_acquire_retry) == 1


def test_hedges_are_limited_to_2_percent_and_with_retries_to_5_percent():
    budget = RetryBudget()
    hedges = retries = 0
    for _ in range(10_000):
        budget.record_first_attempts(1)
        hedges += budget.try_acquire_hedge()
        retries += budget.try_acquire_retry()
    assert 199 <= hedges <= 201
    assert 499 <= hedges + retries <= 502


def test_accumulated_tokens_are_limited():
    budget = RetryBudget()
    budget.record_first_attempts(1_000_000)
    assert acquire_all(budget.try_acquire_hedge) == MAX_HEDGE_TOKENS
    assert acquire_all(budget.try_acquire_retry) == MAX_EXTRA_TOKENS - MAX_HEDGE_TOKENS


def test_a_saturated_service_gets_no_hedges():
    budget = RetryBudget()
    budget.record_first_attempts(10_000)
    for _ in range(100):
        budget.observe_queue(4, 2)
    assert budget.saturated and not budget.try_acquire_hedge()
    for _ in range(100):
        budget.observe_queue(0, 2)
    assert not budget.saturated and budget.try_acquire_hedge()


def test_the_hedge_delay_has_a_minimum_and_grows_as_the_budget_is_consumed():
    estimate = LatencyEstimator(4.0)
    budget = RetryBudget()
    budget.record_first_attempts(1_000_000)
    assert budget.compute_hedge_delay_ms(estimate) == estimate.p95_ms
    acquire_all(budget.try_acquire_hedge)
    assert budget.compute_hedge_delay_ms(estimate) == estimate.p99_ms
    estimate.p95_ms = estimate.p99_ms = 1.0
    assert budget.compute_hedge_delay_ms(estimate) == MIN_HEDGE_DELAY_MS


def test_percentiles_are_within_the_width_of_a_bucket():
    rng = Random(3)
    values = [rng.lognormvariate(2.0, 0.8) for _ in range(2_000)]
    estimate = LatencyEstimator(4.0)
    for value in values:
        estimate.observe(value, 0.0)
    values.sort()
    assert 0.99 <= estimate.p95_ms / values[1_899] <= 1.12
    assert 0.99 <= estimate.p99_ms / values[1_979] <= 1.15


def test_estimates_follow_a_changed_service_and_decay_over_time():
    estimate = LatencyEstimator(4.0)
    for _ in range(10_000):
        estimate.observe(5.0, 0.0)
    for _ in range(2_500):
        estimate.observe(50.0, 1.0)
    assert estimate.p95_ms > 45
    for index in range(900):
        estimate.observe(5.0, 10_100.0 * (1 + index // 100))
    assert estimate.p95_ms < 6


def test_extreme_latencies_are_counted_in_the_outer_buckets():
    estimate = LatencyEstimator(4.0)
    for _ in range(64):
        estimate.observe(0.0, 0.0)
    assert estimate.p95_ms < 0.5
    for _ in range(10_000):
        estimate.observe(1e9, 0.0)
    assert estimate.p95_ms > 60_000


def test_initial_estimates_are_kept_until_there_are_enough_observations():
    estimate = LatencyEstimator(4.0)
    for _ in range(10):
        estimate.observe(500.0, 0.0)
    assert estimate.p95_ms == 12.0
    assert estimate.observe_service_time(8.0) == 2.0
