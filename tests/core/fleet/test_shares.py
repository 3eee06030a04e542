import itertools

import pytest

from persimmonspur.core.fleet.shares import (
    GRANT_INTERVAL_MS,
    GRANT_LEASE_MS,
    RAISE_DELAY_MS,
    SUSPENSION_MS,
    Grant,
    ShareTracker,
)

RELAYS = ("r1", "r2", "r3", "r4")
NOBODY = frozenset()


class Tracked:
    """A tracker that gets a grant of each of some relays with every update."""

    def __init__(self, expected=RELAYS, knows_fleet=True):
        self.tracker = ShareTracker()
        self.weights = dict.fromkeys(expected, 1 / len(expected))
        self.knows_fleet = knows_fleet
        self.now_ms = 0.0
        self.tracker.update(self.weights, knows_fleet, 0.0)

    def run(self, duration_ms, granting, fraction=0.25, silent=(), relays=4):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += GRANT_INTERVAL_MS
            for relay in granting:
                grant = Grant(relays, fraction, frozenset(silent), self.now_ms)
                self.tracker.record_grant(relay, grant)
            self.tracker.update(self.weights, self.knows_fleet, self.now_ms)
        return self.tracker.share


def test_share_is_what_all_relays_grant_after_the_delay():
    tracked = Tracked()
    assert tracked.run(RAISE_DELAY_MS, RELAYS) == 0.0
    assert tracked.run(2 * GRANT_INTERVAL_MS, RELAYS) == 0.25


def test_share_takes_effect_at_once_when_the_deployment_starts():
    # Guards against quotas that nobody can use in the first seconds.
    tracker = ShareTracker(first_start=True)
    weights = dict.fromkeys(RELAYS, 0.25)
    for now_ms in (0.0, GRANT_INTERVAL_MS):
        tracker.update(weights, True, now_ms)
        for relay in RELAYS:
            tracker.record_grant(relay, Grant(4, 0.25, NOBODY, now_ms))
    assert tracker.share == 0.25


def test_share_ends_with_the_lease():
    tracked = Tracked()
    assert tracked.run(3_000.0, RELAYS) == 0.25
    assert tracked.run(GRANT_LEASE_MS - GRANT_INTERVAL_MS, ()) == 0.25
    assert tracked.run(2 * GRANT_INTERVAL_MS, ()) == 0.0


def test_new_holder_starts_after_the_former_one_has_stopped():
    # Guards against two instances that accrue the same part after an instance is cut off.
    former, new = Tracked(), Tracked()
    former.run(3_000.0, RELAYS)
    new.run(3_000.0, ())
    for _ in range(20):
        stopped = former.run(GRANT_INTERVAL_MS, ()) == 0.0
        assert stopped or new.run(GRANT_INTERVAL_MS, RELAYS) == 0.0


@pytest.mark.parametrize("silent", [("r4",), ("r3", "r4")])
def test_parts_of_relays_that_most_do_not_hear_are_divided(silent):
    living = [relay for relay in RELAYS if relay not in silent]
    tracked = Tracked()
    assert tracked.run(4_000.0, living) == pytest.approx(0.25 * len(living) / 4)
    assert tracked.run(4_000.0, living, silent=silent) == 0.25


def test_minority_gets_nothing():
    # Guards against an isolated part of the fleet that spends a quota of its own.
    tracked = Tracked()
    assert tracked.run(4_000.0, ("r1",), 1.0, silent=("r2", "r3", "r4")) == 0.0
    assert tracked.run(4_000.0, ("r3", "r4"), 0.5, silent=("r1", "r2")) == 0.0


def test_of_two_halves_the_one_with_the_first_relay_continues():
    tracked = Tracked()
    assert tracked.run(4_000.0, ("r1", "r2"), 0.5, silent=("r3", "r4")) == 0.5


def test_instance_that_does_not_know_the_fleet_has_no_share_of_its_own_grant():
    # Guards against an instance that starts and takes itself for the only one.
    assert Tracked(("r1",), knows_fleet=False).run(4_000.0, ("r1",), 1.0, relays=1) == 0.0
    assert Tracked(("r1",)).run(4_000.0, ("r1",), 1.0, relays=1) == 1.0
    # Other relays know how many they are.
    unknown = Tracked(("r1", "r2"), knows_fleet=False)
    assert unknown.run(4_000.0, ("r1", "r2"), 1.0) == pytest.approx(0.5)
    assert unknown.run(4_000.0, ("r2",), 1.0) == 0.0


def test_grants_from_before_a_suspension_do_not_count():
    # Guards against an instance that wakes up and accrues what others accrue by then.
    tracked = Tracked()
    tracked.run(3_000.0, RELAYS)
    tracked.now_ms += SUSPENSION_MS + 1
    for relay in RELAYS:
        tracked.tracker.record_grant(relay, Grant(4, 0.25, NOBODY, tracked.now_ms))
    assert tracked.tracker.update(tracked.weights, True, tracked.now_ms)
    assert tracked.tracker.share == 0.0
    assert tracked.run(RAISE_DELAY_MS - GRANT_INTERVAL_MS, RELAYS) == 0.0


def test_shares_never_exceed_the_whole_whichever_relays_each_instance_hears():
    # Each relay lists the instances that it hears; each instance hears some of the relays.
    for cut in itertools.combinations(RELAYS, 2):
        views = {relay: [name for name in RELAYS if {relay, name} != set(cut)] for relay in RELAYS}
        total = 0.0
        for name in RELAYS:
            tracked = Tracked()
            for _ in range(20):
                for relay in RELAYS:
                    if name in views[relay]:
                        silent = frozenset(RELAYS) - frozenset(views[relay])
                        grant = Grant(4, 1 / len(views[relay]), silent, tracked.now_ms)
                        tracked.tracker.record_grant(relay, grant)
                tracked.run(GRANT_INTERVAL_MS, ())
            total += tracked.tracker.share
        assert 0.5 < total <= 1.0 + 1e-9
