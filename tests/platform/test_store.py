import pytest
from platformsim import FakeStore

from persimmonspur.clock import Clock
from persimmonspur.entry.httpclient import HttpClient
from persimmonspur.entry.timers import LoopTimers
from persimmonspur.errors import ErrorKind
from persimmonspur.platform.sources import open_evacuation_source
from persimmonspur.platform.store import PlatformStore


@pytest.fixture
def fake_store():
    fake_store = FakeStore()
    yield fake_store
    fake_store.close()


@pytest.fixture
def store(fake_store):
    clock = Clock()
    return PlatformStore(HttpClient(fake_store.address, clock, LoopTimers(clock)))


def test_list_reads_all_pages(fake_store, store):
    # Guards against losing endpoints when the list has several pages.
    fake_store.page_size = 2
    for index in range(5):
        fake_store.put("servers", f"i-{index}", {})
    listed = store.list("servers")
    assert listed.is_ok(), listed.error
    listing = listed.ok
    assert [item.meta.name for item in listing.objects] == [f"i-{index}" for index in range(5)]
    assert listing.position.revision == fake_store.revision


def test_watch_reports_changes_and_removals(fake_store, store):
    position = store.list("servers").ok.position
    fake_store.put("servers", "i-1", {"a": 1})
    fake_store.put("config", "main", {})
    fake_store.delete("servers", "i-1")
    changes = store.watch("servers", position, 1_000.0).ok
    assert [(change.object.meta.name, change.removed) for change in changes.changes] == [
        ("i-1", False),
        ("i-1", True),
    ]
    assert store.watch("servers", changes.position, 50.0).ok.changes == ()


def test_compacted_history_is_a_conflict(fake_store, store):
    position = store.list("servers").ok.position
    fake_store.compact_history()
    assert store.watch("servers", position, 50.0).error.kind is ErrorKind.CONFLICT


def test_put_creates_and_replaces(fake_store, store):
    assert store.put("entry-instances", "a", {"n": 1}).is_ok()
    assert store.put("entry-instances", "a", {"n": 2}).is_ok()
    assert fake_store.objects["entry-instances"]["a"]["spec"] == {"n": 2}
    assert store.remove("entry-instances", "a").is_ok()
    assert fake_store.objects["entry-instances"] == {}


def test_first_registration_costs_one_call(fake_store, store):
    # Guards against a second call by each of hundreds of instances that start together.
    store.put("entry-instances", "a", {"n": 1})
    assert len(fake_store.requests) == 1


def test_store_that_is_down_is_an_error(fake_store, store):
    fake_store.down = True
    assert store.list("servers").error.kind is ErrorKind.STORE_UNAVAILABLE


def test_unresponsive_store_times_out(fake_store, store, monkeypatch):
    # Guards against a watch that blocks forever when the store stops responding.
    monkeypatch.setattr("persimmonspur.platform.store.WATCH_MARGIN_MS", 50.0)
    position = store.list("servers").ok.position
    fake_store.silent = True
    assert store.watch("servers", position, 50.0).is_error()
    fake_store.silent = False
    assert store.list("servers").is_ok()


def test_lost_response_to_a_write_is_an_error(fake_store, store):
    fake_store.responses_to_lose = 1
    assert store.put("entry-instances", "a", {}).is_error()
    assert store.put("entry-instances", "a", {}).is_ok()


def test_malformed_entries_are_reported(fake_store, store):
    # Guards against dropping invalid entries of other clients without a log line.
    source = open_evacuation_source(store)
    fake_store.put("evacuations", "zone-a", {})
    fake_store.objects["evacuations"]["forged"] = "text"
    listed = source.list(1_000.0).ok
    assert list(listed.items) == ["zone-a"]
    assert [failure.message for failure in listed.rejected] == [
        "1 store entries are not valid objects"
    ]
    fake_store.revision += 1
    fake_store._add_event("evacuations", "text", False)
    fake_store.put("evacuations", "zone-b", {})
    watched = source.watch(listed.position, 1_000.0).ok
    assert [name for name, _ in watched.changes] == ["zone-b"]
    assert len(watched.rejected) == 1


def test_revision_of_an_earlier_era_is_a_conflict(fake_store, store):
    # Guards against missing changes at revisions that a restored store gave out again.
    copy = fake_store.take_copy()
    fake_store.put("servers", "i-1", {})
    position = store.list("servers").ok.position
    fake_store.restore(copy)
    fake_store.put("servers", "i-2", {})
    assert position.revision == fake_store.revision
    assert store.watch("servers", position, 50.0).error.kind is ErrorKind.CONFLICT


def test_list_that_spans_a_restore_fails(fake_store, store):
    # Guards against a list that mixes objects from before and after a restore.
    copy = fake_store.take_copy()
    fake_store.page_size = 1
    for index in range(3):
        fake_store.put("servers", f"i-{index}", {})
    fake_store.on_list = lambda after: fake_store.restore(copy) if after else None
    assert store.list("servers").error.kind is ErrorKind.STORE_UNAVAILABLE


def test_change_to_an_earlier_page_of_a_list_is_not_missed(fake_store, store):
    # Guards against a watch that continues after changes to pages that were already read.
    fake_store.page_size = 1
    for index in range(2):
        fake_store.put("servers", f"i-{index}", {})
    fake_store.on_list = lambda after: fake_store.delete("servers", "i-0") if after else None
    listing = store.list("servers").ok
    changes = store.watch("servers", listing.position, 50.0).ok.changes
    assert [(change.object.meta.name, change.removed) for change in changes] == [("i-0", True)]


def test_status_is_written_only_at_the_known_revision(fake_store, store):
    # Guards against a writer that overwrites what another one has decided meanwhile.
    fake_store.put("rollouts", "s1", {"service": "s1"})
    revision = fake_store.objects["rollouts"]["s1"]["meta"]["revision"]
    written = store.put_status("rollouts", "s1", revision, {"state": "running"}).ok
    assert written.status == {"state": "running"} and written.spec == {"service": "s1"}
    assert written.meta.revision > revision
    current = store.put_status("rollouts", "s1", revision, {"state": "succeeded"}).ok
    assert current.status == {"state": "running"}
    assert current.meta.revision == written.meta.revision


def test_status_of_a_removed_object_is_not_written(fake_store, store):
    failed = store.put_status("rollouts", "s1", 7, {"state": "running"})
    assert failed.error.kind is ErrorKind.NOT_FOUND
    fake_store.down = True
    failed = store.put_status("rollouts", "s1", 7, {"state": "running"})
    assert failed.error.kind is ErrorKind.STORE_UNAVAILABLE
