"""Records of the non-repeatable requests of one claim partition, at its owner."""

from collections import OrderedDict

import msgspec
from attrs import define, frozen

from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.messages import hash_claim

MAX_RECORDS = 100_000
# Finished answers that are kept for repeats; older ones are reported as run.
MAX_ANSWER_BYTES = 1_000_000
# Longer than a forwarded query can be on the way, since it ends with its timeout.
REJECTED_MS = 120_000.0
# Two renewals of a table that does not change otherwise.
KEEP_MS = 600_000.0
RENEWALS = 2
HASH_BYTES = 8


@frozen
class Run:
    """The request is recorded now and must be coordinated."""


@frozen
class Wait:
    """The request runs; its answer is the answer."""


@frozen
class Answered:
    """The request finished.

    :param document: the answer as :meth:`ClaimPartition.finish` got it.
    """

    status: int
    document: bytes


@frozen
class Refused:
    """The request is not run by this claim.

    :param ran: ``no`` only if the id never ran and will not run here.
    :param retry: whether the same request may succeed soon.
    """

    kind: ErrorKind
    message: str
    ran: Ran
    retry: bool = False


Decision = Run | Wait | Answered | Refused


class RecordsDocument(msgspec.Struct):
    """The records of a partition as the object API stores them.

    Ids are stored as hashes of 8 bytes: 100,000 of them fit into one value, and
    a collision is only reported as unknown.

    :param moved_at: table version at which the writer became the owner.
    :param floor: ids with a lower epoch cannot be told from dropped ones.
    :param successor: table version of the next owner for whom the records are
        complete, as the writer stopped recording; 0 while it records.
    """

    partition: int
    owner: str
    moved_at: int
    floor: int
    successor: int
    hashes: bytes


@define
class _Record:
    epoch: int
    version: int
    written_ms: float
    ran: Ran = Ran.UNKNOWN
    status: int = 0
    document: bytes | None = None


