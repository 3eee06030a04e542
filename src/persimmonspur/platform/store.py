"""Calls to the platform's store."""

from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.entry.httpclient import HttpClient
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.platform.documents import StoreObject

CONFIGURATION_KIND = "config"
ENDPOINT_KIND = "servers"
EVACUATION_KIND = "evacuations"
INSTANCE_KIND = "entry-instances"

CALL_TIMEOUT_MS = 1_500.0
# A waiting call is answered this much later than asked for at most.
WATCH_MARGIN_MS = 1_500.0
STATUS_GONE = 410


class _List(msgspec.Struct):
    items: list[Any]
    # The revision of the store as of this list; a watch continues from it.
    store_revision: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: Any
    removed: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    store_revision: int


@frozen
class Listing:
    """All objects of a kind.

    :param revision: from which a watch continues.
    :param unreadable: entries that are no objects.
    """

    objects: tuple[StoreObject, ...]
    revision: int
    unreadable: int = 0


@frozen
class Change:
    """One change of an object."""

    object: StoreObject
    removed: bool


@frozen
class WatchResult:
    """What a watch reports.

    :param revision: from which the next watch continues.
    :param unreadable: events whose objects are none.
    """

    changes: tuple[Change, ...]
    revision: int
    unreadable: int = 0


class PlatformStore:
    """The store's calls; none of them is repeated here."""

    def __init__(self, caller: HttpClient) -> None:
        self._caller = caller

    def list(self, kind: str, timeout_ms: float = CALL_TIMEOUT_MS) -> Result[Listing, Failure]:
        """Return all objects of a kind; follows pages.

        :param timeout_ms: longest wait for one page.
        """
        objects: list[StoreObject] = []
        unreadable = 0
        after = ""
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            called = self._call("GET", f"/-/objects/{kind}{query}", b"", timeout_ms)
            if called.is_error():
                return Error(called.error)
            page = _decode(called.ok, _List)
            if page.is_error():
                return Error(page.error)
            for item in page.ok.items:
                read = _convert_object(item)
                if read is None:
                    unreadable += 1
                    continue
                objects.append(read)
            if not page.ok.has_more or not objects:
                return Ok(Listing(tuple(objects), page.ok.store_revision, unreadable))
            after = objects[-1].meta.name

    def watch(self, kind: str, revision: int, wait_ms: float) -> Result[WatchResult, Failure]:
        """Wait for changes of a kind after a revision.

        :param wait_ms: longest wait; without a change the result is empty.
        :returns: an error of kind ``CONFLICT`` if that history is gone.
        """
        path = f"/-/objects/{kind}?watch={revision}&wait_ms={int(wait_ms)}"
        called = self._call("GET", path, b"", wait_ms + WATCH_MARGIN_MS)
        if called.is_error():
            return Error(called.error)
        events = _decode(called.ok, _Events)
        if events.is_error():
            return Error(events.error)
        changes = []
        for event in events.ok.events:
            read = _convert_object(event.object)
            if read is not None:
                changes.append(Change(read, event.removed))
        unreadable = len(events.ok.events) - len(changes)
        return Ok(WatchResult(tuple(changes), events.ok.store_revision, unreadable))

    def put(self, kind: str, name: str, spec: Any) -> Result[None, Failure]:
        """Replace an object, or create it if there is none."""
        body = msgspec.json.encode({"meta": {"name": name}, "spec": spec})
        replaced = self._call("PUT", f"/-/objects/{kind}/{quote(name)}", body, CALL_TIMEOUT_MS)
        if replaced.is_ok() or replaced.error.kind is not ErrorKind.NOT_FOUND:
            return replaced.map(_discard_body)
        return self._call("POST", f"/-/objects/{kind}", body, CALL_TIMEOUT_MS).map(_discard_body)

    def remove(self, kind: str, name: str) -> Result[None, Failure]:
        """Remove an object."""
        path = f"/-/objects/{kind}/{quote(name)}"
        return self._call("DELETE", path, b"", CALL_TIMEOUT_MS).map(_discard_body)

    def _call(
        self, method: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[bytes, Failure]:
        called = self._caller.request(method, path, body, timeout_ms)
        if called.is_error():
            return Error(called.error)
        response = called.ok
        if 200 <= response.status < 300:
            return Ok(response.body)
        kinds = {
            404: ErrorKind.NOT_FOUND,
            409: ErrorKind.CONFLICT,
            STATUS_GONE: ErrorKind.CONFLICT,
        }
        kind = kinds.get(response.status, ErrorKind.STORE_UNAVAILABLE)
        return Error(Failure.of(kind, f"store: {method} {path}: status {response.status}"))


def _convert_object(item: Any) -> StoreObject | None:
    try:
        return msgspec.convert(item, StoreObject)
    except msgspec.ValidationError:
        return None


def _decode(data: bytes, document: type[Any]) -> Result[Any, Failure]:
    try:
        return Ok(msgspec.json.decode(data, type=document))
    except msgspec.DecodeError as error:
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, f"store: unreadable answer: {error}"))


def _discard_body(_: bytes) -> None:
    return None
