import json

import msgspec
import pytest
from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from persimmonspur.adapters.http import NoDelayServer, respond_json
from persimmonspur.cli.commands.apply import ApplyCommand
from persimmonspur.cli.commands.bring_back import ReturnCommand
from persimmonspur.cli.commands.check import CheckCommand
from persimmonspur.cli.commands.drain import DrainCommand
from persimmonspur.cli.commands.show import ShowCommand
from persimmonspur.core.configuration.document import parse_document
from persimmonspur.core.configuration.parts import ROOT_KEY, decode_root
from persimmonspur.core.configuration.rendering import render_yaml
from persimmonspur.core.ownership.table import CellTable, encode_table
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.member import Member
from persimmonspur.standins.objectapi import ObjectApiStandIn

COMMANDS = {
    command.name: command
    for command in (ApplyCommand, ReturnCommand, CheckCommand, DrainCommand, ShowCommand)
}
CONFIGURATION = build_configuration(
    DEPLOYMENTS["bengal-east"],
    {
        f"{service.name}-{index}": f"10.0.{number}.{index + 1}:7400"
        for number, service in enumerate(DEPLOYMENTS["bengal-east"].services)
        for index in range(service.endpoints)
    },
)


@pytest.fixture
def standin(monkeypatch):
    standin = ObjectApiStandIn()
    server = standin.serve("127.0.0.1:0")
    monkeypatch.setenv("PERSIMMONSPUR_OBJECT_API", f"127.0.0.1:{server.server_port}")
    yield standin
    server.stop()


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "file.yaml"
    path.write_text(render_yaml(CONFIGURATION))
    return path


def run(name, arguments):
    application = Application()
    application.add(COMMANDS[name]())
    tester = CommandTester(application.find(name))
    code = tester.execute(str(arguments))
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def get_exit_code(kind):
    return ERROR_RESPONSES[kind].exit_code


def serve_instances(standin, versions):
    """Start a /readyz server per instance and store a cell table with these instances."""
    servers, members = [], {}
    for name, version in versions.items():

        def handle_readyz(environ, start_response, version=version):
            return respond_json(start_response, 503, {"configuration_version": version})

        server = NoDelayServer(("127.0.0.1", 0), handle_readyz, log=None)
        server.start()
        servers.append(server)
        members[name] = Member(name, 1, "", f"127.0.0.1:{server.server_port}", "kolkata-a")
    standin.store("cells/main/table", encode_table(CellTable("main", 1, "a", members)))
    return servers


def test_check_lists_every_error(tmp_path):
    path = tmp_path / "file.yaml"
    path.write_text("deployment: <b>x</b>\nclasses: {}\ncolour: red\n")
    code, _, errors = run("check", path)
    assert code == get_exit_code(ErrorKind.INVALID_CONFIGURATION)
    lines = errors.splitlines()
    assert lines[0].startswith("colour: unknown field; allowed: deployment, ")
    assert lines[1].startswith("deployment: <b>x</b>; allowed: lower-case")
    assert lines[-1].endswith("4 errors")
    code, output, _ = run("check", f"{path} --json")
    assert len(json.loads(output)["errors"]) == 4


def test_check_accepts_an_example(file):
    assert run("check", file)[:2] == (0, f"{file} is valid: 4 services, 95 endpoints\n")


def test_apply_prints_changes_and_waits_until_in_effect(standin, file):
    servers = serve_instances(standin, {"entry-0": 1, "entry-1": 1})
    code, output, _ = run("apply", file)
    assert code == 0
    assert output.splitlines()[0] == "configuration 1 changes:"
    assert output.splitlines()[-1] == "in effect at all 2 instances"
    assert decode_root(standin.find(ROOT_KEY)).version == 1
    for server in servers:
        server.stop()


def test_apply_names_the_instances_that_lack_the_version(standin, file):
    servers = serve_instances(standin, {"entry-0": 1, "entry-1": 0})
    code, output, _ = run("apply", f"{file} --timeout 0.2 --json")
    document = json.loads(output)
    assert code == get_exit_code(ErrorKind.DEADLINE_EXCEEDED)
    assert document["instances"] == {"entry-0": 1, "entry-1": 0}
    assert not document["in_effect"] and "entry-1 (no answer)" in document["message"]
    for server in servers:
        server.stop()


