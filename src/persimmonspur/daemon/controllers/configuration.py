"""Retrieves configuration changes from the object API and from peers."""

from random import Random

import gevent
import msgspec
from expression import Result

from persimmonspur.core.configuration.backoff import Backoff
from persimmonspur.core.configuration.parts import (
    PART_PREFIX,
    ROOT_KEY,
    ConfigurationRoot,
    decode_root,
    encode_root,
)
from persimmonspur.core.configuration.retrieval import (
    FetchPartsFrom,
    FetchRootFrom,
    Retrieval,
    RetrievalAction,
)
from persimmonspur.core.rendezvous import rank_candidates
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Handler, PeerMessage
from persimmonspur.daemon.instance import Instance
from persimmonspur.errors import Failure
from persimmonspur.model.messages import (
    ConfigurationParts,
    ConfigurationState,
    FetchConfiguration,
    FetchConfigurationParts,
)
from persimmonspur.ports import StoredObject

WATCHER_COUNT = 2
WATCH_TIMEOUT_MS = 30_000.0
WATCHER_CHECK_INTERVAL_MS = 500.0
TICK_INTERVAL_MS = 100.0
SYNCHRONIZATION_TIMEOUT_MS = 2_000.0
INITIAL_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 5_000.0
MAX_PARTS_REPLY_BYTES = 1_000_000

# Every member also reads the root periodically, in case both watchers lose the
# object API. This costs one read per 2 s and cell whatever the cell's size, about
# 80 reads/s at 158 cells of 24 members.
ROOT_READ_INTERVAL_PER_MEMBER_MS = 2_000.0
MIN_ROOT_READ_INTERVAL_MS = 10_000.0


