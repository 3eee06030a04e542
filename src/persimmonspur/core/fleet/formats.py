"""How final answers are labelled; each edge has its own header names."""

from typing import Protocol

from persimmonspur.core.fleet.messages import EndpointResponse, Headers, ShardResult


class ResponseFormat(Protocol):
    """Headers of final answers."""

    def format_endpoint_response(self, reply: EndpointResponse) -> Headers:
        """Return the headers with which an endpoint's own answer is passed on."""

    def format_merged_response(self, parts: list[ShardResult], missing: int) -> Headers:
        """Return the headers of a merged answer.

        :param missing: number of shards that are not in it.
        """

    def format_rejection(self, retry_after_ms: float) -> Headers:
        """Return the headers of an answer that says the request did not run."""

    def format_failure(self) -> Headers:
        """Return the headers of an answer that leaves open whether the request ran."""
