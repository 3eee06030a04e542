"""Time after which a gather responds without its late shards.

A client values a response that covers most shards within the latency objective more than a
complete one after it. The objective is counted at the client, so the time that the client has
already spent and the way of the response are taken off.
"""

from persimmonspur.core.fleet.messages import ClientRequest
from persimmonspur.core.fleet.routes import Route

# Latest and earliest time, as fractions of the latency objective. A client whose network takes
# more than the rest gets its response late whatever is left out.
LATEST_FRACTION = 0.9
EARLIEST_FRACTION = 0.5
# Time beyond the round trip: the merge, timers that fire late and a response of some kilobytes on a
# slow link.
MARGIN_MS = 6.0
# A time budget that is shorter than the route's by more than this fraction of the objective
# says how long the client is willing to wait rather than how long it has waited.
MAX_SPENT_FRACTION = 0.5


def choose_partial_ms(route: Route, request: ClientRequest) -> float:
    """Return the time from a request's arrival until a response may leave shards out.

    :returns: milliseconds.
    """
    spent_ms = estimate_spent_ms(route, request)
    left_ms = route.objective_ms - spent_ms - request.round_trip_ms - MARGIN_MS
    latest_ms = LATEST_FRACTION * route.objective_ms
    earliest_ms = EARLIEST_FRACTION * route.objective_ms
    return max(earliest_ms, min(latest_ms, left_ms))


def estimate_spent_ms(route: Route, request: ClientRequest) -> float:
    """Return the time that a client spent before it sent its request.

    Clients look up addresses and connect first, and send what is left of their time budget.
    The route's timeout is that budget unless the client has one of its own.

    :returns: milliseconds.
    """
    if request.timeout_ms is None:
        return request.handshake_ms
    spent_ms = route.timeout_ms - request.timeout_ms
    if 0 < spent_ms <= MAX_SPENT_FRACTION * route.objective_ms:
        return spent_ms
    return request.handshake_ms
