import subprocess
import sys

import pytest

from persimmonspur.load import processes
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.load.processes import DeploymentProcesses, find_free_addresses


def test_ports_are_below_the_ephemeral_port_range():
    # A client can be assigned an ephemeral port between the probe and the daemon's bind;
    # the deployment then never becomes ready.
    addresses = find_free_addresses(50)
    ports = {int(address.rpartition(":")[2]) for address in addresses}
    assert len(ports) == 50
    assert max(ports) < 32_768


def test_a_daemon_that_exits_is_reported_immediately(tmp_path, monkeypatch):
    # Otherwise the caller waits for the whole start timeout and does not see the cause.
    spec = DEPLOYMENTS["ulaanbaatar"]
    deployment = DeploymentProcesses(spec, build_configuration(spec), "", {}, directory=tmp_path)
    command = [sys.executable, "-c", "import sys; sys.exit('cannot listen')"]
    monkeypatch.setattr(processes, "build_policy_arguments", lambda *arguments: command)
    daemon = deployment.start_daemon("entry-0", "sukhbaatar")
    daemon.process.wait()
    with pytest.raises(TimeoutError, match="cannot listen"):
        deployment.wait_ready(timeout_s=30)


def test_an_interrupt_during_startup_leaves_no_process(monkeypatch):
    # The stand-ins have their own process groups, so an interrupt of the tool does not reach them.
    started = []

    class RecordedPopen(subprocess.Popen):
        def __init__(self, *arguments, **options):
            super().__init__(*arguments, **options)
            started.append(self)

    def interrupt(address, configuration):
        raise KeyboardInterrupt

    monkeypatch.setattr(subprocess, "Popen", RecordedPopen)
    monkeypatch.setattr(processes, "store_configuration", interrupt)
    with pytest.raises(KeyboardInterrupt):
        processes.start_deployment(DEPLOYMENTS["ulaanbaatar"], 1)
    running = [process for process in started if process.poll() is None]
    for process in running:
        process.kill()
        process.wait()
    assert len(started) == 4
    assert not running
