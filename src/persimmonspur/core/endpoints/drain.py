"""Drain state of one endpoint."""

from persimmonspur.model.configuration import DesiredState


class DrainState:
    """Combines the state that operators want with the draining state the endpoint reports."""

    def __init__(self, desired: DesiredState) -> None:
        """Create the state of an endpoint that has not reported draining.

        :param desired: state that operators want for the failure domain, or for the endpoint
            if the failure domain is serving.
        """
        self.desired = desired
        self._draining_reported_ms: float | None = None

    @property
    def serving(self) -> bool:
        """Whether the endpoint may receive new requests."""
        return self.desired is DesiredState.SERVING and self._draining_reported_ms is None

    @property
    def state(self) -> str:
        """``out`` or ``draining``; only meaningful if not :attr:`serving`."""
        return "out" if self.desired is DesiredState.OUT else "draining"

    def mark_draining(self, now_ms: float) -> None:
        """Record that the endpoint reported that it is draining."""
        self._draining_reported_ms = now_ms

    def clear_draining(self, sent_ms: float) -> None:
        """Record that the endpoint reported that it is not draining.

        :param sent_ms: when the request that returned this report was sent; a report
            requested before the latest draining report is ignored.
        """
        if self._draining_reported_ms is not None and sent_ms >= self._draining_reported_ms:
            self._draining_reported_ms = None
