"""Actions that a query's coordination asks the daemon to carry out."""

from attrs import frozen

from persimmonspur.model.messages import SubRequest
from persimmonspur.model.query import QueryAnswer


@frozen
class SendSubRequest:
    """Send a sub-request to an endpoint's owner."""

    owner: str
    request: SubRequest


@frozen
class CancelSubRequest:
    """Withdraw a sub-request that is no longer needed."""

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
