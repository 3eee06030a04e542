"""Decides what an instance asks its peers for, as a state machine without I/O."""

from random import Random

from attrs import frozen

from persimmonspur.core.configuration.backoff import Backoff
from persimmonspur.core.configuration.holder import ConfigurationHolder

REPLY_MS = 500.0
FRUITLESS_FIRST_MS = 250.0
FRUITLESS_MOST_MS = 5_000.0
MAX_DIGESTS = 32


@frozen
class FetchRootFrom:
    """Ask a peer for its root."""

    peer: str
    known_version: int


@frozen
class FetchPartsFrom:
    """Ask a peer for parts of the pending version."""

    peer: str
    digests: tuple[str, ...]


RetrievalAction = FetchRootFrom | FetchPartsFrom


class Retrieval:
    """Fetches newer versions from the peers that announce them.

    One request is on its way at a time. A peer that does not reply counts as
    silent until its next message, so the request goes to another one.
    """

    def __init__(self, holder: ConfigurationHolder, random: Random) -> None:
        """Start without knowledge of peers.

        :param random: chooses among peers, so that a cell does not ask one of them only.
        """
        self._holder = holder
        self._random = random
        self._backoff = Backoff(random, FRUITLESS_FIRST_MS, FRUITLESS_MOST_MS)
        self._announced: dict[str, int] = {}
        self._asked = ""
        self._due_ms = 0.0

    @property
    def announced_version(self) -> int:
        """Highest version that a peer announced last; 0 if none did."""
        return max(self._announced.values(), default=0)

    @property
    def has_announcements(self) -> bool:
        """Whether any peer announced a version."""
        return bool(self._announced)

    def observe_version(self, peer: str, version: int, now_ms: float) -> list[RetrievalAction]:
        """Take the version that came with any message of a peer."""
        self._announced[peer] = version
        return self.tick(now_ms)

    def observe_reply(self, peer: str, useful: bool, now_ms: float) -> list[RetrievalAction]:
        """Take note of a reply, after the holder took its content.

        :param useful: whether the holder could use it; otherwise the next request waits,
            since the same one would get the same reply.
        """
        if peer == self._asked:
            self._asked = ""
            self._due_ms = now_ms if useful else now_ms + self._backoff.next_ms()
        if useful:
            self._backoff.reset()
        return self.tick(now_ms)

    def tick(self, now_ms: float) -> list[RetrievalAction]:
        """Ask for what is missing unless a reply is still expected."""
        if now_ms < self._due_ms:
            return []
        if self._asked:
            del self._announced[self._asked]
            self._asked = ""
        missing = self._holder.list_missing_digests()
        pending = self._holder.pending_version
        collecting = bool(missing) and pending >= self.announced_version
        peer = self._choose(pending if collecting else max(pending, self._holder.version) + 1)
        if not peer:
            return []
        self._due_ms = now_ms + REPLY_MS * (0.75 + 0.5 * self._random.random())
        self._asked = peer
        if collecting:
            return [FetchPartsFrom(peer, missing[:MAX_DIGESTS])]
        return [FetchRootFrom(peer, max(pending, self._holder.version))]

    def _choose(self, least: int) -> str:
        best = max(least, self.announced_version)
        candidates = sorted(name for name, known in self._announced.items() if known >= best)
        return self._random.choice(candidates) if candidates else ""
