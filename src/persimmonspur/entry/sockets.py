"""Non-blocking TCP sockets on gevent's event loop.

A gather request waits for ten or more endpoints at the same time. Event loop callbacks avoid a
greenlet and a timeout object for each of them.
"""

import errno
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent

READ_EVENT = 1
WRITE_EVENT = 2
MAX_RECEIVE_BYTES = 65_536
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Closes a connection whose sent data is not acknowledged within this time. Network
# partitions and silently dropped connections are detected in no other way.
USER_TIMEOUT_MS = 2_000
LISTEN_BACKLOG = 512
# Linux reports the smoothed round trip time, in microseconds, at this offset of ``TCP_INFO``.
ROUND_TRIP_TIME = struct.Struct("I")
ROUND_TRIP_TIME_OFFSET = 68
# States of a connection in the first byte of the kernel's ``tcp_info``.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


def parse_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port.

    :raises ValueError: if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def configure_socket(sock: socket.socket) -> None:
    """Make a socket non-blocking, disable Nagle's algorithm and detect unresponsive peers."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def read_round_trip_ms(sock: socket.socket) -> float:
    """Return the round trip time of a connection as measured by the kernel.

    :returns: milliseconds; 0 if the kernel does not report it.
    """
    size = ROUND_TRIP_TIME_OFFSET + ROUND_TRIP_TIME.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return 0.0
    if len(info) < size:
        return 0.0
    microseconds: int = ROUND_TRIP_TIME.unpack_from(info, ROUND_TRIP_TIME_OFFSET)[0]
    return microseconds / 1000


def listen(address: str) -> socket.socket:
    """Open a listening socket.

    :param address: ``ip:port``.
    :raises OSError: if the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(parse_address(address))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


class Stream:
    """One connected socket with buffered writes.

    :ivar closed: whether the socket was closed on this side.
    :ivar paused: whether received data is left unread.
    :ivar receive_bytes: maximum number of bytes that are read in one turn of the event loop.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        """Start to read.

        :param on_data: called with received bytes.
        :param on_end: called once when the connection ends, with an empty string if the
            peer closed it in order and otherwise with the error.
        :param on_sent: called when buffered bytes have been sent.
        """
        self.sock = sock
        self.closed = False
        self.paused = False
        self.receive_bytes = MAX_RECEIVE_BYTES
        self._on_data = on_data
        self._on_end = on_end
        self._on_sent = on_sent
        self._write_buffer = bytearray()
        self._read_watcher: Any = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)
        self._read_watcher.start(self._read)
        self._write_watcher: Any = None

    @property
    def unsent_bytes(self) -> int:
        """Number of buffered bytes that were not sent yet."""
        return len(self._write_buffer)

    def write(self, data: bytes) -> None:
        """Send as much as possible now and buffer the rest."""
        if self.closed:
            return
        if self._write_buffer:
            self._write_buffer += data
            return
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            # Reported later because the caller has not recorded its request yet.
            gevent.get_hub().loop.run_callback(self._end, str(error))
            return
        if sent < len(data):
            self._write_buffer += data[sent:]
            self._write_watcher = gevent.get_hub().loop.io(self.sock.fileno(), WRITE_EVENT)
            self._write_watcher.start(self._flush)

    def pause(self) -> None:
        """Leave received data, and the end of the connection, unread; idempotent."""
        if not self.closed:
            self.paused = True
            self._read_watcher.stop()

    def resume(self) -> None:
        """Read again; idempotent."""
        if self.paused and not self.closed:
            self.paused = False
            self._read_watcher.start(self._read)

    def peer_closed(self) -> bool:
        """Return whether the peer closed the connection, also if received data is unread."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return True
        return info[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)

    def shutdown_write(self) -> None:
        """Send the end of the connection; buffered bytes are lost."""
        # Fails if the peer reset the connection, which the next read reports.
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def drop_unread(self, max_bytes: int) -> None:
        """Read and drop data that was received, without waiting."""
        with suppress(OSError):
            self.sock.recv(max_bytes)

    def has_unread(self) -> bool:
        """Return whether received bytes or the end of the connection are unread."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close the connection; idempotent."""
        if self.closed:
            return
        self.closed = True
        self._read_watcher.stop()
        self._read_watcher.close()
        self._stop_write_watcher()
        self.sock.close()

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self._write_buffer)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(str(error))
            return
        del self._write_buffer[:sent]
        if not self._write_buffer:
            self._stop_write_watcher()
            if self._on_sent is not None:
                self._on_sent()

    def _stop_write_watcher(self) -> None:
        if self._write_watcher is not None:
            self._write_watcher.stop()
            self._write_watcher.close()
            self._write_watcher = None

    def _read(self) -> None:
        try:
            data = self.sock.recv(self.receive_bytes)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(str(error))
            return
        if not data:
            self._end("")
            return
        try:
            self._on_data(data)
        except Exception as error:
            # The event loop reports the exception and never reads this socket again, so the
            # connection would stay open without an answer.
            self._end(f"{type(error).__name__}: {error}")
            raise

    def _end(self, reason: str) -> None:
        if self.closed:
            return
        self.close()
        self._on_end(reason)


class Connector:
    """Opens one connection without blocking."""

    def __init__(
        self,
        address: str,
        on_connected: Callable[[socket.socket], None],
        on_failed: Callable[[str], None],
    ) -> None:
        """Start to connect.

        :param address: ``ip:port``.
        :param on_connected: called with the connected socket.
        :param on_failed: called with the name of the error.
        """
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure_socket(self._sock)
        error_code = self._sock.connect_ex(parse_address(address))
        self._connect_error = error_code if error_code not in (0, errno.EINPROGRESS) else 0
        self._write_watcher: Any = gevent.get_hub().loop.io(self._sock.fileno(), WRITE_EVENT)
        self._write_watcher.start(self._finish)
        if self._connect_error:
            # The callback must not run before the constructor returns.
            gevent.get_hub().loop.run_callback(self._finish)

    def cancel(self) -> None:
        """Abort the attempt without calling either callback; idempotent."""
        if self._write_watcher is None:
            return
        self._stop()
        self._sock.close()

    def _stop(self) -> None:
        self._write_watcher.stop()
        self._write_watcher.close()
        self._write_watcher = None

    def _finish(self) -> None:
        if self._write_watcher is None:
            return
        self._stop()
        error_code = self._connect_error or self._sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        if error_code:
            self._sock.close()
            self._on_failed(errno.errorcode.get(error_code, str(error_code)))
            return
        self._on_connected(self._sock)
