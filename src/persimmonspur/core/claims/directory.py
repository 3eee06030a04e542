"""The claim partitions that this member owns, gains and gives up."""

from attrs import define, frozen

from persimmonspur.core.claims.actions import ClaimAction, HandOver, ReadRecords, WriteRecords
from persimmonspur.core.claims.partition import (
    ClaimPartition,
    Decision,
    Refused,
    decode_records,
)
from persimmonspur.errors import ErrorKind, Ran

# The records of a killed owner are not relied on, only those with its mark that
# it stopped. Writes in between may therefore be seldom: at the target scale one
# per partition and second would be 5,000 writes/s.
WRITE_INTERVAL_MS = 30_000.0
RETRY_INTERVAL_MS = 1_000.0
# A new owner waits this long for running requests of the former one.
FINISH_MS = 5_000.0


@frozen
class Tenure:
    """Who owns a claim partition by the present table.

    :param own: whether this incarnation of this member is the owner.
    :param moved_at: table version at which the owner became it.
    :param first: whether nobody owned the partition before.
    """

    own: bool
    moved_at: int
    first: bool


@define
class _Store:
    """What is known of a partition's object."""

    version: int = 0
    known: bool = False
    busy: bool = False
    next_ms: float = 0.0
    written_changes: int = 0
    marked: bool = False
    foreign: bool = False


@define
class _Leaving:
    partition: ClaimPartition
    successor: int
    until_ms: float
    store: _Store


