"""Starts entry processes with the command and the environment of the deploy file."""

import asyncio
import json
import os
import random
import shlex
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from standins.client import call

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "skew_max_ms": 12000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 113,
    "cold_overshoot": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
ZONES = ("zone-a", "zone-b", "zone-c")
START_TIMEOUT_S = 20.0
# Below the ports that Linux gives to outgoing connections.
PORTS = range(15_000, 32_000)


def find_free_ports(count: int) -> list[int]:
    """Return different free ports, for TCP and UDP, that outgoing connections don't use."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(PORTS)
        if port in ports:
            continue
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            continue
        finally:
            tcp.close()
            udp.close()
    return ports


class EntryProcess:
    """One machine of class front with the program of the deploy file."""

    def __init__(self, folder: Path, name: str, zone: str, store: str) -> None:
        front, ready, directory, peer, metrics = find_free_ports(5)
        self.name = name
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.directory = f"127.0.0.1:{directory}"
        self._metrics = f"127.0.0.1:{metrics}"
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        settings = {
            "node": name,
            "role": "entry",
            "class": "front",
            "serves": ["front", "directory"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region",
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": {"front": self.front, "ready": self.ready, "directory": self.directory},
            "port_range": [peer, peer],
            "seeds": [],
            "bootstrap": True,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.731,
                "cores": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "beat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "addr": store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONSPUR_BOOT": str(self._settings),
            "PERSIMMONSPUR_METRICS_ADDRESS": self._metrics,
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> bool:
        """Ask for readiness until the answer is 200; ``False`` after a timeout."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            message = await call(self.ready, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n", 1.0)
            if message is not None and " 200 " in message.line:
                return True
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def read_errors(self) -> list[str]:
        """Return the last lines of Python tracebacks that the process wrote."""
        lines = self._log.read_text(errors="replace").splitlines() if self._log.exists() else []
        return [line for line in lines if not line.startswith("{") and "Error" in line]
