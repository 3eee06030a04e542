"""Client of the platform's object store."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.digits import parse_digits
from persimmonspur.entry.httpclient import STATUS_GONE, HttpClient
from persimmonspur.entry.responses import HttpResponse
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.platform.documents import ObjectMeta, StoreObject
from persimmonspur.platform.headers import find_header
from persimmonspur.platform.rawjson import split_array, split_object

P = TypeVar("P")

CONFIGURATION_KIND = "config"
ENDPOINT_KIND = "servers"
EVACUATION_KIND = "evacuations"
INSTANCE_KIND = "entry-instances"
ROLLOUT_KIND = "rollouts"

CALL_TIMEOUT_MS = 1_500.0
# A watch is answered at most this long after its requested wait has ended.
WATCH_MARGIN_MS = 1_500.0
STATUS_CONFLICT = 409
# Pages of one list together; a faulty store may announce a further page for ever.
MAX_LIST_BYTES = 32_000_000
# Counts how often the store was restored from an older copy.
STORE_ERA = b"Store-Era"


class _List(msgspec.Struct):
    # Revision of the store at the time of this list; a watch continues from it.
    store_revision: int
    has_more: bool = False
    # Entries may be written by anyone, so each is decoded on its own.
    items: list[msgspec.Raw] = []


class _Events(msgspec.Struct):
    store_revision: int
    events: list[msgspec.Raw] = []


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


@frozen
class UnreadableObject:
    """An object that cannot be decoded.

    :param meta: its metadata; ``None`` if they cannot be decoded either.
    """

    meta: ObjectMeta | None


@frozen
class Listing:
    """All objects of one kind, in the order of their names.

    :param position: position from which a watch continues.
    """

    objects: tuple[StoreObject | UnreadableObject, ...]
    position: StorePosition


@frozen
class Change:
    """The creation, replacement or removal of one object."""

    object: StoreObject | UnreadableObject
    removed: bool


@frozen
class WatchResult:
    """Changes that a watch reported.

    :param position: position from which the next watch continues.
    """

    changes: tuple[Change, ...]
    position: StorePosition


class PlatformStore:
    """Client of the store's HTTP API; it never retries a request.

    :ivar era: highest era that the store has announced; 0 if it announces none.
    :ivar on_new_era: called with each higher era after the first one.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self.era = 0
        self.on_new_era: Callable[[int], None] | None = None

    def list(self, kind: str, timeout_ms: float = CALL_TIMEOUT_MS) -> Result[Listing, Failure]:
        """Return all objects of a kind, reading page by page.

        :param timeout_ms: timeout of the request for each page.
        """
        objects: list[StoreObject | UnreadableObject] = []
        after = ""
        received_bytes = 0
        position: StorePosition | None = None
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            response = self._request("GET", f"/-/objects/{kind}{query}", b"", timeout_ms)
            if response.is_error():
                return Error(response.error)
            page = _decode(response.ok.body, _List, b"items")
            if page.is_error():
                return Error(page.error)
            era = _parse_era(response.ok)
            if position is None:
                # Pages before a later one may have changed since they were read.
                position = StorePosition(era, page.ok.store_revision)
            if era != position.era:
                reason = f"store: restored while {kind} was listed"
                return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, reason))
            read = [_decode_object(bytes(item)) for item in page.ok.items]
            objects += read
            if not page.ok.has_more or not read:
                return Ok(Listing(tuple(objects), position))
            names = [item.meta.name for item in read if item.meta is not None]
            if not names or names[-1] == after:
                reason = f"store: no entry of a page of {kind} has a new readable name"
                return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, reason))
            received_bytes += len(response.ok.body)
            if received_bytes > MAX_LIST_BYTES:
                reason = f"store: the list of {kind} exceeds {MAX_LIST_BYTES} bytes"
                return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, reason))
            after = names[-1]

    def watch(
        self, kind: str, position: StorePosition, wait_ms: float
    ) -> Result[WatchResult, Failure]:
        """Wait for changes to objects of a kind after a position.

        :param wait_ms: longest wait; the result is empty if nothing changes in that time.
        :returns: an error of kind ``CONFLICT`` if the store no longer has that history. A
            store of another era may have the revision, but with another history before it.
        """
        path = f"/-/objects/{kind}?watch={position.revision}&wait_ms={int(wait_ms)}"
        response = self._request("GET", path, b"", wait_ms + WATCH_MARGIN_MS)
        if response.is_error():
            return Error(response.error)
        era = _parse_era(response.ok)
        if era != position.era:
            reason = f"store: era is {era}, revision {position.revision} is of era {position.era}"
            return Error(Failure.of(ErrorKind.CONFLICT, reason))
        events = _decode(response.ok.body, _Events, b"events")
        if events.is_error():
            return Error(events.error)
        changes = tuple(_decode_event(bytes(event)) for event in events.ok.events)
        return Ok(WatchResult(changes, StorePosition(era, events.ok.store_revision)))

    def put(self, kind: str, name: str, spec: Any) -> Result[None, Failure]:
        """Create an object, or replace it if it exists."""
        body = msgspec.json.encode({"meta": {"name": name}, "spec": spec})
        created = self._request("POST", f"/-/objects/{kind}", body, CALL_TIMEOUT_MS)
        if created.is_ok() or created.error.kind is not ErrorKind.CONFLICT:
            return created.map(_discard_body)
        path = f"/-/objects/{kind}/{quote(name)}"
        return self._request("PUT", path, body, CALL_TIMEOUT_MS).map(_discard_body)

    def put_status(
        self, kind: str, name: str, revision: int, status: Any
    ) -> Result[StoreObject, Failure]:
        """Write an object's status if the object still has a revision.

        :returns: the object, or what it is now if another client has changed it.
        """
        body = msgspec.json.encode({"meta": {"name": name, "revision": revision}, "status": status})
        path = f"/-/objects/{kind}/{quote(name, safe='')}/status"
        result = self._client.request("PUT", path, body, CALL_TIMEOUT_MS)
        if result.is_error():
            return Error(result.error)
        response = result.ok
        self._observe_era(response)
        if response.status != STATUS_CONFLICT and not 200 <= response.status < 300:
            return Error(_build_status_failure("PUT", path, response.status))
        read = _decode_object(response.body)
        if isinstance(read, UnreadableObject):
            reason = f"store: PUT {path} returned an unreadable object"
            return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, reason))
        return Ok(read)

    def remove(self, kind: str, name: str) -> Result[None, Failure]:
        """Remove an object."""
        path = f"/-/objects/{kind}/{quote(name)}"
        return self._request("DELETE", path, b"", CALL_TIMEOUT_MS).map(_discard_body)

    def _request(
        self, method: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[HttpResponse, Failure]:
        result = self._client.request(method, path, body, timeout_ms)
        if result.is_error():
            return Error(result.error)
        response = result.ok
        self._observe_era(response)
        if 200 <= response.status < 300:
            return Ok(response)
        return Error(_build_status_failure(method, path, response.status))

    def _observe_era(self, response: HttpResponse) -> None:
        era = _parse_era(response)
        if era <= self.era:
            return
        known = self.era
        self.era = era
        if known and self.on_new_era is not None:
            self.on_new_era(era)


def _build_status_failure(method: str, path: str, status: int) -> Failure:
    kinds = {
        404: ErrorKind.NOT_FOUND,
        STATUS_CONFLICT: ErrorKind.CONFLICT,
        STATUS_GONE: ErrorKind.CONFLICT,
    }
    kind = kinds.get(status, ErrorKind.STORE_UNAVAILABLE)
    return Failure.of(kind, f"store: {method} {path} returned status {status}")


def _parse_era(response: HttpResponse) -> int:
    value = find_header(response.headers, STORE_ERA)
    return (parse_digits(value) if value is not None else None) or 0


def _decode_event(data: bytes) -> Change:
    try:
        event = msgspec.json.decode(data, type=_Event)
        return Change(_decode_object(bytes(event.object)), event.removed)
    except (msgspec.DecodeError, RecursionError):
        members = split_object(data) or {}
    return Change(_decode_object(members.get(b"object", b"")), members.get(b"removed") == b"true")


def _decode_object(data: bytes) -> StoreObject | UnreadableObject:
    try:
        return msgspec.json.decode(data, type=StoreObject)
    except (msgspec.DecodeError, RecursionError):
        members = split_object(data) or {}
    return UnreadableObject(_decode_meta(members.get(b"meta", b"")))


def _decode_meta(data: bytes) -> ObjectMeta | None:
    try:
        return msgspec.json.decode(data, type=ObjectMeta)
    except (msgspec.DecodeError, RecursionError):
        members = split_object(data) or {}
    try:
        name = msgspec.json.decode(members.get(b"name", b""), type=str)
        return ObjectMeta(name, msgspec.json.decode(members.get(b"revision", b"0"), type=int))
    except msgspec.DecodeError:
        return None


def _decode(data: bytes, document_type: type[P], entries_name: bytes) -> Result[P, Failure]:
    """Decode a response whose entries stay undecoded.

    :param entries_name: name of the member that holds the list of entries.
    """
    try:
        return Ok(msgspec.json.decode(data, type=document_type))
    except (msgspec.DecodeError, RecursionError) as error:
        reason = f"store: invalid response: {error}"
    # An entry that the decoder cannot even skip spoils the whole response for it.
    members = split_object(data) or {}
    entries = split_array(members.pop(entries_name, b""))
    if entries is None:
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, reason))
    rest = b",".join(b'"%b":%b' % member for member in members.items())
    try:
        document = msgspec.json.decode(b"{%b}" % rest, type=document_type)
    except (msgspec.DecodeError, RecursionError) as error:
        reason = f"store: invalid response: {error}"
        return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, reason))
    setattr(document, entries_name.decode(), [msgspec.Raw(entry) for entry in entries])
    return Ok(document)


def _discard_body(_: HttpResponse) -> None:
    return None
