"""Entries of the store that other writers made and that cannot be decoded.

Whatever one entry holds, the others of its list or watch response are read.
"""

import json

import pytest
from expression import Ok
from hypothesis import example, given, settings
from hypothesis import strategies as st

from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.platform import store as store_module
from persimmonspur.platform.rawjson import split_array, split_object
from persimmonspur.platform.sources import (
    open_configuration_source,
    open_endpoint_source,
    open_evacuation_source,
    open_member_source,
)
from persimmonspur.platform.store import PlatformStore

SOUND = {"service": "s", "addr": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"}
POSITION = StorePosition(1, 5)

# JSON texts of values; each is a spec, or a part of one, that cannot be used.
UNREADABLE = {
    "lone surrogate": b'"\\udce9"',
    "surrogates in the wrong order": b'"\\udce9\\ud83d"',
    "invalid UTF-8": b'"\xff\xfe"',
    "control characters": b'"\x01\n"',
    "unknown escape": b'"\\x41"',
    "deep lists": b"[" * 5_000 + b"]" * 5_000,
    "deep objects": b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    "endless number": b"9" * 6_000,
    "large number": b"1e999",
    "no value": b"nan",
    "quotes and brackets in text": b'"\\"]}{[\\\\\xff"',
}


class StubClient:
    """Answers each request with the next of several bodies."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)
        self.paths = []

    def request(self, method, path, body, timeout_ms):
        self.paths.append(path)
        return Ok(HttpResponse(200, [(b"Store-Era", b"1")], self.bodies.pop(0), True))


def make_item(name, spec, revision=7):
    return b'{"meta":{"name":%b,"revision":%d},"spec":%b}' % (
        json.dumps(name).encode(),
        revision,
        spec if isinstance(spec, bytes) else json.dumps(spec).encode(),
    )


def make_page(*items, more=False):
    flag = b"true" if more else b"false"
    return b'{"items":[%b],"has_more":%b,"store_revision":9}' % (b",".join(items), flag)


def make_event(item, removed=False):
    return b'{"object":%b,"removed":%b}' % (item, b"true" if removed else b"false")


def make_events(*events):
    return b'{"store_revision":9,"events":[%b]}' % b",".join(events)


def open_source(*bodies):
    client = StubClient(*bodies)
    return open_endpoint_source(PlatformStore(client), ManualClock()), client


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
@pytest.mark.parametrize("template", [b"%b", b'{"service":%b,"addr":"10.0.0.1:80"}', b"[1,%b]"])
def test_unreadable_entry_hides_no_other_entry(template, value):
    # Guards against one entry of another writer that hides all changes after it.
    spoiled = make_item("b", template % value)
    sound = [make_item("a", SOUND), make_item("c", SOUND)]
    source, _ = open_source(
        make_page(sound[0], spoiled, sound[1]),
        make_events(make_event(sound[0]), make_event(spoiled), make_event(sound[1])),
    )
    listed = source.list(100.0).ok
    assert list(listed.items) == ["a", "c"] and listed.position.revision == 9
    watched = source.watch(POSITION, 100.0).ok
    assert [(name, item is not None) for name, item in watched.changes] == [
        ("a", True),
        ("b", False),
        ("c", True),
    ]
    assert watched.newest.revision == 7 and watched.position.revision == 9
    for rejected in (listed.rejected, watched.rejected):
        assert len(rejected) == 1 and rejected[0].message.startswith("entry b: ")


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_name_or_metadata_hide_no_other_entry(value):
    nameless = b'{"meta":{"name":%b,"revision":8},"spec":{}}' % value
    labelled = b'{"meta":{"labels":%b,"name":"b","revision":8},"spec":{}}' % value
    sound = make_item("c", SOUND)
    source, _ = open_source(
        make_page(nameless, labelled, value, sound),
        make_events(make_event(nameless), make_event(value), make_event(labelled), value),
    )
    listed = source.list(100.0).ok
    assert list(listed.items) == ["c"]
    watched = source.watch(POSITION, 100.0).ok
    assert watched.changes == (("b", None),)


def test_removal_of_an_unreadable_entry_is_a_removal():
    source, _ = open_source(
        make_events(make_event(make_item("b", UNREADABLE["lone surrogate"]), removed=True))
    )
    watched = source.watch(POSITION, 100.0).ok
    assert watched.changes == (("b", None),) and watched.rejected == ()


def test_list_continues_after_a_page_of_unreadable_entries():
    # Guards against a list that ends early, or never, when a whole page cannot be decoded.
    value = UNREADABLE["lone surrogate"]
    source, client = open_source(
        make_page(make_item("a", value), make_item("b", value), more=True),
        make_page(make_item("c", SOUND)),
    )
    assert list(source.list(100.0).ok.items) == ["c"]
    assert client.paths[1].endswith("?after=b")


def test_list_whose_page_has_no_readable_name_is_an_error():
    # Guards against an endless list: there is no name after which the next page begins.
    nameless = b'{"meta":{"name":"\\udce9"},"spec":{}}'
    source, _ = open_source(make_page(nameless, more=True))
    assert source.list(100.0).is_error()


@pytest.mark.timeout(20)
def test_list_whose_pages_never_end_is_an_error(monkeypatch):
    # Guards against an instance that reads pages for ever.
    source, client = open_source(*[make_page(make_item("a", SOUND), more=True)] * 3)
    assert source.list(100.0).is_error() and len(client.paths) == 2
    monkeypatch.setattr(store_module, "MAX_LIST_BYTES", 2_000)
    pages = [make_page(make_item(f"a{index:03}", SOUND), more=True) for index in range(100)]
    source, client = open_source(*pages)
    assert source.list(100.0).is_error() and len(client.paths) < 20


SOURCES = {
    "configuration": lambda store: open_configuration_source(store),
    "endpoints": lambda store: open_endpoint_source(store, ManualClock()),
    "evacuations": lambda store: open_evacuation_source(store),
    "members": lambda store: open_member_source(store),
}
raw_json = st.recursive(
    st.one_of(
        st.sampled_from(list(UNREADABLE.values())),
        st.sampled_from([b"null", b"true", b"-0", b"1e5", b'"\xc2\xb2"', b'"10.0.0.1:\\u00b2"']),
        st.text(max_size=6).map(lambda text: json.dumps(text).encode()),
        st.integers().map(lambda number: b"%d" % number),
    ),
    lambda parts: st.one_of(
        st.lists(parts, max_size=3).map(lambda items: b"[%b]" % b",".join(items)),
        st.dictionaries(
            st.sampled_from(["service", "addr", "zone", "slots", "born", "seq", "cold_left_ms"]),
            parts,
            max_size=4,
        ).map(
            lambda fields: (
                b"{%b}"
                % b",".join(b'"%b":%b' % (name.encode(), value) for name, value in fields.items())
            )
        ),
    ),
    max_leaves=8,
)


@settings(max_examples=200, deadline=None)
@given(kind=st.sampled_from(sorted(SOURCES)), specs=st.lists(raw_json, max_size=4))
def test_no_entry_raises_or_hides_another(kind, specs):
    # Guards against any value of an entry that ends a feed.
    items = [make_item(f"x{index}", spec) for index, spec in enumerate(specs)]
    events = [make_event(item) for item in items]
    last = make_item("z", SOUND)
    store = PlatformStore(
        StubClient(make_page(*items, last), make_events(*events, make_event(last)))
    )
    source = SOURCES[kind](store)
    listed = source.list(100.0).ok
    watched = source.watch(POSITION, 100.0).ok
    names = [name for name, _ in watched.changes]
    assert names == [f"x{index}" for index in range(len(specs))] + ["z"]
    if kind == "endpoints":
        assert "z" in listed.items and watched.changes[-1][1] is not None


@settings(max_examples=300, deadline=None)
@given(body=st.one_of(st.binary(max_size=60), raw_json))
@example(b'{"items":[')
@example(b'{"items":["')
@example(b'{"items":[{"meta":]}')
@example(b'{"items":[],"store_revision":\xb2}')
@example(b'{"events":[{"object":{"meta":{"name":"a"}}}],"store_revision":' + b"9" * 5_000 + b"}")
def test_no_response_of_the_store_raises(body):
    for open_any in SOURCES.values():
        source = open_any(PlatformStore(StubClient(body, body)))
        source.list(100.0)
        source.watch(POSITION, 100.0)


@given(
    document=st.recursive(
        st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=5)),
        lambda parts: st.one_of(
            st.lists(parts, max_size=4), st.dictionaries(st.text(max_size=3), parts, max_size=4)
        ),
    ),
    indent=st.sampled_from([None, 1]),
)
def test_split_agrees_with_a_decoder(document, indent):
    data = json.dumps(document, indent=indent).encode()
    elements, members = split_array(data), split_object(data)
    assert (elements is None) == (not isinstance(document, list))
    assert (members is None) == (not isinstance(document, dict))
    if elements is not None:
        assert [json.loads(element) for element in elements] == document
    if members is not None:
        decoded = {json.loads(b'"%b"' % name): json.loads(part) for name, part in members.items()}
        assert decoded == document
