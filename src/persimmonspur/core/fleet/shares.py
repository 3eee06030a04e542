"""The share of the fleet's quotas that this instance accrues, from grants of the relays.

Each relay divides its part of every quota among the members of the entry set as it sees it. The
parts of all failure domains are equal, so that the loss of one leaves a majority. What one
relay grants never exceeds its part, so all shares together do not exceed the whole, whichever
instances each relay takes for alive.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping

from attrs import frozen

# Interval at which relays repeat their grants.
GRANT_INTERVAL_MS = 300.0
# A grant ends after this time unless it is repeated; three repetitions may get lost.
GRANT_LEASE_MS = 1_000.0
# A larger share takes effect after this delay. It is longer than a lease and the interval at
# which an instance checks its grants together, so that a former holder has stopped by then.
RAISE_DELAY_MS = 1_500.0
# Updates that pause this long indicate that the process was suspended. It may have received
# grants meanwhile that are out of date.
SUSPENSION_MS = 1_000.0
# Time after the start of a deployment in which shares take effect at once. No bucket is full by
# then, which makes up for shares that overlap while the instances get to know each other.
START_PERIOD_MS = 5_000.0
# The whole deployment counts as restarted if relays of this weight have started lately: what
# their earlier processes granted has ended, or ends within a part of the lease.
RESTARTED_WEIGHT = 0.75
# An instance that has not listed the registered instances cannot tell a fleet of one from a
# fleet that it does not know yet.
MIN_GRANTS_OF_UNKNOWN_FLEET = 2
# Error of a sum of weights.
ROUNDING = 1e-9


@frozen
class Grant:
    """What one relay grants an instance.

    :param relays: number of relays among which the relay believes the quotas to be divided.
    :param fraction: granted fraction of the relay's part.
    :param silent: names of the relays that the relay does not hear.
    :param received_ms: local time at which the grant was received.
    :param relay_age_ms: time since the relay started.
    """

    relays: int
    fraction: float
    silent: frozenset[str]
    received_ms: float
    relay_age_ms: float = math.inf


class ShareTracker:
    """Computes an instance's share of all quotas, from 0 to 1.

    An instance has a share only while a majority of the relays grant it one. The parts of
    relays that a majority does not hear are divided among the other relays.

    :ivar share: the share in effect.
    """

    def __init__(self, first_start: bool = False) -> None:
        """Start without a share.

        :param first_start: whether the whole deployment starts for the first time, so that
            nobody holds a share yet.
        """
        self._first_start = first_start
        self._started_ms: float | None = None
        self.share = 0.0
        self._grants: dict[str, Grant] = {}
        self._computed: deque[tuple[float, float]] = deque()
        self._updated_ms: float | None = None

    def record_grant(self, relay: str, grant: Grant) -> None:
        """Replace the grant of one relay."""
        self._grants[relay] = grant

    def update(self, weights: Mapping[str, float], knows_fleet: bool, now_ms: float) -> bool:
        """Compute the share again; called every :data:`GRANT_INTERVAL_MS`.

        :param weights: parts of the relays that would be chosen if all registered instances
            were alive, in the order in which they were chosen; their sum is 1.
        :param knows_fleet: whether the registered instances were listed.
        :returns: whether the process was suspended since the last update, so that nothing
            that was true before can be relied on.
        """
        suspended = self._updated_ms is None or now_ms - self._updated_ms > SUSPENSION_MS
        if suspended:
            self._grants.clear()
            self._computed.clear()
            self._computed.append((now_ms, 0.0))
        if self._started_ms is None:
            self._started_ms = now_ms
        self._updated_ms = now_ms
        computed = self._compute(weights, knows_fleet, now_ms)
        self._computed.append((now_ms, computed))
        while len(self._computed) > 1 and self._computed[1][0] <= now_ms - RAISE_DELAY_MS:
            self._computed.popleft()
        is_starting = now_ms - self._started_ms < START_PERIOD_MS
        if is_starting and (self._first_start or self._has_restarted(weights)):
            self.share = computed
        else:
            self.share = min(share for _, share in self._computed)
        return suspended

    def _has_restarted(self, weights: Mapping[str, float]) -> bool:
        """Return whether nearly all relays have started lately, as after a loss of power."""
        restarted = 0.0
        for name, weight in weights.items():
            grant = self._grants.get(name)
            if grant is not None and grant.relay_age_ms < START_PERIOD_MS:
                restarted += weight
        return restarted >= RESTARTED_WEIGHT - ROUNDING

    def _compute(self, weights: Mapping[str, float], knows_fleet: bool, now_ms: float) -> float:
        for relay, grant in list(self._grants.items()):
            if now_ms - grant.received_ms > GRANT_LEASE_MS:
                del self._grants[relay]
        grants = {name: self._grants[name] for name in weights if name in self._grants}
        if not grants or (not knows_fleet and len(grants) < MIN_GRANTS_OF_UNKNOWN_FLEET):
            return 0.0
        # A relay may know of more relays than this instance; each then has a smaller part.
        most_relays = max(grant.relays for grant in grants.values())
        scale = min(1.0, len(weights) / most_relays) if most_relays > 0 else 1.0
        if not _is_majority(grants, weights, scale):
            return 0.0
        silent = 0.0
        for name, weight in weights.items():
            reporters = [relay for relay, grant in grants.items() if name in grant.silent]
            if name not in grants and _is_majority(reporters, weights, scale):
                silent += weight
        granted = sum(weights[name] * grant.fraction for name, grant in grants.items())
        return min(1.0, granted * scale / (1 - silent * scale))


def _is_majority(relays: Collection[str], weights: Mapping[str, float], scale: float) -> bool:
    """Return whether some relays are a majority; of two halves, the one with the first relay."""
    weight = sum(weights[relay] for relay in relays) * scale
    if abs(weight - 0.5) < ROUNDING:
        return next(iter(weights)) in relays
    return weight > 0.5
