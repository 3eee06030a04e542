"""Embeds an endpoint gate in a program without sockets or threads.

Run it with ``python examples/embedding.py``. The gate returns actions; the program
executes them, here by calling a function.
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
    """Build a sub-request with a timeout of 500 ms."""
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
    """Simulate a call to an endpoint that takes 4 ms."""
    records = [{"id": request.id, "score": 1}]
    return EndpointOutcome(None, "", Ran.YES, records, SNAPSHOT, REPORT, duration_ms=4.0)


def main() -> int:
    """Offer five sub-requests to the gate of a cold endpoint and execute its actions.

    :returns: number of replies.
    """
    clock = ManualClock()
    endpoint = Endpoint("parts-0", "parts", "127.0.0.1:9", "north", ("parts-s0",))
    gate = EndpointGate(
        endpoint, EndpointLimits(slots=4, connections=75, connect_ms=6.0), typical_ms=5.0
    )
    actions = gate.set_usable_until(clock.now_ms() + 4_000.0, clock.now_ms())
    actions += gate.observe_report(REPORT, clock.now_ms())
    for number in range(5):
        actions += gate.offer(build_request(number), clock.now_ms())
    replies = 0
    while actions:
        action = actions.pop(0)
        if isinstance(action, Dispatch):
            clock.advance(4.0)
            outcome = search(action.request)
            actions += gate.complete(action.request.id, outcome, clock.now_ms())
        if isinstance(action, Reply):
            replies += 1
            print(f"{action.reply.id}: {action.reply.error or action.reply.records}")
    return replies


if __name__ == "__main__":
    main()
