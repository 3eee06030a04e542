import msgspec

from persimmonspur.core.fleet.fingerprint import LIFETIME_DIGEST_BYTES, REQUEST_DIGEST_BYTES
from persimmonspur.core.fleet.position import StorePosition
from persimmonspur.core.fleet.quarantine import QUARANTINE_CRASHES, CrashReport
from persimmonspur.entry.heartbeats import (
    CRASH_REPORTS_PER_HEARTBEAT,
    MAX_DATAGRAM_BYTES,
    Heartbeat,
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
    )
    data = msgspec.msgpack.encode(heartbeat)
    assert len(data) < MAX_DATAGRAM_BYTES
    assert msgspec.msgpack.decode(data, type=Heartbeat) == heartbeat
