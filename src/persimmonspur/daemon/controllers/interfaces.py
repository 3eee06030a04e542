"""What controllers offer each other, so that none has to import another."""

from typing import Protocol

from attrs import frozen

from persimmonspur.core.ownership.actions import CellAction, ReleaseBudgets
from persimmonspur.model.messages import EndpointStatus, ReleasedBudget, SubReply, SubRequest
from persimmonspur.model.query import Query, QueryAnswer


@frozen
class EndpointDescription:
    """An owned endpoint as operators see it.

    :param reason: why it is in its state, in one line.
    """

    name: str
    status: EndpointStatus
    reason: str


class CellInterface(Protocol):
    """Carries out what the cell decides."""

    def execute(self, actions: list[CellAction]) -> None:
        """Carry out actions."""


class ConfigurationInterface(Protocol):
    """Keeps the configuration up to date."""

    @property
    def synchronized(self) -> bool:
        """Whether the present configuration is known."""

    def observe_version(self, sender: str, version: int) -> None:
        """Take the version that came with a peer's message."""


class EndpointInterface(Protocol):
    """Runs the gates of the endpoints that this instance owns."""

    @property
    def busy(self) -> bool:
        """Whether sub-requests wait or run, or budgets wait to be handed over."""

    def refresh(self) -> None:
        """Create and retire gates after a new table or configuration."""

    def release(self, action: ReleaseBudgets) -> None:
        """Give up budgets once nothing runs at their endpoints."""

    def accept_budgets(self, budgets: list[ReleasedBudget]) -> None:
        """Take the state of budgets that their former owner gave up."""

    def offer(self, sender: str, requests: list[SubRequest], age_ms: float) -> None:
        """Take sub-requests of a coordinator."""

    def cancel(self, request_ids: list[str]) -> None:
        """Withdraw sub-requests."""

    def describe(self) -> list[EndpointDescription]:
        """Return the state of every owned endpoint and its reason, by name."""

    def observe_member(self, name: str, incarnation: int, configuration_version: int) -> None:
        """Take the versions that came with a peer's message."""


class QueryInterface(Protocol):
    """Runs the queries that this instance coordinates."""

    @property
    def running(self) -> int:
        """Number of queries that run."""

    def run(self, query: Query, priority: int) -> QueryAnswer:
        """Run a query and wait for its answer."""

    def deliver(self, receiver: str, reply: SubReply) -> None:
        """Return a reply to the coordinator of its query."""
