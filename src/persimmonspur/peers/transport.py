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

# Other greenlets run after this many messages, so that a burst cannot stall the hub.
MESSAGES_PER_TURN = 64


class NngTransport:
    """Implements :class:`persimmonspur.ports.PeerTransport`.

    Sends never block: a message for a peer whose buffer is full is dropped.
    Receiving waits on the socket's receive descriptor, so that pynng never
    blocks the gevent hub.
    """

    def __init__(self, address: str, receive: Callable[[Envelope], None]) -> None:
        """Bind the peer address.

        :param address: ``tcp://ip:port``.
        :param receive: called with every message.
        :raises pynng.exceptions.AddressInUse: if the address is taken.
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
        """Start to receive."""
        self._reader = gevent.spawn(self._read)

    def connect(self, name: str, address: str) -> None:
        """Dial a peer in the background; nng reconnects by itself."""
        known = self._peers.get(name)
        if known is not None and known[0] == address:
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
        """Forget a peer and what was not sent yet."""
        known = self._peers.pop(name, None)
        if known is not None:
            known[1].close()

    def send(self, name: str, envelope: Envelope) -> bool:
        """Send a message, or drop it if the peer is unknown or its buffer is full."""
        known = self._peers.get(name)
        if known is None:
            self.dropped += 1
            return False
        data = self._encoder.encode(envelope)
        try:
            known[1].send(data, block=False)
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

    def _read(self) -> None:
        descriptor = self._pull.recv_fd
        while True:
            wait_read(descriptor)
            for _ in range(MESSAGES_PER_TURN):
                try:
                    data = self._pull.recv(block=False)
                except pynng.exceptions.TryAgain:
                    break
                self._handle(data)
            gevent.sleep(0)

    def _handle(self, data: bytes) -> None:
        self.received_bytes += len(data)
        try:
            envelope = self._decoder.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        self._receive(envelope)
