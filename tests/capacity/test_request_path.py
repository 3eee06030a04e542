"""Checks that the request path benchmark measures whole queries."""

import pytest

from persimmonspur.capacity.request_path import measure_request_path


@pytest.mark.parametrize("policy", ["expected_wait", "random"])
def test_cost_of_whole_queries_is_measured(policy):
    cost = measure_request_path(10, queries=20, policy=policy)
    assert (cost.shards, cost.queries) == (10, 20)
    assert cost.start_us > 0 and cost.replies_us > 0
    assert cost.total_us == cost.start_us + cost.replies_us
