"""How certain this instance is that its configuration is the one in the store."""

import math
from enum import Enum, auto

from persimmonspur.core.fleet.position import NO_POSITION, StorePosition

# A peer counts as silent after this long without a heartbeat from any; the relays that are not
# in the entry set send one every 900 ms, and single datagrams get lost.
HEARTBEAT_SILENCE_MS = 3_600.0
# Activity that pauses this long indicates that the process was suspended.
SUSPENSION_MS = 1_500.0
# Time after a suspension in which heartbeats may be those that queued up during it.
SETTLING_MS = 100.0
# A watch of the store waits at most this share of the time after which a configuration counts
# as unconfirmed. A watch that returns changes confirms only the time of its start, and a
# heartbeat passes a confirmation on up to 900 ms later.
WATCH_SHARE = 1 / 3


class ConfigurationStanding(Enum):
    """How far an instance may rely on its configuration when it refuses or admits requests."""

    CURRENT = auto()
    # A newer configuration may exist, so a refusal may be wrong.
    UNCERTAIN = auto()
    # A key may have been revoked, so an admission may be wrong.
    REVOKED = auto()


class ConfigurationFreshness:
    """Tracks what confirms the configuration of this instance, and what speaks against it.

    The store confirms it with each answered call; a peer passes on the age of its own
    confirmation if it knows no newer configuration.
    """

    def __init__(self, strict: bool, revoke_ms: float) -> None:
        """Start without a confirmation.

        :param strict: whether an unconfirmed configuration must not be used for API keys.
        :param revoke_ms: age of the latest confirmation beyond which it counts as unconfirmed.
        """
        self._strict = strict
        self._revoke_ms = revoke_ms
        self._confirmed_ms = -math.inf
        self._heard_ms = -math.inf
        self._announced_position = NO_POSITION
        self._announced_version = 0
        self._active_ms: float | None = None
        self._settled_ms = 0.0

    @property
    def max_watch_ms(self) -> float:
        """Longest useful wait of a watch for configurations."""
        return self._revoke_ms * WATCH_SHARE if self._strict else math.inf

    def record_store_call(self, valid_ms: float) -> None:
        """Record a call that the store answered.

        :param valid_ms: local time at which the store certainly had no newer configuration than
            the answer shows.
        """
        self._confirmed_ms = max(self._confirmed_ms, valid_ms)

    def record_activity(self, now_ms: float) -> None:
        """Record that the process runs; called regularly."""
        if self._active_ms is not None and now_ms - self._active_ms > SUSPENSION_MS:
            self._settled_ms = now_ms + SETTLING_MS
        self._active_ms = now_ms

    def record_heartbeat(
        self,
        newest: StorePosition,
        version: int,
        age_ms: float,
        own: StorePosition,
        now_ms: float,
    ) -> None:
        """Record what a peer announced.

        :param newest: position of the latest configuration that the peer knows.
        :param version: version of that configuration.
        :param age_ms: age of the peer's confirmation; negative without one.
        :param own: position up to which this instance knows all configurations.
        """
        self.record_activity(now_ms)
        self._heard_ms = now_ms
        self._announced_position = max(self._announced_position, newest)
        self._announced_version = max(self._announced_version, version)
        if age_ms >= 0 and newest <= own and now_ms >= self._settled_ms:
            self._confirmed_ms = max(self._confirmed_ms, now_ms - age_ms)

    def get_age_ms(self, now_ms: float) -> float:
        """Return the age of the latest confirmation; infinite without one."""
        return now_ms - self._confirmed_ms

    def is_revoked(self, now_ms: float) -> bool:
        """Return whether the configuration must not be used for API keys any more."""
        return self._strict and self.get_age_ms(now_ms) > self._revoke_ms

    def may_be_outdated(
        self, own: StorePosition, version: int, failing: bool, has_peers: bool, now_ms: float
    ) -> bool:
        """Return whether a newer configuration may allow what this instance would refuse.

        :param own: position up to which this instance knows all configurations.
        :param version: version in effect at this instance.
        :param failing: whether the last call for configurations failed.
        :param has_peers: whether other instances are registered.
        """
        if self._announced_position > own or self._announced_version > version:
            return True
        if now_ms - self._heard_ms <= HEARTBEAT_SILENCE_MS:
            return False
        return failing or (has_peers and self.get_age_ms(now_ms) > HEARTBEAT_SILENCE_MS)
