"""Until when budgets are valid, and when a table version is installed."""

import math
from collections import deque

from persimmonspur.core.ownership.table import CellTable, count_majority

HEARTBEAT_MS = 1_000.0
VALIDITY_MS = 4_000.0

# Covers scheduling between a clock reading and its use.
GRANT_MARGIN_MS = 200.0

# Largest difference in rate between the clocks of two members.
CLOCK_DRIFT = 0.01

GRANT_WAIT_MS = VALIDITY_MS * (1 + CLOCK_DRIFT) + GRANT_MARGIN_MS


class Confirmation:
    """Heartbeat rounds of this member and the echoes that confirm them.

    A confirmed round proves that no version above this member's table was
    installed when the round was sent, so validity counts from that time.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.confirmed_ms = -math.inf
        self._sent: dict[int, float] = {}
        self._echoes: dict[str, tuple[int, int]] = {}

    def start_round(self, now_ms: float) -> int:
        """Start a round and return its sequence."""
        self.sequence += 1
        self._sent[self.sequence] = now_ms
        for sequence in list(self._sent):
            if now_ms - self._sent[sequence] <= VALIDITY_MS:
                break
            del self._sent[sequence]
        return self.sequence

    def observe_echo(self, name: str, incarnation: int, sequence: int) -> None:
        """Take an echo of a peer that stated no version above this member's table."""
        known_incarnation, known_sequence = self._echoes.get(name, (0, 0))
        if (incarnation, sequence) > (known_incarnation, known_sequence):
            self._echoes[name] = (incarnation, sequence)

    def confirm(self, table: CellTable, own_name: str) -> None:
        """Confirm the latest round that a majority of the table's members echoed.

        An echo counts only under the incarnation that the table names: a later
        one has forgotten which versions its predecessor reported.
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
        sent_ms = self._sent.get(sequences[needed - 1], -math.inf)
        self.confirmed_ms = max(self.confirmed_ms, sent_ms)

    def confirm_stored(self, started_ms: float) -> None:
        """Take a conditional update, started at a time, that found the table unchanged."""
        self.confirmed_ms = max(self.confirmed_ms, started_ms)

    def forget(self) -> None:
        """Drop everything that an ended incarnation of this member was told."""
        self.confirmed_ms = -math.inf
        self._sent.clear()
        self._echoes.clear()


class Installation:
    """Which table versions a joint majority reported, as this member observed it.

    Once a version is installed nobody can confirm an older one, so its former
    owners stop within the validity. Versions up to :attr:`settled_version`
    were installed at least that long ago.
    """

    def __init__(self) -> None:
        self.installed_version = 0
        self.settled_version = 0
        self._votes: dict[str, int] = {}
        self._pending: deque[tuple[int, float]] = deque()

    def observe_vote(self, name: str, version: int) -> None:
        """Take the table version that came with a message of any incarnation of a name."""
        if version > self._votes.get(name, 0):
            self._votes[name] = version

    def update(
        self, table: CellTable, own_name: str, terminated: frozenset[str], now_ms: float
    ) -> None:
        """Check whether the present table is installed.

        :param terminated: names that count as having voted because they ended.
        """
        if table.version <= self.installed_version:
            return
        voted = {name for name, version in self._votes.items() if version >= table.version}
        voted |= terminated
        voted.add(own_name)
        for electorate in (table.members.keys(), table.joint_members):
            if electorate and len(voted & electorate) < count_majority(len(electorate)):
                return
        self.installed_version = table.version
        self._pending.append((table.version, now_ms))

    def advance(self, now_ms: float) -> None:
        """Settle the versions that were installed long enough ago."""
        while self._pending and now_ms - self._pending[0][1] >= GRANT_WAIT_MS:
            self.settled_version = self._pending.popleft()[0]
