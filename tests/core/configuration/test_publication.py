"""Tests concurrent publications, and instances that follow them, under object API faults."""

from types import SimpleNamespace

import pytest
from attrs import define, evolve, field
from expression import Ok
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from persimmonspur.core.configuration.holder import ConfigurationHolder
from persimmonspur.core.configuration.parts import (
    PART_PREFIX,
    ROOT_KEY,
    ConfigurationRoot,
    assemble_configuration,
    decode_root,
    encode_root,
    split_configuration,
)
from persimmonspur.core.configuration.publication import (
    NotPublished,
    Pause,
    Propose,
    Publication,
    Published,
    ReadObject,
    WriteObject,
)
from persimmonspur.errors import ErrorKind
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.configuration import EndpointLimits

BASE = build_configuration(DEPLOYMENTS["ulaanbaatar"])
BASE = evolve(BASE, services=BASE.services[3:])
TARGETS = [
    evolve(
        BASE,
        terminated=frozenset({f"entry-{index}"}),
        services=tuple(
            evolve(service, limits=EndpointLimits(4, 75 + index, 6.0)) for service in BASE.services
        ),
    )
    for index in range(4)
]


@define
class Store:
    """An object API; its record of accepted versions is the test oracle."""

    objects: dict = field(factory=dict)
    previous: dict = field(factory=dict)
    accepted: dict = field(factory=dict)
    attempts: dict = field(factory=dict)

    def read(self, key, stale=False):
        if stale and key in self.previous:
            return self.previous[key]
        return self.objects.get(key, (0, None))

    def write(self, action):
        version = self.objects.get(action.key, (0, None))[0]
        if version != action.expected_version:
            return False
        if version:
            self.previous[action.key] = self.objects[action.key]
        self.objects[action.key] = (version + 1, action.value)
        if action.key == ROOT_KEY:
            self.accept(decode_root(action.value))
        return True

    def accept(self, root):
        values = {key.removeprefix(PART_PREFIX): value for key, (_, value) in self.objects.items()}
        assembled = assemble_configuration(root.parts, values)
        assert assembled.is_ok(), "a root was stored before its parts"
        known = self.accepted.setdefault(root.version, assembled.ok)
        assert known == assembled.ok, "two configurations were stored under one version"
        assert root.version == max(self.accepted), "the stored version decreased"
        self.attempts[root.attempt] = root.version


