"""Guards removals of members that others hear, and members held or declared ended wrongly."""

from persimmonspur.core.membership.detector import SUSPICION_MS, Detector
from persimmonspur.core.membership.holddown import compute_hold_ms
from persimmonspur.core.membership.termination import OMITTED_MS, TerminationLog
from persimmonspur.core.ownership.proposal import (
    MAX_MEMBERS,
    Observations,
    OwnershipConfiguration,
    build_proposal,
)
from persimmonspur.core.ownership.table import Assignment, CellTable, Removal
from persimmonspur.model.member import Member

NAMES = ("a", "b", "c", "d", "e")
LATE_MS = SUSPICION_MS + 100.0
EMPTY = OwnershipConfiguration(1, (), {}, frozenset())


def build_table(version=1, names=NAMES):
    members = {name: Member(name, 1, "", "", "alpha") for name in names}
    return CellTable("main", version, "", members)


def watch_silence(voters, version=1):
    """Return who is lost at ``a`` when some members report that they hear only themselves."""
    detector, table = Detector("a"), build_table()
    detector.watch(table, None, 0.0)
    for name in ("b", "c", "d"):
        heard = 0b01111 if name in voters else 0b11111
        detector.observe(name, version, heard, LATE_MS)
    return detector.list_lost(table, LATE_MS)


def test_majority_removes_a_silent_member():
    assert watch_silence(("b", "c")) == {"e"}


def test_minority_removes_nobody():
    assert watch_silence(("b",)) == frozenset()


def test_reports_by_another_table_do_not_count():
    assert watch_silence(("b", "c", "d"), version=2) == frozenset()


def test_paused_process_does_not_accuse_others():
    detector, table = Detector("a"), build_table()
    detector.watch(table, None, 0.0)
    detector.excuse_all(LATE_MS)
    assert all(detector.hears(name, LATE_MS + 1.0) for name in NAMES)


def test_holddown_doubles_up_to_its_limit():
    assert [compute_hold_ms(count) for count in (0, 1, 2, 3)] == [0.0, 5e3, 10e3, 20e3]
    assert compute_hold_ms(1_000) == 300_000.0


def test_omission_counts_after_its_time_and_for_its_incarnation():
    log = TerminationLog()
    log.observe_listing(frozenset(("a", "b")), {"a": 7, "b": 8}, 0.0)
    log.observe_listing(frozenset("a"), {"a": 7, "b": 8}, 10.0)
    log.observe_listing(frozenset("a"), {"a": 7, "b": 9}, 10.0 + OMITTED_MS - 1.0)
    assert log.get_ended("b") == 0
    log.observe_listing(frozenset("a"), {"a": 7, "b": 9}, 10.0 + OMITTED_MS)
    assert log.get_ended("b") == 8
    log.observe_listing(frozenset(("a", "b")), {}, 100_000.0)
    assert log.get_ended("b") == 0
    assert log.get_ended("never shown") == 0


def test_declaration_holds_for_the_incarnation_that_it_met():
    log = TerminationLog()
    log.observe_declared(frozenset("b"), {"b": 8})
    log.observe_declared(frozenset("b"), {"b": 9})
    assert log.get_ended("b") == 8
    log.observe_declared(frozenset(), {"b": 9})
    assert log.get_ended("b") == 0


def test_removed_incarnation_is_not_admitted_again():
    base = CellTable("main", 4, "", build_table().members, removals={"f": Removal(5, 1)})
    for incarnation, admitted in ((5, False), (6, True)):
        joiner = Member("f", incarnation, "", "", "alpha")
        proposal = build_proposal(base, EMPTY, Observations(joiners=(joiner,)))
        names = proposal.members if proposal is not None else base.members
        assert ("f" in names) is admitted


def test_declared_name_and_full_cell_admit_nobody():
    joiner = Member("f", 1, "", "", "alpha")
    declared = OwnershipConfiguration(1, (), {}, frozenset("f"))
    assert (
        "f"
        not in build_proposal(
            build_table(), declared, Observations(joiners=(joiner,), renew=True)
        ).members
    )
    full = build_table(names=[f"n{index}" for index in range(MAX_MEMBERS)])
    proposal = build_proposal(full, EMPTY, Observations(joiners=(joiner,), renew=True))
    assert len(proposal.members) == MAX_MEMBERS


def test_dropped_endpoint_keeps_its_last_owner_until_that_one_stopped():
    held = {"x": Assignment("a", 1, 1)}
    base = CellTable("main", 4, "", build_table().members, assignments=held)
    dropped = build_proposal(base, EMPTY, Observations())
    assert dropped.assignments["x"].previous == "a"
    kept = build_proposal(dropped, EMPTY, Observations(renew=True))
    assert "x" in kept.assignments
    assert (
        "x" not in build_proposal(kept, EMPTY, Observations(renew=True, settled=True)).assignments
    )
