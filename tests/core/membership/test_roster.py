"""Guards conclusions about members against pauses, outsiders and outdated reports."""

from persimmonspur.core.membership.roster import Roster
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


def test_pause_of_this_process_silences_nobody():
    roster, table = Roster(build_member("a")), build_table(a=1, b=1, c=1)
    roster.watch(table, 0.0)
    roster.tick(0.0)
    roster.tick(LATE_MS)
    assert roster.build_bitmap(LATE_MS) == 0b111


def test_outsider_removes_nobody_for_silence():
    roster, table = Roster(build_member("b")), build_table(a=1)
    roster.watch(table, 0.0)
    assert roster.collect_observations(table, False, LATE_MS).unreachable == frozenset()


def test_declared_end_holds_for_the_silent_incarnation_only():
    roster, table = Roster(build_member("a")), build_table(a=1, b=1, c=1)
    roster.watch(table, 0.0)
    roster.configure(declare("b"))
    assert roster.list_ended(table, 1.0) == frozenset(), "it is still heard"
    assert roster.list_ended(table, LATE_MS) == {"b"}
    newer = build_table(a=1, b=2, c=1)
    assert roster.list_ended(newer, LATE_MS) == frozenset()


def test_stated_end_counts_at_once_for_its_incarnation():
    roster, table = Roster(build_member("a")), build_table(a=1, b=1)
    roster.watch(table, 0.0)
    roster.observe_heartbeat("b", 1, 1, Heartbeat(1, 0, 0, 0, ended=True), 1.0)
    assert roster.list_ended(table, 2.0) == {"b"}
    assert roster.list_ended(build_table(a=1, b=2), 2.0) == frozenset()
