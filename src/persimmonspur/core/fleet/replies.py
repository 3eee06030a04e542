"""Responses to the client of one request, built from the progress of its shards."""

import random

from persimmonspur.core.fleet.formats import ResponseFormat
from persimmonspur.core.fleet.merge import merge_top_records
from persimmonspur.core.fleet.messages import ClientResponse, EndpointResponse
from persimmonspur.core.fleet.progress import ShardProgress
from persimmonspur.core.fleet.routes import Route

RETRY_AFTER_UNAVAILABLE_MS = 400.0
# Retry delay given to clients that are rejected because all endpoints are full, in multiples
# of the latency objective: about the time in which a full queue drains. The jitter spreads
# the retries of different clients.
RETRY_AFTER_MIN_OBJECTIVES = 1.0
RETRY_AFTER_JITTER_OBJECTIVES = 2.0

# Statuses that tell a client that its request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class ReplyBuilder:
    """Builds the response to one request; the sends and reasons are added by the caller."""

    def __init__(
        self, response_format: ResponseFormat, route: Route, shards: list[ShardProgress]
    ) -> None:
        """Create a builder.

        :param shards: progress of each shard; one for a route without a gather.
        """
        self._format = response_format
        self._route = route
        self._shards = shards

    def count_covered(self) -> int:
        """Return the number of shards with a result."""
        return sum(shard.result is not None for shard in self._shards)

    def forward(self, response: EndpointResponse, outcome: str) -> ClientResponse:
        """Return an endpoint's response unchanged."""
        headers = self._format.format_endpoint_response(response)
        return ClientResponse(response.status, headers, response.body, outcome, 1, 1)

    def merge(self, outcome: str) -> ClientResponse:
        """Return the greatest records of all results."""
        gather = self._route.gather
        assert gather is not None
        results = [shard.result for shard in self._shards if shard.result is not None]
        body = merge_top_records((result.body for result in results), gather.top_records)
        headers = self._format.format_merged_response(results, len(self._shards) - len(results))
        return ClientResponse(200, headers, body, outcome, len(results), len(self._shards))

    def reject(self, outcome: str, retry_after_ms: float) -> ClientResponse:
        """Return a response that says that the request did not run and never will."""
        headers = self._format.format_rejection(retry_after_ms)
        body = b"not run: " + outcome.encode()
        return ClientResponse(503, headers, body, outcome, 0, len(self._shards))

    def report_unknown(self, outcome: str, status: int) -> ClientResponse:
        """Return a response that does not say whether the request ran."""
        headers = self._format.format_failure()
        body = b"outcome unknown: " + outcome.encode()
        covered = self.count_covered()
        return ClientResponse(status, headers, body, outcome, covered, len(self._shards))


def can_forward(response: EndpointResponse) -> bool:
    """Return whether an endpoint's error response can be forwarded to the client.

    A status that says that the request did not run would be false after it ran.
    """
    return (
        bool(response.stamp) and response.status >= 400 and response.status not in NOT_RUN_STATUSES
    )


def choose_retry_after_ms(route: Route, rng: random.Random) -> float:
    """Return when a client may retry that was rejected because all endpoints are full."""
    jitter = RETRY_AFTER_JITTER_OBJECTIVES * rng.random()
    return (RETRY_AFTER_MIN_OBJECTIVES + jitter) * route.objective_ms
