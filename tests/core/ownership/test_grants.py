"""Guards against the use of a budget that one of its former owners may still use."""

import pytest

from persimmonspur.core.ownership.grants import Grants
from persimmonspur.core.ownership.placement import PlacementItem
from persimmonspur.core.ownership.proposal import (
    Observations,
    OwnershipConfiguration,
    build_proposal,
)
from persimmonspur.core.ownership.table import Assignment, CellTable
from persimmonspur.core.ownership.validity import GRANT_WAIT_MS, VALIDITY_MS
from persimmonspur.model.member import Member

MEMBERS = {name: Member(name, 1, "", "", "alpha") for name in "abc"}
NOW_MS = 10_000.0


def build_table(version, assignment):
    return CellTable("main", version, "", MEMBERS, frozenset(MEMBERS), {"x": assignment})


def build_grants():
    grants = Grants()
    grants.confirmation.confirm_stored(NOW_MS)
    return grants


@pytest.mark.parametrize(
    ("sender", "version", "usable"),
    [("a", 5, True), ("a", 6, True), ("a", 4, False), ("c", 5, False)],
    ids=["of this move", "seen later", "of an earlier move", "of another member"],
)
def test_release_grants_the_move_that_it_refers_to(sender, version, usable):
    grants, table = build_grants(), build_table(5, Assignment("b", 1, 5, "a", 1))
    grants.observe_release(sender, version, ["x"])
    assert (grants.usable_until(table, MEMBERS["b"], "x", NOW_MS + 1.0) > 0) is usable


def test_late_release_does_not_undo_a_newer_one():
    grants, table = build_grants(), build_table(5, Assignment("b", 1, 5, "a", 1))
    grants.observe_release("a", 5, ["x"])
    grants.observe_release("a", 2, ["x"])
    assert grants.usable_until(table, MEMBERS["b"], "x", NOW_MS + 1.0) > 0


def test_new_owner_waits_from_the_installation():
    grants, table = build_grants(), build_table(5, Assignment("b", 1, 5, "a", 1))
    granted_ms = NOW_MS + GRANT_WAIT_MS
    grants.confirmation.confirm_stored(granted_ms)
    grants.installation.update(table, "b", frozenset(), NOW_MS)
    assert grants.usable_until(table, MEMBERS["b"], "x", granted_ms + 1.0) == 0.0
    grants.installation.observe_vote("c", 5)
    grants.installation.update(table, "b", frozenset(), NOW_MS)
    assert grants.usable_until(table, MEMBERS["b"], "x", granted_ms - 1.0) == 0.0
    until_ms = grants.usable_until(table, MEMBERS["b"], "x", granted_ms)
    assert until_ms == granted_ms + VALIDITY_MS


def test_owner_releases_what_it_held_last():
    grants = build_grants()
    former, table = (
        build_table(4, Assignment("a", 1, 1)),
        build_table(5, Assignment("b", 1, 5, "a", 1)),
    )
    (release,) = grants.list_releases(former, table, MEMBERS["a"], NOW_MS)
    assert (release.receiver, release.version, release.endpoints) == ("b", 5, ("x",))


def test_owner_does_not_release_for_an_owner_in_between():
    # The member adopted versions 4 and 9 only; "c" owned the budget at version 6 and may
    # still use it.
    grants = build_grants()
    former, table = (
        build_table(4, Assignment("a", 1, 1)),
        build_table(9, Assignment("b", 1, 9, "a", 8)),
    )
    assert grants.list_releases(former, table, MEMBERS["a"], NOW_MS) == []


def test_owner_that_still_waits_releases_nothing():
    grants = build_grants()
    former = build_table(5, Assignment("b", 1, 5, "a", 1))
    table = build_table(6, Assignment("c", 1, 6, "b", 5))
    assert grants.list_releases(former, table, MEMBERS["b"], NOW_MS) == []


def test_endpoint_that_returns_to_the_configuration_waits_for_its_last_owner():
    base = CellTable("main", 4, "", MEMBERS, assignments={"x": Assignment("a", 1, 1)})
    dropped = build_proposal(base, OwnershipConfiguration(1, (), {}, frozenset()), Observations())
    declared = OwnershipConfiguration(2, (PlacementItem("x", 4.0),), {}, frozenset())
    returned = build_proposal(dropped, declared, Observations())
    assert returned.assignments["x"].previous == "a"
    assert returned.assignments["x"].moved_at_version == 6
