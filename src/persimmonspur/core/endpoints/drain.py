"""Whether an endpoint is meant to get new work."""

from persimmonspur.model.configuration import Desired


class Drain:
    """Joins the desired state of operators with the endpoint's own drain flag."""

    def __init__(self, desired: Desired) -> None:
        """Start with what operators want and no flag.

        :param desired: the stricter of the endpoint's and its failure domain's state.
        """
        self.desired = desired
        self._flagged_at_ms: float | None = None

    @property
    def serving(self) -> bool:
        """Whether the endpoint may get new work."""
        return self.desired is Desired.SERVING and self._flagged_at_ms is None

    @property
    def state(self) -> str:
        """``out`` or ``draining``; only meaningful while not :attr:`serving`."""
        return "out" if self.desired is Desired.OUT else "draining"

    def flag(self, now_ms: float) -> None:
        """Take the endpoint's statement that it drains."""
        self._flagged_at_ms = now_ms

    def clear(self, sent_ms: float) -> None:
        """Take the endpoint's statement that it does not drain.

        :param sent_ms: when the call that brought it was sent; a statement
            that is older than the flag does not lift it.
        """
        if self._flagged_at_ms is not None and sent_ms >= self._flagged_at_ms:
            self._flagged_at_ms = None
