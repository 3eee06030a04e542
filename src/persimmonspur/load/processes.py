"""Runs stand-ins and daemons as local processes for demos, experiments and tests."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

import msgspec
from attrs import define, field

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.load.deployment import DeploymentSpec, build_configuration, build_searcher_specs
from persimmonspur.load.publishing import publish
from persimmonspur.model.configuration import Configuration
from persimmonspur.registry import Registry

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
PORT_RANGE = (10_000, 32_000)

# Not seeded, so that concurrent test runs on one machine probe different ports.
_PORT_RNG = SystemRandom()
_used_ports: set[int] = set()


@define
class DaemonProcess:
    """A daemon process, with the command that restarts it."""

    name: str
    arguments: list[str]
    caller_address: str
    process: "subprocess.Popen[bytes]"


@define
class DeploymentProcesses:
    """All processes of a deployment, on loopback addresses.

    :param object_api: address of the object API.
    :param control_addresses: control addresses of the searchers, by failure domain.
    :param tier: name in :data:`TIERS`.
    :param directory: holds the log files of the processes.
    """

    deployment: DeploymentSpec
    configuration: Configuration
    object_api: str
    control_addresses: dict[str, str]
    tier: str = "policy"
    daemons: dict[str, DaemonProcess] = field(factory=dict)
    directory: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="persimmonspur-")))
    _standins: "list[subprocess.Popen[bytes]]" = field(factory=list)

    def list_addresses(self) -> list[str]:
        """Return the caller addresses of all daemons."""
        return [daemon.caller_address for daemon in self.daemons.values()]

    def start_standins(self, snapshots: tuple[str, ...]) -> None:
        """Start the object API and the searchers of every failure domain.

        :param snapshots: snapshots held by every searcher, as ``epoch.version``.
        """
        self.object_api = self._launch_standin(["objectapi"], "objectapi")["address"]
        addresses: dict[str, str] = {}
        for index, domain in enumerate(self.deployment.failure_domains):
            specs = build_searcher_specs(self.configuration, domain, list(snapshots))
            path = self.directory / f"searchers-{domain}.json"
            path.write_bytes(msgspec.json.encode(specs))
            arguments = ["searchers", "--specs", str(path), "--seed", str(index + 1)]
            document = self._launch_standin(arguments, f"searchers-{domain}")
            addresses.update(document["endpoints"])
            self.control_addresses[domain] = document["control"]
        self.configuration = build_configuration(self.deployment, addresses)

    def start_daemon(self, name: str, failure_domain: str) -> DaemonProcess:
        """Start a daemon of the policy tier on free ports."""
        caller_address = find_free_address()
        arguments = build_policy_arguments(name, failure_domain, caller_address, self.object_api)
        daemon = DaemonProcess(
            name, arguments, caller_address, self._launch_daemon(name, arguments)
        )
        self.daemons[name] = daemon
        return daemon

    def start_naive(self, instances: int) -> None:
        """Start the naive tier on free ports.

        :param instances: number of processes.
        """
        addresses = find_free_addresses(instances)
        for index, address in enumerate(addresses):
            name = f"entry-{index}"
            arguments = [
                sys.executable,
                "-m",
                "persimmonspur.load.naive",
                f"--caller-address={address}",
                f"--object-api={self.object_api}",
                f"--addresses={','.join(addresses)}",
                f"--seed={index + 1}",
            ]
            process = self._launch_daemon(name, arguments)
            self.daemons[name] = DaemonProcess(name, arguments, address, process)

    def signal_daemon(self, name: str, signal_number: int) -> None:
        """Send a signal to a daemon; after SIGKILL, also wait for its exit."""
        process = self.daemons[name].process
        _send_signal(process, signal_number)
        if signal_number == signal.SIGKILL:
            process.wait()

    def restart_daemon(self, name: str) -> None:
        """Start an exited daemon again, with the same name and addresses."""
        daemon = self.daemons[name]
        daemon.process = self._launch_daemon(name, daemon.arguments)

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every daemon is ready, knows all addresses and can use all endpoints.

        :raises TimeoutError: if the timeout passes or a daemon exits.
        """
        deadline = time.monotonic() + timeout_s
        for daemon in self.daemons.values():
            while not self._is_ready(daemon):
                if daemon.process.poll() is not None:
                    raise TimeoutError(
                        f"instance {daemon.name} ended: {self._read_last_log_line(daemon)}"
                    )
                if time.monotonic() > deadline:
                    raise TimeoutError(f"instance {daemon.name} is not ready")
                time.sleep(0.05)

    def control_searchers(self, changes: dict[str, Any]) -> None:
        """Change attributes of stand-in searchers.

        :param changes: attributes to set, by endpoint name.
        """
        domains = {}
        for service in self.configuration.services:
            for endpoint in service.endpoints:
                domains[endpoint.name] = endpoint.failure_domain
        by_domain: dict[str, dict[str, Any]] = {}
        for name, change in changes.items():
            by_domain.setdefault(domains[name], {})[name] = change
        for domain, domain_changes in by_domain.items():
            post_json(self.control_addresses[domain], "/control", domain_changes)

    def read_counts(self) -> dict[str, Any]:
        """Return the counters of every stand-in searcher, by endpoint name."""
        counts: dict[str, Any] = {}
        for address in self.control_addresses.values():
            counts.update(post_json(address, "/counts", {}))
        return counts

    def kill(self) -> None:
        """Kill all processes, without a graceful shutdown of the daemons."""
        for process in [daemon.process for daemon in self.daemons.values()] + self._standins:
            _send_signal(process, signal.SIGKILL)
        _wait_for_exit([daemon.process for daemon in self.daemons.values()] + self._standins)

    def stop(self) -> None:
        """Shut down all daemons, then the stand-ins."""
        processes = [daemon.process for daemon in self.daemons.values()]
        for process in processes:
            _send_signal(process, signal.SIGCONT)
            # The second SIGTERM skips the wait until callers have dropped the addresses.
            _send_signal(process, signal.SIGTERM)
        time.sleep(0.1)
        for process in processes:
            _send_signal(process, signal.SIGTERM)
        _wait_for_exit(processes)
        for process in self._standins:
            _send_signal(process, signal.SIGTERM)
        _wait_for_exit(self._standins)

    def _launch_standin(self, arguments: list[str], name: str) -> Any:
        with (self.directory / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "persimmonspur.standins.run", *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env=build_environment(),
                process_group=0,
            )
        # Added before its first output is read, so that an interrupt during the read kills it.
        self._standins.append(process)
        assert process.stdout is not None
        return json.loads(process.stdout.readline())

    def _launch_daemon(self, name: str, arguments: list[str]) -> "subprocess.Popen[bytes]":
        with (self.directory / f"{name}.log").open("ab") as log:
            # In its own process group: Ctrl-C reaches only the tool, which stops its processes.
            return subprocess.Popen(
                arguments, stdout=log, stderr=log, env=build_environment(), process_group=0
            )

    def _read_last_log_line(self, daemon: DaemonProcess) -> str:
        lines = (self.directory / f"{daemon.name}.log").read_text().splitlines()
        return lines[-1] if lines else "no log"

    def _is_ready(self, daemon: DaemonProcess) -> bool:
        document = get_json(daemon.caller_address, "/v1/resolve")
        if document is None or len(document["addresses"]) < len(self.daemons):
            return False
        ready = get_json(daemon.caller_address, "/readyz")
        endpoints = sum(len(service.endpoints) for service in self.configuration.services)
        return bool(ready and ready["ready"] and ready["usable_endpoints"] >= endpoints)


