"""Relays pass lists and changes of the store on to other instances, so that few call it.

A relay keeps its recent changes and answers long polls from the instances that follow it.
"""

from collections.abc import Callable
from typing import Any, Generic, TypeVar
from urllib.parse import parse_qs

import gevent
import msgspec
from attrs import define, field, frozen
from expression import Error, Ok, Result
from gevent.event import Event

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.fallback import StoreFallback
from persimmonspur.core.fleet.freshness import ConfigurationFreshness
from persimmonspur.core.fleet.history import ChangeBatch
from persimmonspur.core.fleet.messages import TimerHandle, Timers
from persimmonspur.core.fleet.position import NO_POSITION, StorePosition
from persimmonspur.core.fleet.relays import (
    EXCLUSION_MS,
    MAX_EXCLUDED_RELAYS,
    OUTAGE_EXCLUSION_MS,
    RelaySelector,
)
from persimmonspur.core.fleet.roles import Member
from persimmonspur.digits import parse_digits
from persimmonspur.entry.features import NO_FEATURES, FeatureSettings
from persimmonspur.entry.feeds import Feed, Snapshot, Source, Updates
from persimmonspur.entry.httpclient import HttpClient, fetch_message
from persimmonspur.entry.server import HttpRequest, Respond, ServerResponse
from persimmonspur.entry.serverlimits import PEER_RESPONSES, build_response_limits
from persimmonspur.entry.validation import build_entry_failure
from persimmonspur.errors import ErrorKind, Failure

T = TypeVar("T")
W = TypeVar("W")
R = TypeVar("R")

CHANGES_PATH = "/changes/"
OBJECTS_PATH = "/objects/"
# Name of the source of changes when the instance follows no relay.
STORE = "store"
# Time that a poll waits for changes. It is short so that the followers of a frozen relay
# notice within this time and fall back to the store.
POLL_WAIT_MS = 1_500.0
# Time that the response may take beyond the duration of the poll.
POLL_MARGIN_MS = 500.0
# Time that a relay that has no list yet may hold a request for one.
LIST_WAIT_MS = 500.0
# Time between requests for a list while no relay has one.
LIST_RETRY_MS = 50.0
# A restarted instance that gets no list from a relay within this time reads the store.
LIST_PATIENCE_MS = 100.0


class ChangesMessage(msgspec.Struct, Generic[W]):
    """Response of a relay to a poll, or all objects in response to a request for a list.

    :param position: position from which the next poll continues.
    :param newest: position of the latest change among the changes or objects.
    :param recovering: whether the relay recently lost the store.
    :param sent_ms: the relay's local time when it sent the response.
    """

    position: StorePosition
    newest: StorePosition
    recovering: bool
    sent_ms: float
    changes: list[tuple[str, W | None]]


class ReceivedChanges(msgspec.Struct):
    """A :class:`ChangesMessage` whose values are not decoded yet.

    One value that cannot be decoded then does not spoil the others.
    """

    position: StorePosition
    newest: StorePosition
    recovering: bool
    sent_ms: float
    changes: list[tuple[str, msgspec.Raw]]


@frozen
class RelayFormat(Generic[T, W]):
    """Encoding of one kind of object in messages between instances.

    :param wire_type: type of the values in the messages.
    :param pack: converts an object to its wire type.
    :param unpack: converts a wire value to an object; takes the receiver's local time
        minus the sender's as well.
    :param find_error: returns why an object with a name cannot be used, or an empty string; takes
        the receiver's local time as well.
    """

    wire_type: Any
    pack: Callable[[T], W]
    unpack: Callable[[W, float], T]
    find_error: Callable[[str, T, float], str]

    def decode(
        self, name: str, data: bytes, clock_offset_ms: float, now_ms: float
    ) -> Result[T | None, Failure]:
        """Decode and check one value of a message; a removed object is ``None``.

        :param clock_offset_ms: the receiver's local time minus the sender's.
        :param now_ms: local time of the receiver.
        """
        try:
            wire: W | None = msgspec.msgpack.decode(data, type=self.wire_type | None)
        except (msgspec.DecodeError, RecursionError) as error:
            return Error(build_entry_failure(name, str(error)))
        if wire is None:
            return Ok(None)
        value = self.unpack(wire, clock_offset_ms)
        reason = self.find_error(name, value, now_ms)
        return Error(build_entry_failure(name, reason)) if reason else Ok(value)


