"""Tests that the transport keeps order, never blocks, and recovers from errors and restarts."""

import gevent
import pynng

from persimmonspur.load.processes import find_free_address
from persimmonspur.model.messages import Cancel, Envelope
from persimmonspur.peers.transport import SEND_BUFFER_MESSAGES, NngTransport


def build_envelope(*ids):
    return Envelope("a", 1, 0.0, 1, 1, Cancel(list(ids)))


def wait_for(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.01)


def start_receiver(address):
    received = []
    transport = NngTransport(address, lambda envelope: received.append(envelope.body.ids[0]))
    transport.start()
    return transport, received


def test_messages_arrive_in_order_while_other_greenlets_run():
    address = f"tcp://{find_free_address()}"
    receiver, received = start_receiver(address)
    sender = NngTransport(f"tcp://{find_free_address()}", lambda envelope: None)
    turns = []
    ticker = gevent.spawn(lambda: [turns.append(gevent.sleep(0)) for _ in range(100)])
    sender.connect("b", address)
    wait_for(lambda: sender.send("b", build_envelope("0")) and received)
    for number in range(1, 200):
        wait_for(lambda number=number: sender.send("b", build_envelope(str(number))))
    wait_for(lambda: received[-1] == "199")
    ticker.join()
    assert [name for name in received if name != "0"] == [str(n) for n in range(1, 200)]
    sender.close()
    receiver.close()


def test_unreachable_peer_never_blocks_the_sender():
    sender = NngTransport(f"tcp://{find_free_address()}", lambda envelope: None)
    sender.connect("b", f"tcp://{find_free_address()}")
    for number in range(SEND_BUFFER_MESSAGES + 10):
        sender.send("b", build_envelope(str(number)))
    assert sender.dropped > 0
    assert not sender.send("unknown", build_envelope("x"))
    sender.close()


def test_unreadable_message_is_counted_and_reading_goes_on():
    address = f"tcp://{find_free_address()}"
    receiver, received = start_receiver(address)
    with pynng.Push0() as foreign:
        foreign.dial(address, block=True)
        foreign.send(b"\xc1 not a message")
    sender = NngTransport(f"tcp://{find_free_address()}", lambda envelope: None)
    sender.connect("b", address)
    wait_for(lambda: sender.send("b", build_envelope("next")) and "next" in received)
    assert receiver.malformed == 1
    sender.close()
    receiver.close()


def test_peer_that_restarts_on_its_address_is_reached_again():
    address = f"tcp://{find_free_address()}"
    first, received = start_receiver(address)
    sender = NngTransport(f"tcp://{find_free_address()}", lambda envelope: None)
    sender.connect("b", address)
    wait_for(lambda: sender.send("b", build_envelope("1")) and received)
    first.close()
    second, received_again = start_receiver(address)
    wait_for(lambda: sender.send("b", build_envelope("2")) and received_again)
    sender.close()
    second.close()
