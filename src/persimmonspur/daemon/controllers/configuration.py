"""Keeps the configuration up to date from the object API and the peers."""

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

WATCHERS = 2
WATCH_MS = 30_000.0
ROLE_MS = 500.0
TICK_MS = 100.0
SETTLE_MS = 2_000.0
BACKOFF_FIRST_MS = 200.0
BACKOFF_MOST_MS = 5_000.0
MAX_REPLY_BYTES = 1_000_000

# Every member also reads the root now and then, in case both watchers are cut
# off from the object API. Per cell this is one read per 2 s whatever its size,
# about 80 reads/s at 158 cells of 24.
ROOT_READ_INTERVAL_PER_MEMBER_MS = 2_000.0
LEAST_CHECK_MS = 10_000.0


@CONTROLLERS.register("configuration")
class ConfigurationController:
    """Watches the root object if this is one of the cell's watchers, and asks and answers peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._holder = instance.configuration_holder
        random = Random(f"{instance.settings.seed}/{instance.settings.instance}/configuration")
        self._random = random
        self._retrieval = Retrieval(instance.configuration_holder, random)
        self._backoff = Backoff(random, BACKOFF_FIRST_MS, BACKOFF_MOST_MS)
        self._loops: list[gevent.Greenlet[[], None]] = []
        self._stored_version = 0
        self._collected_version = 0
        self._next_check_ms = 0.0
        self._first_ms: float | None = None
        self._settled = False

    def start(self) -> None:
        """Start to follow the object API and the peers."""
        self._loops = [gevent.spawn(self._poll_store_forever), gevent.spawn(self._follow_peers)]

    def stop(self) -> None:
        """Stop both."""
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
        """Whether this instance, after its start, has the version that its peers have.

        The object API may answer a first read with a former version, which the
        former process of this instance may already have left behind.
        """
        if self._settled or self._holder.version == 0:
            return self._settled
        now_ms = self._instance.clock.now_ms()
        if self._first_ms is None:
            self._first_ms = now_ms
        alone = len(self._instance.cell.list_live_members(now_ms)) <= 1
        waited = now_ms - self._first_ms >= SETTLE_MS
        heard = self._retrieval.has_announcements or (
            alone and self._instance.cell.table_version > 0
        )
        current = self._retrieval.announced_version <= self._holder.version
        self._settled = (heard and current) or waited
        return self._settled

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is one of its cell's watchers."""
        now_ms = self._instance.clock.now_ms()
        members = self._instance.cell.list_live_members(now_ms)
        weights = {member.name: 1.0 for member in members}
        weights[self._instance.settings.instance] = 1.0
        ranked = rank_candidates(weights, f"{self._instance.settings.cell}/configuration")
        return self._instance.settings.instance in ranked[:WATCHERS]

    def observe_version(self, sender: str, version: int) -> None:
        """Take the version that came with a peer's message."""
        now_ms = self._instance.clock.now_ms()
        self._execute(self._retrieval.observe_version(sender, version, now_ms))

    def _follow_peers(self) -> None:
        while True:
            gevent.sleep(TICK_MS / 1000)
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
        """Do one step.

        :returns: ``False`` to wait before the next one.
        """
        now_ms = self._instance.clock.now_ms()
        api = self._instance.object_api
        if self._collecting or self._holder.version == 0 or now_ms >= self._next_check_ms:
            members = len(self._instance.cell.list_live_members(now_ms))
            interval_ms = max(LEAST_CHECK_MS, members * ROOT_READ_INTERVAL_PER_MEMBER_MS)
            self._next_check_ms = now_ms + interval_ms * (0.75 + 0.5 * self._random.random())
            return self._take(api.read(ROOT_KEY))
        if self.is_watcher:
            wait_ms = min(WATCH_MS, max(1_000.0, self._next_check_ms - now_ms))
            return self._take(api.watch(ROOT_KEY, self._stored_version, wait_ms))
        gevent.sleep(ROLE_MS / 1000)
        return True

    @property
    def _collecting(self) -> bool:
        """Whether parts of a root that came from the object API are missing."""
        return 0 < self._holder.pending_version <= self._collected_version

    def _take(self, result: Result[StoredObject | None, Failure]) -> bool:
        if result.is_error():
            self._instance.timeline.record(events.STORE_FAILED, reason=result.error.message)
            return False
        stored = result.ok
        if stored is None:
            return self._holder.version > 0
        self._stored_version = max(self._stored_version, stored.version)
        root = self._decode(stored.value)
        if root is None:
            return self._holder.version > 0
        if self._holder.offer_root(root):
            self._collected_version = root.version
        if not self._collecting:
            return True
        complete = self._read_parts()
        if self._switch():
            # Tells the others at once; their heartbeats would tell them within a second.
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
            reason = "it is missing" if stored is None else "its bytes have another digest"
            if stored is None or not self._holder.offer_part(digest, stored.value):
                self._instance.timeline.record(
                    events.CONFIGURATION_PART_UNREADABLE,
                    digest=digest,
                    version=version,
                    reason=reason,
                )
                return False
        return True

    def _decode(self, value: bytes) -> ConfigurationRoot | None:
        try:
            return decode_root(value)
        except msgspec.DecodeError as error:
            self._instance.timeline.record(events.CONFIGURATION_UNREADABLE, reason=str(error))
            return None

    def _switch(self) -> bool:
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
        root = self._decode(message.body.value)
        useful = root is not None and self._holder.offer_root(root)
        self._finish_reply(message.sender, useful)

    def _handle_fetch_parts(self, message: PeerMessage) -> None:
        values: dict[str, bytes] = {}
        size = 0
        for digest in message.body.digests:
            value = self._holder.find_part(digest)
            if value is None:
                continue
            size += len(value)
            if values and size > MAX_REPLY_BYTES:
                break
            values[digest] = value
        self._instance.send(message.sender, ConfigurationParts(values))

    def _handle_parts(self, message: PeerMessage) -> None:
        useful = False
        for digest, value in message.body.values.items():
            useful = self._holder.offer_part(digest, value) or useful
        self._finish_reply(message.sender, useful)

    def _finish_reply(self, sender: str, useful: bool) -> None:
        self._switch()
        now_ms = self._instance.clock.now_ms()
        self._execute(self._retrieval.observe_reply(sender, useful, now_ms))
