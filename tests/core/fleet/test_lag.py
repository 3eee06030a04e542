from persimmonspur.core.fleet.lag import LAG_MS, LagDetector


def test_lag_shows_although_other_peers_lag_too():
    # Guards against a stuck watch that stays unnoticed because most peers are stuck as well.
    detector = LagDetector()
    assert not detector.note(5, 4, 0.0)
    assert not detector.note(4, 4, LAG_MS / 2)
    assert detector.note(5, 4, LAG_MS)


def test_instance_that_keeps_up_does_not_lag():
    detector = LagDetector()
    for version in range(1, 20):
        now_ms = version * LAG_MS
        assert not detector.note(version + 1, version, now_ms)
        assert not detector.note(version + 1, version + 1, now_ms + 10)


def test_lag_is_reported_again_after_the_same_time():
    detector = LagDetector()
    detector.note(5, 4, 0.0)
    assert detector.note(5, 4, LAG_MS)
    assert not detector.note(5, 4, LAG_MS + 1)
    assert detector.note(5, 4, 2 * LAG_MS)


def test_peers_that_are_behind_say_nothing():
    detector = LagDetector()
    assert not any(detector.note(3, 4, float(now_ms)) for now_ms in range(0, 10_000, 100))
