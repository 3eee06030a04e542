"""Endpoints that are leaving, and endpoints that want no requests for a while.

An endpoint says so in its responses, which reach an instance long before a change of the
endpoint's entry in the store, and also while the store is unavailable.
"""

from collections.abc import Callable
from typing import NamedTuple

from attrs import frozen

from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.messages import EndpointResponse

# Longest time for which one response keeps requests away. A longer period is taken for a
# mistake, which must not exclude an endpoint for hours.
MAX_RETRY_AFTER_MS = 60_000.0
# A mark outlives the entry of its endpoint by this time, since entries that lapsed in an outage
# of the store reappear. Endpoints whose start time is unknown can restart under their identity.
LEAVING_RETENTION_MS = 600_000.0
# Bounds the memory that marks use. Beyond it the oldest mark is dropped.
MAX_LEAVING = 16_384


class EndpointStart(NamedTuple):
    """Identifies one start of an endpoint, which may restart under its identity."""

    identity: str
    born_ms: int


@frozen
class _Period:
    """Time for which an endpoint wants no requests from this instance."""

    born_ms: int
    until_ms: float


class EndpointPushback:
    """Endpoints that get no requests because their responses ask for it.

    A mark of a leaving endpoint ends only when the endpoint restarts: it survives a change of
    the endpoint's entry, and its return after the entry was missing.

    :ivar on_leaving: called with an endpoint when one of its responses first says that it is
        leaving.
    """

    def __init__(
        self,
        on_period: Callable[[str, float], None] = lambda identity, period_ms: None,
    ) -> None:
        """Create a state in which every endpoint may get requests.

        :param on_period: called with the identity of an endpoint and the time for which it
            wants no requests, when such a period begins.
        """
        self._on_period = on_period
        self.on_leaving: Callable[[EndpointStart], None] = lambda start: None
        # Local time at which each endpoint was last known to exist.
        self._leaving: dict[EndpointStart, float] = {}
        self._periods: dict[str, _Period] = {}

    def allows(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Return whether an endpoint may get a request now."""
        if self._leaving and self.is_leaving(endpoint):
            return False
        period = self._periods.get(endpoint.identity)
        return period is None or now_ms >= period.until_ms or period.born_ms != endpoint.born_ms

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has said that it is leaving."""
        return (endpoint.identity, endpoint.born_ms) in self._leaving

    def record_response(
        self, endpoint: Endpoint, response: EndpointResponse, now_ms: float
    ) -> None:
        """Read what an endpoint asks for in a response, whatever became of the request.

        :param endpoint: the endpoint as it was known when the request was sent.
        """
        if response.leaving:
            start = EndpointStart(endpoint.identity, endpoint.born_ms)
            if self.mark_leaving(start, now_ms):
                self.on_leaving(start)
        if response.retry_after_ms:
            self._start_period(endpoint, min(response.retry_after_ms, MAX_RETRY_AFTER_MS), now_ms)

    def mark_leaving(self, start: EndpointStart, now_ms: float) -> bool:
        """Send nothing more to an endpoint.

        :returns: whether it was not known to be leaving.
        """
        is_new = start not in self._leaving
        self._leaving.pop(start, None)
        self._leaving[start] = now_ms
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return is_new

    def _start_period(self, endpoint: Endpoint, period_ms: float, now_ms: float) -> None:
        until_ms = now_ms + period_ms
        period = self._periods.get(endpoint.identity)
        if period is not None and period.born_ms == endpoint.born_ms and now_ms < period.until_ms:
            # Responses to requests that were sent together name different periods, and each
            # of them holds.
            until_ms = max(until_ms, period.until_ms)
        else:
            self._on_period(endpoint.identity, period_ms)
        self._periods[endpoint.identity] = _Period(endpoint.born_ms, until_ms)

    def select_leaving(self, directory: EndpointDirectory) -> list[EndpointStart]:
        """Return the known endpoints that are leaving."""
        return [start for start in self._leaving if _exists(start, directory)]

    def count_states(self, directory: EndpointDirectory, now_ms: float) -> dict[str, float]:
        """Return the number of known endpoints that get no requests, by reason."""
        pushed_back = sum(now_ms < period.until_ms for period in self._periods.values())
        return {"leaving": float(len(self.select_leaving(directory))), "pushed_back": pushed_back}

    def expire(self, directory: EndpointDirectory, now_ms: float) -> None:
        """Drop periods that ended, and marks of endpoints that have been gone for long."""
        for identity, period in list(self._periods.items()):
            if now_ms >= period.until_ms:
                del self._periods[identity]
        for start, seen_ms in list(self._leaving.items()):
            if _exists(start, directory):
                self._leaving[start] = now_ms
            elif now_ms - seen_ms > LEAVING_RETENTION_MS:
                del self._leaving[start]


def _exists(start: EndpointStart, directory: EndpointDirectory) -> bool:
    endpoint = directory.get(start.identity)
    return endpoint is not None and endpoint.born_ms == start.born_ms
