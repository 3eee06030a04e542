"""Outcomes of calls to endpoints."""

from typing import Any

from attrs import frozen

from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.query import SnapshotId


@frozen
class EndpointReport:
    """What an endpoint says of itself with each response.

    :param load: 0 to 1.
    """

    incarnation: str
    state: str
    load: float
    snapshots: tuple[SnapshotId, ...]


@frozen
class EndpointOutcome:
    """The outcome of one call to an endpoint.

    :param error: ``None`` on success.
    :param reset: whether the connection broke without a response.
    :param closed: whether the connection cannot be used again.
    :param connection_incarnation: incarnation that answered earlier on the
        connection that broke; empty if it was new.
    :param duration_ms: time from send to outcome, in milliseconds.
    """

    error: ErrorKind | None
    message: str
    ran: Ran
    records: list[Any] | None
    snapshot: SnapshotId | None
    report: EndpointReport | None
    duration_ms: float
    reset: bool = False
    closed: bool = False
    connection_incarnation: str = ""