def start_deployment(
    deployment: DeploymentSpec,
    instances: int,
    snapshots: tuple[str, ...] = ("1.1",),
    tier: str = "policy",
) -> DeploymentProcesses:
    """Start the object API, the searchers and the daemons, and wait until all are ready.

    :param instances: number of daemons.
    :param tier: name in :data:`TIERS`.
    :raises TimeoutError: if the daemons are not ready in time.
    """
    processes = DeploymentProcesses(deployment, build_configuration(deployment), "", {}, tier)
    try:
        processes.start_standins(snapshots)
        store_configuration(processes.object_api, processes.configuration)
        TIERS.get(tier)(processes, instances)
        processes.wait_ready()
    except BaseException:
        processes.kill()
        raise
    return processes


TierStarter = Callable[[DeploymentProcesses, int], None]
TIERS: Registry[TierStarter] = Registry("tier")


@TIERS.register("policy")
def start_policy(processes: DeploymentProcesses, instances: int) -> None:
    """Start the daemons of the policy tier."""
    domains = processes.deployment.failure_domains
    for index in range(instances):
        processes.start_daemon(f"entry-{index}", domains[index % len(domains)])


@TIERS.register("naive")
def start_naive(processes: DeploymentProcesses, instances: int) -> None:
    """Start the instances of the naive tier."""
    processes.start_naive(instances)


def build_policy_arguments(
    name: str, failure_domain: str, caller_address: str, object_api: str
) -> list[str]:
    """Return the command line of a daemon, with a free peer address."""
    return [
        sys.executable,
        "-m",
        "persimmonspur.daemon.run",
        f"--instance={name}",
        f"--failure-domain={failure_domain}",
        f"--caller-address={caller_address}",
        f"--peer-address={find_free_address()}",
        f"--object-api={object_api}",
        "--log-level=INFO",
    ]


def store_configuration(object_api: str, configuration: Configuration) -> None:
    """Store a configuration as the next version.

    :raises RuntimeError: if the write fails.
    """
    publish(object_api, configuration)


def build_environment() -> dict[str, str]:
    """Return the environment for child processes, with this package on ``PYTHONPATH``."""
    source = str(Path(__file__).resolve().parents[2])
    inherited = os.environ.get("PYTHONPATH", "")
    return {**os.environ, "PYTHONPATH": f"{source}{os.pathsep}{inherited}"}


def find_free_addresses(count: int) -> list[str]:
    """Return different loopback addresses whose ports are currently free.

    The ports are below the ephemeral port range: any client on the machine could be
    assigned an ephemeral port between this probe and the bind of the daemon.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = _PORT_RNG.randrange(*PORT_RANGE)
        if port in _used_ports or not _is_free(port):
            continue
        _used_ports.add(port)
        addresses.append(f"127.0.0.1:{port}")
    return addresses


def find_free_address() -> str:
    """Return a loopback address whose port is currently free."""
    return find_free_addresses(1)[0]


def get_json(address: str, path: str) -> Any:
    """Get a JSON document, or ``None`` if the server does not respond."""
    client = connect_client(address, 1, 2_000.0)
    try:
        return json.loads(bytes(client.get(path).read()))
    except HTTP_ERRORS:
        return None
    finally:
        client.close()


def post_json(address: str, path: str, document: Any) -> Any:
    """Post a JSON document and return the JSON response."""
    client = connect_client(address, 1, 10_000.0)
    try:
        return json.loads(bytes(client.post(path, body=msgspec.json.encode(document)).read()))
    finally:
        client.close()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def _send_signal(process: "subprocess.Popen[bytes]", signal_number: int) -> None:
    if process.poll() is None:
        process.send_signal(signal_number)


def _wait_for_exit(processes: "list[subprocess.Popen[bytes]]") -> None:
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for process in processes:
        try:
            process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
