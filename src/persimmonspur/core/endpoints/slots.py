"""Slots of one endpoint that are taken, or may still be."""

from attrs import define

from persimmonspur.model.messages import SubRequest

# A slot of a request without a confirmed end is kept this much longer than
# its expiry, for the time that the endpoint needs to notice the expiry.
SETTLE_MS = 20.0


@define
class Slot:
    """A dispatched sub-request.

    :param period: warm-up period in which it was sent.
    :param new_connection: whether it went out on a new connection.
    :param answered: whether its sender got a reply; it may still run.
    :param broken_incarnation: incarnation that broke the connection, if known.
    :param broken_ms: when that was seen.
    """

    request: SubRequest
    sent_ms: float
    expires_ms: float
    period: int
    new_connection: bool
    answered: bool = False
    broken_incarnation: str = ""
    broken_ms: float = 0.0


class SlotTable:
    """Counts every request until its end is confirmed or its expiry has passed."""

    def __init__(self) -> None:
        """Start with no slot taken."""
        self._slots: dict[str, Slot] = {}

    def __len__(self) -> int:
        """Return the number of slots that are or may be taken."""
        return len(self._slots)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request holds a slot."""
        return request_id in self._slots

    @property
    def unanswered(self) -> bool:
        """Whether any request runs without an answer."""
        return any(not slot.answered for slot in self._slots.values())

    def take(self, slot: Slot) -> None:
        """Take a slot for a request."""
        self._slots[slot.request.id] = slot

    def find(self, request_id: str) -> Slot | None:
        """Return the slot of a request."""
        return self._slots.get(request_id)

    def free(self, request_id: str) -> None:
        """Free the slot of a request that ended."""
        del self._slots[request_id]

    def free_expired(self, now_ms: float) -> None:
        """Free slots whose request cannot run any more."""
        for request_id, slot in list(self._slots.items()):
            # A slot without an outcome is kept: its call still holds a connection.
            if slot.answered and now_ms >= slot.expires_ms + SETTLE_MS:
                del self._slots[request_id]

    def free_ended(self, incarnation: str, sent_ms: float) -> None:
        """Free slots of requests whose process has ended.

        It broke the connection that it had answered on before, and a call that
        was sent later was answered by another incarnation.

        :param incarnation: the one that answered.
        :param sent_ms: when the call was sent that it answered.
        """
        for request_id, slot in list(self._slots.items()):
            former = slot.broken_incarnation
            if slot.answered and former and former != incarnation and sent_ms >= slot.broken_ms:
                del self._slots[request_id]

    def is_blocked(self, limit: int) -> bool:
        """Whether only an expiry can free a slot, which takes too long to wait for."""
        return len(self._slots) >= limit and not self.unanswered

    def find_next_expiry(self) -> float:
        """Return when the first slot expires."""
        return min(slot.expires_ms for slot in self._slots.values())
