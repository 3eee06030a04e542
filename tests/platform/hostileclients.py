"""A small crowd of clients that send as much as a server takes, and what that costs a process."""

from itertools import chain, repeat
from pathlib import Path

import gevent
import gevent.socket
from attrs import frozen

# Connections that are open at the same time, and the time for which clients reconnect.
CROWD = 48
CROWD_S = 4.0
# Time for which a client keeps a connection open after it sent everything it has.
HOLD_S = 2.0
SEND_TIMEOUT_S = 1.0
SAMPLE_S = 0.05
# The crowd stops early at this size of the process, to spare the machine.
STOP_AT_BYTES = 400_000_000

HEAD = b"GET /one/x HTTP/1.1\r\nHost: host.example\r\n"
CHUNKED_HEAD = b"POST /one/x HTTP/1.1\r\nHost: host.example\r\nTransfer-Encoding: chunked\r\n\r\n"
SEND_BYTES = 65_536


def send_many_short_lines():
    """Send a head that is within the byte limit and consists of the shortest header lines."""
    yield HEAD + b"a:\r\n" * 3_500


def send_unusual_lines():
    """Send a head within the byte limit whose header lines are legal, different and odd."""
    names = (b"!#%x%c" % (number, b"|~^`"[number % 4]) for number in range(1_600))
    yield HEAD + b"".join(name + b":\t\xff\r\n" for name in names)


def send_head_over_limit():
    """Send a head of one megabyte with short header lines."""
    yield HEAD
    yield from repeat(b"a: b\r\n" * (SEND_BYTES // 6), 16)
    yield b"\r\n"


def send_head_without_end():
    """Send header lines forever."""
    return chain((HEAD,), repeat(b"ab: cd\r\n" * (SEND_BYTES // 8)))


def send_header_value_without_end():
    """Send one header line forever."""
    return chain((HEAD + b"a: ",), repeat(b"b" * SEND_BYTES))


def send_empty_lines_without_end():
    """Send empty lines before a request forever."""
    return repeat(b"\r\n" * (SEND_BYTES // 2))


def send_trailers_without_end():
    """Send trailer lines after a chunked body forever."""
    lines = b"ab: cd\r\n" * (SEND_BYTES // 8)
    return chain((CHUNKED_HEAD + b"1\r\na\r\n0\r\n",), repeat(lines))


def send_trailer_value_without_end():
    """Send one trailer line after a chunked body forever."""
    return chain((CHUNKED_HEAD + b"1\r\na\r\n0\r\nab: ",), repeat(b"c" * SEND_BYTES))


def send_chunk_extension_without_end():
    """Send the extension of one chunk forever."""
    return chain((CHUNKED_HEAD + b"1;",), repeat(b"x" * SEND_BYTES))


def send_chunk_extensions_without_end():
    """Send short chunk extensions of one chunk forever."""
    return chain((CHUNKED_HEAD + b"1",), repeat(b";ab=cd" * (SEND_BYTES // 6)))


def send_chunk_extensions_beside_little_data():
    """Send a long chunk extension for each byte of a body."""
    return chain((CHUNKED_HEAD,), repeat(b"1;" + b"x" * (SEND_BYTES // 4) + b"\r\na\r\n"))


def send_pipelined_requests():
    """Send complete requests forever without reading a response."""
    return repeat((HEAD + b"\r\n") * (SEND_BYTES // len(HEAD)))


def send_nothing():
    """Open a connection and keep it."""
    return iter(())


def send_head_slowly():
    """Send a byte of a head from time to time."""
    for position in range(len(HEAD)):
        yield HEAD[position : position + 1]
        gevent.sleep(0.3)


@frozen
class Cost:
    """What a crowd cost a process.

    :param resident_bytes: largest resident memory.
    :param descriptors: largest number of open descriptors.
    """

    resident_bytes: int
    descriptors: int


def read_resident_bytes(pid, name="VmRSS"):
    """Return the resident memory of a process now, or its maximum (``VmHWM``)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) * 1024
    # A process that ended, and is not waited for yet, has no memory.
    return 0


def count_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def run_crowd(process, address, generate, crowd=CROWD, crowd_s=CROWD_S):
    """Let a crowd of clients do the same for some time.

    :param generate: returns the chunks of data that one connection sends.
    :returns: the largest cost seen while the crowd was there.
    """
    host, _, port = address.rpartition(":")
    clients = [gevent.spawn(_run_client, (host, int(port)), generate) for _ in range(crowd)]
    resident_bytes = descriptors = 0
    try:
        with gevent.Timeout(crowd_s, False):
            while process.poll() is None and resident_bytes < STOP_AT_BYTES:
                resident_bytes = max(resident_bytes, read_resident_bytes(process.pid))
                descriptors = max(descriptors, count_descriptors(process.pid))
                gevent.sleep(SAMPLE_S)
    finally:
        gevent.killall(clients)
    if process.poll() is None:
        resident_bytes = max(resident_bytes, read_resident_bytes(process.pid, "VmHWM"))
    return Cost(resident_bytes, descriptors)


def _run_client(address, generate):
    while True:
        try:
            with gevent.socket.create_connection(address, timeout=SEND_TIMEOUT_S) as sock:
                for data in generate():
                    sock.sendall(data)
                _hold(sock)
        except OSError:
            # Refused, closed, or not read any more: the next connection follows.
            gevent.sleep(0.01)


def _hold(sock):
    """Keep a connection open until the server closes it or the time is over."""
    with gevent.Timeout(HOLD_S, False):
        sock.settimeout(None)
        while sock.recv(SEND_BYTES):
            pass
