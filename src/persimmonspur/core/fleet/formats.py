"""Interface for the headers of client responses; each edge has its own header names."""

from typing import Protocol

from persimmonspur.core.fleet.messages import EndpointResponse, Headers, ShardResult


class ResponseFormat(Protocol):
    """Formats the headers of client responses."""

    def format_endpoint_response(self, response: EndpointResponse) -> Headers:
        """Return the headers for an endpoint's response that is forwarded to the client."""

    def format_merged_response(self, results: list[ShardResult], missing: int) -> Headers:
        """Return the headers of a response merged from several shards.

        :param missing: number of shards without a result.
        """

    def format_rejection(self, retry_after_ms: float) -> Headers:
        """Return the headers of a response that says that the request did not run."""

    def format_challenge(self) -> Headers:
        """Return the headers of a response that says that a known API key is needed."""

    def format_failure(self) -> Headers:
        """Return the headers of a failure after which the request may have run."""
