"""Measures the processor time of sub-requests at the coordinator, the owner and in transport."""

import time
from random import Random
from typing import Any

import gevent
import msgspec

from persimmonspur.capacity.configurations import build_view
from persimmonspur.capacity.record import MEASUREMENTS, Point, Series, build_series, time_call
from persimmonspur.core.endpoints.actions import Dispatch
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.core.requests.actions import CoordinationAction, Finish, SendSubRequest
from persimmonspur.core.requests.coordination import Coordination, CoordinationContext
from persimmonspur.errors import Ran
from persimmonspur.load.deployment import (
    DEPLOYMENTS,
    DeploymentSpec,
    ServiceSpec,
    build_configuration,
)
from persimmonspur.load.processes import find_free_address
from persimmonspur.model.configuration import Endpoint, EndpointLimits
from persimmonspur.model.messages import Envelope, SubReplies, SubReply, SubRequest, SubRequests
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import Query, SnapshotId
from persimmonspur.peers.transport import NngTransport
from persimmonspur.standins.dataset import list_records

SHARD_COUNTS = (4, 16, 32, 62)
BATCH_SIZES = (1, 4, 16, 62)
GATE_COUNTS = (4, 16, 32, 62)
MESSAGES_PER_ROUND = 400
MESSAGE_ROUNDS = 7
REPLY_RECORDS = list_records("measured", 1, 0, 4_096, 10)
SNAPSHOT = SnapshotId(1, 1)
ENDPOINT_REPORT = EndpointReport("measured-1", "warm", 0.25, (SNAPSHOT,))


@MEASUREMENTS.register("coordinator")
def measure_coordinator() -> list[Series]:
    """Measure one query at its coordinator, including the encoding of messages per owner."""
    points = [
        Point(shards, time_call(_CoordinatorBenchmark(shards).run)) for shards in SHARD_COUNTS
    ]
    return [build_series("coordinator_cpu", "shards", "processor µs per query", points)]


@MEASUREMENTS.register("owner")
def measure_owner() -> list[Series]:
    """Measure one batch of sub-requests at the owner, excluding the endpoint calls."""
    points = [Point(gates, time_call(_OwnerBenchmark(gates).run)) for gates in GATE_COUNTS]
    return [build_series("owner_cpu", "sub-requests", "processor µs per batch", points)]


@MEASUREMENTS.register("batching")
def measure_batching() -> list[Series]:
    """Measure one message between two sockets of this process, counting both ends."""
    points = [Point(size, _measure_messages(size)) for size in BATCH_SIZES]
    return [build_series("message_cpu", "sub-requests in a message", "processor µs", points)]


def raise_if_failed(actions: list[CoordinationAction]) -> None:
    """Check that a measured query has not failed.

    :raises RuntimeError: if one of the actions finishes the query with a failure.
    """
    for action in actions:
        if isinstance(action, Finish) and action.answer.failure is not None:
            raise RuntimeError(f"the measured query failed: {action.answer.failure.message}")


class _CoordinatorBenchmark:
    """Coordinates queries to a service with a given number of shards."""

    def __init__(self, shards: int) -> None:
        service_spec = ServiceSpec("measured", shards * 3, 4, 75, 6.0)
        domains = DEPLOYMENTS["ulaanbaatar"].failure_domains
        deployment = DeploymentSpec("measured", domains, 0.5, (service_spec,))
        view = build_view(build_configuration(deployment))
        self._context = CoordinationContext(view, domains[0], Random(1))
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._time_ms = 1_000.0

    def run(self) -> None:
        """Run one query to completion."""
        self._time_ms += 10.0
        query = Query("measured", "counter", 1_000.0, "request", limit=10)
        coordination = Coordination(query, 0, self._context, self._time_ms)
        batches: dict[str, list[SubRequest]] = {}
        started = coordination.start(self._time_ms)
        raise_if_failed(started)
        for action in started:
            if isinstance(action, SendSubRequest):
                batches.setdefault(action.owner, []).append(action.request)
        for owner, items in batches.items():
            self._encoder.encode(_build_envelope(owner, SubRequests(items)))
            # Encoding the reply is the owner's work, but the coordinator needs bytes to
            # decode; the measured time includes it.
            reply = self._encoder.encode(
                _build_envelope(owner, SubReplies([_build_reply(i) for i in items]))
            )
            body: Any = self._decoder.decode(reply).body
            for item in body.items:
                self._context.view.observe_reply(item, owner, self._time_ms + 5.0)
                raise_if_failed(coordination.handle_reply(item, self._time_ms + 5.0))
        if not coordination.finished:
            raise RuntimeError("the measured query did not finish")


