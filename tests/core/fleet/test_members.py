from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.fleet.members import (
    ACTIVE_HEARTBEAT_MS,
    IDLE_HEARTBEAT_MS,
    MISSED_HEARTBEATS,
    Member,
    Membership,
    choose_entry_set,
    measure_capability,
)


def make_member(index, incarnation=1, domains=3):
    return Member(
        f"i{index}",
        incarnation,
        f"d{index % domains}",
        "r",
        f"10.0.0.{index}:80",
        f"10.0.0.{index}:81",
    )


def test_silent_instance_is_not_named():
    # Guards against directory answers that name a killed instance.
    membership = Membership(make_member(0))
    membership.own_ready = True
    membership.hear(make_member(1), ready=True, now_ms=0.0)
    silent_ms = MISSED_HEARTBEATS * IDLE_HEARTBEAT_MS
    assert len(membership.ready_members(silent_ms)) == 2
    assert membership.ready_members(silent_ms + 1) == [make_member(0)]


def test_instance_that_callers_use_is_dropped_sooner():
    # Guards against callers that wait seconds for an instance whose machine lost power.
    membership = Membership(make_member(0))
    membership.hear(make_member(1), True, 0.0, ACTIVE_HEARTBEAT_MS)
    assert membership.ready_members(1_500.0) == []


def test_registered_instance_is_named_only_after_a_heartbeat():
    membership = Membership(make_member(0))
    membership.register(make_member(1), 0.0)
    assert membership.ready_members(0.0) == []


def test_heartbeat_of_an_earlier_incarnation_is_ignored():
    # Guards against a delayed datagram that revives a replaced process.
    membership = Membership(make_member(0))
    membership.hear(make_member(1, incarnation=2), ready=False, now_ms=0.0)
    membership.hear(make_member(1, incarnation=1), ready=True, now_ms=1.0)
    assert membership.ready_members(1.0) == []


def test_leaving_instance_is_dropped_at_once():
    membership = Membership(make_member(0))
    membership.hear(make_member(1), ready=True, now_ms=0.0)
    assert membership.hear(make_member(1), ready=False, now_ms=1.0)
    assert membership.ready_members(1.0) == []


def test_instance_that_is_gone_for_good_is_dropped():
    # Guards against heartbeats to thousands of replaced instances.
    membership = Membership(make_member(0))
    membership.hear(make_member(1), ready=True, now_ms=0.0)
    membership.hear(make_member(2), ready=True, now_ms=0.0)
    membership.retain(frozenset(["i2"]), 1.0)
    assert len(membership.peers()) == 2
    membership.retain(frozenset(["i2"]), 60_000.0)
    assert membership.peers() == [make_member(2)]


@given(st.sets(st.integers(min_value=0, max_value=40)), st.integers(min_value=1, max_value=8))
def test_entry_set_is_spread_and_as_large_as_asked(indexes, size):
    members = [make_member(index) for index in sorted(indexes)]
    chosen = choose_entry_set(members, size)
    assert len(chosen) == min(size, len(members))
    assert len({member.name for member in chosen}) == len(chosen)
    available = {member.failure_domain for member in members}
    assert len({member.failure_domain for member in chosen}) == min(size, len(available))


@given(st.integers(min_value=5, max_value=30), st.integers(min_value=0, max_value=29))
def test_entry_set_changes_by_one_when_one_instance_goes(count, gone):
    # Guards against a set that moves all callers when one instance is lost.
    members = [make_member(index) for index in range(count)]
    before = {member.name for member in choose_entry_set(members, 4)}
    rest = [member for member in members if member.name != f"i{gone}"]
    after = {member.name for member in choose_entry_set(rest, 4)}
    assert len(before - after) <= 1


def make_fleet(capabilities, domains=3):
    members = []
    for index, capability in enumerate(capabilities):
        members.append(evolve(make_member(index, domains=domains), capability=capability))
    return members


def test_capable_machines_are_chosen_first():
    # Guards against callers that are sent to machines whose link or core is soon full,
    # while larger ones stay idle: every gather waits for the slowest of the set.
    members = make_fleet([0.35] * 50 + [2.15] * 6)
    chosen = choose_entry_set(members, 4)
    assert [member.capability for member in chosen] == [2.15] * 4


def test_capable_machines_of_one_failure_domain_are_not_enough():
    # Guards against a set that a single failure domain takes with it.
    members = [*make_fleet([2.0] * 4, domains=1)]
    for index in range(4, 8):
        members.append(evolve(make_member(index), failure_domain="other", capability=0.5))
    chosen = choose_entry_set(members, 4)
    assert len({member.failure_domain for member in chosen}) == 2


def test_too_few_capable_machines_are_filled_up():
    # Guards against one large machine that carries the whole deployment.
    members = make_fleet([4.0, 0.5, 0.5, 0.5, 0.5])
    assert len(choose_entry_set(members, 4)) == 4


def test_capability_is_bounded_by_core_or_link():
    assert measure_capability(2.0, 200.0) == 2.0
    assert measure_capability(2.0, 20.0) == 0.5
    assert measure_capability(0.7, 0.0) == 0.7