class ClaimPartition:
    """Decides whether a non-repeatable request may run."""

    def __init__(self, number: int, owner: str, moved_at: int, *, first: bool) -> None:
        """Start to own the partition.

        :param moved_at: table version at which this member became the owner.
        :param first: whether nobody owned the partition before.
        """
        self.number = number
        self.moved_at = moved_at
        # Without the former owner's records, only ids that it cannot have
        # accepted are known to be new. The former owner accepts no id whose
        # epoch is above its own table version.
        self.floor = 0 if first else moved_at
        self.complete = first
        self.closed = False
        self.changes = 0
        self._owner = owner
        self._records: dict[str, _Record] = {}
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answer_bytes = 0
        self._rejected: dict[str, float] = {}
        self._inherited: set[int] = set()
        self._inherited_ms = 0.0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records) + len(self._inherited)

    @property
    def running(self) -> int:
        """Number of recorded requests without an answer."""
        return sum(1 for record in self._records.values() if record.status == 0)

    def claim(
        self,
        request_id: str,
        epoch: int,
        table_version: int,
        usable_until_ms: float,
        now_ms: float,
    ) -> Decision:
        """Take a non-repeatable request; it is recorded if it may run.

        :param epoch: table version that the caller resolved; 0 if it did not.
        :param usable_until_ms: until when this member may record claims.
        """
        record = self._records.get(request_id)
        if record is not None:
            return _repeat(record)
        if request_id in self._rejected:
            return Refused(ErrorKind.OVERLOADED, "was rejected before", Ran.NO)
        if hash_claim(request_id) in self._inherited:
            return Refused(ErrorKind.OUTCOME_UNKNOWN, "was recorded earlier", Ran.UNKNOWN)
        if self.closed or now_ms >= usable_until_ms:
            message = "the claim owner may not record now"
            return Refused(ErrorKind.NOT_OWNER, message, Ran.UNKNOWN, retry=True)
        if epoch > table_version:
            message = f"epoch {epoch} is above table version {table_version}"
            return Refused(ErrorKind.NOT_READY, message, Ran.UNKNOWN, retry=True)
        if epoch < self.floor:
            message = f"epoch {epoch} is below {self.floor}; it may have run earlier"
            return Refused(ErrorKind.STALE_EPOCH, message, Ran.UNKNOWN)
        if len(self) >= MAX_RECORDS:
            return self._reject(request_id, now_ms)
        self._records[request_id] = _Record(epoch, table_version, now_ms)
        self.changes += 1
        return Run()

    def finish(self, request_id: str, ran: Ran, status: int, document: bytes) -> None:
        """Keep the answer of a request that :meth:`claim` let run.

        :param ran: whether it ran.
        """
        record = self._records.get(request_id)
        if record is None or record.status:
            return
        record.ran, record.status, record.document = ran, status, document
        self._answers[request_id] = len(document)
        self._answer_bytes += len(document)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            oldest, size = self._answers.popitem(last=False)
            self._answer_bytes -= size
            self._records[oldest].document = None

    def drop_old(self, table_version: int, now_ms: float) -> None:
        """Drop records that no caller can ask for and raise the floor above them."""
        for request_id in [key for key, until in self._rejected.items() if now_ms > until]:
            del self._rejected[request_id]
        renewed = table_version - RENEWALS
        for request_id, record in list(self._records.items()):
            if record.version > renewed or now_ms - record.written_ms < KEEP_MS:
                break
            if not record.status:
                continue
            del self._records[request_id]
            self._answer_bytes -= self._answers.pop(request_id, 0)
            self.floor = max(self.floor, record.epoch + 1)
            self.changes += 1
        old = self.moved_at <= renewed and now_ms - self._inherited_ms >= KEEP_MS
        if self._inherited and old:
            self._inherited.clear()
            self.floor = max(self.floor, self.moved_at)

    def close(self) -> None:
        """Stop recording for good: another member owns the partition now."""
        self.closed = True

    def encode(self, successor: int = 0) -> bytes:
        """Return the records in their stored form.

        :param successor: table version of the next owner, once :meth:`close` was called.
        :raises ValueError: if the partition still records but names a successor.
        """
        if successor and not self.closed:
            raise ValueError(f"claim partition {self.number} still records")
        # A late copy of a rejected request must not run at the next owner either.
        known = [*self._records, *self._rejected]
        hashes = self._inherited.union(hash_claim(request_id) for request_id in known)
        data = b"".join(value.to_bytes(HASH_BYTES, "big") for value in sorted(hashes))
        document = RecordsDocument(
            self.number, self._owner, self.moved_at, self.floor, successor, data
        )
        return msgspec.msgpack.encode(document)

    def inherit(self, value: bytes, now_ms: float) -> bool:
        """Take a former owner's records.

        They count as complete only if the former owner stopped recording for
        the very change that made this member the owner. They may arrive at any
        time: the floor only falls to what the former owner's records cover.

        :returns: whether they are complete.
        """
        document = decode_records(value)
        if document is None or document.partition != self.number or self.closed:
            return False
        if document.moved_at >= self.moved_at:
            return False
        for start in range(0, len(document.hashes), HASH_BYTES):
            part = document.hashes[start : start + HASH_BYTES]
            self._inherited.add(int.from_bytes(part, "big"))
        self._inherited_ms = now_ms
        self.changes += 1
        if document.successor != self.moved_at:
            return False
        if not self.complete and self.floor == self.moved_at:
            self.floor = document.floor
        self.complete = True
        return True

    def _reject(self, request_id: str, now_ms: float) -> Refused:
        message = f"claim partition {self.number} holds {MAX_RECORDS} records"
        if len(self._rejected) >= MAX_RECORDS:
            # Without a note, a late copy of the request might still run.
            return Refused(ErrorKind.OVERLOADED, message, Ran.UNKNOWN)
        self._rejected[request_id] = now_ms + REJECTED_MS
        return Refused(ErrorKind.OVERLOADED, message, Ran.NO)


def decode_records(value: bytes) -> RecordsDocument | None:
    """Decode stored records; ``None`` if the value is not readable."""
    try:
        return msgspec.msgpack.decode(value, type=RecordsDocument)
    except msgspec.DecodeError:
        return None


def _repeat(record: _Record) -> Decision:
    if not record.status:
        return Wait()
    if record.document is None:
        message = "finished; its answer is no longer kept"
        return Refused(ErrorKind.OUTCOME_UNKNOWN, message, record.ran)
    return Answered(record.status, record.document)
