"""Messages between instances.

They are msgspec structs rather than attrs classes because they are encoded and
decoded for every sub-request; ``array_like`` keeps them small on the wire.
"""

from typing import Any

import msgspec

from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.member import Member
from persimmonspur.model.query import SnapshotId


class SubRequest(msgspec.Struct, array_like=True):
    """The part of a query for one shard.

    :param id: unique for each attempt.
    :param query_id: the caller's request id.
    :param timeout_ms: time remaining when the message was sent, in milliseconds.
    :param priority: 0 is the most urgent.
    :param repeatable: whether the request may be executed more than once.
    :param hedge: whether this is a hedge, which only warm endpoints accept.
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
    :param ran: whether the request was executed at the endpoint.
    :param service_ms: time at the endpoint in milliseconds.
    :param queue: number of requests queued at the owner for this endpoint.
    :param running: number of requests running at the endpoint.
    :param limit: number of concurrent requests that the owner currently allows.
    :param retry_after_ms: time until the owner expects free capacity, in milliseconds.
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
    """Status of an endpoint that its owner broadcasts in the cell.

    :param state: one of the states of ``core.endpoints``.
    :param usable: whether the endpoint accepts new requests.
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
    """A batch of replies that were ready at the same time."""

    items: list[SubReply]


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Cancels sub-requests by id."""

    ids: list[str]


class Heartbeat(msgspec.Struct, array_like=True, tag=4):
    """Confirms liveness and versions between two members.

    :param sequence: number of the sender's heartbeat round.
    :param echo_sequence: latest round of the receiver that the sender has seen.
    :param echo_incarnation: incarnation of the receiver that sent that round.
    :param heard: bit i is set if the sender hears from the i-th member of its table, in name order.
    :param leaving: whether the sender is about to terminate.
    :param joining: the sender's own member entry as long as the table lacks it.
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
    """Changed statuses of endpoints that the sender owns."""

    items: list[EndpointStatus]


class FetchTable(msgspec.Struct, array_like=True, tag=6):
    """Requests the receiver's cell table."""

    known_version: int


class TableState(msgspec.Struct, array_like=True, tag=7):
    """A cell table in its stored form."""

    version: int
    value: bytes


class FetchConfiguration(msgspec.Struct, array_like=True, tag=8):
    """Requests the root of the receiver's configuration if that is newer.

    The envelope also announces the sender's version, so a member that read a new
    version from the object API sends this message to all others.
    """

    known_version: int


class ConfigurationState(msgspec.Struct, array_like=True, tag=9):
    """The root of a configuration in its stored form; parts are fetched by digest."""

    version: int
    value: bytes


class FetchConfigurationParts(msgspec.Struct, array_like=True, tag=13):
    """Requests parts of a configuration by digest."""

    digests: list[str]


class ConfigurationParts(msgspec.Struct, array_like=True, tag=14):
    """Parts of a configuration by digest; parts that the sender lacks are omitted."""

    values: dict[str, bytes]


class ReleasedBudget(msgspec.Struct, array_like=True):
    """State of an endpoint whose budget its previous owner releases.

    :param level: number of concurrent requests that the previous owner allowed.
    """

    endpoint: str
    level: int
    incarnation: str


class Release(msgspec.Struct, array_like=True, tag=10):
    """Releases budgets, which the sender will not use again under this table version."""

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
    """Envelope of every message.

    :param sent_ms: monotonic time of the sender in milliseconds.
    """

    sender: str
    incarnation: int
    sent_ms: float
    table_version: int
    configuration_version: int
    body: MessageBody
