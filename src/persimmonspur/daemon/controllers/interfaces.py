"""Interfaces through which controllers call each other without importing one another."""

from typing import Protocol

from attrs import frozen

from persimmonspur.core.ownership.actions import CellAction, ReleaseBudgets
from persimmonspur.model.messages import EndpointStatus, ReleasedBudget, SubReply, SubRequest
from persimmonspur.model.query import Query, QueryAnswer


@frozen
class EndpointDescription:
    """Description of an owned endpoint for operators.

    :param reason: why the endpoint is in its state, in one line.
    """

    name: str
    status: EndpointStatus
    reason: str


class CellInterface(Protocol):
    """Executes the actions that the cell decides on."""

    def execute(self, actions: list[CellAction]) -> None:
        """Execute actions of the cell."""


class ConfigurationInterface(Protocol):
    """Keeps the configuration up to date."""

    @property
    def synchronized(self) -> bool:
        """Whether this instance has caught up with the configuration of its peers."""

    def observe_version(self, sender: str, version: int) -> None:
        """Record the configuration version that a peer's message announced."""


class EndpointInterface(Protocol):
    """Manages the gates of the endpoints that this instance owns."""

    @property
    def busy(self) -> bool:
        """Whether sub-requests are queued or running, or releases of budgets are pending."""

    def refresh(self) -> None:
        """Create and retire gates after a change of the table or the configuration."""

    def release(self, action: ReleaseBudgets) -> None:
        """Release budgets as soon as nothing runs at their endpoints."""

    def accept_budgets(self, budgets: list[ReleasedBudget]) -> None:
        """Restore the state of budgets that their previous owner released."""

    def offer(self, sender: str, requests: list[SubRequest], age_ms: float) -> None:
        """Accept sub-requests from a coordinator."""

    def cancel(self, request_ids: list[str]) -> None:
        """Cancel sub-requests."""

    def describe(self) -> list[EndpointDescription]:
        """Return a description of every owned endpoint, sorted by name."""

    def observe_member(self, name: str, incarnation: int, configuration_version: int) -> None:
        """Publish all statuses to a member that is new or has just received a configuration."""


class QueryInterface(Protocol):
    """Runs the queries that this instance coordinates."""

    @property
    def running(self) -> int:
        """Number of running queries."""

    def run(self, query: Query, priority: int) -> QueryAnswer:
        """Run a query and return its answer."""

    def deliver(self, receiver: str, reply: SubReply) -> None:
        """Send a reply to the instance that coordinates its query."""
