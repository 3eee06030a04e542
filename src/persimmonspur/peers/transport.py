"""Messages between instances over pynng push and pull sockets."""

from collections.abc import Callable

import gevent
import msgspec
import pynng
from gevent.socket import wait_read

from persimmonspur.model.messages import Envelope

SEND_BUFFER_MESSAGES = 512
RECEIVE_BUFFER_MESSAGES = 2048
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

# The reader yields to other greenlets after this many messages, so that a burst does not
# stall the hub.
MESSAGES_PER_YIELD = 64


class NngTransport:
    """Implements :class:`persimmonspur.ports.PeerTransport`.

    Sending never blocks: a message to a peer whose send buffer is full is dropped.
    Receiving waits on the receive descriptor of the socket, so that pynng does not
    block the gevent hub.
    """

    def __init__(self, address: str, receive: Callable[[Envelope], None]) -> None:
        """Listen on the peer address.

        :param address: ``tcp://ip:port``.
        :param receive: called with every received message.
        :raises pynng.exceptions.AddressInUse: if the address is already in use.
        """
        self._receive = receive
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._pull = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._pull.recv_max_size = MAX_MESSAGE_BYTES
        self._pull.listen(address)
        self._peers: dict[str, tuple[str, pynng.Push0]] = {}
        self._reader: gevent.Greenlet[[], None] | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0
        self.malformed = 0

    def start(self) -> None:
        """Start receiving."""
        self._reader = gevent.spawn(self._run_reader)

    def connect(self, name: str, address: str) -> None:
        """Connect to a peer in the background; nng reconnects automatically."""
        peer = self._peers.get(name)
        if peer is not None and peer[0] == address:
            return
        self.disconnect(name)
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.tcp_nodelay = True
        socket.dial(address, block=False)
        self._peers[name] = (address, socket)

    def disconnect(self, name: str) -> None:
        """Remove a peer and discard its unsent messages."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer[1].close()

    def send(self, name: str, envelope: Envelope) -> bool:
        """Send a message, or drop it if the peer is unknown or its buffer is full."""
        peer = self._peers.get(name)
        if peer is None:
            self.dropped += 1
            return False
        data = self._encoder.encode(envelope)
        try:
            peer[1].send(data, block=False)
        except pynng.exceptions.TryAgain:
            self.dropped += 1
            return False
        self.sent_bytes += len(data)
        return True

    def close(self) -> None:
        """Stop receiving and close all sockets."""
        if self._reader is not None:
            self._reader.kill()
        for name in list(self._peers):
            self.disconnect(name)
        self._pull.close()

    def _run_reader(self) -> None:
        descriptor = self._pull.recv_fd
        while True:
            wait_read(descriptor)
            for _ in range(MESSAGES_PER_YIELD):
                try:
                    data = self._pull.recv(block=False)
                except pynng.exceptions.TryAgain:
                    break
                self._handle_message(data)
            gevent.sleep(0)

    def _handle_message(self, data: bytes) -> None:
        self.received_bytes += len(data)
        try:
            envelope = self._decoder.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        self._receive(envelope)
