"""Tests that a timeline shows causes before their effects despite clock differences."""

from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.cli.ordering import order_entries
from persimmonspur.daemon.timeline import TimelineEntry


def build_entry(instance, sequence, wall_ms, name="query_finished", sub_request=""):
    fields = {"sub_request": sub_request} if sub_request else {}
    return TimelineEntry(instance, sequence, wall_ms, wall_ms, "PS0", name, "r", fields)


def list_positions(ordered):
    return [(item.entry.instance, item.entry.sequence) for item in ordered]


def test_a_clock_that_is_behind_does_not_put_the_effect_first():
    entries = [
        build_entry("owner", 1, 500.0, "dispatched", "s1"),
        build_entry("coordinator", 1, 1_000.0, "sub_request_sent", "s1"),
    ]
    assert list_positions(order_entries(entries)) == [("coordinator", 1), ("owner", 1)]


def test_events_without_a_cause_are_placed_by_the_estimated_clock_difference():
    # The owner's clock is 10 s behind, and its hub stalls between the two requests.
    entries = [
        build_entry("coordinator", 1, 20_000.0, "sub_request_sent", "s1"),
        build_entry("coordinator", 2, 20_100.0, "sub_request_sent", "s2"),
        build_entry("owner", 1, 10_001.0, "dispatched", "s1"),
        build_entry("owner", 2, 10_050.0, "hub_stalled"),
        build_entry("owner", 3, 10_101.0, "dispatched", "s2"),
    ]
    ordered = list_positions(order_entries(entries))
    assert ordered.index(("owner", 2)) < ordered.index(("coordinator", 2))
    assert ordered.index(("coordinator", 1)) < ordered.index(("owner", 1))


def test_messages_in_both_directions_give_the_clock_difference():
    entries = [
        build_entry("a", 1, 1_000.0, "sub_request_sent", "s1"),
        build_entry("b", 1, 6_002.0, "dispatched", "s1"),
        build_entry("b", 2, 6_010.0, "sub_request_sent", "s2"),
        build_entry("a", 2, 1_012.0, "dispatched", "s2"),
    ]
    times = {(i.entry.instance, i.entry.sequence): i.time_ms for i in order_entries(entries)}
    assert times["b", 1] == 1_002.0
    assert times["b", 2] == 1_010.0


def test_a_restarted_process_does_not_lose_events():
    entries = [
        build_entry("a", 1, 10.0, "dispatched", "s1"),
        build_entry("a", 2, 20.0, "sub_request_sent", "s1"),
    ]
    assert len(order_entries(entries)) == 2


@given(
    st.lists(st.floats(-1e5, 1e5), min_size=3, max_size=3),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=30),
)
def test_causes_come_first_and_sequences_are_kept_for_any_clocks(offsets, messages):
    sequences = [0, 0, 0]
    entries = []
    for moment, (sender, receiver) in enumerate(messages):
        for place, name in ((sender, "sub_request_sent"), (receiver, "dispatched")):
            sequences[place] += 1
            wall_ms = 10.0 * moment + offsets[place] + (name == "dispatched")
            entries.append(build_entry(f"p{place}", sequences[place], wall_ms, name, f"s{moment}"))
    position = {}
    for index, item in enumerate(order_entries(entries)):
        entry = item.entry
        position[entry.name, entry.fields["sub_request"]] = index
        position[entry.instance, entry.sequence] = index
    for moment in range(len(messages)):
        assert position["sub_request_sent", f"s{moment}"] < position["dispatched", f"s{moment}"]
    for place, count in enumerate(sequences):
        kept = [position[f"p{place}", sequence] for sequence in range(1, count + 1)]
        assert kept == sorted(kept)
