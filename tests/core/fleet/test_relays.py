from attrs import evolve

from persimmonspur.core.fleet.members import RELAY_HEARTBEAT_INTERVAL_MS, Membership
from persimmonspur.core.fleet.relays import EXCLUSION_MS, RelaySelector
from persimmonspur.core.fleet.roles import Member


def make_member(index, domain):
    address = f"10.0.0.{index}"
    return Member(f"i{index}", 1, domain, "r", f"{address}:80", f"{address}:81")


def make_selector(now_ms=0.0):
    """Selector of an instance in domain ``a`` that knows two relays in each of three domains."""
    own = evolve(make_member(99, "a"), capability=0.1)
    membership = Membership(own)
    membership.own_ready = True
    for index in range(6):
        member = evolve(make_member(index, "abc"[index % 3]), capability=1.0)
        membership.record_heartbeat(member, True, now_ms, RELAY_HEARTBEAT_INTERVAL_MS)
    return RelaySelector(membership)


def test_relay_in_the_same_failure_domain_is_followed():
    # Guards against changes that cross failure domains once per follower.
    assert make_selector().choose(0.0).failure_domain == "a"


def test_relays_follow_the_store():
    # Guards against relays that follow each other and receive no changes.
    membership = Membership(make_member(0, "a"))
    membership.own_ready = True
    membership.record_heartbeat(make_member(3, "a"), True, 0.0, RELAY_HEARTBEAT_INTERVAL_MS)
    assert RelaySelector(membership).choose(0.0) is None


def test_failed_relay_is_replaced_by_the_other_and_then_by_the_store():
    selector = make_selector()
    first = selector.choose(0.0)
    selector.exclude(first, 0.0)
    second = selector.choose(0.0)
    assert second.failure_domain == "a"
    assert second != first
    selector.exclude(second, 0.0)
    assert selector.choose(0.0) is None


def test_excluded_relay_is_followed_again():
    # Guards against a fleet in which every instance keeps watching the store after an outage.
    selector = make_selector()
    selector.exclude_all(0.0)
    assert selector.choose(0.0) is None
    for index in range(6):
        member = evolve(make_member(index, "abc"[index % 3]), capability=1.0)
        selector._membership.record_heartbeat(
            member, True, EXCLUSION_MS, RELAY_HEARTBEAT_INTERVAL_MS
        )
    assert selector.choose(EXCLUSION_MS) is not None


def test_silent_relay_is_not_followed():
    assert make_selector().choose(60_000.0) is None
