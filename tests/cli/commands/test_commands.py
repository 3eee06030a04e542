"""Tests exit codes, printed documents and option errors of the commands."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from persimmonspur.cli.commands import query as query_module
from persimmonspur.cli.commands import status as status_module
from persimmonspur.cli.commands import timeline as timeline_module
from persimmonspur.cli.commands.demo import DemoCommand
from persimmonspur.cli.commands.events import EventsCommand
from persimmonspur.cli.commands.load import LoadCommand
from persimmonspur.cli.commands.query import QueryCommand
from persimmonspur.cli.commands.report import ReportCommand
from persimmonspur.cli.commands.status import StatusCommand
from persimmonspur.cli.commands.timeline import TimelineCommand
from persimmonspur.client.client import QueryResult
from persimmonspur.daemon.timeline import TimelineEntry
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind, Ran

ADDRESS = "--address 10.0.0.1:7400"


class FakeClient:
    result = None
    call = None

    def __init__(self, addresses):
        self.addresses = addresses

    def query(self, *arguments, **options):
        FakeClient.call = (arguments, options)
        return FakeClient.result

    def close(self):
        pass


@pytest.fixture
def client(monkeypatch):
    monkeypatch.setattr(query_module, "Client", FakeClient)
    FakeClient.result = QueryResult("r1", 200, "1.1", 10, 10, (), [{"id": "a<b"}], None)
    return FakeClient


def run(command, arguments):
    tester = CommandTester(command)
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_query_prints_records_and_succeeds(client):
    code, output, _ = run(QueryCommand(), f'desk {ADDRESS} --key 7 --once --body "{{}}"')
    assert code == 0
    assert "coverage 10 of 10" in output
    assert '{"id":"a<b"}' in output
    arguments, options = client.call
    assert arguments == ("desk", "interactive", 1000.0)
    assert (options["key"], options["repeatable"], options["body"]) == (7, False, {})


@pytest.mark.parametrize("kind", [ErrorKind.OVERLOADED, ErrorKind.INCOMPLETE])
def test_query_exits_with_the_code_of_the_error(client, kind):
    client.result = QueryResult("r1", 503, error=kind, message="no", ran=Ran.NO)
    code, output, _ = run(QueryCommand(), f"desk {ADDRESS} --json")
    assert code == ERROR_RESPONSES[kind].exit_code
    document = json.loads(output)
    assert (document["error"], document["ran"]) == (kind, "no")


@pytest.mark.parametrize(
    ("arguments", "field", "kind"),
    [
        ("desk", "--address", ErrorKind.INVALID_SETTINGS),
        ("desk --address host:80", "--address", ErrorKind.INVALID_SETTINGS),
        (f"desk {ADDRESS} --key 65536", "--key", ErrorKind.INVALID_REQUEST),
        (f"desk {ADDRESS} --timeout soon", "--timeout", ErrorKind.INVALID_REQUEST),
        (f"desk {ADDRESS} --body {{", "--body", ErrorKind.INVALID_REQUEST),
    ],
)
def test_query_names_the_invalid_option(client, monkeypatch, arguments, field, kind):
    monkeypatch.delenv("PERSIMMONSPUR_ADDRESSES", raising=False)
    code, _, error = run(QueryCommand(), arguments)
    assert code == ERROR_RESPONSES[kind].exit_code
    assert field in error


def test_timeline_queries_all_instances_and_names_unreachable_ones(monkeypatch):
    entry = TimelineEntry("a", 1, 5.0, 5.0, "PS1001", "started", "", {"address": "x"})
    answers = {"10.0.0.1:7400": [entry], "10.0.0.2:7400": None}
    monkeypatch.setattr(timeline_module, "resolve_addresses", lambda addresses: list(answers))
    monkeypatch.setattr(timeline_module, "fetch_timeline", lambda a, r: answers[a])
    code, output, error = run(TimelineCommand(), ADDRESS)
    assert code == 0
    assert "PS1001 started" in output
    assert "10.0.0.2:7400" in error


def test_timeline_fails_if_no_instance_answers(monkeypatch):
    monkeypatch.setattr(timeline_module, "fetch_json", lambda address, path: None)
    code, _, _ = run(TimelineCommand(), ADDRESS)
    assert code == ERROR_RESPONSES[ErrorKind.UNREACHABLE].exit_code


@pytest.mark.parametrize(("options", "shown"), [("", True), ("--unusable", False)])
def test_status_prints_the_reason_for_an_endpoint_state(monkeypatch, options, shown):
    endpoint = {"endpoint": "e", "state": "warm", "reason": "proved 4 of 4", "usable": True}
    endpoint.update(running=1, queue=0, limit=4)
    state = {"instance": "entry-1", "phase": "serving", "configuration_version": 3}
    state.update(table_version=9, members=["entry-1"], endpoints=[endpoint])
    answers = {"10.0.0.1:7400": state, "10.0.0.2:7400": None}
    monkeypatch.setattr(status_module, "resolve_addresses", lambda addresses: list(answers))
    monkeypatch.setattr(status_module, "fetch_json", lambda address, path: answers[address])
    code, output, error = run(StatusCommand(), f"{ADDRESS} {options}")
    assert code == 0
    assert "entry-1: serving, configuration 3, table 9, 1 members" in output
    assert ("proved 4 of 4" in output) is shown
    assert "10.0.0.2:7400" in error


def test_events_lists_the_catalogue_as_json():
    code, output, _ = run(EventsCommand(), "--json")
    assert code == 0
    assert {"PS1001", "PS5001"} <= {event["code"] for event in json.loads(output)["events"]}


@pytest.mark.parametrize(
    ("command", "arguments", "field"),
    [
        (DemoCommand, "--deployment nowhere", "--deployment"),
        (DemoCommand, "--seconds x", "--seconds"),
        (DemoCommand, "--instances 0", "--instances"),
        (LoadCommand, "--case nothing", "unknown case"),
        (LoadCommand, "--tiers nothing", "unknown tier"),
        (LoadCommand, "--seeds x", "seeds"),
        (LoadCommand, "--seconds x", "seconds"),
        (LoadCommand, "--deployment nowhere", "deployment"),
        (ReportCommand, "/nonexistent/result.json", "files"),
    ],
)
def test_invalid_options_print_one_line_and_start_nothing(command, arguments, field):
    code, _, error = run(command(), arguments)
    assert code == ERROR_RESPONSES[ErrorKind.INVALID_REQUEST].exit_code
    assert field in error
    assert len(error.strip().splitlines()) == 1
