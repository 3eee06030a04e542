"""Progress of one request at each of its services, and the sends that are in progress."""

from attrs import define, field, frozen

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.messages import (
    AttemptRecord,
    EndpointResponse,
    SendHandle,
    ShardResult,
)


@frozen
class Attempt:
    """A send to an endpoint that has no result yet."""

    number: int
    endpoint: Endpoint
    record: AttemptRecord
    send: SendHandle


@define(eq=False)
class ShardProgress:
    """Progress of one shard of a request; a route without a gather has a single shard.

    :param service: service whose endpoints hold the shard.
    :param send_count: number of sends that may have reached an endpoint.
    :param tried: identities of the endpoints that the request was sent to.
    :param running: sends without a result, by attempt number.
    :param result: successful response; ``None`` while there is none.
    :param may_have_run: whether some endpoint may have run the request.
    :param last_response: latest response of an endpoint that ran the request; not kept for the
        shards of a gather.
    :param held: whether a send waits until the request is no longer suspected to crash
        endpoints.
    :param reason: why there is no result, for the log.
    """

    service: str
    send_count: int = 0
    tried: list[str] = field(factory=list)
    running: dict[int, Attempt] = field(factory=dict)
    result: ShardResult | None = None
    failed: bool = False
    may_have_run: bool = False
    last_response: EndpointResponse | None = None
    held: bool = False
    reason: str = ""

    @property
    def settled(self) -> bool:
        """Whether the shard has its result or has failed."""
        return self.failed or self.result is not None
