"""Kept connections to one endpoint, bounded over all uses and watched while idle."""

import select
from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary

import gevent
import gevent.socket
from attrs import define
from gevent.event import Event
from geventhttpclient.response import HTTPSocketPoolResponse

_READ = 1


class StaleConnectionError(ConnectionError):
    """The endpoint closed an idle connection; nothing was sent on it."""


@define
class _Idle:
    sock: gevent.socket.socket
    watcher: Any


class EndpointConnections:
    """Connections to one endpoint.

    Searches, cancellations and probes share the bound. Idle connections are
    watched, since their end is the first sign of a silent restart.
    """

    def __init__(self, address: str, size: int, on_idle_closed: Callable[[], None]) -> None:
        """Connect lazily.

        :param address: ``ip:port``.
        :param size: most connections.
        :param on_idle_closed: called when the endpoint closes an idle connection.
        """
        self.address = address
        self.size = size
        self.opened = 0
        self.in_use = 0
        self._on_idle_closed = on_idle_closed
        self._idle: list[_Idle] = []
        self._changed = Event()
        self._closed = False
        self._incarnations: WeakKeyDictionary[gevent.socket.socket, str] = WeakKeyDictionary()

    def acquire(self) -> gevent.socket.socket:
        """Return a connection; waits while all are in use.

        :raises StaleConnectionError: if an idle connection turns out to be closed.
        :raises OSError: if a new connection fails.
        """
        while self.in_use >= self.size:
            self._changed.clear()
            self._changed.wait()
        self.in_use += 1
        try:
            if self._idle:
                return self._take_idle()
            return self._connect()
        except BaseException:
            self._give_up()
            raise

    def exchange(self, sock: gevent.socket.socket, request: bytes, method: str) -> Any:
        """Send a request and read the head of its response.

        :param sock: from :meth:`acquire`; the response returns it when it was read.
        """
        try:
            sock.sendall(request)
        except BaseException:
            self.release_socket(sock)
            raise
        return HTTPSocketPoolResponse(sock, self, method=method)

    def note_incarnation(self, sock: gevent.socket.socket, incarnation: str) -> None:
        """Remember which incarnation of the endpoint is at the other end."""
        self._incarnations[sock] = incarnation

    def find_incarnation(self, sock: gevent.socket.socket) -> str:
        """Return the incarnation that answered on a connection; empty if none did."""
        return self._incarnations.get(sock, "")

    def return_socket(self, sock: gevent.socket.socket) -> None:
        """Keep a connection for the next request."""
        if self._closed or self.in_use + len(self._idle) > self.size:
            self.release_socket(sock)
            return
        watcher = gevent.get_hub().loop.io(sock.fileno(), _READ)
        idle = _Idle(sock, watcher)
        watcher.start(self._observe_readable, idle)
        self._idle.append(idle)
        self._give_up()

    def release_socket(self, sock: gevent.socket.socket) -> None:
        """Close a connection that was in use."""
        sock.close()
        self._give_up()

    def close(self) -> None:
        """Close idle connections now and the others after their use."""
        self._closed = True
        while self._idle:
            self._drop(self._idle[-1])

    def _take_idle(self) -> gevent.socket.socket:
        idle = self._idle.pop()
        idle.watcher.stop()
        idle.watcher.close()
        readable, _, _ = select.select([idle.sock.fileno()], [], [], 0)
        if not readable:
            return idle.sock
        idle.sock.close()
        raise StaleConnectionError(f"{self.address} closed an idle connection")

    def _connect(self) -> gevent.socket.socket:
        host, _, port = self.address.rpartition(":")
        sock = gevent.socket.create_connection((host, int(port)))
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        self.opened += 1
        return sock

    def _give_up(self) -> None:
        self.in_use -= 1
        self._changed.set()

    def _observe_readable(self, idle: _Idle) -> None:
        if idle not in self._idle:
            return
        self._drop(idle)
        self._on_idle_closed()

    def _drop(self, idle: _Idle) -> None:
        self._idle.remove(idle)
        idle.watcher.stop()
        idle.watcher.close()
        idle.sock.close()
