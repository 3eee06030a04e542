import socket

import gevent

from persimmonspur.entry.sockets import Stream, configure_socket


def open_stream(ended):
    own, peer = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    own.setblocking(False)
    return Stream(own, lambda data: None, ended.append), peer


def test_broken_write_is_told_after_the_write_returns():
    # Guards against a send whose failure arrives before its sender has noted the send,
    # so that the request waits for its deadline.
    ended = []
    stream, peer = open_stream(ended)
    peer.close()
    stream.write(b"request")
    assert ended == []
    gevent.sleep(0.01)
    assert len(ended) == 1
    assert stream.closed


def test_large_write_is_finished_later():
    ended = []
    stream, peer = open_stream(ended)
    data = b"x" * 1_000_000
    stream.write(data)
    assert stream.unsent_bytes
    received = b""
    peer.setblocking(False)
    while len(received) < len(data):
        try:
            received += peer.recv(65_536)
        except BlockingIOError:
            gevent.sleep(0.001)
    assert received == data
    assert not stream.unsent_bytes
    stream.close()


def test_connections_detect_silent_peers():
    # Guards against a connection that goes silent and is never noticed.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    configure_socket(sock)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) <= 2
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= 3_000
    sock.close()
