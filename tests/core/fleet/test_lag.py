from persimmonspur.core.fleet.lag import LAG_TOLERANCE_MS, LagDetector
from persimmonspur.core.fleet.position import StorePosition


def at(revision, era=1):
    return StorePosition(era, revision)


def test_lag_shows_although_other_peers_lag_too():
    # Guards against a stuck watch that goes undetected because most peers are stuck as well.
    detector = LagDetector()
    assert not detector.observe(at(5), at(4), 0.0)
    assert not detector.observe(at(4), at(4), LAG_TOLERANCE_MS / 2)
    assert detector.observe(at(5), at(4), LAG_TOLERANCE_MS)


def test_instance_that_catches_up_each_time_does_not_lag():
    detector = LagDetector()
    for revision in range(1, 20):
        now_ms = revision * LAG_TOLERANCE_MS
        assert not detector.observe(at(revision + 1), at(revision), now_ms)
        assert not detector.observe(at(revision + 1), at(revision + 1), now_ms + 10)


def test_lag_is_reported_again_after_each_tolerance_period():
    detector = LagDetector()
    detector.observe(at(5), at(4), 0.0)
    assert detector.observe(at(5), at(4), LAG_TOLERANCE_MS)
    assert not detector.observe(at(5), at(4), LAG_TOLERANCE_MS + 1)
    assert detector.observe(at(5), at(4), 2 * LAG_TOLERANCE_MS)


def test_older_revisions_of_peers_are_ignored():
    detector = LagDetector()
    assert not any(
        detector.observe(at(3), at(4), float(now_ms)) for now_ms in range(0, 10_000, 100)
    )


def test_peer_in_a_later_era_is_ahead_whatever_its_revision():
    # Guards against comparing the revisions of two histories after the store was restored.
    detector = LagDetector()
    assert not detector.observe(at(3, era=2), at(9), 0.0)
    assert detector.observe(at(3, era=2), at(9), LAG_TOLERANCE_MS)
    assert not detector.observe(at(9), at(3, era=2), 2 * LAG_TOLERANCE_MS)
