"""Watches after changes, simulated without a network."""

import random

import pytest

from persimmonspur.core.fleet.pacing import (
    BURST_WATCHES,
    START_PERIOD_MS,
    WATCH_INTERVAL_MS,
    WatchPacer,
)

BATCH_DELAY_MS = 500.0
ROUND_TRIP_MS = 2.0


def follow(changes, compute_delay_ms, until_ms):
    """Return the times of the watches that report changes, and the delay of each change.

    :param changes: times of changes, with whether each is urgent, in order.
    """
    pending = sorted(changes)
    now_ms = pending[0][0] - 1.0
    answers, delays = [], []
    while pending and now_ms < until_ms:
        now_ms = max(now_ms, pending[0][0]) + ROUND_TRIP_MS
        seen = [change for change in pending if change[0] <= now_ms - ROUND_TRIP_MS / 2]
        pending = pending[len(seen) :]
        answers.append(now_ms)
        delays += [now_ms - at_ms for at_ms, _ in seen]
        now_ms += compute_delay_ms(any(urgent for _, urgent in seen), now_ms)
    return answers, delays


def make_started_pacer():
    pacer = WatchPacer(BATCH_DELAY_MS)
    pacer.start(0.0)
    return pacer


def test_changes_after_a_quiet_time_are_seen_at_once():
    # Guards against a second endpoint that becomes cold while the change of the first delays the
    # next watch.
    pacer = make_started_pacer()
    start_ms = 2 * START_PERIOD_MS
    changes = [(start_ms + 150.0 * index, index % 2 == 1) for index in range(BURST_WATCHES)]
    _, delays = follow(changes, pacer.compute_delay_ms, 3 * start_ms)
    assert max(delays) <= 2 * ROUND_TRIP_MS


@pytest.mark.parametrize("urgent", [False, True])
def test_burst_of_changes_needs_a_bounded_number_of_watches(urgent):
    # Guards against one store call per change when hundreds of endpoints change.
    pacer = make_started_pacer()
    start_ms = 2 * START_PERIOD_MS
    duration_ms = 10_000.0
    changes = [(start_ms + duration_ms * index / 2_000, urgent) for index in range(2_000)]
    answers, delays = follow(changes, pacer.compute_delay_ms, 10 * start_ms)
    assert len(answers) <= BURST_WATCHES + duration_ms / WATCH_INTERVAL_MS + 1
    assert max(delays) <= WATCH_INTERVAL_MS + 2 * ROUND_TRIP_MS


def test_start_of_a_deployment_needs_no_more_watches_than_fixed_pauses():
    # Guards against further store calls while hundreds of endpoints register.
    rng = random.Random(1)
    changes = [(rng.uniform(1.0, START_PERIOD_MS / 2), False) for _ in range(600)]
    pacer = make_started_pacer()
    answers, _ = follow(changes, pacer.compute_delay_ms, START_PERIOD_MS)
    fixed, _ = follow(changes, lambda urgent, now_ms: BATCH_DELAY_MS, START_PERIOD_MS)
    assert len(answers) == len(fixed)


def test_urgent_changes_during_the_start_are_seen_at_once():
    pacer = make_started_pacer()
    changes = [(1_000.0 + 150.0 * index, True) for index in range(BURST_WATCHES - 1)]
    _, delays = follow(changes, pacer.compute_delay_ms, START_PERIOD_MS)
    assert max(delays) <= 2 * ROUND_TRIP_MS


def test_quiet_day_needs_hardly_more_watches_than_fixed_pauses():
    # Guards against store calls that grow on a quiet day: one change in ten seconds on average,
    # beside watches that end without a change every 17.5 s.
    day_ms = 3_600_000.0
    rng = random.Random(1)
    changes = [(rng.uniform(START_PERIOD_MS, day_ms), rng.random() < 0.5) for _ in range(360)]
    answers, _ = follow(changes, make_started_pacer().compute_delay_ms, day_ms)
    fixed, _ = follow(changes, lambda urgent, now_ms: BATCH_DELAY_MS, day_ms)
    idle_watches = day_ms / 17_500.0
    assert len(answers) + idle_watches <= 1.05 * (len(fixed) + idle_watches)


def test_first_change_long_after_the_list_is_followed_by_a_watch_at_once():
    # Guards against a start period that begins with the first change.
    pacer = make_started_pacer()
    assert pacer.compute_delay_ms(False, START_PERIOD_MS - 1.0) == BATCH_DELAY_MS
    pacer = make_started_pacer()
    pacer.start(START_PERIOD_MS)
    assert pacer.compute_delay_ms(False, START_PERIOD_MS) == 0.0