class ClaimDirectory:
    """Keeps the partitions of one member.

    Every event method returns the actions that the daemon must carry out.
    """

    def __init__(self, owner: str) -> None:
        """Start without partitions.

        :param owner: name of this member.
        """
        self._owner = owner
        self._owned: dict[int, ClaimPartition] = {}
        self._stores: dict[int, _Store] = {}
        self._leaving: dict[int, _Leaving] = {}
        self._handed: dict[int, bytes] = {}
        self._receivers: dict[int, tuple[str, int]] = {}

    @property
    def busy(self) -> bool:
        """Whether records still have to be handed over or marked."""
        return bool(self._leaving)

    def count_records(self) -> int:
        """Return the number of records of all owned partitions."""
        return sum(len(partition) for partition in self._owned.values())

    def find(self, number: int) -> ClaimPartition | None:
        """Return an owned partition, or ``None``."""
        return self._owned.get(number)

    def adopt(self, tenures: dict[int, Tenure], now_ms: float) -> list[ClaimAction]:
        """Take the owners of a newer table."""
        actions: list[ClaimAction] = []
        for number, tenure in tenures.items():
            owned = self._owned.get(number)
            if owned is not None and (not tenure.own or owned.moved_at != tenure.moved_at):
                self._give_up(number, tenure, now_ms)
                owned = None
            if tenure.own and owned is None:
                actions.extend(self._gain(number, tenure, now_ms))
        return actions

    def claim(
        self,
        number: int,
        request_id: str,
        epoch: int,
        table_version: int,
        usable_until_ms: float,
        now_ms: float,
    ) -> Decision:
        """Take a non-repeatable request for a partition."""
        partition = self._owned.get(number)
        if partition is None:
            message = f"this instance does not own claim partition {number}"
            return Refused(ErrorKind.NOT_OWNER, message, Ran.UNKNOWN, retry=True)
        return partition.claim(request_id, epoch, table_version, usable_until_ms, now_ms)

    def finish(self, number: int, request_id: str, ran: Ran, status: int, document: bytes) -> None:
        """Keep the answer of a request that :meth:`claim` let run."""
        leaving = self._leaving.get(number)
        for partition in (self._owned.get(number), leaving.partition if leaving else None):
            if partition is not None:
                partition.finish(request_id, ran, status, document)

    def release(self, number: int, receiver: str, version: int) -> None:
        """Name the member that gets the records of a partition that was given up."""
        self._receivers[number] = (receiver, version)

    def take_over(self, number: int, value: bytes, now_ms: float) -> None:
        """Take the records that a former owner sent; they may precede the table."""
        partition = self._owned.get(number)
        if partition is None or not partition.inherit(value, now_ms):
            self._handed[number] = value

    def observe_read(
        self, number: int, value: bytes | None, stored_version: int, now_ms: float
    ) -> None:
        """Take stored records; ``None`` if there are none yet."""
        store, partition = self._stores.get(number), self._owned.get(number)
        if store is None:
            return
        if partition is None and number in self._leaving:
            partition = self._leaving[number].partition
        store.busy, store.known, store.version = False, True, stored_version
        if value is None or partition is None:
            return
        partition.inherit(value, now_ms)
        document = decode_records(value)
        # The table moved on and another member records already.
        store.foreign = document is not None and document.moved_at > partition.moved_at

    def observe_read_failure(self, number: int, now_ms: float) -> None:
        """Take a failed read; it is repeated."""
        store = self._stores.get(number)
        if store is not None:
            store.busy = False
            store.next_ms = now_ms + RETRY_INTERVAL_MS

    def observe_write(self, number: int, stored_version: int | None, now_ms: float) -> None:
        """Take the result of a write.

        :param stored_version: the new stored version; ``None`` if the write lost
            a race or its reply was lost, so that the object must be read back.
        """
        store = self._stores.get(number)
        if store is None:
            return
        store.busy = False
        if stored_version is None:
            store.known = False
            store.marked = False
            store.written_changes = -1
            store.next_ms = now_ms + RETRY_INTERVAL_MS
            return
        store.version = stored_version

    def tick(self, table_version: int, now_ms: float) -> list[ClaimAction]:
        """Do what is due; the daemon calls this a few times per second."""
        actions = self._finish_leaving(now_ms)
        for number, partition in self._owned.items():
            partition.drop_old(table_version, now_ms)
            store = self._stores[number]
            if store.busy or store.foreign or now_ms < store.next_ms:
                continue
            if not store.known:
                store.busy = True
                actions.append(ReadRecords(number))
            elif partition.changes != store.written_changes:
                actions.append(self._write(partition, store, 0, now_ms))
        return actions

    def _gain(self, number: int, tenure: Tenure, now_ms: float) -> list[ClaimAction]:
        partition = ClaimPartition(number, self._owner, tenure.moved_at, first=tenure.first)
        self._owned[number] = partition
        self._receivers.pop(number, None)
        handed = self._handed.pop(number, None)
        if handed is not None:
            partition.inherit(handed, now_ms)
        left = self._leaving.pop(number, None)
        if left is not None and left.successor == tenure.moved_at:
            partition.inherit(left.partition.encode(left.successor), now_ms)
        self._stores[number] = _Store(busy=True)
        return [ReadRecords(number)]

    def _give_up(self, number: int, tenure: Tenure, now_ms: float) -> None:
        partition = self._owned.pop(number)
        partition.close()
        store = self._stores[number]
        store.next_ms = 0.0
        self._leaving[number] = _Leaving(partition, tenure.moved_at, now_ms + FINISH_MS, store)

    def _finish_leaving(self, now_ms: float) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for number, leaving in list(self._leaving.items()):
            # Requests that run longer are handed over as unknown.
            if leaving.partition.running and now_ms < leaving.until_ms:
                continue
            receiver, version = self._receivers.pop(number, ("", 0))
            if receiver:
                value = leaving.partition.encode(leaving.successor)
                actions.append(HandOver(number, receiver, version, value))
            actions.extend(self._mark(number, leaving, now_ms))
        return actions

    def _mark(self, number: int, leaving: _Leaving, now_ms: float) -> list[ClaimAction]:
        """Store the records with the mark that this member stopped recording."""
        store = leaving.store
        if store.marked and not store.busy:
            del self._leaving[number]
            return []
        if store.foreign or now_ms >= leaving.until_ms + FINISH_MS:
            del self._leaving[number]
            return []
        if store.busy or now_ms < store.next_ms:
            return []
        if not store.known:
            store.busy = True
            return [ReadRecords(number)]
        store.marked = True
        return [self._write(leaving.partition, store, leaving.successor, now_ms)]

    def _write(
        self, partition: ClaimPartition, store: _Store, successor: int, now_ms: float
    ) -> WriteRecords:
        store.busy = True
        store.written_changes = partition.changes
        store.next_ms = now_ms + WRITE_INTERVAL_MS
        return WriteRecords(partition.number, partition.encode(successor), store.version)
