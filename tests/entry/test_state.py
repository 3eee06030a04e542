"""The local copy of the store, with feeds that get their changes from the tests."""

import random
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from fleetsim import SimTimers
from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet.endpoints import MISSING_ENTRY_HOLD_MS, Endpoint
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.entry.feeds import Snapshot, Updates
from persimmonspur.entry.observer import Observer
from persimmonspur.entry.state import StoreSources, StoreState
from persimmonspur.errors import ErrorKind, Failure

IDENTITIES = [f"e{index}" for index in range(4)]


class SilentLog:
    def __init__(self):
        self.records = []

    def record(self, event, **fields):
        self.records.append((event.name, fields))


def at(revision):
    return StorePosition(1, revision)


def make_endpoint(identity="e1", service="s", **fields):
    return Endpoint(identity, service, "10.0.0.1:80", "d1", 4, **fields)


class StateCopy:
    """One instance's state; changes are passed to its endpoint feed as a source would."""

    def __init__(self, clock=None):
        self.clock = clock or ManualClock(1_000.0)
        self.timers = SimTimers(self.clock)
        self.log = SilentLog()
        self.state = StoreState(
            StoreSources(None, None, None, None, None),
            Observer(self.log),
            self.clock,
            self.timers,
            random.Random(1),
            lambda table: None,
            SimpleNamespace(source="store"),
            lambda: False,
        )
        self.feed = self.state.endpoint_feed
        self.feed.position = at(1)
        self.feed.history.reset(at(1))

    def apply(self, changes, revision, recovering=False):
        position = at(revision)
        self.feed._apply(Updates(tuple(changes), position, position, recovering=recovering))

    def describe(self):
        directory = self.state.endpoints
        usable = {service: directory.usable(service) for service in ("s", "t")}
        known = {endpoint.identity: endpoint for endpoint in directory.list_all()}
        return (
            known,
            {service: set(endpoints) for service, endpoints in usable.items()},
            directory._missing_since,
        )


def test_entry_that_is_removed_and_returns_in_one_batch_stays():
    # Guards against searchers that are lost for good once the store is back after an outage
    # in which their entries lapsed.
    copy = StateCopy()
    copy.apply([("e1", make_endpoint())], 2)
    copy.apply([("e1", None), ("e1", make_endpoint(sequence=2))], 4, recovering=True)
    copy.timers.advance(2 * MISSING_ENTRY_HOLD_MS)
    assert [endpoint.identity for endpoint in copy.state.endpoints.usable("s")] == ["e1"]


def test_entry_that_returns_and_is_removed_in_one_batch_is_gone():
    copy = StateCopy()
    copy.apply([("e1", make_endpoint("e1")), ("e2", make_endpoint("e2"))], 3)
    copy.apply([("e1", None), ("e1", make_endpoint("e1")), ("e1", None)], 6)
    assert [endpoint.identity for endpoint in copy.state.endpoints.usable("s")] == ["e2"]


changes = st.lists(
    st.tuples(
        st.sampled_from(IDENTITIES),
        st.one_of(
            st.none(),
            st.builds(
                lambda service, draining, sequence: (service, draining, sequence),
                st.sampled_from(["s", "t"]),
                st.booleans(),
                st.integers(0, 3),
            ),
        ),
    ),
    max_size=12,
)


def build_change(identity, fields):
    if fields is None:
        return identity, None
    service, draining, sequence = fields
    endpoint = make_endpoint(identity, service, draining=draining, sequence=float(sequence))
    return identity, endpoint


def apply_in_batches(copy, all_changes, cuts, recovering):
    start = 0
    for cut in sorted({*cuts, len(all_changes)}):
        if start < cut <= len(all_changes):
            copy.apply(all_changes[start:cut], 1 + cut, recovering)
            start = cut


