"""Concurrency slots of one endpoint that are in use, or may still be."""

from attrs import define

from persimmonspur.model.messages import SubRequest

# A slot whose request has no confirmed end is kept for this time after the request's
# expiry, since the endpoint needs some time to notice the expiry.
EXPIRY_GRACE_MS = 20.0


@define
class Slot:
    """A dispatched sub-request.

    :param warmup_period: warm-up period in which it was dispatched.
    :param new_connection: whether it was sent on a new connection.
    :param answered: whether its sender got a reply; the endpoint may still execute it.
    :param reset_incarnation: incarnation of the endpoint that reset the connection, if known.
    :param reset_ms: when the reset was observed.
    """

    request: SubRequest
    sent_ms: float
    expires_ms: float
    warmup_period: int
    new_connection: bool
    answered: bool = False
    reset_incarnation: str = ""
    reset_ms: float = 0.0


class SlotTable:
    """Holds a slot for each request until its end is confirmed or its expiry has passed."""

    def __init__(self) -> None:
        """Create a table without used slots."""
        self._slots: dict[str, Slot] = {}

    def __len__(self) -> int:
        """Return the number of slots that are or may be in use."""
        return len(self._slots)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request holds a slot."""
        return request_id in self._slots

    @property
    def has_unanswered(self) -> bool:
        """Whether any dispatched request has not been answered yet."""
        return any(not slot.answered for slot in self._slots.values())

    def acquire(self, slot: Slot) -> None:
        """Add the slot of a dispatched request."""
        self._slots[slot.request.id] = slot

    def find(self, request_id: str) -> Slot | None:
        """Return the slot of a request, or ``None`` if it holds none."""
        return self._slots.get(request_id)

    def release(self, request_id: str) -> None:
        """Release the slot of a request that ended."""
        del self._slots[request_id]

    def release_expired(self, now_ms: float) -> None:
        """Release the slots of answered requests that the endpoint can no longer execute."""
        for request_id, slot in list(self._slots.items()):
            # An unanswered request keeps its slot, because it still holds a connection.
            if slot.answered and now_ms >= slot.expires_ms + EXPIRY_GRACE_MS:
                del self._slots[request_id]

    def release_ended(self, incarnation: str, sent_ms: float) -> None:
        """Release the slots of requests whose endpoint process has ended.

        That is known once a process has reset its connection and another incarnation
        has answered a request that was sent after the reset.

        :param incarnation: incarnation of the endpoint that answered.
        :param sent_ms: when the request that it answered was sent.
        """
        for request_id, slot in list(self._slots.items()):
            former = slot.reset_incarnation
            if slot.answered and former and former != incarnation and sent_ms >= slot.reset_ms:
                del self._slots[request_id]

    def is_blocked(self, limit: int) -> bool:
        """Return whether only an expiry can free a slot, which is too long to wait for.

        That is the case if all slots belong to requests that were answered, but that the
        endpoint may still execute.

        :param limit: maximum number of concurrent requests.
        """
        return len(self._slots) >= limit and not self.has_unanswered

    def get_next_expiry(self) -> float:
        """Return the earliest expiry of all slots."""
        return min(slot.expires_ms for slot in self._slots.values())
