import json
import os

import gevent

from persimmonspur.clock import Clock, ManualClock
from persimmonspur.entry import events
from persimmonspur.entry.eventlog import MAX_QUEUED_LINES, EventLog, LineRateLimiter, LineWriter


def open_pipe():
    read_fd, write_fd = os.pipe()
    return read_fd, LineWriter(write_fd), write_fd


def test_event_is_one_json_line():
    read_fd, writer, _write_fd = open_pipe()
    EventLog("instance-1", Clock(), writer).record(events.STORE_REGAINED, feed="endpoints")
    writer.flush()
    line = json.loads(os.read(read_fd, 10_000))
    assert line["code"] == "PS6102" and line["feed"] == "endpoints"
    assert line["instance"] == "instance-1" and line["level"] == "INFO"


def test_braces_in_fields_are_preserved():
    read_fd, writer, _write_fd = open_pipe()
    EventLog("instance-1", Clock(), writer).record(events.STORE_REGAINED, feed="{x} <red>")
    writer.flush()
    assert json.loads(os.read(read_fd, 10_000))["feed"] == "{x} <red>"


def test_full_pipe_does_not_block():
    # Guards against a process that blocks because nothing reads its log.
    read_fd, writer, _write_fd = open_pipe()
    with gevent.Timeout(5):
        for _ in range(3 * MAX_QUEUED_LINES):
            writer.write("x" * 100 + "\n")
            writer.flush()
    assert writer.dropped_lines > 0
    os.close(read_fd)
    writer.flush()


def test_lines_are_rate_limited_and_counted():
    clock = ManualClock()
    limiter = LineRateLimiter(10.0, clock)
    assert sum(limiter.try_acquire() for _ in range(50)) == 10
    assert limiter.suppressed == 40
    clock.advance(500)
    assert sum(limiter.try_acquire() for _ in range(50)) == 5


def test_closed_writer_drops_later_lines():
    # Guards against log lines written to a socket that reuses the descriptor's number.
    read_fd, writer, _write_fd = open_pipe()
    writer.write("first\n")
    writer.close()
    writer.write("second\n")
    gevent.sleep(0.1)
    assert os.read(read_fd, 100) == b"first\n"


def test_events_below_the_level_are_not_written():
    read_fd, writer, _write_fd = open_pipe()
    log = EventLog("instance-1", Clock(), writer, "WARNING")
    log.record(events.STORE_REGAINED, feed="endpoints")
    log.record(events.STORE_CALL_FAILED, feed="endpoints")
    writer.flush()
    lines = os.read(read_fd, 10_000).splitlines()
    assert [json.loads(line)["name"] for line in lines] == ["store_call_failed"]
