import msgspec

from persimmonspur.core.fleet.pushback import EndpointStart
from persimmonspur.entry.heartbeats import MAX_DATAGRAM_BYTES, MESSAGE_PREFIX
from persimmonspur.entry.leaving import EndpointsLeaving, group_by_size

NAME = "entry-instance-with-a-rather-long-name-0123456789"


def test_announcements_of_many_endpoints_fit_into_datagrams():
    # Guards against an announcement that is cut off, so that no instance can read it.
    starts = [
        EndpointStart(f"endpoint-{'é' * (index % 90)}-{index}", 2**63) for index in range(200)
    ]
    groups = list(group_by_size(starts))
    assert [item for group in groups for item in group] == [tuple(item) for item in starts]
    for group in groups:
        data = MESSAGE_PREFIX + msgspec.msgpack.encode(EndpointsLeaving(NAME, group))
        assert len(data) <= MAX_DATAGRAM_BYTES


def test_identity_that_fits_into_no_datagram_is_left_out():
    starts = [EndpointStart("e-1", 1), EndpointStart("x" * 1_400, 1), EndpointStart("e-2", 1)]
    assert list(group_by_size(starts)) == [[("e-1", 1), ("e-2", 1)]]


def test_no_message_without_endpoints():
    assert list(group_by_size([])) == []
