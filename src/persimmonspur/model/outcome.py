"""Outcomes of requests to endpoints."""

from typing import Any

from attrs import frozen

from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.query import SnapshotId


@frozen
class EndpointReport:
    """State that an endpoint reports with each response.

    :param load: reported load, from 0 to 1.
    """

    incarnation: str
    state: str
    load: float
    snapshots: tuple[SnapshotId, ...]


@frozen
class EndpointOutcome:
    """The outcome of one request to an endpoint.

    :param error: ``None`` on success.
    :param reset: whether the connection failed without a response.
    :param closed: whether the connection cannot be reused.
    :param connection_incarnation: incarnation that sent an earlier response on the
        failed connection; empty if the connection was new.
    :param duration_ms: time from sending the request to the outcome, in milliseconds.
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