@define(eq=False)
class _PendingPoll:
    """A request that waits for changes, or for the first list.

    :param after: position up to which the follower knows all changes; ``NO_POSITION`` asks
        for all objects.
    """

    after: StorePosition
    respond: Respond
    timer: TimerHandle | None = field(default=None)


class ChangeRelay(Generic[T, W]):
    """Answers requests for the changes and the objects of one feed."""

    def __init__(
        self, feed: Feed[T], relay_format: RelayFormat[T, W], clock: Clock, timers: Timers
    ) -> None:
        """Forward the changes that a feed applies."""
        self._feed = feed
        self._format = relay_format
        self._clock = clock
        self._timers = timers
        self._polls: set[_PendingPoll] = set()
        feed.on_change = self._answer_polls

    def poll(
        self, after: StorePosition, wait_ms: float, respond: Respond
    ) -> Callable[[], None] | None:
        """Respond as soon as there are changes, or without changes after a timeout.

        :param after: position up to which the follower knows all changes; ``NO_POSITION``
            asks for all objects, as soon as this instance knows them.
        :param wait_ms: maximum time to wait for changes.
        :returns: function to call if the follower disconnects before the response.
        """
        poll = _PendingPoll(after, respond)
        if self._try_answer(poll, final=False):
            return None
        self._polls.add(poll)
        poll.timer = self._timers.call_later(wait_ms, lambda: self._expire(poll))
        return lambda: self._remove(poll)

    def _answer_polls(self) -> None:
        for poll in list(self._polls):
            if self._try_answer(poll, final=False):
                self._remove(poll)

    def _expire(self, poll: _PendingPoll) -> None:
        self._remove(poll)
        self._try_answer(poll, final=True)

    def _remove(self, poll: _PendingPoll) -> None:
        self._polls.discard(poll)
        if poll.timer is not None:
            poll.timer.cancel()

    def _try_answer(self, poll: _PendingPoll, final: bool) -> bool:
        if poll.after == NO_POSITION:
            return self._try_answer_list(poll, final)
        if self._feed.failing:
            poll.respond(ServerResponse(503))
            return True
        batch = self._feed.history.collect_since(poll.after)
        if batch is None:
            poll.respond(ServerResponse(410))
            return True
        if not batch.changes and not final:
            return False
        self._send(poll, batch)
        return True

    def _try_answer_list(self, poll: _PendingPoll, final: bool) -> bool:
        """Respond with all objects, also during an outage of the store."""
        feed = self._feed
        if not feed.listed:
            if final:
                poll.respond(ServerResponse(503))
            return final
        objects = tuple(feed.items.items())
        self._send(poll, ChangeBatch(NO_POSITION, feed.history.position, feed.newest, objects))
        return True

    def _send(self, poll: _PendingPoll, batch: ChangeBatch[T]) -> None:
        changes = []
        for name, value in batch.changes:
            changes.append((name, self._format.pack(value) if value is not None else None))
        message = ChangesMessage(
            batch.position, batch.newest, batch.recovering, self._clock.now_ms(), changes
        )
        poll.respond(ServerResponse(200, [], msgspec.msgpack.encode(message)))


