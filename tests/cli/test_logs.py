"""Tests that the events of a request can be collected from log files."""

import json

from cleo.testers.command_tester import CommandTester

from persimmonspur.cli.commands.timeline import TimelineCommand
from persimmonspur.cli.logs import read_log_lines


def make_line(instance, wall_ms, request_id, name="request_answered", **fields):
    return json.dumps(
        {
            "wall_ms": wall_ms,
            "monotonic_ms": 1.0,
            "level": "INFO",
            "code": "PS6401",
            "name": name,
            "instance": instance,
            "request_id": request_id,
            **fields,
        }
    )


def test_events_of_one_request_are_parsed_after_a_line_prefix():
    lines = [
        "   0.1461 front-1 " + make_line("front-1", 5, "a", status=503),
        make_line("front-1", 6, "b"),
        "Traceback (most recent call last):",
        "{broken",
        "[1, 2]",
        '{"other": "json"}',
    ]
    entries = read_log_lines(lines, "a")
    assert [(entry.instance, entry.fields) for entry in entries] == [("front-1", {"status": 503})]
    assert len(read_log_lines(lines)) == 2


def test_events_of_several_files_are_merged_by_time(tmp_path):
    first, second = tmp_path / "one.log", tmp_path / "two.log"
    first.write_text(make_line("front-1", 20, "a", "request_answered") + "\n")
    second.write_text(make_line("front-2", 10, "a", "send_failed") + "\n")
    tester = CommandTester(TimelineCommand())
    assert tester.execute(f"a --log {first},{second}") == 0
    printed = tester.io.fetch_output().splitlines()
    assert "front-2" in printed[0] and "send_failed" in printed[0]
    assert "front-1" in printed[1]


def test_missing_file_is_an_error(tmp_path):
    tester = CommandTester(TimelineCommand())
    assert tester.execute(f"a --log {tmp_path / 'absent'}") != 0
