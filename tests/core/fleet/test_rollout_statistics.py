import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.fleet.rollouts.statistics import Counts, compute_p_value


def enumerate_p_value(strata):
    """Return the p-value by going through all ways to distribute the bad responses."""
    observed = sum(counts.new_bad for counts in strata)
    ranges = []
    for counts in strata:
        bad = counts.new_bad + counts.old_bad
        total = math.comb(counts.new + counts.old, bad)
        ways = []
        for new_bad in range(bad + 1):
            chosen = math.comb(counts.new, new_bad) * math.comb(counts.old, bad - new_bad)
            ways.append((new_bad, chosen / total))
        ranges.append(ways)
    p_value = 0.0
    for combination in itertools.product(*ranges):
        if sum(new_bad for new_bad, _ in combination) >= observed:
            p_value += math.prod(probability for _, probability in combination)
    return p_value


def counts_strategy():
    pair = st.integers(0, 6).flatmap(lambda total: st.tuples(st.just(total), st.integers(0, total)))
    return st.builds(lambda new, old: Counts(*new, *old), pair, pair)


@given(st.lists(counts_strategy(), max_size=3))
def test_p_value_agrees_with_an_enumeration(strata):
    # Guards against an error in the formula, which would only show as wrong rates of rollbacks.
    assert compute_p_value(strata) == pytest.approx(min(1.0, enumerate_p_value(strata)))


def test_p_value_of_a_published_example():
    # Fisher's experiment with eight cups of tea, four of them recognized: 1 in 70.
    assert compute_p_value([Counts(4, 4, 4, 0)]) == pytest.approx(1 / 70)


def test_failures_that_both_versions_share_are_no_evidence():
    # Guards against a rollback because the new version has most requests during a disturbance.
    before = Counts(5, 0, 95, 0)
    during = Counts(90, 45, 10, 5)
    assert compute_p_value([before, during]) > 0.3
    pooled = Counts(95, 45, 105, 5)
    assert compute_p_value([pooled]) < 0.001


def test_large_counts_are_computed_without_overflow():
    assert 0.0 <= compute_p_value([Counts(5_000, 400, 20_000, 900)]) < 1e-6