class Publishing(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = Store()
        self.operators = []
        self.delayed = []
        self.without_effect = set()
        self.started = 0
        self.holders = [ConfigurationHolder() for _ in range(3)]
        self.shown = [0, 0, 0]

    @initialize(numbers=st.lists(st.integers(0, 3), min_size=4, max_size=4))
    def store_the_first_version(self, numbers):
        self.start(numbers[0], None)
        while self.operators:
            self.step_once(0, "none")
        for number in numbers[1:]:
            self.start(number, None)

    @rule(number=st.integers(0, 3), expected=st.integers(1, 3))
    def expect(self, number, expected):
        if len(self.operators) < 4:
            self.start(number, expected)

    def start(self, number, expected):
        self.started += 1
        target = TARGETS[number]
        attempt = f"operator-{self.started}"
        publication = Publication(lambda present: Ok(target), attempt, expected)
        operator = SimpleNamespace(publication=publication, attempt=attempt, target=target)
        operator.action = publication.start()
        self.operators.append(operator)

    @rule(index=st.integers(0, 2), number=st.integers(0, 3))
    def run_to_root(self, index, number):
        """Most faults matter around the update of the root, so get there quickly."""
        if len(self.operators) < 3:
            self.start(number, None)
        for _ in range(30):
            if index >= len(self.operators):
                return
            action = self.operators[index].action
            if isinstance(action, WriteObject) and action.key == ROOT_KEY:
                return
            self.step_once(index, "none")

    @rule(
        index=st.integers(0, 2),
        faults=st.lists(
            st.sampled_from(["none", "none", "down", "lost", "delayed", "stale"]),
            min_size=1,
            max_size=6,
        ),
    )
    def step(self, index, faults):
        for fault in faults:
            self.step_once(index, fault)

    def step_once(self, index, fault):
        if index >= len(self.operators):
            return
        operator = self.operators[index]
        operator.action = self.advance(operator, fault)
        if isinstance(operator.action, Published | NotPublished):
            self.operators.remove(operator)
            self.check_end(operator)

    @rule(index=st.integers(0, 2))
    def give_up(self, index):
        if index < len(self.operators) and isinstance(self.operators[index].action, Pause):
            operator = self.operators.pop(index)
            operator.action = operator.publication.give_up()
            self.check_end(operator)

    @rule(index=st.integers(0, 5))
    def deliver(self, index):
        if index < len(self.delayed):
            self.store.write(self.delayed.pop(index))

    @rule(index=st.integers(0, 2), stale=st.booleans(), damaged=st.booleans())
    def learn_from_store(self, index, stale, damaged):
        holder = self.holders[index]
        _, value = self.store.read(ROOT_KEY, stale)
        if value is None:
            return
        holder.offer_root(decode_root(value))
        for position, digest in enumerate(holder.list_missing_digests()):
            _, part = self.store.read(PART_PREFIX + digest)
            if damaged and position == 0:
                part = part.replace(b"entry-", b"ENTRY-").replace(b"slots", b"Slots")
            holder.offer_part(digest, part)
        assert holder.activate_pending().is_ok()

    @rule(index=st.integers(0, 2), peer=st.integers(0, 2), parts=st.integers(0, 3))
    def learn_from_peer(self, index, peer, parts):
        holder, source = self.holders[index], self.holders[peer]
        if source.root is None:
            return
        holder.offer_root(source.root)
        for digest in holder.list_missing_digests()[:parts]:
            value = source.find_part(digest)
            if value is not None:
                holder.offer_part(digest, value)
        assert holder.activate_pending().is_ok()

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.holders[index] = ConfigurationHolder()
        self.shown[index] = 0

    @invariant()
    def instances_show_accepted_versions_that_never_fall(self):
        for index, holder in enumerate(self.holders):
            assert holder.version >= self.shown[index]
            self.shown[index] = holder.version
            if holder.version:
                assert holder.configuration == self.store.accepted[holder.version]

    @invariant()
    def reported_failures_changed_nothing(self):
        assert not self.without_effect & self.store.attempts.keys()

    def advance(self, operator, fault):
        publication, action = operator.publication, operator.action
        if isinstance(action, Pause):
            action = operator.action = publication.resume()
        if isinstance(action, Propose):
            return publication.confirm()
        if fault == "down":
            return publication.observe_unknown_outcome()
        if isinstance(action, ReadObject):
            return publication.observe_object(*self.store.read(action.key, fault == "stale"))
        assert isinstance(action, WriteObject)
        if fault == "delayed":
            self.delayed.append(action)
            return publication.observe_unknown_outcome()
        written = self.store.write(action)
        if fault == "lost":
            return publication.observe_unknown_outcome()
        if not written:
            return publication.observe_conflict()
        return publication.observe_written(action.expected_version + 1)

    def check_end(self, operator):
        action = operator.action
        if isinstance(action, Published):
            assert self.store.accepted[action.version] == operator.target
            if action.changed:
                assert self.store.attempts[operator.attempt] == action.version
        elif action.failure.kind is not ErrorKind.OUTCOME_UNKNOWN:
            self.without_effect.add(operator.attempt)

    def teardown(self):
        # Delayed writes may still arrive after the end.
        for action in self.delayed:
            self.store.write(action)
        self.reported_failures_changed_nothing()


TestPublishing = Publishing.TestCase
TestPublishing.settings = settings(max_examples=300, stateful_step_count=60)


def run(publication, store, fault=lambda action: None):
    """Carry out a publication; ``fault`` may replace the reply of the store to a call."""
    action = publication.start()
    while not isinstance(action, Published | NotPublished):
        if isinstance(action, Propose):
            action = publication.confirm()
        elif isinstance(action, Pause):
            action = publication.resume()
        elif outcome := fault(action):
            if outcome == "lost":
                store.write(action)
            action = publication.observe_unknown_outcome()
        elif isinstance(action, ReadObject):
            action = publication.observe_object(*store.read(action.key))
        elif store.write(action):
            action = publication.observe_written(action.expected_version + 1)
        else:
            action = publication.observe_conflict()
    return action


def publish(store, target, attempt="one", expected=None, fault=lambda action: None):
    return run(Publication(lambda present: Ok(target), attempt, expected), store, fault)


def fail_once(kind, key, outcome):
    outcomes = [outcome]
    return lambda action: (
        outcomes.pop() if isinstance(action, kind) and action.key == key and outcomes else None
    )


def test_a_change_writes_only_the_parts_that_differ():
    store = Store()
    publish(store, TARGETS[0])
    before = set(store.objects)
    change = evolve(TARGETS[0], terminated=frozenset({"entry-7"}))
    assert publish(store, change, "two") == Published(2, changed=True)
    assert len(set(store.objects) - before) == 1


@pytest.mark.parametrize("answer", ["lost", "down"])
def test_an_update_without_a_reply_is_resolved_by_reading_it_back(answer):
    # With "down", the update did not reach the store and has to be sent again.
    store = Store()
    fault = fail_once(WriteObject, ROOT_KEY, answer)
    assert publish(store, TARGETS[0], fault=fault) == Published(1, changed=True)
    assert list(store.accepted) == [1]


def test_a_lost_reply_is_resolved_after_another_operator_changed_the_new_version():
    store = Store()

    def fault(action):
        if isinstance(action, WriteObject) and action.key == ROOT_KEY:
            store.write(action)
            publish(store, TARGETS[1], "two")
            return "lost"
        return None

    assert publish(store, TARGETS[0], fault=fault) == Published(1, changed=True)
    assert store.accepted[2] == TARGETS[1]


def test_a_conflict_reports_what_the_other_operator_changed():
    store = Store()
    publish(store, TARGETS[0])

    def fault(action):
        if isinstance(action, WriteObject) and action.key == ROOT_KEY:
            publish(store, TARGETS[1], "two")
        return

    result = publish(store, TARGETS[2], "three", fault=fault)
    assert result.failure.kind is ErrorKind.CONFLICT
    assert ("terminated", "entry-1") in [(entry.parent, entry.name) for entry in result.changes]
    assert store.accepted[2] == TARGETS[1]


def test_an_unexpected_version_is_a_conflict_with_the_difference():
    store = Store()
    publish(store, TARGETS[0])
    publish(store, TARGETS[1], "two")
    result = publish(store, TARGETS[2], "three", expected=1)
    assert result.failure.kind is ErrorKind.CONFLICT
    assert "stored version is 2, expected 1" in result.failure.message
    assert result.changes and list(store.accepted) == [1, 2]


def test_a_repeated_publication_finds_its_content_already_stored():
    store = Store()
    publish(store, TARGETS[0])
    publish(store, TARGETS[1], "two", expected=1)
    result = publish(store, TARGETS[1], "three", expected=1)
    assert result == Published(2, changed=False)


def test_a_stale_read_does_not_count_as_already_stored():
    # A stale read returns version 1, which has the target content, although version 2
    # has replaced it.
    store = Store()
    publish(store, TARGETS[0])
    publish(store, TARGETS[1], "two")
    publication = Publication(lambda present: Ok(TARGETS[0]), "three")
    publication.start()
    action = publication.observe_object(*store.read(ROOT_KEY, stale=True))
    while isinstance(action, ReadObject):
        action = publication.observe_object(*store.read(action.key))
    assert isinstance(action, WriteObject) and not store.write(action)
    assert publication.observe_conflict() == ReadObject(ROOT_KEY)


def test_a_damaged_stored_part_is_replaced():
    store = Store()
    split = split_configuration(TARGETS[0])
    key = split.references[0].key
    store.objects[key] = (4, b"damaged")
    assert publish(store, TARGETS[0]) == Published(1, changed=True)
    assert store.objects[key] == (5, split.values[split.references[0].digest])


def test_a_damaged_part_of_the_current_version_is_repaired_if_its_version_is_expected():
    store = Store()
    publish(store, TARGETS[0])
    key = decode_root(store.objects[ROOT_KEY][1]).parts[0].key
    value = store.objects[key][1]
    store.objects[key] = (1, b"damaged")
    result = publish(store, TARGETS[0], "two")
    assert result.failure.kind is ErrorKind.INVALID_CONFIGURATION
    assert "(version 1)" in result.failure.message
    assert publish(store, TARGETS[0], "three", expected=1) == Published(2, changed=True)
    assert store.objects[key] == (2, value)


def test_an_unreadable_root_is_replaced_only_with_an_expected_version():
    store = Store()
    store.objects[ROOT_KEY] = (7, b"damaged")
    result = publish(store, TARGETS[0])
    assert result.failure.kind is ErrorKind.INVALID_CONFIGURATION
    assert publish(store, TARGETS[0], expected=6) == Published(7, changed=True)


def test_a_change_of_a_stored_epoch_is_rejected():
    store = Store()
    publish(store, TARGETS[0])
    service = TARGETS[0].services[0]
    shard_map = service.shard_maps[0]
    renamed = tuple(evolve(shard, name=f"{shard.name}-x") for shard in shard_map.shards)
    services = (evolve(service, shard_maps=(evolve(shard_map, shards=renamed),)),)
    result = publish(store, evolve(TARGETS[0], services=services), "two")
    assert result.failure.kind is ErrorKind.INVALID_CONFIGURATION
    assert result.errors[0].path == "services.stock-ledger.shard_maps"
    assert list(store.accepted) == [1]


def test_more_changes_than_the_history_holds_leave_the_outcome_unknown():
    store = Store()
    publish(store, TARGETS[0])

    def fault(action):
        if isinstance(action, WriteObject) and action.key == ROOT_KEY:
            version, value = store.objects[ROOT_KEY]
            root = decode_root(value)
            store.objects[ROOT_KEY] = (
                version + 40,
                encode_root(ConfigurationRoot(41, "other", root.parts, ("x",) * 32)),
            )
        return

    result = publish(store, TARGETS[1], "two", fault=fault)
    assert result.failure.kind is ErrorKind.OUTCOME_UNKNOWN


def test_a_rewrite_of_the_same_root_is_no_conflict():
    # The other operator publishes the stored configuration, which rewrites the same root.
    store = Store()
    publish(store, TARGETS[0])
    confirmed = []

    def fault(action):
        if isinstance(action, WriteObject) and action.key == ROOT_KEY and not confirmed:
            confirmed.append(publish(store, TARGETS[0], "two"))

    assert publish(store, TARGETS[1], "three", fault=fault) == Published(2, changed=True)
