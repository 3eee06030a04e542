"""Actions that the coordination of a query returns for the daemon to carry out."""

from enum import StrEnum

from attrs import frozen

from persimmonspur.model.messages import SubRequest
from persimmonspur.model.query import QueryAnswer


class SubRequestKind(StrEnum):
    """Reason for sending a sub-request.

    A placement replaces an attempt that was rejected without being run.
    """

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"
    PLACEMENT = "placement"


@frozen
class SendSubRequest:
    """Send a sub-request to an endpoint's owner."""

    owner: str
    request: SubRequest
    kind: SubRequestKind = SubRequestKind.FIRST


@frozen
class CancelSubRequest:
    """Cancel a sub-request that is no longer needed."""

    owner: str
    request_id: str


@frozen
class WakeAt:
    """Call :meth:`Coordination.wake` at this time, unless the query has finished."""

    at_ms: float


@frozen
class Finish:
    """Return the answer to the caller."""

    answer: QueryAnswer


CoordinationAction = SendSubRequest | CancelSubRequest | WakeAt | Finish
