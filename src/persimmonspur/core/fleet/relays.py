"""Which relay an instance follows instead of the store."""

from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.rendezvous import rank_candidates

# A relay that failed, or fell behind, is not followed for this long.
EXCLUSION_MS = 5_000.0


class RelaySelector:
    """Chooses a relay of the own failure domain; relays themselves follow the store."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._rest_until: dict[str, float] = {}

    def choose(self, now_ms: float) -> Member | None:
        """Return the relay to follow, ``None`` for the store itself."""
        own = self._membership.own
        if self._membership.is_relay(now_ms):
            return None
        near: dict[str, Member] = {}
        for relay in self._membership.live_relays(now_ms):
            if relay.failure_domain != own.failure_domain:
                continue
            if now_ms < self._rest_until.get(relay.name, 0.0):
                continue
            near[relay.name] = relay
        if not near:
            return None
        return near[rank_candidates(dict.fromkeys(near, 1.0), own.name)[0]]

    def exclude(self, relay: Member, now_ms: float) -> None:
        """Do not follow a relay for :data:`EXCLUSION_MS`."""
        self._rest_until[relay.name] = now_ms + EXCLUSION_MS

    def exclude_all(self, now_ms: float) -> None:
        """Follow the store itself for :data:`EXCLUSION_MS`."""
        self._rest_until.clear()
        for relay in self._membership.live_relays(now_ms):
            self.exclude(relay, now_ms)
