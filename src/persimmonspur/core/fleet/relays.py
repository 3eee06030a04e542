"""Selection of the relay that an instance follows instead of the store."""

from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.rendezvous import rank_candidates

# Time for which a relay that failed or fell behind is not followed.
EXCLUSION_MS = 5_000.0


class RelaySelector:
    """Chooses a relay in the instance's own failure domain.

    Relays themselves follow the store.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._excluded_until_ms: dict[str, float] = {}

    def choose(self, now_ms: float) -> Member | None:
        """Return the relay to follow, or ``None`` to follow the store."""
        own = self._membership.own
        if self._membership.is_relay(now_ms):
            return None
        candidates: dict[str, Member] = {}
        for relay in self._membership.live_relays(now_ms):
            if relay.failure_domain != own.failure_domain:
                continue
            if now_ms < self._excluded_until_ms.get(relay.name, 0.0):
                continue
            candidates[relay.name] = relay
        if not candidates:
            return None
        return candidates[rank_candidates(dict.fromkeys(candidates, 1.0), own.name)[0]]

    def exclude(self, relay: Member, now_ms: float) -> None:
        """Exclude a relay for :data:`EXCLUSION_MS`."""
        self._excluded_until_ms[relay.name] = now_ms + EXCLUSION_MS

    def exclude_all(self, now_ms: float) -> None:
        """Exclude all current relays, so that the store is followed for :data:`EXCLUSION_MS`."""
        self._excluded_until_ms.clear()
        for relay in self._membership.live_relays(now_ms):
            self.exclude(relay, now_ms)
