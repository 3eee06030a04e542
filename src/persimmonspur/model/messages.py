"""Messages between instances.

They are msgspec structs and not attrs classes because they are encoded and
decoded for every sub-request; ``array_like`` keeps them small on the wire.
"""

from typing import Any

import msgspec

from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.member import Member
from persimmonspur.model.query import SnapshotId


class SubRequest(msgspec.Struct, array_like=True):
    """One shard's part of a query.

    :param id: unique per attempt.
    :param query_id: the caller's request id.
    :param timeout_ms: time left when the message was sent, in milliseconds.
    :param priority: 0 is the most urgent.
    :param hedge: whether this is a hedge, which only warm endpoints take.
    """

    id: str
    query_id: str
    service: str
    shard: str
    endpoint: str
    snapshot: SnapshotId
    timeout_ms: float
    priority: int
    repeatable: bool
    hedge: bool
    body: Any


class SubReply(msgspec.Struct, array_like=True):
    """The owner's reply to a sub-request.

    :param error: ``None`` on success.
    :param service_ms: time at the endpoint in milliseconds.
    :param queue: entries that wait at the owner for this endpoint.
    :param running: requests that run at the endpoint.
    :param limit: concurrent requests that the owner allows now.
    :param retry_after_ms: when the owner expects room, in milliseconds.
    """

    id: str
    endpoint: str
    snapshot: SnapshotId | None
    records: list[Any] | None
    error: ErrorKind | None
    message: str
    ran: Ran
    service_ms: float
    queue: int
    running: int
    limit: int
    retry_after_ms: float


class EndpointStatus(msgspec.Struct, array_like=True):
    """What an owner tells the cell about an endpoint.

    :param state: one of the states of ``core.endpoints``.
    :param usable: whether new work may be sent at all.
    :param service_ms: smoothed time at the endpoint in milliseconds.
    """

    endpoint: str
    state: str
    usable: bool
    snapshots: list[SnapshotId]
    queue: int
    running: int
    limit: int
    service_ms: float


class SubRequests(msgspec.Struct, array_like=True, tag=1):
    """A batch of sub-requests for one owner."""

    items: list[SubRequest]


class SubReplies(msgspec.Struct, array_like=True, tag=2):
    """Replies that were ready together."""

    items: list[SubReply]


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Withdraws sub-requests by id."""

    ids: list[str]


class Heartbeat(msgspec.Struct, array_like=True, tag=4):
    """Liveness and version confirmation between two members.

    :param sequence: number of the sender's heartbeat round.
    :param echo_sequence: latest round of the receiver that the sender has seen.
    :param echo_incarnation: incarnation of the receiver that sent that round.
    :param heard: bit i is set if the sender heard the i-th member of its table, by name order.
    :param leaving: whether the sender is about to end.
    :param joining: the sender's own entry while the table lacks it.
    :param ended: whether this is the last message of the sender's incarnation.
    """

    sequence: int
    echo_sequence: int
    echo_incarnation: int
    heard: int
    leaving: bool = False
    joining: Member | None = None
    ended: bool = False


class EndpointStatuses(msgspec.Struct, array_like=True, tag=5):
    """Changed states of endpoints that the sender owns."""

    items: list[EndpointStatus]


class FetchTable(msgspec.Struct, array_like=True, tag=6):
    """Asks the receiver for its cell table."""

    known_version: int


class TableState(msgspec.Struct, array_like=True, tag=7):
    """A cell table in its stored form."""

    version: int
    value: bytes


class FetchConfiguration(msgspec.Struct, array_like=True, tag=8):
    """Asks the receiver for the root of its configuration if that is newer.

    Its envelope also announces the sender's version, so a member that learned
    a version from the object API sends it to all others.
    """

    known_version: int


class ConfigurationState(msgspec.Struct, array_like=True, tag=9):
    """The root of a configuration in its stored form; parts are fetched by digest."""

    version: int
    value: bytes


class FetchConfigurationParts(msgspec.Struct, array_like=True, tag=13):
    """Asks the receiver for parts of a configuration by digest."""

    digests: list[str]


class ConfigurationParts(msgspec.Struct, array_like=True, tag=14):
    """Parts of a configuration by digest; those that the sender lacks are left out."""

    values: dict[str, bytes]


class ReleasedBudget(msgspec.Struct, array_like=True):
    """The state of an endpoint that its former owner gives up.

    :param level: concurrent requests that the former owner allowed.
    """

    endpoint: str
    level: int
    incarnation: str


class Release(msgspec.Struct, array_like=True, tag=10):
    """The sender will not use these budgets again under this table version."""

    version: int
    budgets: list[ReleasedBudget]


MessageBody = (
    SubRequests
    | SubReplies
    | Cancel
    | Heartbeat
    | EndpointStatuses
    | FetchTable
    | TableState
    | FetchConfiguration
    | ConfigurationState
    | Release
    | FetchConfigurationParts
    | ConfigurationParts
)


class Envelope(msgspec.Struct, array_like=True):
    """What every message carries.

    :param sent_ms: the sender's monotonic time in milliseconds.
    """

    sender: str
    incarnation: int
    sent_ms: float
    table_version: int
    configuration_version: int
    body: MessageBody
