"""Tests that a limit returns a prefix of the full order, despite the filtering by score."""

from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.requests.merge import merge_records

records = st.builds(
    lambda name, score: {"id": name} if score is None else {"id": name, "score": score},
    st.sampled_from("abcdef"),
    st.sampled_from([None, -1, 0, 0.0, 2, 2.5]),
)


@given(st.lists(st.lists(records, max_size=5), max_size=5), st.integers(1, 12))
def test_a_limit_keeps_the_first_of_the_full_order(parts, limit):
    merged = merge_records(parts, None)
    assert sorted(map(repr, merged)) == sorted(repr(record) for part in parts for record in part)
    keys = [(-record.get("score", 0), record["id"]) for record in merged]
    assert keys == sorted(keys)
    assert merge_records(parts, limit) == merged[:limit]
