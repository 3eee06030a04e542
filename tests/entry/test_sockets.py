import socket

import gevent

from persimmonspur.entry.sockets import Stream, configure_socket, read_round_trip_ms


def open_stream(end_reasons):
    own, peer = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    own.setblocking(False)
    return Stream(own, lambda data: None, end_reasons.append), peer


def test_failed_write_is_reported_after_the_write_returns():
    # Guards against a failure that is reported before the sender has recorded the send, so
    # that the request waits until its deadline.
    end_reasons = []
    stream, peer = open_stream(end_reasons)
    peer.close()
    stream.write(b"request")
    assert end_reasons == []
    gevent.sleep(0.01)
    assert len(end_reasons) == 1
    assert stream.closed


def test_large_write_is_completed_in_the_background():
    end_reasons = []
    stream, peer = open_stream(end_reasons)
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


def test_connections_detect_unresponsive_peers():
    # Guards against a connection that hangs forever because its peer became unreachable.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    configure_socket(sock)
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) <= 2
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= 3_000
    sock.close()


def test_socket_without_a_round_trip_time_reports_none():
    # Guards against an exception for a request on a socket of another kind.
    own, peer = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    assert read_round_trip_ms(own) == 0.0
    own.close()
    peer.close()


def test_exception_while_data_is_handled_ends_the_connection(capsys):
    # Guards against a connection that stays open and is never read again.
    ends = []

    def fail(data):
        raise KeyError("odd")

    near, far = socket.socketpair()
    near.setblocking(False)
    stream = Stream(near, fail, ends.append)
    far.sendall(b"data")
    gevent.sleep(0.05)
    assert stream.closed and ends == ["KeyError: 'odd'"]
    far.close()
