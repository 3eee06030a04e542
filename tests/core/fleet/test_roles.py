from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from fleetsim import make_member
from persimmonspur.core.fleet.roles import (
    choose_entry_set,
    choose_relays,
    compute_capability,
    weigh_relays,
)


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
    # Guards against redirecting all clients when a single instance is lost.
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
    # Guards against directing clients to machines whose link or core saturates early while
    # larger ones stay idle: every gather waits for the slowest machine of the set.
    members = make_fleet([0.35] * 50 + [2.15] * 6)
    chosen = choose_entry_set(members, 4)
    assert [member.capability for member in chosen] == [2.15] * 4


def test_entry_set_does_not_lie_in_one_failure_domain():
    # Guards against an entry set that is lost together with a single failure domain.
    members = [*make_fleet([2.0] * 4, domains=1)]
    for index in range(4, 8):
        members.append(evolve(make_member(index), failure_domain="other", capability=0.5))
    chosen = choose_entry_set(members, 4)
    assert len({member.failure_domain for member in chosen}) == 2


def test_entry_set_is_completed_with_less_capable_machines():
    # Guards against directing all clients of a deployment to one large machine.
    members = make_fleet([4.0, 0.5, 0.5, 0.5, 0.5])
    assert len(choose_entry_set(members, 4)) == 4


def test_capability_is_bounded_by_core_or_link():
    assert compute_capability(2.0, 200.0) == 2.0
    assert compute_capability(2.0, 20.0) == 0.5
    assert compute_capability(0.7, 0.0) == 0.7


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from([0.35, 0.7, 2.15])), min_size=1),
    st.integers(min_value=1, max_value=6),
)
def test_entry_set_of_the_relays_is_that_of_all(machines, domains):
    # Guards against relays that do not include the capable machines of the entry set.
    members = []
    for index, (domain, capability) in enumerate(machines):
        member = make_member(index)
        domain_name = f"d{domain % domains}"
        members.append(evolve(member, failure_domain=domain_name, capability=capability))
    assert choose_entry_set(choose_relays(members)) == choose_entry_set(members)


def test_relays_cover_a_lost_failure_domain():
    # Guards against too few instances for clients until the loss of a failure domain is
    # detected.
    for domains in range(2, 6):
        relays = choose_relays([make_member(index, domains=domains) for index in range(20)])
        remaining = [relay for relay in relays if relay.failure_domain != "d0"]
        assert len(remaining) >= 3


def test_relays_of_each_failure_domain_weigh_the_same():
    # Guards against a lost failure domain that had half of the relays.
    relays = [make_member(index, domains=3) for index in range(4)]
    weights = weigh_relays(relays)
    assert list(weights) == [member.name for member in relays]
    by_domain = {}
    for member in relays:
        weight = by_domain.get(member.failure_domain, 0.0) + weights[member.name]
        by_domain[member.failure_domain] = weight
    assert [round(weight, 9) for weight in by_domain.values()] == [round(1 / 3, 9)] * 3
    assert weigh_relays([]) == {}
