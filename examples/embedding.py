"""Embeds the gate of an endpoint in a program without sockets or threads.

Run it with ``python examples/embedding.py``. The gate decides; this program
carries the decisions out, here by calling a function.
"""

from persimmonspur.clock import ManualClock
from persimmonspur.core.endpoints.actions import Dispatch, Reply
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.errors import Ran
from persimmonspur.model.configuration import Endpoint, EndpointLimits
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

SNAPSHOT = SnapshotId(epoch=1, version=7)
REPORT = EndpointReport("started-once", "warm", 0.0, (SNAPSHOT,))


def build_request(number: int) -> SubRequest:
    """Build a sub-request that may take 500 ms."""
    return SubRequest(
        id=f"query/{number}",
        query_id="query",
        service="parts",
        shard="parts-s0",
        endpoint="parts-0",
        snapshot=SNAPSHOT,
        timeout_ms=500.0,
        priority=0,
        repeatable=True,
        hedge=False,
        body={"text": "whisk"},
    )


def search(request: SubRequest) -> EndpointOutcome:
    """Stand for the call of a real endpoint."""
    records = [{"id": request.id, "score": 1}]
    return EndpointOutcome(None, "", Ran.YES, records, SNAPSHOT, REPORT, duration_ms=4.0)


def main() -> int:
    """Offer five sub-requests to a cold endpoint and carry out what the gate decides.

    :returns: how many were answered.
    """
    clock = ManualClock()
    endpoint = Endpoint("parts-0", "parts", "127.0.0.1:9", "north", ("parts-s0",))
    gate = EndpointGate(
        endpoint, EndpointLimits(slots=4, connections=75, connect_ms=6.0), typical_ms=5.0
    )
    pending = gate.set_usable_until(clock.now_ms() + 4_000.0, clock.now_ms())
    pending += gate.observe_report(REPORT, clock.now_ms())
    for number in range(5):
        pending += gate.offer(build_request(number), clock.now_ms())
    answered = 0
    while pending:
        action = pending.pop(0)
        if isinstance(action, Dispatch):
            clock.advance(4.0)
            outcome = search(action.request)
            pending += gate.complete(action.request.id, outcome, clock.now_ms())
        if isinstance(action, Reply):
            answered += 1
            print(f"{action.reply.id}: {action.reply.error or action.reply.records}")
    return answered


if __name__ == "__main__":
    main()
