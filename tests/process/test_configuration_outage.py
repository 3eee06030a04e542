"""Tests that configuration changes take effect without restarts while the object API fails."""

import subprocess
import sys
import time

import pytest

from persimmonspur.core.configuration.rendering import render_yaml
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import build_environment, get_json, post_json, start_deployment


def set_faults(processes, **faults):
    post_json(processes.object_api, "/control", {"faults": faults})


def run_tool(processes, *arguments):
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "persimmonspur.cli.application",
            *arguments,
            f"--object-api={processes.object_api}",
            "--timeout=40",
        ],
        stdout=subprocess.PIPE,
        text=True,
        env=build_environment(),
    )


def list_versions(processes):
    return {
        name: get_json(daemon.caller_address, "/readyz")["configuration_version"]
        for name, daemon in processes.daemons.items()
    }


@pytest.mark.process
def test_changes_take_effect_through_outages_of_the_object_api(tmp_path):
    processes = start_deployment(DEPLOYMENTS["ulaanbaatar"], instances=4)
    configuration_file = tmp_path / "file.yaml"
    text = render_yaml(processes.configuration)
    tool_process = None
    try:
        # The object API is down when the change is made and recovers while the tool waits.
        set_faults(processes, down=True)
        configuration_file.write_text(text.replace("queue: 64", "queue: 32"))
        tool_process = run_tool(processes, "apply", str(configuration_file))
        time.sleep(1.0)
        assert tool_process.poll() is None
        set_faults(processes, down=False, lose_writes=1)
        output, _ = tool_process.communicate(timeout=60)
        assert (tool_process.returncode, set(list_versions(processes).values())) == (0, {2}), output
        assert "in effect at all 4 instances" in output

        # Two instances cannot reach the object API; one of them may be a watcher.
        set_faults(processes, down_for=["entry-0", "entry-1"])
        tool_process = run_tool(processes, "drain", "failure-domain", "khan-uul")
        output, _ = tool_process.communicate(timeout=60)
        assert (tool_process.returncode, set(list_versions(processes).values())) == (0, {3}), output

    finally:
        if tool_process is not None and tool_process.poll() is None:
            tool_process.kill()
            tool_process.wait()
        set_faults(processes, down_for=[])
        processes.stop()
