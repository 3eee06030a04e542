"""Share of the requests that go to the new version, counted without randomness."""

from persimmonspur.core.fleet.roles import ENTRY_SET_SIZE

# Part of the exposure that the new version gets before the verdict. The rest is a margin for
# the requests that it gets while the traffic shifts and before a fault is noticed.
CANARY_FRACTION = 0.7
# Part of the slack that the first requests use, so that services with few requests give
# evidence as well, and the share of the first attempts that goes to the new version for it.
SLACK_FRACTION = 0.3
EXTRA_SHARE = 0.4
# Sends that are made up for later if no endpoint of the new version had room.
MAX_CREDIT = 2.0
# The traffic shifts over this part of the order's time, but no longer than this.
SHIFT_FRACTION = 0.125
MAX_SHIFT_MS = 1_500.0
# During the shift one of this many new endpoints gets its part of all requests, so that a fault
# under load shows while the old version has enough requests to compare with.
ENDPOINTS_PER_LOADED = 3
# Share during the shift to a single endpoint.
MAX_SHIFT_SHARE = 0.5


class SendCredit:
    """Counts how many first attempts may go to the new version."""

    def __init__(self, exposure_share: float, exposure_slack: float) -> None:
        self._canary_share = CANARY_FRACTION * exposure_share
        self._extra_left = SLACK_FRACTION * exposure_slack / ENTRY_SET_SIZE
        # The first request gives evidence already if the slack allows it.
        self._credit = min(1.0, self._extra_left)
        self._extra_left -= self._credit

    @property
    def canary_share(self) -> float:
        """Share of the first attempts that goes to the new version before the verdict."""
        return self._canary_share

    @property
    def canary_load(self) -> float:
        """Share of the first attempts that goes to the new version now, with the slack's part."""
        return self._canary_share + min(EXTRA_SHARE, self._extra_left)

    @property
    def available(self) -> bool:
        """Whether the next first attempt may go to the new version."""
        # Without the tolerance, ten additions of 0.1 would not allow one send.
        return self._credit >= 1.0 - 1e-9

    def record_first_attempt(self, share: float) -> None:
        """Add the credit of one first attempt to any version."""
        if share <= self._canary_share:
            share = self.canary_load
            self._extra_left -= share - self._canary_share
        self._credit = min(MAX_CREDIT, self._credit + share)

    def spend(self) -> None:
        """Use the credit of one send to the new version."""
        self._credit -= 1.0


def compute_shift_ms(over_ms: float) -> float:
    """Return the time over which the traffic shifts."""
    return min(MAX_SHIFT_MS, SHIFT_FRACTION * over_ms)


def compute_shift_share(endpoints: int, elapsed_ms: float, over_ms: float) -> float:
    """Return the share of the new version while the traffic shifts.

    :param endpoints: number of endpoints of the new version.
    :param elapsed_ms: time since the shift began.
    """
    if elapsed_ms >= compute_shift_ms(over_ms):
        return 1.0
    loaded = max(1, endpoints // ENDPOINTS_PER_LOADED)
    return min(MAX_SHIFT_SHARE, loaded / max(1, endpoints))
