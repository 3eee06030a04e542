"""Selection of the relays that an instance reads changes and lists from.

Calls of the store are what limits the size of a fleet, so an instance turns to it only when
several relays have failed.
"""

from collections.abc import Iterable

from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.roles import Member
from persimmonspur.core.rendezvous import rank_candidates

# Time for which a relay that failed or fell behind is not followed.
EXCLUSION_MS = 5_000.0
# The same for a relay that answers but cannot reach the store.
OUTAGE_EXCLUSION_MS = 1_000.0
# After this many failed relays an instance turns to the store. Two serve one failure domain;
# a third of another domain shows that not only this domain is affected.
MAX_EXCLUDED_RELAYS = 3
PRIMARY_RANKING = "primary-relay"


class RelaySelector:
    """Chooses the relay to follow, in the instance's own failure domain if one is left.

    The relay that ranks first in a failure domain, its primary, follows the store. The others
    follow only relays that rank before them, so that no two relays follow each other.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._excluded_until_ms: dict[str, float] = {}

    def choose(self, now_ms: float) -> Member | None:
        """Return the relay to follow, or ``None`` to follow the store."""
        if self._membership.is_relay(now_ms):
            return self._choose_for_relay(now_ms)
        live_relays = self._membership.live_relays(now_ms)
        usable = [relay for relay in live_relays if not self._is_excluded(relay, now_ms)]
        if len(live_relays) - len(usable) >= MAX_EXCLUDED_RELAYS:
            return None
        return self._pick_nearest(usable)

    def choose_for_list(self, now_ms: float) -> Member | None:
        """Return the relay to read complete lists from, or ``None`` to read the store.

        An instance that has just started does not know yet which relays live. It asks those
        that would be chosen if all registered instances lived.
        """
        own = self._membership.own
        expected = self._membership.expected_relays()
        if any(relay.name == own.name for relay in expected):
            return self._choose_for_relay(now_ms)
        live_peers = [relay for relay in self._membership.live_relays(now_ms) if relay != own]
        usable = []
        for relay in live_peers or expected:
            if not self._is_excluded(relay, now_ms):
                usable.append(relay)
        return self._pick_nearest(usable)

    def _pick_nearest(self, relays: list[Member]) -> Member | None:
        """Return one relay of this failure domain, or else the primary of another."""
        own = self._membership.own
        local = [relay for relay in relays if relay.failure_domain == own.failure_domain]
        candidates = {relay.name: relay for relay in local or select_primaries(relays)}
        if not candidates:
            return None
        return candidates[rank_candidates(dict.fromkeys(candidates, 1.0), own.name)[0]]

    def _choose_for_relay(self, now_ms: float) -> Member | None:
        own = self._membership.own
        domain = [own]
        for relay in self._membership.live_relays(now_ms):
            if relay.failure_domain == own.failure_domain and relay != own:
                domain.append(relay)
        for relay in rank_relays(domain):
            if relay == own:
                return None
            if not self._is_excluded(relay, now_ms):
                return relay
        return None

    def _is_excluded(self, relay: Member, now_ms: float) -> bool:
        return now_ms < self._excluded_until_ms.get(relay.name, 0.0)

    def is_follower(self, now_ms: float) -> bool:
        """Return whether this instance is no relay itself and knows at least one."""
        if self._membership.is_relay(now_ms):
            return False
        return bool(self._membership.live_relays(now_ms))

    def exclude(self, relay: Member, now_ms: float, period_ms: float = EXCLUSION_MS) -> None:
        """Exclude a relay for a time."""
        self._excluded_until_ms[relay.name] = now_ms + period_ms

    def exclude_all(self, now_ms: float) -> None:
        """Exclude all current relays, so that the store is followed for :data:`EXCLUSION_MS`."""
        self._excluded_until_ms.clear()
        for relay in self._membership.live_relays(now_ms):
            self.exclude(relay, now_ms)


def rank_relays(relays: Iterable[Member]) -> list[Member]:
    """Rank relays in the same order on every instance, the primary of a domain first."""
    by_name = {relay.name: relay for relay in relays}
    return [by_name[name] for name in rank_candidates(dict.fromkeys(by_name, 1.0), PRIMARY_RANKING)]


def select_primaries(relays: Iterable[Member]) -> list[Member]:
    """Return the relay of each failure domain that ranks first."""
    primaries: dict[str, Member] = {}
    for relay in rank_relays(relays):
        primaries.setdefault(relay.failure_domain, relay)
    return list(primaries.values())
