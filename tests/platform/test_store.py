import pytest
from platformsim import StoreStandIn

from persimmonspur.clock import Clock
from persimmonspur.entry.httpclient import HttpClient
from persimmonspur.entry.timers import LoopTimers
from persimmonspur.errors import ErrorKind
from persimmonspur.platform.sources import open_evacuation_source
from persimmonspur.platform.store import PlatformStore


@pytest.fixture
def standin():
    standin = StoreStandIn()
    yield standin
    standin.close()


@pytest.fixture
def store(standin):
    clock = Clock()
    return PlatformStore(HttpClient(standin.address, clock, LoopTimers(clock)))


def test_list_follows_pages(standin, store):
    # Guards against endpoints that are missing because the list has several pages.
    standin.page = 2
    for index in range(5):
        standin.put("servers", f"i-{index}", {})
    listed = store.list("servers")
    assert listed.is_ok(), listed.error
    listing = listed.ok
    assert [item.meta.name for item in listing.objects] == [f"i-{index}" for index in range(5)]
    assert listing.revision == standin.revision


def test_watch_reports_changes_and_removals(standin, store):
    revision = store.list("servers").ok.revision
    standin.put("servers", "i-1", {"a": 1})
    standin.put("config", "main", {})
    standin.delete("servers", "i-1")
    changes = store.watch("servers", revision, 1_000.0).ok
    assert [(change.object.meta.name, change.removed) for change in changes.changes] == [
        ("i-1", False),
        ("i-1", True),
    ]
    assert store.watch("servers", changes.revision, 50.0).ok.changes == ()


def test_forgotten_history_is_a_conflict(standin, store):
    revision = store.list("servers").ok.revision
    standin.forget_history()
    assert store.watch("servers", revision, 50.0).error.kind is ErrorKind.CONFLICT


def test_put_creates_and_replaces(standin, store):
    assert store.put("entry-instances", "a", {"n": 1}).is_ok()
    assert store.put("entry-instances", "a", {"n": 2}).is_ok()
    assert standin.objects["entry-instances"]["a"]["spec"] == {"n": 2}
    assert store.remove("entry-instances", "a").is_ok()
    assert standin.objects["entry-instances"] == {}


def test_store_that_is_down_is_an_error(standin, store):
    standin.down = True
    assert store.list("servers").error.kind is ErrorKind.STORE_UNAVAILABLE


def test_silent_store_is_an_error_in_time(standin, store, monkeypatch):
    # Guards against a watch that hangs for good on a store that went silent.
    monkeypatch.setattr("persimmonspur.platform.store.WATCH_MARGIN_MS", 50.0)
    revision = store.list("servers").ok.revision
    standin.silent = True
    assert store.watch("servers", revision, 50.0).is_error()
    standin.silent = False
    assert store.list("servers").is_ok()


def test_lost_answer_of_a_write_is_an_error(standin, store):
    standin.lose_answers = 1
    assert store.put("entry-instances", "a", {}).is_error()
    assert store.put("entry-instances", "a", {}).is_ok()


def test_entries_that_are_no_objects_are_told(standin, store):
    # Guards against entries of other writers that vanish without a line in the log.
    source = open_evacuation_source(store)
    standin.put("evacuations", "zone-a", {})
    standin.objects["evacuations"]["forged"] = "text"
    listed = source.list(1_000.0).ok
    assert list(listed.items) == ["zone-a"]
    assert [failure.message for failure in listed.rejected] == [
        "1 store entries are not valid objects"
    ]
    standin.revision += 1
    standin._add_event("evacuations", "text", False)
    standin.put("evacuations", "zone-b", {})
    watched = source.watch(listed.revision, 1_000.0).ok
    assert [name for name, _ in watched.changes] == ["zone-b"]
    assert len(watched.rejected) == 1
