"""Tests the socket options, retries and connection counts of HTTP clients and servers."""

import gevent
import gevent.socket
import pytest
from gevent.server import StreamServer

from persimmonspur.adapters.endpoints import HttpEndpointClient
from persimmonspur.adapters.http import (
    HTTP_ERRORS,
    NoDelayServer,
    connect_client,
    read_body,
    respond_json,
)
from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.client.client import Client
from persimmonspur.clock import Clock
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Endpoint
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.query import SnapshotId


def test_connections_disable_nagle_on_both_sides():
    accepted = []

    class Server(NoDelayServer):
        def handle(self, sock, address):
            accepted.append(sock)
            super().handle(sock, address)

    def application(environ, start_response):
        read_body(environ)
        nodelay = accepted[0].getsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY)
        return respond_json(start_response, 200, {"nodelay": nodelay})

    server = Server(("127.0.0.1", 0), application, log=None)
    server.start()
    client = connect_client(f"127.0.0.1:{server.server_port}", 1, 5_000)
    assert b'"nodelay":1' in bytes(client.post("/", body=b"x").read())
    sock = client._connection_pool.get_socket()
    assert sock.getsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY)
    assert client._connection_pool.opened_count == 1
    client.close()
    server.stop()


def test_post_is_not_repeated_when_the_connection_breaks():
    requests = []

    def handle(sock, address):
        requests.append(sock.recv(65_536))
        sock.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    client = connect_client(f"127.0.0.1:{server.server_port}", 3, 5_000)
    with pytest.raises(HTTP_ERRORS):
        client.post("/", body=b"once").read()
    gevent.sleep(0.05)
    assert len(requests) == 1
    client.close()
    server.stop()


def test_open_connections_are_counted():
    server = NoDelayServer(
        ("127.0.0.1", 0), lambda environ, start: respond_json(start, 200, {}), log=None
    )
    server.start()
    client = connect_client(f"127.0.0.1:{server.server_port}", 1, 5_000)
    client.get("/").read()
    assert server.open_connections == 1
    client.close()
    with gevent.Timeout(5):
        while server.open_connections:
            gevent.sleep(0.01)
    server.stop()


def test_broken_connection_is_an_outcome_and_not_an_exception():
    server = StreamServer(("127.0.0.1", 0), lambda sock, address: (sock.recv(65_536), sock.close()))
    server.start()
    endpoint = Endpoint("e", "s", f"127.0.0.1:{server.server_port}", "d", ("s0",))
    request = SubRequest("r/s0/1", "r", "s", "s0", "e", SnapshotId(1, 1), 1e3, 0, True, False, 0)
    outcome = HttpEndpointClient(Clock()).search(endpoint, request, 1_000.0)
    assert (outcome.error, outcome.ran, outcome.reset) == (ErrorKind.UNREACHABLE, Ran.UNKNOWN, True)
    assert HttpObjectApi(endpoint.address).read("x").error.kind is ErrorKind.STORE_UNAVAILABLE
    result = Client([endpoint.address]).query("s", "counter", 1_000.0)
    assert (result.error, result.ran) == (ErrorKind.UNREACHABLE, Ran.UNKNOWN)
    server.stop()
