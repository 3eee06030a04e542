"""Quotas over several instances in simulated time: the bound, and how much of it is usable.

``python -m pytest -s`` prints both figures for each case.
"""

import pytest
from attrs import evolve

from persimmonspur.core.fleet.accounts import Account
from quotasim import Fleet, NetworkFaults, find_worst_window, measure_usable

ACCOUNT = Account("acct", None, 100.0, 100.0)
# Time until the instances have shares and their buckets have filled.
START_MS = 5_000.0


def start_fleet(size, account=ACCOUNT, seed=1, faults=None):
    fleet = Fleet(size, [account], seed, faults)
    fleet.advance(START_MS)
    return fleet


def report(case, fleet, usable, account=ACCOUNT, since_ms=0.0):
    worst = find_worst_window(fleet.ran["acct"], account, since_ms)
    print(f"\n{case}: usable {usable:.3f}, worst window {worst:.3f} of the bound")
    return worst


@pytest.mark.parametrize("size", [1, 2, 4, 13, 131])
@pytest.mark.parametrize("target_count", [1, 3, 4])
def test_quota_is_usable_wherever_the_demand_is(size, target_count):
    # Guards against quotas that are lost because the demand is at few instances.
    fleet = start_fleet(size)
    targets = fleet.entry_set()[:target_count]
    duration_ms = 3_000.0 if size > 100 else 8_000.0
    started_ms = fleet.clock.now_ms()
    fleet.offer("acct", targets, 1.5 * ACCOUNT.rate_per_s, duration_ms)
    fleet.advance(duration_ms)
    # From the second second on, the burst is used up and only the rate counts.
    usable = measure_usable(fleet, ACCOUNT, started_ms + 2_000.0, started_ms + duration_ms)
    worst = report(f"{size} instances, demand at {target_count}", fleet, usable)
    assert usable > 0.9 and worst <= 1.0


@pytest.mark.parametrize("load", [0.5, 0.9])
def test_nothing_is_rejected_below_the_quota(load):
    fleet = start_fleet(13)
    fleet.offer("acct", fleet.entry_set()[:1], load * ACCOUNT.rate_per_s, 8_000.0)
    fleet.advance(8_000.0)
    assert fleet.rejected["acct"] == 0


@pytest.mark.parametrize(("rate_per_s", "burst"), [(1.0, 1.0), (10.0, 1.0), (1_000.0, 100.0)])
def test_quotas_of_any_size(rate_per_s, burst):
    account = Account("acct", None, rate_per_s, burst)
    duration_ms = 60_000.0 if rate_per_s < 100 else 5_000.0
    for targets in (1, 4):
        fleet = start_fleet(4, account)
        started_ms = fleet.clock.now_ms()
        fleet.offer("acct", fleet.entry_set()[:targets], 3 * rate_per_s, duration_ms)
        fleet.advance(duration_ms)
        usable = measure_usable(fleet, account, started_ms, started_ms + duration_ms)
        worst = report(f"rate {rate_per_s}, demand at {targets}", fleet, usable, account)
        assert usable > 0.8 and worst <= 1.0


@pytest.mark.parametrize("size", [4, 13])
@pytest.mark.parametrize("burst", [0.0, 100.0])
def test_quota_holds_and_is_usable_when_the_deployment_starts(size, burst):
    account = Account("acct", None, 400.0, burst)
    fleet = Fleet(size, [account], first_start=True)
    fleet.offer("acct", list(fleet.instances)[:4], 3 * account.rate_per_s, 10_000.0)
    fleet.advance(10_000.0)
    usable = measure_usable(fleet, account, 0.0, 3_000.0)
    worst = report(f"{size} instances start", fleet, usable, account)
    assert usable > 0.6 and worst <= 1.0


def test_hot_account_needs_few_messages():
    # Guards against an account that sends ten times its quota and fills the network.
    fleet = start_fleet(4)
    before = sum(fleet.messages.values())
    fleet.offer("acct", fleet.entry_set(), 10 * ACCOUNT.rate_per_s, 5_000.0)
    fleet.advance(5_000.0)
    sent_per_s = (sum(fleet.messages.values()) - before) / 5
    print(f"\n{sent_per_s:.0f} messages per second")
    assert sent_per_s < 150


def crash(fleet):
    fleet.crash(fleet.entry_set()[0])


def lose_domain(fleet):
    for name, instance in fleet.instances.items():
        if instance.member.failure_domain == "a":
            fleet.crash(name)


def freeze(fleet):
    fleet.freeze(fleet.entry_set()[0], 6_000.0)


def isolate(fleet):
    name = fleet.entry_set()[0]
    fleet.block([name], [other for other in fleet.instances if other != name])


def split_domains(fleet):
    """Cut only the links between two of the three failure domains."""
    members = {}
    for name, instance in fleet.instances.items():
        members.setdefault(instance.member.failure_domain, []).append(name)
    fleet.block(members["a"], members["b"])


def stop(fleet):
    fleet.stop(fleet.entry_set()[0])