def test_apply_after_a_lost_reply_reports_the_stored_version(standin, file):
    standin.faults.cut_after = 1
    code, output, _ = run("apply", f"{file} --no-wait --json")
    assert (code, json.loads(output)["version"]) == (0, 1)
    code, output, _ = run("apply", f"{file} --no-wait --json --expect 0")
    assert (code, json.loads(output)["changed"]) == (0, False)
    assert decode_root(standin.find(ROOT_KEY)).version == 1


def test_apply_rejects_an_unexpected_stored_version(standin, file):
    run("apply", f"{file} --no-wait")
    run("drain", "endpoint shopdesk-0 --no-wait")
    file.write_text(file.read_text().replace("slots: 3", "slots: 5"))
    code, _, errors = run("apply", f"{file} --expect 1 --no-wait")
    assert code == get_exit_code(ErrorKind.CONFLICT)
    assert "the stored version is 2, expected 1" in errors
    assert "shopdesk" in errors
    assert decode_root(standin.find(ROOT_KEY)).version == 2


def test_a_dry_run_stores_nothing(standin, file):
    code, output, _ = run("apply", f"{file} --dry-run")
    assert code == 0 and output.endswith("nothing was changed\n")
    assert standin.counts.writes == 0


def test_show_prints_a_file_that_apply_accepts(standin, file):
    run("apply", f"{file} --no-wait")
    code, output, _ = run("show", "")
    assert code == 0 and output.startswith("# configuration 1\n")
    assert parse_document(output).ok.configuration == CONFIGURATION
    document = json.loads(run("show", "--json")[1])
    assert document["version"] == 1
    content = msgspec.json.encode(document["configuration"]).decode()
    assert parse_document(content).ok.configuration == CONFIGURATION


@pytest.mark.parametrize(
    ("target", "section"),
    [
        ("endpoint shopdesk-3", {"endpoints": {"shopdesk-3": "draining"}}),
        ("instance entry-4", {"instances": {"entry-4": "draining"}}),
        ("failure-domain kolkata-a", {"failure_domains": {"kolkata-a": "draining"}}),
    ],
)
def test_drain_and_return(standin, file, target, section):
    run("apply", f"{file} --no-wait")
    assert run("drain", f"{target} --no-wait")[0] == 0
    desired = json.loads(run("show", "--json")[1])["configuration"]["desired"]
    assert {name: states for name, states in desired.items() if states} == section
    assert run("return", f"{target} --no-wait")[0] == 0
    desired = json.loads(run("show", "--json")[1])["configuration"]["desired"]
    assert not any(desired.values())


@pytest.mark.parametrize(
    ("name", "arguments", "kind"),
    [
        ("check", "/nowhere/file.yaml", ErrorKind.INVALID_CONFIGURATION),
        ("drain", "endpoint nowhere --no-wait", ErrorKind.INVALID_CONFIGURATION),
        ("drain", "service shopdesk", ErrorKind.INVALID_REQUEST),
        ("drain", "endpoint shopdesk-0 --timeout never", ErrorKind.INVALID_SETTINGS),
        ("show", "--object-api nowhere", ErrorKind.INVALID_SETTINGS),
        ("show", "", ErrorKind.NOT_READY),
    ],
)
def test_the_exit_code_depends_on_the_error_kind(standin, name, arguments, kind):
    assert run(name, arguments)[0] == get_exit_code(kind)


def test_an_outage_changes_nothing(standin, file):
    standin.faults.down = True
    code, _, errors = run("apply", f"{file} --timeout 0.3")
    assert code == get_exit_code(ErrorKind.STORE_UNAVAILABLE)
    assert "nothing was changed" in errors


@pytest.mark.parametrize("name", ["apply", "check", "drain", "return", "show"])
def test_help_shows_an_example(name):
    assert f"Example: <info>persimmonspur {name}" in COMMANDS[name].help
