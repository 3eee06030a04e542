"""Guards the load of owners, the separation of replicas and the number of moves."""

import math
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.ownership.placement import PlacementItem, place_items
from persimmonspur.model.member import Member

DOMAINS = ("alpha", "beta", "gamma")


def build_members(count, weights=()):
    return [
        Member(
            f"m{index}",
            1,
            "",
            "",
            DOMAINS[index % 3],
            weight=weights[index] if weights else 1.0,
        )
        for index in range(count)
    ]


def build_items(count, replicas=3):
    shards = max(1, count // replicas)
    return [
        PlacementItem(f"e{index}", 4.0, DOMAINS[index % 3], (f"s{index % shards}",))
        for index in range(count)
    ]


def sum_loads(items, placed):
    loads = Counter()
    for item in items:
        loads[placed[item.key]] += item.load
    return loads


def test_load_keeps_within_a_quarter_above_the_mean():
    items, members = build_items(90), build_members(15)
    loads = sum_loads(items, place_items(items, members, {}, balance=False))
    assert max(loads.values()) <= 1.25 * 90 * 4 / 15


def test_weights_shift_load():
    items, members = build_items(300), build_members(5, (1.0, 1.0, 1.0, 1.0, 3.0))
    placed = place_items(items, members, {}, balance=False)
    for _ in range(10):
        placed = place_items(items, members, placed, balance=True)
    loads = sum_loads(items, placed)
    mean = 300 * 4 / 7
    assert all(loads[name] <= 1.25 * mean for name in ("m0", "m1", "m2", "m3"))
    assert 0.74 * 3 * mean <= loads["m4"] <= 1.25 * 3 * mean


def test_replicas_of_a_shard_have_different_owners():
    items = build_items(90)
    placed = place_items(items, build_members(15), {}, balance=False)
    owners = Counter((item.groups[0], placed[item.key]) for item in items)
    assert max(owners.values()) == 1


def test_most_owners_are_in_the_domain_of_their_endpoint():
    items, members = build_items(90), build_members(15)
    placed = place_items(items, members, {}, balance=False)
    domains = {member.name: member.failure_domain for member in members}
    near = sum(domains[placed[item.key]] == item.failure_domain for item in items)
    assert near >= 80


def test_lost_member_moves_nothing_else():
    items, members = build_items(90), build_members(15)
    before = place_items(items, members, {}, balance=False)
    after = place_items(items, members[1:], before, balance=False)
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key, owner in before.items() if owner == "m0"}


def test_balance_moves_are_bounded():
    items = build_items(90)
    before = place_items(items, build_members(3), {}, balance=False)
    after = place_items(items, build_members(6), before, balance=True)
    assert 0 < sum(before[key] != after[key] for key in before) <= 9


@given(
    count=st.integers(1, 60),
    members=st.integers(1, 9),
    joined=st.integers(0, 6),
    replicas=st.integers(1, 3),
)
def test_balance_moves_come_to_rest_within_the_limits(count, members, joined, replicas):
    items = build_items(count, replicas)
    placed = place_items(items, build_members(members), {}, balance=False)
    grown = build_members(members + joined)
    for _ in range(40):
        former, placed = placed, place_items(items, grown, placed, balance=True)
        if placed == former:
            break
    assert placed == former
    loads = sum_loads(items, placed)
    mean = count * 4 / len(grown)
    assert max(loads.values()) <= max(1.25 * mean, math.ceil(mean / 4) * 4)
