"""Tests that the timeline is bounded and keeps the order of events."""

from persimmonspur.clock import ManualClock
from persimmonspur.daemon import events
from persimmonspur.daemon.timeline import Timeline


def test_timeline_is_bounded_and_keeps_the_latest_events():
    timeline = Timeline("entry-1", ManualClock(), capacity=3)
    for number in range(5):
        timeline.record(events.DISPATCHED, f"r{number}", sub_request="s", endpoint="e")
    assert [entry.request_id for entry in timeline.list_entries()] == ["r2", "r3", "r4"]
    assert [entry.sequence for entry in timeline.list_entries(after=4)] == [5]
    assert [entry.sequence for entry in timeline.list_entries("r3")] == [4]
