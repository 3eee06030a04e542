"""Progress of the shards of one query."""

from typing import Any

from attrs import define, field

from persimmonspur.core.requests.actions import SubRequestKind
from persimmonspur.core.routing.view import EndpointView, OwnerView
from persimmonspur.errors import Ran
from persimmonspur.model.messages import SubReply, SubRequest


@define(eq=False)
class ShardProgress:
    """State of one shard that a query requires.

    :param tried: names of the endpoints that an attempt was sent to.
    :param attempts: attempts without a reply.
    :param records: the shard's records, set once a reply was accepted.
    :param deferred: whether the first attempt is not sent yet.
    :param retry_pending: whether a retry waits for the retry budget.
    :param given_up: whether no further attempt will be made.
    """

    name: str
    tried: set[str] = field(factory=set)
    attempts: "list[Attempt]" = field(factory=list)
    records: list[Any] | None = None
    deferred: bool = False
    retry_pending: bool = False
    given_up: bool = False

    def reset_tried(self) -> None:
        """Allow replicas to be tried again unless they have an outstanding attempt."""
        self.tried = {attempt.request.endpoint for attempt in self.attempts}


@define(eq=False)
class Attempt:
    """A sub-request without a reply.

    :param owner: owner that it was sent to; the endpoint may have a different one now.
    :param next_check_ms: time of the next check for a late reply.
    :param hedgeable: whether a hedge may still be sent for it.
    :param overdue: whether its reply takes longer than expected.
    """

    request: SubRequest
    progress: ShardProgress
    view: EndpointView
    owner: OwnerView
    kind: SubRequestKind
    sent_ms: float
    next_check_ms: float
    hedgeable: bool = True
    overdue: bool = False


@define(eq=False)
class ExecutionTracker:
    """Tracks whether any part of a query ran.

    The result is ``Ran.NO`` only if every attempt was answered with it.
    """

    _ran: bool = False
    _uncertain: bool = False

    def record_reply(self, reply: SubReply) -> None:
        """Record the reply to an attempt; a result proves that it ran."""
        if reply.error is None or reply.ran is Ran.YES:
            self._ran = True
        elif reply.ran is not Ran.NO:
            self._uncertain = True

    def record_abandoned(self) -> None:
        """Record an attempt without a reply, which may have run before its cancellation arrived."""
        self._uncertain = True

    def get(self) -> Ran:
        """Return whether the query ran; valid once no attempt is outstanding."""
        if self._ran:
            return Ran.YES
        return Ran.UNKNOWN if self._uncertain else Ran.NO