class _OwnerBenchmark:
    """Processes a batch of sub-requests at their owner, one per endpoint."""

    def __init__(self, gate_count: int) -> None:
        self._gates = []
        self._requests = []
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._iteration = 0
        for index in range(gate_count):
            name = f"endpoint-{index}"
            endpoint = Endpoint(name, "measured", "10.0.0.1:80", "here", (f"shard-{index}",))
            gate = EndpointGate(endpoint, EndpointLimits(4, 75, 6.0), 10.0)
            gate.set_usable_until(1e12, 1_000.0)
            gate.observe_report(ENDPOINT_REPORT, 1_000.0)
            self._gates.append(gate)
            self._requests.append(_build_request(index))
        self._batch = self._encoder.encode(_build_envelope("entry-0", SubRequests(self._requests)))

    def run(self) -> None:
        """Decode the batch, pass each sub-request through its gate and encode the replies."""
        self._iteration += 1
        now_ms = 1_000.0 + self._iteration
        replies: list[SubReply] = []
        body: Any = self._decoder.decode(self._batch).body
        for gate, request in zip(self._gates, body.items, strict=True):
            for action in gate.offer(request, now_ms):
                if not isinstance(action, Dispatch):
                    continue
                outcome = EndpointOutcome(
                    None, "", Ran.YES, REPLY_RECORDS, SNAPSHOT, ENDPOINT_REPORT, 5.0
                )
                for completion in gate.complete(request.id, outcome, now_ms):
                    reply = getattr(completion, "reply", None)
                    if reply is not None:
                        replies.append(reply)
        if len(replies) != len(self._gates):
            raise RuntimeError("the measured gates did not answer every sub-request")
        self._encoder.encode(_build_envelope("entry-0", SubReplies(replies)))


def _measure_messages(size: int) -> float:
    received: list[Any] = []
    address = f"tcp://{find_free_address()}"
    receiver = NngTransport(address, received.append)
    sender = NngTransport(f"tcp://{find_free_address()}", received.append)
    receiver.start()
    sender.connect("receiver", address)
    batch = _build_envelope("sender", SubRequests([_build_request(index) for index in range(size)]))
    try:
        _send_all(sender, batch, received, 20)
        # Minimum of several rounds, because other load on the machine can only increase it.
        best_ns = float("inf")
        for _ in range(MESSAGE_ROUNDS):
            started_ns = time.process_time_ns()
            _send_all(sender, batch, received, MESSAGES_PER_ROUND)
            best_ns = min(best_ns, time.process_time_ns() - started_ns)
        return best_ns / 1000 / MESSAGES_PER_ROUND
    finally:
        sender.close()
        receiver.close()


def _send_all(sender: NngTransport, batch: Envelope, received: list[Any], count: int) -> None:
    received.clear()
    sent = 0
    while sent < count:
        # Limit the messages in flight so that neither buffer overflows.
        while sent < count and sent - len(received) < 16 and sender.send("receiver", batch):
            sent += 1
        gevent.sleep(0.0005)
    while len(received) < count:
        gevent.sleep(0.0005)


def _build_envelope(name: str, body: SubRequests | SubReplies) -> Envelope:
    return Envelope(name, 1, 1_000.0, 1, 1, body)


def _build_request(index: int) -> SubRequest:
    return SubRequest(
        f"request/shard-{index}/{index}",
        "request",
        "measured",
        f"shard-{index}",
        f"endpoint-{index}",
        SNAPSHOT,
        100.0,
        0,
        True,
        False,
        {"work_ms": 4.0, "top": 10},
    )


def _build_reply(request: SubRequest) -> SubReply:
    return SubReply(
        request.id,
        request.endpoint,
        request.snapshot,
        REPLY_RECORDS,
        None,
        "",
        Ran.YES,
        5.0,
        0,
        1,
        4,
        0.0,
    )
