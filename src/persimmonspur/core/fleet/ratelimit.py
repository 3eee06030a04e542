"""Request rates that endpoints ask for, divided so that each instance enforces its share.

Answers the load of an endpoint that is in trouble but still serves: it names the number of
requests per second that it takes from all instances together.
"""

from collections.abc import Callable

from attrs import define

from persimmonspur.core.fleet.endpoints import Lifetime, get_identity
from persimmonspur.errors import Ran

# An endpoint is asked at least this often by all instances together: only its responses show
# that its limit has ended.
MIN_RATE_PER_S = 0.5


@define
class _LimitState:
    """The limit of one endpoint.

    :param named_ms: local time at which the endpoint first named a limit.
    :param last_sent_ms: local time of the last request, or of the response with the limit.
    """

    rate_per_s: float
    named_ms: float
    last_sent_ms: float


class EndpointRateLimit:
    """Spaces the requests to endpoints that name a limit.

    The requests of one instance to an endpoint are spaced evenly, without a burst after a
    pause, so the sum over all instances keeps the limit in any short window.

    :ivar sharing_instances: number of instances among which each limit is divided.
    """

    def __init__(
        self,
        on_change: Callable[[str, float | None], None] = lambda identity, rate_per_s: None,
    ) -> None:
        """Create a limiter that knows no limits.

        :param on_change: called with the identity of an endpoint and its limit when it first
            names one, and with ``None`` when the limit ends.
        """
        self._on_change = on_change
        self._states: dict[Lifetime, _LimitState] = {}
        self.sharing_instances = 1

    def record_response(
        self,
        lifetime: Lifetime,
        rate_per_s: float | None,
        ran: Ran,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Update the limit of an endpoint from one of its responses.

        A response without a limit ends the limit only if the endpoint ran its request, since
        an endpoint in trouble may reject requests without naming its limit, and only if the
        request was sent after the limit was named, since responses may arrive out of order.

        :param rate_per_s: requests per second that it takes from all instances together;
            ``None`` if the response names no limit.
        :param sent_ms: local time at which the request of the response was sent.
        """
        state = self._states.get(lifetime)
        if rate_per_s is None:
            if state is not None and ran is not Ran.NO and sent_ms >= state.named_ms:
                del self._states[lifetime]
                self._on_change(get_identity(lifetime), None)
            return
        if state is not None:
            state.rate_per_s = rate_per_s
            return
        self._states[lifetime] = _LimitState(rate_per_s, now_ms, now_ms)
        self._on_change(get_identity(lifetime), rate_per_s)

    def allows(self, lifetime: Lifetime, now_ms: float) -> bool:
        """Return whether this instance may send a request to an endpoint now."""
        state = self._states.get(lifetime)
        if state is None:
            return True
        share_per_s = max(state.rate_per_s, MIN_RATE_PER_S) / self.sharing_instances
        return now_ms - state.last_sent_ms >= 1_000.0 / share_per_s

    def record_sent(self, lifetime: Lifetime, now_ms: float) -> None:
        """Count a request to an endpoint."""
        state = self._states.get(lifetime)
        if state is not None:
            state.last_sent_ms = now_ms

    def count_limited(self) -> int:
        """Return the number of endpoints that name a limit."""
        return len(self._states)

    def retain(self, lifetimes: frozenset[Lifetime]) -> None:
        """Drop the limits of endpoint processes that no longer exist.

        :param lifetimes: the processes that exist.
        """
        for lifetime in list(self._states):
            if lifetime not in lifetimes:
                del self._states[lifetime]
