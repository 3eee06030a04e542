"""Guards against wrong conclusions from pauses, non-members and outdated reports."""

from persimmonspur.core.membership.tracker import MembershipTracker
from persimmonspur.core.ownership.table import CellTable
from persimmonspur.model.configuration import Configuration
from persimmonspur.model.member import Member
from persimmonspur.model.messages import Heartbeat

LATE_MS = 10_000.0


def build_member(name, incarnation=1):
    return Member(name, incarnation, "", "", "alpha")


def build_table(**incarnations):
    members = {name: build_member(name, number) for name, number in incarnations.items()}
    return CellTable("main", 1, "", members)


def declare(*names):
    return Configuration("d", (), (), (), terminated=frozenset(names))


def test_pause_of_this_process_makes_nobody_suspected():
    tracker, table = MembershipTracker(build_member("a")), build_table(a=1, b=1, c=1)
    tracker.set_table(table, 0.0)
    tracker.tick(0.0)
    tracker.tick(LATE_MS)
    assert tracker.build_heard_bitmap(LATE_MS) == 0b111


def test_non_member_reports_nobody_unreachable():
    tracker, table = MembershipTracker(build_member("b")), build_table(a=1)
    tracker.set_table(table, 0.0)
    assert tracker.collect_observations(table, False, LATE_MS).unreachable == frozenset()


def test_declared_end_applies_to_the_silent_incarnation_only():
    tracker, table = MembershipTracker(build_member("a")), build_table(a=1, b=1, c=1)
    tracker.set_table(table, 0.0)
    tracker.configure(declare("b"))
    assert tracker.list_terminated(table, 1.0) == frozenset(), "b is still heard"
    assert tracker.list_terminated(table, LATE_MS) == {"b"}
    newer = build_table(a=1, b=2, c=1)
    assert tracker.list_terminated(newer, LATE_MS) == frozenset()


def test_announced_end_counts_at_once_for_its_incarnation():
    tracker, table = MembershipTracker(build_member("a")), build_table(a=1, b=1)
    tracker.set_table(table, 0.0)
    tracker.observe_heartbeat("b", 1, 1, Heartbeat(1, 0, 0, 0, ended=True), 1.0)
    assert tracker.list_terminated(table, 2.0) == {"b"}
    assert tracker.list_terminated(build_table(a=1, b=2), 2.0) == frozenset()