@settings(max_examples=200, deadline=None)
@given(
    entries=changes,
    cuts=st.sets(st.integers(1, 12)),
    polled=st.integers(0, 12),
    recovering=st.booleans(),
)
def test_state_does_not_depend_on_how_changes_are_split(entries, cuts, polled, recovering):
    # Guards against a state that depends on which changes a watch or a relay reported together.
    all_changes = [build_change(identity, fields) for identity, fields in entries]
    clock = ManualClock(1_000.0)
    one_by_one, split, at_once = StateCopy(clock), StateCopy(clock), StateCopy(clock)
    for index, change in enumerate(all_changes):
        one_by_one.apply([change], 2 + index, recovering)
    apply_in_batches(split, all_changes, cuts, recovering)
    if all_changes:
        at_once.apply(all_changes, 1 + len(all_changes), recovering)
    assert one_by_one.describe() == split.describe() == at_once.describe()

    follower = StateCopy(clock)
    polled = min(polled, len(all_changes))
    apply_in_batches(follower, all_changes[:polled], cuts, recovering)
    batch = split.feed.history.collect_since(follower.feed.position)
    if batch.changes:
        follower.feed._apply(
            Updates(batch.changes, batch.position, batch.newest, recovering=batch.recovering)
        )
    assert set(follower.describe()[0]) == set(one_by_one.describe()[0])
    assert follower.describe() == one_by_one.describe()


def test_entry_that_is_listed_again_does_not_expire():
    # Guards against a searcher that is dropped although its entry is back in the list.
    copy = StateCopy()
    state = copy.state
    state._apply_endpoint_snapshot(Snapshot({"e1": make_endpoint()}, at(2)), False)
    state._apply_endpoint_snapshot(Snapshot({}, at(3)), True)
    copy.timers.advance(MISSING_ENTRY_HOLD_MS / 2)
    state._apply_endpoint_snapshot(Snapshot({"e1": make_endpoint()}, at(4)), True)
    copy.timers.advance(2 * MISSING_ENTRY_HOLD_MS)
    assert [endpoint.identity for endpoint in state.endpoints.usable("s")] == ["e1"]


def test_changes_older_than_the_state_of_a_peer_are_not_applied():
    # Guards against requests to a searcher that drains according to a peer, since a relay that
    # lags reports an older change of its entry.
    copy = StateCopy()
    draining = make_endpoint(draining=True, sequence=3)
    copy.state.endpoints.replace_all([draining], False, copy.clock.now_ms())
    copy.feed.advance_newest(at(10))
    copy.apply([("e1", make_endpoint(sequence=2))], 8)
    assert copy.state.endpoints.usable("s") == ()
    assert copy.feed.items["e1"].sequence == 2
    copy.apply([("e1", make_endpoint(sequence=3, draining=True)), ("e1", make_endpoint())], 12)
    assert len(copy.state.endpoints.usable("s")) == 1


def test_evacuation_that_is_missing_again_is_held_for_its_full_time():
    # Guards against requests to an evacuated domain when two lists follow each other shortly.
    copy = StateCopy()
    state = copy.state
    state._apply_evacuation_snapshot(Snapshot({"d1": "d1", "d2": "d2"}, at(2)), False)
    state._apply_evacuation_snapshot(Snapshot({"d1": "d1"}, at(3)), True)
    copy.timers.advance(MISSING_ENTRY_HOLD_MS / 2)
    state._apply_evacuation_snapshot(Snapshot({}, at(4)), True)
    copy.timers.advance(MISSING_ENTRY_HOLD_MS / 2 + 1)
    assert state.endpoints.evacuated == {"d1"}
    copy.timers.advance(MISSING_ENTRY_HOLD_MS / 2)
    assert state.endpoints.evacuated == frozenset()


def test_invalid_entry_is_logged_once():
    # Guards against a log that repeats the same entry at each list.
    copy = StateCopy()
    failure = Failure.of(ErrorKind.INVALID_CONFIGURATION, "entry e9: not readable")
    snapshot = Snapshot({}, at(2), rejected=(failure,))
    copy.state._apply_endpoint_snapshot(snapshot, False)
    copy.state._apply_endpoint_snapshot(snapshot, False)
    copy.feed._apply(Updates((), at(3), rejected=(failure,)))
    reasons = [fields["reason"] for name, fields in copy.log.records if name == "entry_rejected"]
    assert reasons == ["entry e9: not readable"]
