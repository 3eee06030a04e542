"""The parts of one request that go to one service each, and their sends."""

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
    """One send to one endpoint that has no result yet."""

    number: int
    endpoint: Endpoint
    record: AttemptRecord
    send: SendHandle


@define(eq=False)
class ShardProgress:
    """The part of a request that goes to one service.

    :param sent: sends that may have reached an endpoint.
    :param tried: identities that this request was sent to.
    """

    service: str
    sent: int = 0
    tried: list[str] = field(factory=list)
    running: dict[int, Attempt] = field(factory=dict)
    part: ShardResult | None = None
    failed: bool = False
    may_have_run: bool = False
    last_reply: EndpointResponse | None = None
    reason: str = ""

    @property
    def settled(self) -> bool:
        """Whether nothing more is expected."""
        return self.failed or self.part is not None
