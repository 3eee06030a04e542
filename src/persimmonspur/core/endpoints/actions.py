"""Actions that an endpoint's gate asks the daemon to carry out."""

from attrs import frozen

from persimmonspur.model.messages import SubReply, SubRequest


@frozen
class Dispatch:
    """Send a sub-request to the endpoint now.

    :param timeout_ms: time the endpoint may take, in milliseconds.
    :param expires_ms: owner's monotonic time after which the endpoint must not run it.
    """

    request: SubRequest
    timeout_ms: float
    expires_ms: float = 0.0


@frozen
class Reply:
    """Return a reply to the sender of the sub-request."""

    reply: SubReply


@frozen
class CancelAtEndpoint:
    """Ask the endpoint to stop a request that runs there."""

    request_id: str


@frozen
class Probe:
    """Fetch the endpoint's report and hand it to :meth:`EndpointGate.observe_report`."""


GateAction = Dispatch | Reply | CancelAtEndpoint | Probe
