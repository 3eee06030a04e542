from hypothesis import given
from hypothesis import strategies as st

from persimmonspur.core.fleet import history as module
from persimmonspur.core.fleet.history import ChangeBatch, ChangeHistory
from persimmonspur.core.fleet.position import NO_POSITION, StorePosition

CHANGES = st.lists(st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.integers(0, 9))))


def at(revision, era=1):
    return StorePosition(era, revision)


def apply(state, changes):
    for name, value in changes:
        state.pop(name, None)
        if value is not None:
            state[name] = value


@given(st.lists(CHANGES, max_size=12), st.integers(0, 12), st.integers(1, 6))
def test_follower_reaches_the_state_from_any_revision(batches, start, kept):
    # Guards against a follower that misses a change or ends with an older value than the
    # relay, from whichever revision it starts.
    previous = module.MAX_BATCHES
    module.MAX_BATCHES = kept
    try:
        history = ChangeHistory()
        history.reset(at(1))
        states = [{}]
        state = {}
        for index, changes in enumerate(batches):
            apply(state, changes)
            states.append(dict(state))
            history.append(ChangeBatch(at(1 + index), at(2 + index), at(2 + index), tuple(changes)))
    finally:
        module.MAX_BATCHES = previous
    start = min(start, len(batches))
    collected = history.collect_since(at(1 + start))
    if collected is None:
        assert len([changes for changes in batches if changes]) > kept
        return
    reached = states[start]
    apply(reached, collected.changes)
    assert reached == state
    assert collected.position == at(1 + len(batches))


def test_history_is_unknown_before_the_first_list():
    # Guards against followers that trust a relay that has just started and has no state.
    assert ChangeHistory().collect_since(at(0)) is None


def test_changes_before_a_list_are_unknown():
    # Guards against followers that miss removals from the time in which the relay's own
    # watch had lost the history of the store.
    history = ChangeHistory()
    history.reset(at(10))
    history.append(ChangeBatch(at(10), at(12), at(12), (("a", 1),)))
    history.reset(at(20))
    assert history.collect_since(at(12)) is None
    assert history.collect_since(at(20)) == ChangeBatch(at(20), at(20), NO_POSITION, ())


def test_follower_ahead_of_the_relay_keeps_its_revision():
    # Guards against moving a follower back that listed the store after the relay's last
    # update.
    history = ChangeHistory()
    history.reset(at(10))
    assert history.collect_since(at(15)).position == at(15)


def test_recovery_is_passed_on_to_followers():
    # Guards against followers that drop endpoints whose entries expired during an outage
    # that only the relay detected.
    history = ChangeHistory()
    history.reset(at(10))
    history.append(ChangeBatch(at(10), at(12), at(12), (("a", None),), recovering=True))
    assert history.collect_since(at(10)).recovering


def test_follower_of_another_era_has_to_list():
    # Guards against a follower that misses changes at revisions that were given out twice.
    history = ChangeHistory()
    history.reset(at(10, era=2))
    history.append(ChangeBatch(at(10, era=2), at(12, era=2), at(12, era=2), (("a", 1),)))
    assert history.collect_since(at(11, era=1)) is None
    assert history.collect_since(at(11, era=3)) is None
    assert history.collect_since(at(11, era=2)).changes == (("a", 1),)
