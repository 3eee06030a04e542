"""Guards against wrong removals, admissions, hold-downs and terminations of members."""

from persimmonspur.core.membership.detector import SUSPICION_TIMEOUT_MS, FailureDetector
from persimmonspur.core.membership.holddown import compute_hold_down_ms
from persimmonspur.core.membership.termination import OMISSION_TIMEOUT_MS, TerminationReports
from persimmonspur.core.ownership.proposal import (
    MAX_MEMBERS,
    Observations,
    OwnershipConfiguration,
    build_proposal,
)
from persimmonspur.core.ownership.table import Assignment, CellTable, Removal
from persimmonspur.model.member import Member

NAMES = ("a", "b", "c", "d", "e")
AFTER_TIMEOUT_MS = SUSPICION_TIMEOUT_MS + 100.0
EMPTY_CONFIGURATION = OwnershipConfiguration(1, (), {}, frozenset())


def build_table(version=1, names=NAMES):
    members = {name: Member(name, 1, "", "", "alpha") for name in names}
    return CellTable("main", version, "", members)


def find_unreachable(voters, version=1):
    """Return the unreachable members at ``a`` when the voters report that they don't hear ``e``."""
    detector, table = FailureDetector("a"), build_table()
    detector.set_table(table, None, 0.0)
    for name in ("b", "c", "d"):
        heard = 0b01111 if name in voters else 0b11111
        detector.observe_heartbeat(name, version, heard, AFTER_TIMEOUT_MS)
    return detector.list_unreachable(table, AFTER_TIMEOUT_MS)


def test_majority_removes_a_silent_member():
    assert find_unreachable(("b", "c")) == {"e"}


def test_minority_removes_nobody():
    assert find_unreachable(("b",)) == frozenset()


def test_reports_by_another_table_do_not_count():
    assert find_unreachable(("b", "c", "d"), version=2) == frozenset()


def test_paused_process_does_not_suspect_others():
    detector, table = FailureDetector("a"), build_table()
    detector.set_table(table, None, 0.0)
    detector.reset_timeouts(AFTER_TIMEOUT_MS)
    assert all(detector.is_heard(name, AFTER_TIMEOUT_MS + 1.0) for name in NAMES)


def test_holddown_doubles_up_to_its_limit():
    assert [compute_hold_down_ms(count) for count in (0, 1, 2, 3)] == [0.0, 5e3, 10e3, 20e3]
    assert compute_hold_down_ms(1_000) == 300_000.0


def test_omission_counts_after_its_timeout_and_for_its_incarnation():
    reports = TerminationReports()
    reports.observe_listing(frozenset(("a", "b")), {"a": 7, "b": 8}, 0.0)
    reports.observe_listing(frozenset("a"), {"a": 7, "b": 8}, 10.0)
    reports.observe_listing(frozenset("a"), {"a": 7, "b": 9}, 10.0 + OMISSION_TIMEOUT_MS - 1.0)
    assert reports.get_reported_end("b") == 0
    reports.observe_listing(frozenset("a"), {"a": 7, "b": 9}, 10.0 + OMISSION_TIMEOUT_MS)
    assert reports.get_reported_end("b") == 8
    reports.observe_listing(frozenset(("a", "b")), {}, 100_000.0)
    assert reports.get_reported_end("b") == 0
    assert reports.get_reported_end("never shown") == 0


def test_declaration_applies_to_the_incarnation_at_that_time():
    reports = TerminationReports()
    reports.observe_declared(frozenset("b"), {"b": 8})
    reports.observe_declared(frozenset("b"), {"b": 9})
    assert reports.get_reported_end("b") == 8
    reports.observe_declared(frozenset(), {"b": 9})
    assert reports.get_reported_end("b") == 0


def test_removed_incarnation_is_not_admitted_again():
    base = CellTable("main", 4, "", build_table().members, removals={"f": Removal(5, 1)})
    for incarnation, admitted in ((5, False), (6, True)):
        joiner = Member("f", incarnation, "", "", "alpha")
        proposal = build_proposal(base, EMPTY_CONFIGURATION, Observations(joiners=(joiner,)))
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
    proposal = build_proposal(
        full, EMPTY_CONFIGURATION, Observations(joiners=(joiner,), renew=True)
    )
    assert len(proposal.members) == MAX_MEMBERS


def test_dropped_endpoint_keeps_its_last_owner_until_that_one_stopped():
    held = {"x": Assignment("a", 1, 1)}
    base = CellTable("main", 4, "", build_table().members, assignments=held)
    dropped = build_proposal(base, EMPTY_CONFIGURATION, Observations())
    assert dropped.assignments["x"].previous == "a"
    kept = build_proposal(dropped, EMPTY_CONFIGURATION, Observations(renew=True))
    assert "x" in kept.assignments
    assert (
        "x"
        not in build_proposal(
            kept, EMPTY_CONFIGURATION, Observations(renew=True, fenced=True)
        ).assignments
    )
