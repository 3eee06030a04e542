"""Fetches newer configurations from peers, as a state machine without I/O."""

from random import Random

from attrs import frozen

from persimmonspur.core.configuration.backoff import Backoff
from persimmonspur.core.configuration.holder import ConfigurationHolder

REPLY_TIMEOUT_MS = 500.0
INITIAL_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 5_000.0
MAX_DIGESTS_PER_REQUEST = 32


@frozen
class FetchRootFrom:
    """Request the configuration root from a peer."""

    peer: str
    known_version: int


@frozen
class FetchPartsFrom:
    """Request parts of the pending version from a peer."""

    peer: str
    digests: tuple[str, ...]


RetrievalAction = FetchRootFrom | FetchPartsFrom


class Retrieval:
    """Fetches newer versions from the peers that announce them.

    Only one request is outstanding at a time. A peer that does not reply within
    the timeout is skipped until its next message, so another peer is asked.
    """

    def __init__(self, holder: ConfigurationHolder, random: Random) -> None:
        """Start without any known peer.

        :param random: selects among peers, which spreads the requests of a cell over them.
        """
        self._holder = holder
        self._random = random
        self._backoff = Backoff(random, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS)
        self._announced_versions: dict[str, int] = {}
        self._requested_peer = ""
        self._next_request_ms = 0.0

    @property
    def announced_version(self) -> int:
        """Highest of the versions that peers announced last; 0 if there are none."""
        return max(self._announced_versions.values(), default=0)

    @property
    def has_announcements(self) -> bool:
        """Whether any peer announced a version."""
        return bool(self._announced_versions)

    def observe_version(self, peer: str, version: int, now_ms: float) -> list[RetrievalAction]:
        """Record the version announced in a peer's message, and fetch it if it is newer."""
        self._announced_versions[peer] = version
        return self.tick(now_ms)

    def observe_reply(self, peer: str, useful: bool, now_ms: float) -> list[RetrievalAction]:
        """Handle a reply, after its content was passed to the holder.

        :param useful: whether the holder accepted the content; otherwise the next request
            is delayed, since the same one would get the same reply.
        """
        if peer == self._requested_peer:
            self._requested_peer = ""
            self._next_request_ms = now_ms if useful else now_ms + self._backoff.next_ms()
        if useful:
            self._backoff.reset()
        return self.tick(now_ms)

    def tick(self, now_ms: float) -> list[RetrievalAction]:
        """Request what is missing unless a reply or a delay is still pending."""
        if now_ms < self._next_request_ms:
            return []
        if self._requested_peer:
            del self._announced_versions[self._requested_peer]
            self._requested_peer = ""
        missing = self._holder.list_missing_digests()
        pending = self._holder.pending_version
        collecting = bool(missing) and pending >= self.announced_version
        peer = self._choose_peer(pending if collecting else max(pending, self._holder.version) + 1)
        if not peer:
            return []
        self._next_request_ms = now_ms + REPLY_TIMEOUT_MS * (0.75 + 0.5 * self._random.random())
        self._requested_peer = peer
        if collecting:
            return [FetchPartsFrom(peer, missing[:MAX_DIGESTS_PER_REQUEST])]
        return [FetchRootFrom(peer, max(pending, self._holder.version))]

    def _choose_peer(self, min_version: int) -> str:
        wanted_version = max(min_version, self.announced_version)
        candidates = sorted(
            name for name, known in self._announced_versions.items() if known >= wanted_version
        )
        return self._random.choice(candidates) if candidates else ""
