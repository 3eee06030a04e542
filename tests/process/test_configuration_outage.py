"""Guards against a change that is lost, or needs a restart, when the object API fails."""

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
    file = tmp_path / "file.yaml"
    text = render_yaml(processes.configuration)
    tool = None
    try:
        # The object API goes down before the change and comes back while the tool waits.
        set_faults(processes, down=True)
        file.write_text(text.replace("queue: 64", "queue: 32"))
        tool = run_tool(processes, "apply", str(file))
        time.sleep(1.0)
        assert tool.poll() is None
        set_faults(processes, down=False, lose_writes=1)
        output, _ = tool.communicate(timeout=60)
        assert (tool.returncode, set(list_versions(processes).values())) == (0, {2}), output
        assert "in effect at all 4 instances" in output

        # Instances that are cut off from the object API, one of them perhaps a watcher.
        set_faults(processes, down_for=["entry-0", "entry-1"])
        tool = run_tool(processes, "drain", "failure-domain", "khan-uul")
        output, _ = tool.communicate(timeout=60)
        assert (tool.returncode, set(list_versions(processes).values())) == (0, {3}), output

    finally:
        if tool is not None and tool.poll() is None:
            tool.kill()
            tool.wait()
        set_faults(processes, down_for=[])
        processes.stop()
