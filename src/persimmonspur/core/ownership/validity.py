"""Validity of this member's budgets, and installation of table versions.

A member may use its budgets for :data:`VALIDITY_MS` from the start of its latest confirmed
heartbeat round, like a lease that each confirmed round renews.
"""

import math
from collections import deque

from persimmonspur.core.ownership.table import CellTable, count_majority

HEARTBEAT_MS = 1_000.0
VALIDITY_MS = 4_000.0

# Covers scheduling delays between reading the clock and acting on the result.
GRANT_MARGIN_MS = 200.0

# Maximum difference in rate between the clocks of two members.
MAX_CLOCK_DRIFT = 0.01

GRANT_WAIT_MS = VALIDITY_MS * (1 + MAX_CLOCK_DRIFT) + GRANT_MARGIN_MS


class ValidityConfirmation:
    """Heartbeat rounds of this member and the echoes that confirm them.

    A confirmed round proves that no version above that of this member's table was
    installed when the round was sent, so the validity starts at that time.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.confirmed_ms = -math.inf
        self._round_sent_ms: dict[int, float] = {}
        self._echoes: dict[str, tuple[int, int]] = {}

    def start_round(self, now_ms: float) -> int:
        """Start a heartbeat round and return its sequence number."""
        self.sequence += 1
        self._round_sent_ms[self.sequence] = now_ms
        for sequence in list(self._round_sent_ms):
            if now_ms - self._round_sent_ms[sequence] <= VALIDITY_MS:
                break
            del self._round_sent_ms[sequence]
        return self.sequence

    def observe_echo(self, name: str, incarnation: int, sequence: int) -> None:
        """Record an echo from a peer whose table is not newer than this member's.

        :param incarnation: incarnation of the peer.
        :param sequence: round that the peer echoed.
        """
        known_incarnation, known_sequence = self._echoes.get(name, (0, 0))
        if (incarnation, sequence) > (known_incarnation, known_sequence):
            self._echoes[name] = (incarnation, sequence)

    def confirm(self, table: CellTable, own_name: str) -> None:
        """Confirm the latest round that a majority of the table's members echoed.

        An echo counts only for the incarnation that the table lists: a later one
        doesn't know which versions its predecessor reported.
        """
        sequences = [self.sequence]
        for name, member in table.members.items():
            incarnation, sequence = self._echoes.get(name, (0, 0))
            if name != own_name and incarnation == member.incarnation:
                sequences.append(sequence)
        needed = count_majority(len(table.members))
        if len(sequences) < needed:
            return
        sequences.sort(reverse=True)
        sent_ms = self._round_sent_ms.get(sequences[needed - 1], -math.inf)
        self.confirmed_ms = max(self.confirmed_ms, sent_ms)

    def confirm_stored(self, started_ms: float) -> None:
        """Record that a conditional update started at ``started_ms`` found the table unchanged."""
        self.confirmed_ms = max(self.confirmed_ms, started_ms)

    def reset(self) -> None:
        """Discard all rounds and echoes of this member's previous incarnation."""
        self.confirmed_ms = -math.inf
        self._round_sent_ms.clear()
        self._echoes.clear()


class InstallationTracker:
    """Table versions that this member knows to be installed, by reports of a joint majority.

    Once a version is installed no member can confirm an older one, so the owners of
    older versions stop within the validity. Versions up to :attr:`fenced_version`
    were installed at least that long ago.
    """

    def __init__(self) -> None:
        self.installed_version = 0
        self.fenced_version = 0
        self._votes: dict[str, int] = {}
        self._pending: deque[tuple[int, float]] = deque()

    def observe_vote(self, name: str, version: int) -> None:
        """Record the table version in a message from any incarnation of a member."""
        if version > self._votes.get(name, 0):
            self._votes[name] = version

    def update(
        self, table: CellTable, own_name: str, terminated: frozenset[str], now_ms: float
    ) -> None:
        """Check whether the current table is installed.

        :param terminated: names of ended members, which count as having voted.
        """
        if table.version <= self.installed_version:
            return
        voted = {name for name, version in self._votes.items() if version >= table.version}
        voted |= terminated
        voted.add(own_name)
        for voters in (table.members.keys(), table.joint_members):
            if voters and len(voted & voters) < count_majority(len(voters)):
                return
        self.installed_version = table.version
        self._pending.append((table.version, now_ms))

    def advance(self, now_ms: float) -> None:
        """Raise the fenced version to the latest one installed :data:`GRANT_WAIT_MS` ago."""
        while self._pending and now_ms - self._pending[0][1] >= GRANT_WAIT_MS:
            self.fenced_version = self._pending.popleft()[0]
