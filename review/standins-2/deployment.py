"""Starts a small deployment on loopback: machines, the store, searchers, and clients.

The machines run the command of the deploy file. The store and the searchers are stand-ins.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path

from wire import Message, read_response

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
HOST = "search.example"
# The settings of a machine: the bounds of sites/tonerback-search.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_ms": 5000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "downgrade_slack_ms": 250, "skew_max_ms": 12000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 119, "cold_overshoot": 1.5,
    "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "ttl_max_s": 5,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be played."""


# Below the ports that the kernel gives to outgoing connections.
PORTS = range(10_000, 30_000)
_used_ports: set[int] = set()


def find_free_port(host: str) -> int:
    """Return a port that is free now, for TCP and UDP, and that was not returned before."""
    while True:
        port = random.choice(PORTS)
        if port in _used_ports:
            continue
        with socket.socket() as sock, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                sock.bind((host, port))
                datagrams.bind((host, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


@dataclass
class Machine:
    """One machine of the deployment and its process."""

    name: str
    ip: str
    zone: str
    front: str
    ready: str
    directory: str
    settings: Path
    metrics: str
    log: Path
    process: subprocess.Popen | None = None
    peer_port: int = 0
    peak_mb: float = 0.0
    ends: list[str] = field(default_factory=list)
    ended_at: list[float] = field(default_factory=list)

    def signal(self, number: int) -> None:
        if self.process is not None:
            self.process.send_signal(number)

    def read_cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def read_memory_mb(self) -> float:
        """Return the resident anonymous memory of the process: files are not counted."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0


class Deployment:
    """Machines, store and searchers; ends everything that it started."""

    def __init__(self, record: Path, zones: list[str], machines: int, memory_mb: int) -> None:
        self.record = open(record, "w")
        # Time, machine, what was sent and how it ended, by the id of the client's attempt.
        self.attempts: dict[str, list[str]] = {}
        self.started = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.work = Path(self.temporary.name)
        self.zones = zones
        self.memory_mb = memory_mb
        self.others: list[subprocess.Popen] = []
        self.searchers: list[dict] = []
        self.version = 0
        # Plays at the same time do not share addresses.
        self.network = f"127.{random.randint(10, 250)}"
        store_ip = f"{self.network}.0.1"
        self.store = f"{store_ip}:{find_free_port(store_ip)}"
        self.machines: list[Machine] = []
        for index in range(machines):
            ip = f"{self.network}.1.{index + 1}"
            ports = [find_free_port(ip) for _ in range(5)]
            name = f"front-{zones[index % len(zones)]}-{index + 1}"
            front, ready, directory, metrics = (f"{ip}:{port}" for port in ports[:4])
            settings = self.work / f"{name}.json"
            machine = Machine(
                name, ip, zones[index % len(zones)], front, ready, directory, settings, metrics,
                self.work / f"{name}.log",
            )  # fmt: skip
            self.machines.append(machine)
            self._write_settings(machine, ports[4], first_start=True)
            machine.peer_port = ports[4]

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self.record.write(f"{time.monotonic() - self.started:8.3f}  {text}\n")
        self.record.flush()

    def note_sent(self, request_id: str, address: str, request: str) -> None:
        """Remember that a client sent a request."""
        sent_at = f"{time.monotonic() - self.started:8.3f}"
        self.attempts[request_id] = [sent_at, address, request, "no answer"]

    def note_end(self, request_id: str, end: str) -> None:
        """Remember how a client's attempt ended."""
        self.attempts[request_id][3] = end

    def write_attempts(self) -> None:
        """Write a line for each attempt: what was sent, answered and run."""
        runs = self.list_runs()
        self.note(f"{len(self.attempts)} requests: time, id, machine, sent, answered, run")
        for request_id, (sent_at, address, request, end) in self.attempts.items():
            run = " ".join(runs[request_id]) if request_id in runs else "not run"
            ip = address.rpartition(":")[0]
            self.record.write(f"{sent_at}  {request_id}  {ip}  {request}  {end}  {run}\n")

    def _write_settings(self, machine: Machine, peer_port: int, first_start: bool) -> None:
        limits = {"cpu_share": 0.731, "cores": 1, "memory_mb": self.memory_mb, "max_fds": 1535}
        limits |= {"link_mbps": 350.0, "disk_mb": 0}
        platform = {"addr": self.store, "form": "objects", "writes_per_s": 400}
        platform |= {"reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576}
        listen = {"front": machine.front, "ready": machine.ready, "directory": machine.directory}
        contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
        settings = {
            "node": machine.name, "role": "entry", "class": "front",
            "serves": ["front", "directory"], "ip": machine.ip, "zone": machine.zone,
            "region": "bengal-east", "zones": dict.fromkeys(self.zones, "bengal-east"),
            "listen": listen, "port_range": [peer_port, peer_port + 15], "seeds": [],
            "bootstrap": first_start, "in_tolerance": False, "limits": limits, "data_dir": None,
            "discovery": "platform", "entry": "directory", "beat_ms": 1200,
            "contracts": contracts, "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "platform": platform,
        }  # fmt: skip
        machine.settings.write_text(json.dumps(settings))

    def add_searchers(
        self, service: str, count: int, slots: int, work_ms: float, records: int, version: str = "v1"
    ) -> None:
        """Describe the searchers of one service; they start with :meth:`start`."""
        for index in range(count):
            ip = f"{self.network}.{2 + len(self.searchers) // 200}.{1 + len(self.searchers) % 200}"
            self.searchers.append({
                "id": f"i-{service}-{index}", "service": service, "zone": self.zones[index % len(self.zones)],
                "addr": f"{ip}:{find_free_port(ip)}", "slots": slots, "work_ms": work_ms, "records": records,
                "version": version,
            })  # fmt: skip

    def spawn(self, command: list[str], **kwargs: object) -> subprocess.Popen:
        """Start a stand-in; it is ended with the deployment."""
        process = subprocess.Popen(command, **kwargs)
        self.others.append(process)
        return process

    async def start(self, configuration: dict, searcher_processes: int = 3) -> None:
        """Start everything and wait until all machines are ready."""
        if not (ROOT / "target" / "deps" / "persimmonspur").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.spawn([sys.executable, str(HERE / "store.py"), self.store])
        for index in range(searcher_processes):
            path = self.work / f"searchers-{index}.json"
            path.write_text(json.dumps(self.searchers[index::searcher_processes]))
            with open(self.work / f"searchers-{index}.log", "w") as log:
                self.spawn([sys.executable, str(HERE / "searchers.py"), str(path)], stdout=log)
        await self._wait_for(self.store)
        for searcher in self.searchers:
            await self._wait_for(searcher["addr"])
        for sequence, searcher in enumerate(self.searchers):
            spec = {key: searcher[key] for key in ("service", "addr", "zone", "version", "slots")}
            spec |= {"state": "ready", "cold_left_ms": 0, "seq": sequence, "born": time.time_ns() // 10**6}
            await self.write_object("POST", "servers", searcher["id"], spec)
        await self.put_configuration(configuration)
        for machine in self.machines:
            self.start_machine(machine)
        for machine in self.machines:
            await self.wait_ready(machine)
        self.note(f"{len(self.machines)} machines are ready, {len(self.searchers)} searchers")

    def start_machine(self, machine: Machine) -> None:
        """Start the program of the deploy file on one machine."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONSPUR_BOOT": str(machine.settings),
            "PERSIMMONSPUR_METRICS_ADDRESS": machine.metrics,
        }
        with open(machine.log, "a") as log:
            machine.process = subprocess.Popen(
                ["python3", "-S", "-m", "persimmonspur.platform"],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    def restart_machine(self, machine: Machine) -> None:
        """Start a process again after its end, with the settings of a later start."""
        machine.process.wait()
        self._write_settings(machine, machine.peer_port, first_start=False)
        self.start_machine(machine)

    async def _wait_for(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise CannotRun(f"nothing listens at {address}")

    async def wait_ready(self, machine: Machine, timeout_s: float = 20.0) -> None:
        """Wait until a machine answers that it is ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.is_ready(machine):
                return
            await asyncio.sleep(0.1)
        log = machine.log.read_text()[-2000:]
        raise CannotRun(f"{machine.name} does not get ready, its log ends with:\n{log}")

    async def is_ready(self, machine: Machine) -> bool:
        """Ask the ready address, as the platform does; no answer within 1 s means no."""
        try:
            response = await fetch(machine.ready, "GET", "/-/ready", timeout_s=1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return response is not None and response.status == 200

    async def write_object(self, method: str, kind: str, name: str, spec: dict) -> int:
        """Write an object to the store; the answer is the confirmation."""
        body = json.dumps({"meta": {"name": name}, "spec": spec}, separators=(",", ":")).encode()
        path = f"/-/objects/{kind}" + ("" if method == "POST" else f"/{name}")
        response = await fetch(self.store, method, path, body=body, timeout_s=5.0)
        if response is None or response.status != 200:
            raise CannotRun(f"the store refuses {kind}/{name}")
        return len(body)

    async def put_configuration(self, configuration: dict) -> int:
        """Write the next version of the configuration, as the operator does."""
        method = "POST" if not self.version else "PUT"
        self.version += 1
        return await self.write_object(method, "config", "main", {"version": self.version, **configuration})

    async def resolve(self) -> list[str]:
        """Ask the directory which addresses to use."""
        for machine in self.machines:
            target = f"/-/resolve?name={HOST}&region=bengal-east&zone={machine.zone}"
            try:
                response = await fetch(machine.directory, "GET", target, timeout_s=1.0)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
            if response is not None and response.status == 200:
                return json.loads(response.body)["addrs"]
        return []

    def list_runs(self) -> dict[str, list[str]]:
        """Return what searchers have begun to run, by the id of the request.

        Each entry holds the method, the target, and the length and digest of the body.
        """
        runs: dict[str, list[str]] = {}
        for path in self.work.glob("searchers-*.log"):
            for line in path.read_text().splitlines():
                request_id, *described = line.split()
                runs[request_id] = described
        return runs

    async def enforce_memory(self) -> None:
        """Kill a process that exceeds the memory of its machine and start it again.

        The platform does the same. Memory of files is left out, so this is the milder count.
        """
        while True:
            for machine in self.machines:
                used_mb = machine.read_memory_mb()
                machine.peak_mb = max(machine.peak_mb, used_mb)
                if used_mb <= self.memory_mb:
                    continue
                self.note(f"{machine.name} has {used_mb:.0f} MB of {self.memory_mb}: killed")
                machine.ends.append(f"{used_mb:.0f} MB")
                machine.ended_at.append(time.monotonic())
                machine.process.kill()
                self.restart_machine(machine)
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End all processes that were started."""
        processes = [machine.process for machine in self.machines if machine.process is not None]
        for process in processes + self.others:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes + self.others:
            process.wait()
        self.temporary.cleanup()
        self.record.close()


async def fetch(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Send one request on a connection of its own; ``None`` if it ends without an answer."""

    async def exchange() -> Message | None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=4_000_000)
        try:
            writer.write(format_request(method, target, headers or {}, body))
            await writer.drain()
            return await read_response(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


def format_request(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def new_id() -> str:
    """Return the id of one client attempt."""
    return uuid.uuid4().hex[:16]


def gather_route(name: str, shards: list[str], prefix: str, timeout_ms: int, target_ms: int) -> dict:
    """Describe a route over many shards."""
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": "idempotent",
        "timeout_ms": timeout_ms, "latency_target_ms": target_ms, "priority": 1,
        "gather": shards, "max_attempts": 2, "top_k": 50, "min_share": 0.89,
    }  # fmt: skip


def describe_service(name: str, max_conns: int) -> dict:
    """Describe a service."""
    return {
        "name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1",
        "tls": False, "cold_s": 3.0, "cold_per_s": 0.0,
    }  # fmt: skip


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def run_case(play: object) -> None:
    """Run a case and exit with its result: 1 if the rule was broken, 0 if it held, 2 otherwise.

    SIGTERM ends the play, and with it all processes that it started.
    """

    async def play_until_stopped() -> int:
        task = asyncio.ensure_future(play())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            raise CannotRun("stopped") from None

    try:
        code = asyncio.run(play_until_stopped())
    except CannotRun as error:
        print(f"cannot run: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