class RelayHandler:
    """Serves the changes and objects of several feeds, selected by name in the request path."""

    def __init__(self, relays: dict[str, ChangeRelay[Any, Any]]) -> None:
        self._relays = relays

    def add(self, name: str, relay: ChangeRelay[Any, Any]) -> None:
        """Serve one more feed."""
        self._relays[name] = relay

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Handle one poll, or one request for a list."""
        path, _, query = request.target.decode("latin-1").partition("?")
        list_relay = self._relays.get(path.removeprefix(OBJECTS_PATH))
        if list_relay is not None:
            return list_relay.poll(NO_POSITION, LIST_WAIT_MS, respond)
        relay = self._relays.get(path.removeprefix(CHANGES_PATH))
        fields = parse_qs(query)
        after = _parse_position(fields.get("after", [""])[0])
        if relay is None or after == NO_POSITION:
            respond(ServerResponse(404))
            return None
        return relay.poll(after, POLL_WAIT_MS, respond)


def _format_position(position: StorePosition) -> str:
    return f"{position.era}.{position.revision}"


def _parse_position(text: str) -> StorePosition:
    """Return the position that a poll names, or ``NO_POSITION`` if it names none."""
    era_text, _, revision_text = text.partition(".")
    era, revision = parse_digits(era_text), parse_digits(revision_text)
    if era is None or revision is None:
        return NO_POSITION
    return StorePosition(era, revision)


class RelayClient:
    """Holds the HTTP client for the relay that this instance follows.

    :ivar source: name of the source of changes: a relay, or :data:`STORE`.
    :ivar fallback: limits the calls of the store while relays and the store fail.
    :ivar members_known: set once the registered instances were listed, or could not be.
    :ivar response_limits: limits of the responses of all peers.
    """

    def __init__(
        self,
        selector: RelaySelector,
        clock: Clock,
        timers: Timers,
        on_source_change: Callable[[str, str], None],
        list_patience_ms: float = LIST_PATIENCE_MS,
        features: FeatureSettings = NO_FEATURES,
    ) -> None:
        """Create a client that follows no relay.

        :param on_source_change: called with the name of the new source of changes and the
            reason for the switch.
        :param list_patience_ms: time after which a list is read from the store if no relay
            has one.
        :param features: limits of this machine.
        """
        self.selector = selector
        self.response_limits = build_response_limits(PEER_RESPONSES, features)
        self.list_patience_ms = list_patience_ms
        self.members_known = Event()
        self.fallback = StoreFallback()
        self.clock = clock
        self._timers = timers
        self._on_source_change = on_source_change
        self.source = STORE
        self._address = ""
        self._http_client: HttpClient | None = None

    def record_source(self, source: str, reason: str) -> None:
        """Record the source that is asked for changes, and report a switch.

        :param source: a relay's name, or :data:`STORE`.
        """
        if source != self.source:
            self.source = source
            self._on_source_change(source, reason)

    def get_client(self, relay: Member) -> HttpClient:
        """Return the HTTP client for a relay, closing the client for an earlier relay."""
        self.record_source(relay.name, "nearest relay")
        if self._http_client is None or self._address != relay.peer_address:
            if self._http_client is not None:
                self._http_client.close()
            self._address = relay.peer_address
            self._http_client = self.open_client(relay)
        return self._http_client

    def open_client(self, peer: Member) -> HttpClient:
        """Return a new HTTP client for a peer; the caller closes it."""
        return HttpClient(peer.peer_address, self.clock, self._timers, self.response_limits)


class RelayedSource(Generic[T, W]):
    """Reads objects and changes from a relay, or from the store if no relay answers."""

    def __init__(
        self,
        name: str,
        store: Source[T],
        relay_client: RelayClient,
        relay_format: RelayFormat[T, W],
        freshness: ConfigurationFreshness | None = None,
    ) -> None:
        """Wrap a source of the store.

        :param name: name of the feed.
        :param store: source to use without a relay.
        :param freshness: is told about the calls that the store answered, if given.
        """
        self._name = name
        self._store = store
        self._relay_client = relay_client
        self._format = relay_format
        self._freshness = freshness
        self._known_position = NO_POSITION

    def list(self, timeout_ms: float) -> Result[Snapshot[T], Failure]:
        """Return all objects from a relay, or from the store if none has them in time.

        A list that is older than what this instance already knows is not used.
        """
        client = self._relay_client
        deadline_ms = client.clock.now_ms() + client.list_patience_ms
        client.members_known.wait(client.list_patience_ms / 1000)
        while (now_ms := client.clock.now_ms()) < deadline_ms:
            relay = client.selector.choose_for_list(now_ms)
            if relay is None:
                break
            listed = self._list_from_relay(relay, deadline_ms - now_ms)
            if listed.is_ok() and listed.ok.position >= self._known_position:
                return listed
            gevent.sleep(LIST_RETRY_MS / 1000)
        return self._call_store(lambda: self._list_from_store(timeout_ms))

    def watch(self, position: StorePosition, wait_ms: float) -> Result[Updates[T], Failure]:
        """Wait for changes from a relay, or from the store if there is none or all fail."""
        self._known_position = max(self._known_position, position)
        client = self._relay_client
        reason = "no relay to follow"
        # Relays that fail slowly could otherwise be asked in turn for ever.
        for _ in range(MAX_EXCLUDED_RELAYS):
            relay = client.selector.choose(client.clock.now_ms())
            if relay is None:
                break
            watched = self._watch_relay(relay, position)
            if watched.is_ok() or watched.error.kind is ErrorKind.CONFLICT:
                return watched
            has_no_store = watched.error.kind is ErrorKind.NOT_READY
            period_ms = OUTAGE_EXCLUSION_MS if has_no_store else EXCLUSION_MS
            client.selector.exclude(relay, client.clock.now_ms(), period_ms)
            reason = watched.error.message
        client.record_source(STORE, reason)
        return self._call_store(lambda: self._watch_store(position, wait_ms))

    def _list_from_store(self, timeout_ms: float) -> Result[Snapshot[T], Failure]:
        started_ms = self._relay_client.clock.now_ms()
        listed = self._store.list(timeout_ms)
        if self._freshness is not None and listed.is_ok():
            self._freshness.record_store_call(started_ms)
        return listed

    def _watch_store(self, position: StorePosition, wait_ms: float) -> Result[Updates[T], Failure]:
        if self._freshness is None:
            return self._store.watch(position, wait_ms)
        wait_ms = min(wait_ms, self._freshness.max_watch_ms)
        started_ms = self._relay_client.clock.now_ms()
        watched = self._store.watch(position, wait_ms)
        if watched.is_ok():
            # An empty answer was written when the wait was over; one with changes, at any time.
            empty = not watched.ok.changes and not watched.ok.rejected
            valid_ms = started_ms + wait_ms if empty else started_ms
            self._freshness.record_store_call(min(valid_ms, self._relay_client.clock.now_ms()))
        return watched

    def _call_store(self, call: Callable[[], Result[R, Failure]]) -> Result[R, Failure]:
        client = self._relay_client
        now_ms = client.clock.now_ms()
        if not client.selector.is_follower(now_ms):
            return call()
        if not client.fallback.try_acquire(now_ms):
            reason = "neither relays nor the store answered lately"
            return Error(Failure.of(ErrorKind.STORE_UNAVAILABLE, reason))
        result = call()
        lost_history = result.is_error() and result.error.kind is ErrorKind.CONFLICT
        client.fallback.record_result(result.is_error() and not lost_history, client.clock.now_ms())
        return result

    def _list_from_relay(self, relay: Member, timeout_ms: float) -> Result[Snapshot[T], Failure]:
        fetched = self._fetch(relay, f"{OBJECTS_PATH}{self._name}", timeout_ms)
        if fetched.is_error():
            return Error(fetched.error)
        updates = self._to_updates(fetched.ok)
        items = {name: value for name, value in updates.changes if value is not None}
        return Ok(Snapshot(items, updates.position, updates.newest, updates.rejected))

    def _watch_relay(self, relay: Member, position: StorePosition) -> Result[Updates[T], Failure]:
        path = f"{CHANGES_PATH}{self._name}?after={_format_position(position)}"
        fetched = self._fetch(relay, path, POLL_WAIT_MS + POLL_MARGIN_MS)
        return fetched.map(self._to_updates)

    def _fetch(
        self, relay: Member, path: str, timeout_ms: float
    ) -> Result[ReceivedChanges, Failure]:
        http_client = self._relay_client.get_client(relay)
        return fetch_message(http_client, f"relay {relay.name}", path, timeout_ms, ReceivedChanges)

    def _to_updates(self, message: ReceivedChanges) -> Updates[T]:
        now_ms = self._relay_client.clock.now_ms()
        changes: list[tuple[str, T | None]] = []
        rejected: list[Failure] = []
        for name, data in message.changes:
            decoded = self._format.decode(name, bytes(data), now_ms - message.sent_ms, now_ms)
            if decoded.is_error():
                # As in the store, an invalid entry names nothing that can be used.
                rejected.append(decoded.error)
            changes.append((name, None if decoded.is_error() else decoded.ok))
        return Updates(
            tuple(changes),
            message.position,
            message.newest,
            tuple(rejected),
            message.recovering,
            relayed=True,
        )
