import msgspec

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.messages import AttemptKind, AttemptRecord, EndpointResponse
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.rollouts.evidence import (
    MAX_ROUTES,
    OTHER_ROUTES,
    Evidence,
    TypicalLatencies,
)
from persimmonspur.core.fleet.rollouts.orders import OrderState, RolloutOrder
from persimmonspur.core.fleet.rollouts.rollout import RolloutReport
from persimmonspur.entry.heartbeats import MAX_DATAGRAM_BYTES, MESSAGE_PREFIX
from persimmonspur.entry.relays import ChangesMessage, ReceivedChanges
from persimmonspur.entry.rollouts import MAX_REASON_CHARS, RolloutMessage
from persimmonspur.entry.wire import ROLLOUT_FORMAT
from persimmonspur.errors import Ran

NAME = "a-rather-long-name-of-a-service-or-an-instance-0123456789"


def test_report_on_many_routes_fits_into_a_datagram():
    # Guards against reports that are cut off, so that no evidence reaches the others.
    counts = [("f" * 8, 2**20, 2**20, 2**20, 2**20)] * MAX_ROUTES
    counts.append((OTHER_ROUTES, 2**20, 2**20, 2**20, 2**20))
    report = RolloutReport(
        NAME, NAME, "rolled_back", "x" * MAX_REASON_CHARS, 2**30, 2**30, True, 2**50, 2**50, counts
    )
    message = RolloutMessage(NAME, 2**50, [report])
    data = MESSAGE_PREFIX + msgspec.msgpack.encode(message)
    assert len(data) < MAX_DATAGRAM_BYTES
    assert msgspec.msgpack.decode(data[1:], type=RolloutMessage) == message


def test_orders_are_relayed():
    # Guards against followers of a relay that know no orders.
    order = RolloutOrder("s1", "v2", 12_000.0, 7, OrderState.RUNNING)
    position = StorePosition(1, 9)
    message = ChangesMessage(position, position, False, 1.0, [("s1", ROLLOUT_FORMAT.pack(order))])
    data = msgspec.msgpack.encode(message)
    decoded = msgspec.msgpack.decode(data, type=ReceivedChanges)
    (name, value), *others = decoded.changes
    assert (name, others) == ("s1", [])
    assert ROLLOUT_FORMAT.decode(name, bytes(value), 0.0, 0.0).ok == order


def test_routes_beyond_the_limit_are_counted_together():
    # Guards against reports that grow with the number of routes of a service.
    evidence = Evidence("s1", TypicalLatencies(), 0.0)
    endpoint = Endpoint("i-1", "s1", "10.0.0.1:80", "d", 4)
    record = AttemptRecord("i-1", "s1", AttemptKind.FIRST, 0.0, 1.0, 0.0, 0)
    response = EndpointResponse(200, [], b"", "stamp", Ran.YES)
    for index in range(MAX_ROUTES + 5):
        attempt = Attempt(index, endpoint, record, None)
        evidence.record(attempt, f"route-{index}", True, response, 1.0)
    assert len(evidence.own) == MAX_ROUTES + 1
    assert evidence.own[OTHER_ROUTES].new == 5
