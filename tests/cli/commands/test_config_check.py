"""Tests of exit codes and output of ``persimmonspur config check``."""

import json

import pytest
from cleo.testers.command_tester import CommandTester
from platformsim import make_configuration, make_route

from persimmonspur.cli.commands.config_check import ConfigCheckCommand
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind

INVALID = ERROR_RESPONSES[ErrorKind.INVALID_CONFIGURATION].exit_code
UNREADABLE = ERROR_RESPONSES[ErrorKind.INVALID_REQUEST].exit_code


@pytest.fixture
def write(tmp_path):
    def write_file(name, document):
        path = tmp_path / name
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return str(path)

    return write_file


def run(arguments):
    tester = CommandTester(ConfigCheckCommand())
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_valid_document(write):
    path = write("next.json", make_configuration(1, [make_route()], ["s1"]))
    code, output, errors = run(path)
    assert code == 0 and "valid, 0 warnings" in output and not errors


def test_errors_are_listed_with_their_paths(write):
    routes = [make_route(timeout_ms=0, host="<b>:1")]
    code, output, errors = run(write("next.json", make_configuration(1, routes, ["s1"])))
    assert code == INVALID and "2 errors" in output
    assert "error: routes[0].host: '<b>:1'; allowed:" in errors
    assert "error: routes[0].timeout_ms: 0" in errors


def test_differences_from_the_version_in_force(write):
    in_force = write("in-force.json", make_configuration(1, [make_route()], ["s1"]))
    object_of_store = {"spec": make_configuration(2, [make_route(priority=1)], ["s1"])}
    path = write("next.json", object_of_store)
    code, output, _ = run(f"{path} --against {in_force}")
    assert code == 0
    assert "~ version: 1 -> 2" in output and "~ routes[r1].priority: 2 -> 1" in output
    code, output, _ = run(f"{path} --against {path}")
    assert code == 0 and "no differences" in output


def test_json_output(write):
    path = write("next.json", make_configuration(1, [make_route(priority=-1)], ["s1", "s2"]))
    code, output, _ = run(f"{path} --against {path} --json")
    document = json.loads(output)
    assert code == INVALID and document["valid"] is False
    assert document["errors"][0]["path"] == "routes[0].priority"
    assert document["warnings"][0]["path"] == "services[1]"
    assert document["differences"] == []


@pytest.mark.parametrize("text", ["{", "a: [", "\t- x: y: z", None])
def test_unreadable_file(write, tmp_path, text):
    path = write("next.json", text) if text is not None else str(tmp_path / "missing.json")
    code, _, errors = run(path)
    assert code == UNREADABLE
    assert path in errors.replace("\n", "")


def test_error_of_an_unreadable_file_shows_no_key(write):
    code, output, errors = run(write("next.yaml", "tenants: [{api_keys: [secret-key: : }\n"))
    assert code == UNREADABLE and "secret-key" not in output + errors


def test_yaml_document(write):
    path = write("next.yaml", "version: 1\nroutes: []\nservices: []\n")
    assert run(path)[0] == 0
