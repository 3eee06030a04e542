import socket

import gevent
import msgspec

from persimmonspur.core.fleet.fingerprint import LIFETIME_DIGEST_BYTES, REQUEST_DIGEST_BYTES
from persimmonspur.core.fleet.members import Membership
from persimmonspur.core.fleet.position import NO_POSITION, StorePosition
from persimmonspur.core.fleet.quarantine import QUARANTINE_CRASHES, CrashReport
from persimmonspur.core.fleet.roles import Member
from persimmonspur.entry.heartbeats import (
    CRASH_REPORTS_PER_HEARTBEAT,
    MAX_DATAGRAM_BYTES,
    MESSAGE_PREFIX,
    Heartbeat,
    HeartbeatTransport,
    OwnState,
)
from persimmonspur.entry.wire import Positions

NAME = "entry-instance-with-a-rather-long-name-0123456789"
POSITION = StorePosition(2**40, 2**40)


def test_heartbeat_with_crash_reports_fits_into_a_datagram():
    # Guards against heartbeats that are cut off, so that the instance counts as silent.
    report = CrashReport(
        "f" * 2 * REQUEST_DIGEST_BYTES,
        ("e" * 2 * LIFETIME_DIGEST_BYTES,) * QUARANTINE_CRASHES,
        2**20,
        1.8e12 + 0.1,
        1.8e12 + 0.1,
    )
    heartbeat = Heartbeat(
        NAME,
        2**50,
        NAME,
        NAME,
        "255.255.255.255:65535",
        "255.255.255.255:65535",
        True,
        Positions(POSITION, POSITION, POSITION, 2**40),
        900.0,
        0.123456,
        [report] * CRASH_REPORTS_PER_HEARTBEAT,
        60_000,
    )
    data = msgspec.msgpack.encode(heartbeat)
    assert len(data) < MAX_DATAGRAM_BYTES
    assert msgspec.msgpack.decode(data, type=Heartbeat) == heartbeat


class Greeting(msgspec.Struct, array_like=True, tag="greeting"):
    sender: str
    value: int


class Farewell(msgspec.Struct, array_like=True, tag="farewell"):
    sender: str


def open_transport(name, on_heartbeat=lambda member, heartbeat: None):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    member = Member(name, 1, "zone-a", "region", address, address, 1.0)
    state = OwnState(False, Positions(NO_POSITION, NO_POSITION, NO_POSITION), 0.0)
    transport = HeartbeatTransport(
        Membership(member), lambda: state, on_heartbeat, lambda limit: []
    )
    return member, transport


def test_messages_reach_their_handlers_and_unknown_ones_are_ignored():
    # Guards against a message of one type that is taken for another, or that ends the reader.
    received = []
    _, sender = open_transport("a")
    member, receiver = open_transport("b")
    try:
        receiver.register_message(Greeting, received.append)
        sender.send_message(Farewell("a"), [member])
        sender.send_message(Greeting("a", 7), [member])
        gevent.sleep(0.05)
    finally:
        sender.close()
        receiver.close()
    assert received == [Greeting("a", 7)]


def test_heartbeat_with_an_address_that_cannot_be_used_is_ignored():
    # Guards against one member whose address raises and ends the heartbeats to all others.
    received = []
    _, transport = open_transport("own", lambda member, heartbeat: received.append(member.name))
    positions = Positions(NO_POSITION, NO_POSITION, NO_POSITION)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        for name, address in (("a", "peer.example:80"), ("b", "10.0.0.1:x"), ("c", "10.0.0.1:80")):
            heartbeat = Heartbeat(name, 1, "d", "r", "10.0.0.1:1", address, True, positions, 0, 1)
            sock.sendto(msgspec.msgpack.encode(heartbeat), transport._sock.getsockname())
        gevent.sleep(0.05)
    finally:
        sock.close()
        transport.close()
    assert received == ["c"]


def test_nested_datagram_does_not_end_the_reader():
    # Guards against an instance that hears no heartbeat any more after one odd datagram.
    received = []
    _, sender = open_transport("a")
    member, receiver = open_transport("b")
    nested = b"\x91" * 1_300 + b"\x01"
    host, _, port = member.peer_address.rpartition(":")
    try:
        receiver.register_message(Greeting, received.append)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            heartbeat = Heartbeat(
                "c", 1, "z", "r", member.caller_address, member.peer_address, True,
                Positions(POSITION, POSITION, POSITION), 300.0, 1.0,
            )  # fmt: skip
            data = bytearray(msgspec.msgpack.encode(heartbeat))
            # One more field than this build knows.
            data[0] += 1
            for odd in (bytes(data) + nested, nested, MESSAGE_PREFIX + nested):
                sock.sendto(odd, (host, int(port)))
        gevent.sleep(0.05)
        sender.send_message(Greeting("a", 7), [member])
        gevent.sleep(0.05)
        assert received == [Greeting("a", 7)]
    finally:
        sender.close()
        receiver.close()


def test_exception_of_one_message_does_not_end_the_reader():
    # Guards against an instance that hears no heartbeat any more after an unexpected exception.
    received = []

    def handle(message):
        received.append(message)
        if message.value == 1:
            raise KeyError("odd")

    _, sender = open_transport("a")
    member, receiver = open_transport("b")
    try:
        receiver.register_message(Greeting, handle)
        for value in (1, 2):
            sender.send_message(Greeting("a", value), [member])
            gevent.sleep(0.05)
        assert [message.value for message in received] == [1, 2]
    finally:
        sender.close()
        receiver.close()
