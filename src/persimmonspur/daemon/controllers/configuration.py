"""Keeps the configuration up to date from the object API and the peers."""

import gevent
import msgspec

from persimmonspur.core.configuration.document import decode_root, encode_root
from persimmonspur.core.configuration.holder import ROOT_KEY
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Handler, PeerMessage
from persimmonspur.daemon.instance import Instance
from persimmonspur.model.messages import ConfigurationState, FetchConfiguration

WATCH_MS = 30_000.0
RETRY_MS = 500.0


@CONTROLLERS.register("configuration")
class ConfigurationController:
    """Watches the root object and answers peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._loop: gevent.Greenlet[[], None] | None = None

    def start(self) -> None:
        """Start to watch."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to watch."""
        if self._loop is not None:
            self._loop.kill()

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of configuration messages."""
        return {
            FetchConfiguration: self._handle_fetch,
            ConfigurationState: self._handle_state,
        }

    def observe_version(self, sender: str, version: int) -> None:
        """Fetch a configuration that a peer knows and this instance does not."""
        known = self._instance.holder.version
        if version > known:
            self._instance.send(sender, FetchConfiguration(known))

    def _run(self) -> None:
        stored_version = 0
        while True:
            result = self._instance.object_api.watch(ROOT_KEY, stored_version, WATCH_MS)
            if result.is_error():
                self._instance.timeline.record(events.STORE_FAILED, reason=result.error.message)
                gevent.sleep(RETRY_MS / 1000)
                continue
            stored = result.ok
            if stored is None:
                continue
            stored_version = stored.version
            self._offer(stored.value)

    def _offer(self, value: bytes) -> None:
        try:
            root = decode_root(value)
        except msgspec.DecodeError as error:
            self._instance.timeline.record(events.CONFIGURATION_UNREADABLE, reason=str(error))
            return
        if not self._instance.holder.offer(root):
            return
        self._instance.timeline.record(events.CONFIGURATION_ADOPTED, version=root.version)
        self._instance.metrics.configuration_version.set(root.version)
        self._instance.configure(root.configuration)

    def _handle_fetch(self, message: PeerMessage) -> None:
        root = self._instance.holder.root
        if root is None or root.version <= message.body.known_version:
            return
        state = ConfigurationState(root.version, encode_root(root))
        self._instance.send(message.sender, state)

    def _handle_state(self, message: PeerMessage) -> None:
        self._offer(message.body.value)
