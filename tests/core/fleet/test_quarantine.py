from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet import quarantine as module
from persimmonspur.core.fleet.quarantine import Quarantine, Standing

NAME = "f1"


def crash(quarantine, count, is_trial=True, name=NAME):
    for index in range(count):
        standing = quarantine.record_crash(name, f"e-{index}", is_trial)
    return standing


def make_quarantined():
    clock = ManualClock(1_000.0)
    shared = []
    quarantine = Quarantine(clock, lambda report, standing: shared.append((report, standing)))
    assert crash(quarantine, 3) is Standing.QUARANTINED
    return clock, quarantine, shared


def test_crashes_at_once_only_make_a_request_suspected():
    # Guards against rejecting sound requests after many endpoints crashed at the same time.
    quarantine = Quarantine(ManualClock(1_000.0))
    assert crash(quarantine, 20, is_trial=False) is Standing.SUSPECTED
    quarantine.record_answer(NAME)
    assert quarantine.empty


def test_failed_trials_lead_to_a_quarantine_that_is_shared():
    _, quarantine, shared = make_quarantined()
    assert [standing for _, standing in shared] == [Standing.QUARANTINED]
    other = Quarantine(ManualClock(1_000.0))
    other.merge(quarantine.select_shared(3))
    assert other.get_standing(NAME) is Standing.QUARANTINED


def test_crashes_that_several_instances_saw_count_together():
    # Guards against each instance needing its own crashes before it stops sending.
    clock = ManualClock(1_000.0)
    instances = [Quarantine(clock) for _ in range(3)]
    standings = []
    for index, quarantine in enumerate(instances):
        is_trial = quarantine.get_standing(NAME) is Standing.SUSPECTED
        standings.append(quarantine.record_crash(NAME, f"e-{index}", is_trial))
        quarantine.share(NAME)
        for other in instances:
            other.merge(quarantine.select_shared(1))
    assert standings[-1] is Standing.QUARANTINED


def test_quarantine_ends_with_a_trial():
    # Guards against rejecting a request for good after its endpoints were repaired.
    clock, quarantine, _ = make_quarantined()
    assert quarantine.get_remaining_ms(NAME) == module.QUARANTINE_MS
    clock.advance(module.QUARANTINE_MS)
    quarantine.expire()
    assert quarantine.get_standing(NAME) is Standing.SUSPECTED
    assert quarantine.record_crash(NAME, "e-9", True) is Standing.QUARANTINED
    clock.advance(module.QUARANTINE_MS)
    peer = Quarantine(clock)
    peer.merge(quarantine.select_shared(1))
    quarantine.record_answer(NAME)
    assert quarantine.get_standing(NAME) is Standing.UNSUSPECTED
    peer.merge(quarantine.select_shared(1))
    assert peer.get_standing(NAME) is Standing.UNSUSPECTED
    quarantine.merge(make_quarantined()[1].select_shared(1))
    assert quarantine.get_standing(NAME) is Standing.UNSUSPECTED


def test_reports_are_bounded_and_quarantined_requests_stay_known():
    # Guards against unbounded memory, and against suspects that push out what is known.
    _, quarantine, _ = make_quarantined()
    for index in range(2 * module.MAX_REPORTS):
        quarantine.record_crash(f"suspect-{index}", "e-1", False)
    assert sum(quarantine.count().values()) == module.MAX_REPORTS
    assert quarantine.get_standing(NAME) is Standing.QUARANTINED


def test_reports_expire():
    clock, quarantine, _ = make_quarantined()
    quarantine.record_crash("suspect", "e-1", False)
    clock.advance(module.SUSPICION_MS + 1)
    quarantine.expire()
    assert quarantine.get_standing("suspect") is Standing.UNSUSPECTED
    clock.advance(2 * module.QUARANTINE_MS)
    quarantine.expire()
    assert quarantine.empty


def test_all_shared_reports_take_turns():
    # Guards against reports that an instance that restarts never receives.
    quarantine = Quarantine(ManualClock(1_000.0))
    for index in range(7):
        crash(quarantine, 3, name=f"f{index}")
    seen = set()
    for _ in range(3):
        seen.update(report.fingerprint for report in quarantine.select_shared(3))
    assert len(seen) == 7
