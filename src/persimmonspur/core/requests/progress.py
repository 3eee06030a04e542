"""Progress of one query's shards."""

from typing import Any

from attrs import define, field

from persimmonspur.core.requests.actions import SubRequestKind
from persimmonspur.core.routing.view import EndpointView, OwnerView
from persimmonspur.errors import Ran
from persimmonspur.model.messages import SubReply, SubRequest


@define(eq=False)
class ShardProgress:
    """One needed shard.

    :param tried: endpoints that got an attempt.
    :param attempts: attempts without a reply.
    :param records: set once the shard is answered.
    :param deferred: whether the first attempt is still to be sent.
    :param retry_pending: whether a retry waits for the budget.
    :param given_up: whether nothing more can come.
    """

    name: str
    tried: set[str] = field(factory=set)
    attempts: "list[Attempt]" = field(factory=list)
    records: list[Any] | None = None
    deferred: bool = False
    retry_pending: bool = False
    given_up: bool = False

    def reset_tried(self) -> None:
        """Allow replicas again whose attempts have ended."""
        self.tried = {attempt.request.endpoint for attempt in self.attempts}


@define(eq=False)
class Attempt:
    """One sub-request without a reply.

    :param owner: whom it was sent to, which may have changed since.
    :param next_check_ms: when to look at it again.
    :param hedgeable: whether its hedge delay has not passed yet.
    :param overdue: whether its reply is missing for longer than expected.
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
    """Knows whether anything of a query ran.

    ``Ran.NO`` is only said if every attempt was answered with it.
    """

    _ran: bool = False
    _uncertain: bool = False

    def observe(self, reply: SubReply) -> None:
        """Take a reply to one attempt; a result is proof that it ran."""
        if reply.error is None or reply.ran is Ran.YES:
            self._ran = True
        elif reply.ran is not Ran.NO:
            self._uncertain = True

    def abandon(self) -> None:
        """Give up an attempt without a reply; a cancellation may come too late."""
        self._uncertain = True

    def get(self) -> Ran:
        """Return what is certain, provided that no attempt is outstanding."""
        if self._ran:
            return Ran.YES
        return Ran.UNKNOWN if self._uncertain else Ran.NO