@CONTROLLERS.register("configuration")
class ConfigurationController:
    """Keeps the configuration up to date and serves it to peers.

    The watchers of a cell watch the root object in the object API; the other members
    fetch changes from peers.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._holder = instance.configuration_holder
        random = Random(f"{instance.settings.seed}/{instance.settings.instance}/configuration")
        self._random = random
        self._retrieval = Retrieval(instance.configuration_holder, random)
        self._backoff = Backoff(random, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS)
        self._loops: list[gevent.Greenlet[[], None]] = []
        self._root_object_version = 0
        self._root_version_from_store = 0
        self._next_root_read_ms = 0.0
        self._first_configured_ms: float | None = None
        self._synchronized = False

    def start(self) -> None:
        """Start to poll the object API and to fetch changes from peers."""
        self._loops = [gevent.spawn(self._poll_store_forever), gevent.spawn(self._tick_forever)]

    def stop(self) -> None:
        """Stop all background work."""
        for loop in self._loops:
            loop.kill()

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of configuration messages."""
        return {
            FetchConfiguration: self._handle_fetch,
            ConfigurationState: self._handle_state,
            FetchConfigurationParts: self._handle_fetch_parts,
            ConfigurationParts: self._handle_parts,
        }

    @property
    def synchronized(self) -> bool:
        """Whether this instance has caught up with its peers since it started.

        The first read of the object API may return a stale version, older than the
        one that the previous process of this instance already used.
        """
        if self._synchronized or self._holder.version == 0:
            return self._synchronized
        now_ms = self._instance.clock.now_ms()
        if self._first_configured_ms is None:
            self._first_configured_ms = now_ms
        is_only_member = len(self._instance.cell.list_live_members(now_ms)) <= 1
        timed_out = now_ms - self._first_configured_ms >= SYNCHRONIZATION_TIMEOUT_MS
        peers_announced = self._retrieval.has_announcements or (
            is_only_member and self._instance.cell.table_version > 0
        )
        caught_up = self._retrieval.announced_version <= self._holder.version
        self._synchronized = (peers_announced and caught_up) or timed_out
        return self._synchronized

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is one of its cell's watchers."""
        now_ms = self._instance.clock.now_ms()
        members = self._instance.cell.list_live_members(now_ms)
        weights = {member.name: 1.0 for member in members}
        weights[self._instance.settings.instance] = 1.0
        ranked = rank_candidates(weights, f"{self._instance.settings.cell}/configuration")
        return self._instance.settings.instance in ranked[:WATCHER_COUNT]

    def observe_version(self, sender: str, version: int) -> None:
        """Record the configuration version that a peer's message announced."""
        now_ms = self._instance.clock.now_ms()
        self._execute(self._retrieval.observe_version(sender, version, now_ms))

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_INTERVAL_MS / 1000)
            self._execute(self._retrieval.tick(self._instance.clock.now_ms()))

    def _execute(self, actions: list[RetrievalAction]) -> None:
        for action in actions:
            match action:
                case FetchRootFrom():
                    self._instance.send(action.peer, FetchConfiguration(action.known_version))
                case FetchPartsFrom():
                    message = FetchConfigurationParts(list(action.digests))
                    self._instance.send(action.peer, message)

    def _poll_store_forever(self) -> None:
        while True:
            if self._poll_store():
                self._backoff.reset()
                continue
            gevent.sleep(self._backoff.next_ms() / 1000)

    def _poll_store(self) -> bool:
        """Read or watch the root once.

        :returns: ``False`` if the caller has to back off before the next call.
        """
        now_ms = self._instance.clock.now_ms()
        api = self._instance.object_api
        if self._fetching_parts or self._holder.version == 0 or now_ms >= self._next_root_read_ms:
            members = len(self._instance.cell.list_live_members(now_ms))
            interval_ms = max(MIN_ROOT_READ_INTERVAL_MS, members * ROOT_READ_INTERVAL_PER_MEMBER_MS)
            self._next_root_read_ms = now_ms + interval_ms * (0.75 + 0.5 * self._random.random())
            return self._handle_root_result(api.read(ROOT_KEY))
        if self.is_watcher:
            wait_ms = min(WATCH_TIMEOUT_MS, max(1_000.0, self._next_root_read_ms - now_ms))
            return self._handle_root_result(api.watch(ROOT_KEY, self._root_object_version, wait_ms))
        gevent.sleep(WATCHER_CHECK_INTERVAL_MS / 1000)
        return True

    @property
    def _fetching_parts(self) -> bool:
        """Whether parts of a root that was read from the object API are missing."""
        return 0 < self._holder.pending_version <= self._root_version_from_store

    def _handle_root_result(self, result: Result[StoredObject | None, Failure]) -> bool:
        if result.is_error():
            self._instance.timeline.record(events.STORE_FAILED, reason=result.error.message)
            return False
        stored = result.ok
        if stored is None:
            return self._holder.version > 0
        self._root_object_version = max(self._root_object_version, stored.version)
        root = self._decode_root(stored.value)
        if root is None:
            return self._holder.version > 0
        if self._holder.offer_root(root):
            self._root_version_from_store = root.version
        if not self._fetching_parts:
            return True
        complete = self._read_parts()
        if self._activate_pending():
            # Announces the version to the others at once; heartbeats would need up to 1 s.
            self._instance.broadcast(FetchConfiguration(root.version))
        return complete

    def _read_parts(self) -> bool:
        version = self._holder.pending_version
        for digest in self._holder.list_missing_digests():
            result = self._instance.object_api.read(PART_PREFIX + digest)
            if result.is_error():
                self._instance.timeline.record(events.STORE_FAILED, reason=result.error.message)
                return False
            stored = result.ok
            reason = "object not found" if stored is None else "digest does not match"
            if stored is None or not self._holder.offer_part(digest, stored.value):
                self._instance.timeline.record(
                    events.CONFIGURATION_PART_UNREADABLE,
                    digest=digest,
                    version=version,
                    reason=reason,
                )
                return False
        return True

    def _decode_root(self, value: bytes) -> ConfigurationRoot | None:
        try:
            return decode_root(value)
        except msgspec.DecodeError as error:
            self._instance.timeline.record(events.CONFIGURATION_UNREADABLE, reason=str(error))
            return None

    def _activate_pending(self) -> bool:
        result = self._holder.activate_pending()
        if result.is_error():
            reason = result.error.message
            self._instance.timeline.record(events.CONFIGURATION_REJECTED, reason=reason)
            return False
        if result.ok is None:
            return False
        version = self._holder.version
        self._instance.timeline.record(events.CONFIGURATION_ADOPTED, version=version)
        self._instance.metrics.configuration_version.set(version)
        self._instance.configure(result.ok)
        return True

    def _handle_fetch(self, message: PeerMessage) -> None:
        root = self._holder.root
        if root is None or root.version <= message.body.known_version:
            return
        state = ConfigurationState(root.version, encode_root(root))
        self._instance.send(message.sender, state)

    def _handle_state(self, message: PeerMessage) -> None:
        root = self._decode_root(message.body.value)
        accepted = root is not None and self._holder.offer_root(root)
        self._handle_peer_reply(message.sender, accepted)

    def _handle_fetch_parts(self, message: PeerMessage) -> None:
        values: dict[str, bytes] = {}
        size = 0
        for digest in message.body.digests:
            value = self._holder.find_part(digest)
            if value is None:
                continue
            size += len(value)
            if values and size > MAX_PARTS_REPLY_BYTES:
                break
            values[digest] = value
        self._instance.send(message.sender, ConfigurationParts(values))

    def _handle_parts(self, message: PeerMessage) -> None:
        accepted = False
        for digest, value in message.body.values.items():
            accepted = self._holder.offer_part(digest, value) or accepted
        self._handle_peer_reply(message.sender, accepted)

    def _handle_peer_reply(self, sender: str, accepted: bool) -> None:
        self._activate_pending()
        now_ms = self._instance.clock.now_ms()
        self._execute(self._retrieval.observe_reply(sender, accepted, now_ms))
