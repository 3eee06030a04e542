"""Actions that an endpoint's gate returns for its caller to execute."""

from attrs import frozen

from persimmonspur.model.messages import SubReply, SubRequest


@frozen
class Dispatch:
    """Send a sub-request to the endpoint now.

    :param timeout_ms: time that the endpoint has for its response, in milliseconds.
    :param expires_ms: owner's monotonic time after which the endpoint must not execute it.
    """

    request: SubRequest
    timeout_ms: float
    expires_ms: float = 0.0


@frozen
class Reply:
    """Send a reply to the sender of the sub-request."""

    reply: SubReply


@frozen
class CancelAtEndpoint:
    """Ask the endpoint to cancel a running sub-request."""

    request_id: str


@frozen
class Probe:
    """Fetch the endpoint's report and pass it to :meth:`EndpointGate.observe_report`."""


GateAction = Dispatch | Reply | CancelAtEndpoint | Probe
