import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonspur.core.fleet.budget import ColdStartLimit, RetryBudget

RATIO = 0.2
SLACK = 113.0
WINDOW_MS = 10_000.0


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(min_value=0, max_value=900),
            st.integers(min_value=0, max_value=12),
            st.integers(min_value=0, max_value=12),
            st.booleans(),
        ),
        max_size=60,
    ),
    st.integers(min_value=1, max_value=6),
)
def test_every_sliding_window_of_all_instances_keeps_the_limit(steps, instances):
    # Guards against extra attempts that exceed the ratio in a window that is not
    # aligned with the buckets.
    budgets = [RetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(instances)]
    for budget in budgets:
        budget.sharing_instances = instances
    now_ms = 0.0
    firsts, extras = [], []
    for position, (pause_ms, first, extra, hedge) in enumerate(steps):
        now_ms += pause_ms
        budget = budgets[position % instances]
        for _ in range(first):
            budget.record_first_attempt("s", now_ms)
            firsts.append(now_ms)
        for _ in range(extra):
            if budget.try_acquire("s", now_ms, hedge):
                extras.append(now_ms)
    for end_ms in extras:
        start_ms = end_ms - WINDOW_MS
        in_window = sum(start_ms < time_ms <= end_ms for time_ms in extras)
        requests = sum(start_ms < time_ms <= end_ms for time_ms in firsts)
        assert in_window <= RATIO * requests + SLACK


def test_hedges_leave_budget_for_retries():
    # Guards against hedges that use up the budget for retries after failures.
    budget = RetryBudget(RATIO, 0.0, WINDOW_MS)
    for _ in range(1000):
        budget.record_first_attempt("s", 0.0)
    while budget.try_acquire("s", 0.0, hedge=True):
        pass
    assert budget.try_acquire("s", 0.0, hedge=False)


def test_slack_is_divided_among_instances():
    budget = RetryBudget(RATIO, SLACK, WINDOW_MS)
    budget.sharing_instances = 10
    acquired = sum(budget.try_acquire("s", 0.0, hedge=False) for _ in range(200))
    assert acquired <= SLACK / 10


def test_services_have_separate_budgets():
    budget = RetryBudget(RATIO, 0.0, WINDOW_MS)
    for _ in range(100):
        budget.record_first_attempt("a", 0.0)
    assert not budget.try_acquire("b", 0.0, hedge=False)
    assert budget.try_acquire("a", 0.0, hedge=False)


@pytest.mark.parametrize("instances", [1, 3, 13, 40])
@pytest.mark.parametrize("per_s", [1.0, 4.0, 10.0])
def test_cold_endpoint_gets_no_more_than_its_limit(instances, per_s):
    # Guards against a cold endpoint that crashes because every instance sends to it.
    names = tuple(f"i{index}" for index in range(instances))
    limits = [ColdStartLimit(name) for name in names]
    for limit in limits:
        limit.set_participants(names)
    sent_times = []
    for now_ms in range(0, 5_000, 20):
        for limit in limits:
            if limit.try_acquire("endpoint", per_s, float(now_ms)):
                sent_times.append(now_ms)
    for start_ms in sent_times:
        in_second = sum(start_ms <= time_ms < start_ms + 1_000 for time_ms in sent_times)
        assert in_second <= per_s * 1.5 + 5
    assert sent_times


def test_cold_limit_of_zero_is_unlimited():
    limit = ColdStartLimit("i")
    assert all(limit.try_acquire("endpoint", 0.0, 0.0) for _ in range(100))


def test_used_ratio_is_that_of_the_service_that_used_most():
    budget = RetryBudget(0.0, 20.0, 10_000.0)
    for _ in range(5):
        budget.try_acquire("a", 0.0, hedge=False)
    budget.try_acquire("b", 0.0, hedge=False)
    assert budget.compute_used_ratio(0.0) == 0.5
    assert budget.compute_used_ratio(20_000.0) == 0.0