# The least usable share is that of the whole time, with the time until the failure is noticed.
@pytest.mark.parametrize(
    ("fail", "least_usable"),
    [
        (crash, 0.8),
        (lose_domain, 0.7),
        (freeze, 0.8),
        (isolate, 0.8),
        (split_domains, 0.5),
        (stop, 0.8),
    ],
)
@pytest.mark.parametrize("size", [4, 13])
def test_quota_holds_through_a_failure(fail, least_usable, size):
    faults = NetworkFaults(loss=0.02, duplicates=0.02, late=0.01)
    fleet = start_fleet(size, faults=faults)
    started_ms = fleet.clock.now_ms()
    # Requests reach every instance, since some clients still use those that are cut off.
    fleet.offer("acct", list(fleet.instances), 3 * ACCOUNT.rate_per_s, 15_000.0)
    fleet.advance(3_000.0)
    fail(fleet)
    fleet.advance(12_000.0)
    usable = measure_usable(fleet, ACCOUNT, started_ms, fleet.clock.now_ms())
    worst = report(f"{size} instances, {fail.__name__}", fleet, usable)
    assert usable > least_usable and worst <= 1.0


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("size", "rate_per_s", "burst"), [(4, 100.0, 100.0), (13, 200.0, 0.0)])
def test_quota_holds_while_failures_follow_each_other(size, rate_per_s, burst, seed):
    account = Account("acct", None, rate_per_s, burst)
    fleet = start_fleet(size, account, seed, NetworkFaults(0.05, 0.05, 0.02))
    started_ms = fleet.clock.now_ms()
    names = sorted(fleet.instances)
    fleet.offer("acct", names, 4 * rate_per_s, 25_000.0)
    for _ in range(16):
        fleet.advance(fleet.rng.uniform(300.0, 2_500.0))
        fail = fleet.rng.choice([restart, freeze, isolate, split_domains, heal, heal])
        if fleet.entry_set():
            fail(fleet)
    fleet.advance(1_000.0)
    usable = measure_usable(fleet, account, started_ms, fleet.clock.now_ms())
    worst = report(f"{size} instances, seed {seed}", fleet, usable, account)
    assert worst <= 1.0


def restart(fleet):
    name = fleet.entry_set()[0]
    domain = fleet.instances[name].member.failure_domain
    fleet.crash(name)
    fleet.schedule(fleet.rng.uniform(500.0, 3_000.0), lambda: fleet.start(name, domain))


def heal(fleet):
    fleet.heal()


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_lower_quota_holds_one_window_after_it_is_in_effect(is_cut_off):
    # Guards against an instance that goes on with the higher quota that it knows.
    lower = evolve(ACCOUNT, rate_per_s=10.0, burst=10.0)
    fleet = start_fleet(13)
    fleet.offer("acct", list(fleet.instances), 3 * ACCOUNT.rate_per_s, 20_000.0)
    fleet.advance(5_000.0)
    stale = fleet.entry_set()[:1] if is_cut_off else []
    if stale:
        fleet.block(stale, [name for name in fleet.instances if name not in stale])
    fleet.change_account(lower, 3_000.0, stale)
    changed_ms = fleet.clock.now_ms() + 3_000.0
    fleet.advance(15_000.0)
    usable = measure_usable(fleet, lower, changed_ms, fleet.clock.now_ms())
    worst = report(f"lower quota, cut off {is_cut_off}", fleet, usable, lower, changed_ms)
    assert worst <= 1.0 and usable > 0.7


def test_large_quota_holds_in_a_fleet_of_131_instances():
    account = Account("acct", None, 400.0, 100.0)
    fleet = start_fleet(131, account, faults=NetworkFaults(0.02, 0.02, 0.01))
    started_ms = fleet.clock.now_ms()
    fleet.offer("acct", lambda: [*fleet.entry_set(), *list(fleet.instances)[:4]], 800.0, 6_000.0)
    fleet.advance(1_000.0)
    isolate(fleet)
    fleet.advance(5_000.0)
    usable = measure_usable(fleet, account, started_ms, fleet.clock.now_ms())
    worst = report("131 instances, one cut off", fleet, usable, account)
    assert usable > 0.7 and worst <= 1.0


@pytest.mark.parametrize("size", [4, 13])
@pytest.mark.parametrize("down_ms", [500.0, 1_500.0])
@pytest.mark.parametrize("rate_per_s", [30.0, 400.0])
def test_quota_holds_and_is_usable_when_all_instances_restart(size, down_ms, rate_per_s):
    # Guards against seconds in which every account is refused because no instance has a share
    # yet, and against a second burst after the restart.
    account = Account("acct", None, rate_per_s, rate_per_s)
    fleet = start_fleet(size, account)
    names = sorted(fleet.instances)
    fleet.offer("acct", names[:4], 3 * account.rate_per_s, 12_000.0)
    fleet.advance(3_000.0)
    domains = {name: fleet.instances[name].member.failure_domain for name in names}
    for name in names:
        fleet.crash(name)
    fleet.advance(down_ms)
    restarted_ms = fleet.clock.now_ms()
    for name in names:
        delay_ms = fleet.rng.uniform(0.0, 300.0)
        fleet.schedule(delay_ms, lambda name=name: fleet.start(name, domains[name]))
    fleet.advance(8_000.0)
    usable = measure_usable(fleet, account, restarted_ms + 300.0, restarted_ms + 3_300.0)
    worst = report(f"{size} instances restart after {down_ms} ms", fleet, usable, account)
    assert usable > 0.6 and worst <= 1.0
