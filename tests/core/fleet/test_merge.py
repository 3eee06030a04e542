from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.fleet.merge import RECORD_BYTES, merge_top_records, reduce_to_top_records

RECORDS = st.lists(st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES), max_size=12)


def test_remainder_is_ignored():
    # Guards against treating the incomplete end of a body as a record.
    assert merge_top_records([b"\xff" * 16 + b"\xff" * 15], 5) == b"\xff" * 16


def test_duplicate_records_are_kept():
    assert merge_top_records([b"a" * 16, b"a" * 16], 5) == b"a" * 32


@given(st.lists(RECORDS, max_size=6), st.integers(min_value=0, max_value=20))
def test_agrees_with_a_sort(bodies, count):
    everything = [record for body in bodies for record in body]
    expected = b"".join(sorted(everything, reverse=True)[:count])
    assert merge_top_records([b"".join(body) for body in bodies], count) == expected


@given(st.lists(RECORDS, max_size=6), st.integers(min_value=1, max_value=20))
def test_reduced_bodies_merge_to_the_same_records_and_take_no_more(bodies, count):
    # Guards against shards whose large bodies stay in memory until the last has responded.
    joined = [b"".join(body) for body in bodies]
    reduced = [reduce_to_top_records(body, count) for body in joined]
    assert merge_top_records(reduced, count) == merge_top_records(joined, count)
    assert all(len(body) <= count * RECORD_BYTES for body in reduced)
