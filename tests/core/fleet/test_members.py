import itertools

from hypothesis import given
from hypothesis import strategies as st

from fleetsim import make_member
from persimmonspur.core.fleet.budget import ColdStartLimit
from persimmonspur.core.fleet.members import (
    ENTRY_SET_HEARTBEAT_INTERVAL_MS,
    FIRST_HEARTBEAT_TIMEOUT_MS,
    MAX_MISSED_HEARTBEATS,
    NO_HEARTBEATS,
    RELAY_HEARTBEAT_INTERVAL_MS,
    Membership,
)


def names_of(members):
    return {member.name for member in members}


def test_silent_instance_is_not_in_the_entry_set():
    # Guards against directing clients to a killed instance.
    membership = Membership(make_member(0))
    membership.own_ready = True
    membership.record_heartbeat(make_member(1), ready=True, now_ms=0.0)
    silent_ms = MAX_MISSED_HEARTBEATS * RELAY_HEARTBEAT_INTERVAL_MS
    assert names_of(membership.entry_set(silent_ms)) == {"i0", "i1"}
    assert membership.entry_set(silent_ms + 100) == [make_member(0)]


def test_instance_of_the_entry_set_is_dropped_sooner():
    # Guards against clients that wait seconds for an instance whose machine lost power.
    membership = Membership(make_member(0))
    membership.record_heartbeat(make_member(1), True, 0.0, ENTRY_SET_HEARTBEAT_INTERVAL_MS)
    assert membership.entry_set(1_500.0) == []


def test_registered_instance_enters_the_entry_set_only_after_a_heartbeat():
    membership = Membership(make_member(0))
    membership.register(make_member(1), 0.0)
    assert membership.entry_set(0.0) == []


def test_heartbeat_of_an_earlier_incarnation_is_ignored():
    # Guards against a delayed datagram that makes a replaced process count as alive.
    membership = Membership(make_member(0))
    membership.record_heartbeat(make_member(1, incarnation=2), ready=False, now_ms=0.0)
    membership.record_heartbeat(make_member(1, incarnation=1), ready=True, now_ms=1.0)
    assert membership.entry_set(1.0) == []


def test_leaving_instance_is_dropped_at_once():
    membership = Membership(make_member(0))
    membership.record_heartbeat(make_member(1), ready=True, now_ms=0.0)
    assert membership.record_heartbeat(make_member(1), ready=False, now_ms=1.0)
    assert membership.entry_set(1.0) == []


def test_unregistered_silent_instance_is_dropped():
    # Guards against sending heartbeats to thousands of replaced instances.
    membership = Membership(make_member(0))
    membership.record_heartbeat(make_member(1), ready=True, now_ms=0.0)
    membership.record_heartbeat(make_member(2), ready=True, now_ms=0.0)
    membership.record_heartbeat(make_member(3), True, 0.0, NO_HEARTBEATS)
    membership.retain(frozenset(["i2"]), 1.0)
    assert len(membership.peers()) == 3
    membership.retain(frozenset(["i2"]), 60_000.0)
    assert membership.peers() == [make_member(2)]


class Fleet:
    """Memberships of several instances that receive each other's heartbeats without loss."""

    def __init__(self, count, domains=3):
        self.memberships = {}
        for index in range(count):
            own = make_member(index, domains=domains)
            self.memberships[own.name] = Membership(own)
        self.dead = set()
        self.sent = 0
        for membership in self.memberships.values():
            membership.own_ready = True
            for other in self.memberships.values():
                membership.register(other.own, 0.0)
        for membership in self.memberships.values():
            self.send_heartbeat(membership, 0.0, NO_HEARTBEATS)

    def send_heartbeat(self, sender, now_ms, interval_ms):
        for name, membership in self.memberships.items():
            if name == sender.own.name or name in self.dead:
                continue
            membership.record_heartbeat(sender.own, True, now_ms, interval_ms)
            self.sent += 1

    def run(self, from_ms, until_ms):
        for now_ms in range(from_ms, until_ms, 300):
            for name, membership in self.memberships.items():
                if name not in self.dead and membership.is_relay(float(now_ms)):
                    self.send_heartbeat(membership, float(now_ms), ENTRY_SET_HEARTBEAT_INTERVAL_MS)


def test_few_instances_of_a_large_fleet_send_heartbeats():
    # Guards against heartbeats from every instance to every other: with 133 instances they
    # were most of the traffic between failure domains.
    fleet = Fleet(60)
    fleet.sent = 0
    fleet.run(0, 300)
    assert fleet.sent == 6 * 59
    entry_sets = {frozenset(names_of(m.entry_set(299.0))) for m in fleet.memberships.values()}
    assert len(entry_sets) == 1


def test_lost_replacements_of_relays_are_replaced():
    # Guards against an entry set that shrinks after each loss because the next instance in
    # rank failed undetected, since it sent no heartbeats.
    fleet = Fleet(30)
    fleet.run(0, 600)
    first_relays = [m.own.name for m in fleet.memberships.values() if m.is_relay(600.0)]
    fleet.dead.update(first_relays[:4])
    fleet.run(600, 3_000)
    observer = fleet.memberships["i29" if "i29" not in fleet.dead else "i28"]
    replacements = names_of(observer.relays(3_000.0)) - set(first_relays)
    fleet.dead.update(sorted(replacements)[:2])
    fleet.run(3_000, int(3_000 + 3 * FIRST_HEARTBEAT_TIMEOUT_MS))
    now_ms = 3_000 + 3 * FIRST_HEARTBEAT_TIMEOUT_MS
    for name, membership in fleet.memberships.items():
        if name in fleet.dead:
            continue
        assert len(membership.entry_set(now_ms)) == 4
        assert not names_of(membership.entry_set(now_ms)) & fleet.dead


@given(st.integers(min_value=2, max_value=40), st.integers(min_value=1, max_value=5))
def test_cold_starts_are_divided_also_without_any_heartbeat(count, domains):
    # Guards against isolated instances that together overload a cold endpoint: the bound is
    # 1.5 times its rate plus 5 requests.
    total = 0
    members = [make_member(index, domains=domains) for index in range(count)]
    for own in members:
        membership = Membership(own)
        membership.own_ready = True
        for member in members:
            membership.register(member, 0.0)
        limit = ColdStartLimit(own.name)
        limit.set_participants(tuple(sorted(membership.limit_participants(0.0))))
        total += sum(limit.try_acquire("e", 13.0, float(now_ms)) for now_ms in range(0, 1_000, 10))
    assert total <= 1.5 * 13 + 5


def test_cold_start_limit_is_divided_among_relays():
    # Guards against cold endpoints that get almost no requests because most shares of the
    # limit belong to instances that no client is directed to.
    fleet = Fleet(60)
    fleet.run(0, 600)
    shares = [m.limit_participants(600.0) for m in fleet.memberships.values() if m.is_relay(600.0)]
    assert {len(share) for share in shares} == {6}
    assert all(a == b for a, b in itertools.pairwise(shares))
