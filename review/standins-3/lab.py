"""Stand-ins of the platform, the searchers and the clients for the scripts of this review.

Only the standard library is used. Everything listens on 127.0.0.1. The entry daemon runs as a
process of its own, with the command of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
COMMAND = ["python3", "-S", "-m", "persimmonspur.platform"]
CANNOT_RUN = 2
# Ports for the processes.
MIN_PORT = 12_000
MAX_PORT = 30_000


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP.

    They lie below those that the system gives to outgoing connections, which could take them
    before a process listens.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(MIN_PORT, MAX_PORT)
        if port not in ports and is_free(port):
            ports.append(port)
    return ports


def is_free(port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write one line, also to standard output."""
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)

    def note(self, text: str) -> None:
        """Write one line to the record only."""
        self._file.write(f"{self.now():8.3f} {text}\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message with a length; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0") or 0)
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


class Store:
    """The platform's store: objects, lists and watches, on one address.

    :ivar mode: ``ok``; ``busy`` answers every call with 503; ``silent`` leaves calls unanswered.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.mode = "ok"
        self.revision = 100
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=4_000_000)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object."""
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "created": 1,
            "finalizers": [],
            "being_deleted": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = item
        self._add(kind, item, False)

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        self._add(kind, item, True)
        return True

    def _add(self, kind: str, item: dict, removed: bool) -> None:
        # The data of large objects is kept once; only the last 20 s of history are needed.
        self.events.append((self.revision, kind, item, removed))
        del self.events[:-500]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                status, document = await self._answer(line, body)
                data = json.dumps(document, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, line: str, body: bytes) -> tuple[int, object]:
        method, target, _ = line.split(" ")
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return 503, {}
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = unquote(url.path).removeprefix("/-/objects/").split("/")
        kind = parts[0]
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), float(query.get("wait_ms", 0)))
        if method == "GET" and len(parts) == 1:
            after = query.get("after", "")
            names = sorted(name for name in self.objects.get(kind, {}) if name > after)
            items = [self.objects[kind][name] for name in names[:500]]
            more = len(names) > 500
            return 200, {"items": items, "has_more": more, "store_revision": self.revision}
        known = self.objects.get(kind, {})
        if method == "GET":
            return (200, known[parts[1]]) if parts[1] in known else (404, {})
        if method == "DELETE":
            return (200 if self.delete(kind, parts[1]) else 404), {}
        document = json.loads(body)
        name = document["meta"]["name"]
        if method == "POST" and name in known:
            return 409, known[name]
        if method == "PUT" and name not in known:
            return 404, {}
        self.put(kind, name, document.get("spec"))
        return 200, self.objects[kind][name]

    async def _watch(self, kind: str, revision: int, wait_ms: float) -> tuple[int, object]:
        until = time.monotonic() + wait_ms / 1000
        if self.events and revision < self.events[0][0] - 1:
            return 410, {}
        while True:
            found = [event for event in self.events if event[0] > revision and event[1] == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                continue
        if self.mode != "ok":
            # A store that is down answers nothing, and nothing later either.
            await asyncio.sleep(3600)
        events = [{"object": item, "removed": removed} for _, _, item, removed in found]
        return 200, {"events": events, "store_revision": self.revision}


class Searcher:
    """A searcher: answers requests that name it, and echoes their ids.

    :ivar arrivals: seconds, request id and path of each request that it ran.
    :ivar misdirected: number of requests that named another searcher.
    """

    def __init__(self, record: Record, identity: str, work_s: float = 0.01) -> None:
        self.record = record
        self.identity = identity
        self.work_s = work_s
        self.arrivals: list[tuple[float, str, str]] = []
        self.misdirected = 0
        self.address = ""
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, a free one by default."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """End as a process does: the listener and all connections close."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, _ = message
                data = await self.answer(line, headers)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, line: str, headers: dict[str, str]) -> bytes:
        """Return the answer to one request."""
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.identity) != self.identity:
            self.misdirected += 1
            extra = f"X-Not-Executed: 1\r\nX-Instance-Id: {self.identity}\r\n"
            return self.build(421, request_id, extra)
        return await self.run(line, request_id)

    async def run(self, line: str, request_id: str) -> bytes:
        """Run one request."""
        self.arrivals.append((self.record.now(), request_id, line.split(" ")[1]))
        self.record.note(f"{self.identity} runs {request_id}")
        await asyncio.sleep(self.work_s)
        return self.build(200, request_id, f"X-Server-Stamp: {self.identity}.{request_id}\r\n")

    def build(self, status: int, request_id: str, extra: str, body: bytes = b"answer") -> bytes:
        """Format an answer."""
        head = (
            f"HTTP/1.1 {status} Status\r\nX-Request-Id: {request_id}\r\n{extra}"
            f"X-Server-Load: 1,0,4\r\nKeep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def build_entry(self, service: str, state: str = "ready", seq: int = 1, **fields) -> dict:
        """Return the entry that this searcher writes to the store."""
        entry = {
            "service": service,
            "addr": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_left_ms": 0,
            "seq": seq,
            "born": 1_700_000_000_000,
        }
        return entry | fields


async def request(address: str, path: str, request_id: str, record: Record | None = None):
    """Send one request of a client on a new connection.

    :param record: for the request and its answer, if given.
    :returns: status, headers and body; status 0 with the reason in the body without an answer.
    """
    if record is not None:
        record.note(f"{request_id} is sent to {address}")
    status, headers, body = await exchange(address, path, request_id)
    if record is not None:
        record.note(f"{request_id} is answered: {status} {body[:40]!r}")
    return status, headers, body


async def exchange(address: str, path: str, request_id: str, deadline_ms: int = 2000):
    """Send one request and read its answer, as :func:`request` does."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
        )
        message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1.0)
        if message is None:
            return 0, {}, b"closed without an answer"
        line, headers, body = message
        return int(line.split(" ")[1]), headers, body
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, {}, repr(error).encode()
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """One machine with its entry daemon as a process.

    :ivar log_path: file with the log of the process.
    """

    def __init__(self, name: str, store: Store, folder: str, zone: str = "zone-a", **settings) -> None:
        ports = find_free_ports(5)
        self.name = name
        self.caller, self.ready, self.directory, self.peer, self.metrics = (
            f"{HOST}:{port}" for port in ports
        )
        self.folder = Path(folder)
        self.log_path = self.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.settings = {
            "node": name,
            "role": "entry",
            "class": "front",
            "serves": ["front", "directory"],
            "ip": HOST,
            "zone": zone,
            "region": "region",
            "zones": {zone: "region"},
            "listen": {"front": self.caller, "ready": self.ready, "directory": self.directory},
            "port_range": [ports[3], ports[3]],
            "seeds": [],
            "bootstrap": False,
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
            "bounds": {
                "stability_window_ms": 4000,
                "drain_ms": 3000,
                "grace_s": 6,
                "config_apply_ms": 3000,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 119,
                "cold_overshoot": 1.5,
                "cold_slack": 5,
                "ttl_max_s": 5,
            },
            "platform": {
                "addr": store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        for section, values in settings.items():
            self.settings[section] = self.settings[section] | values

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONSPUR_BOOT": str(path),
            "PERSIMMONSPUR_METRICS_ADDRESS": self.metrics,
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s: float = 15.0) -> bool:
        """Wait until the machine says that it is ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            status, _, _ = await request(self.ready, "/-/ready", "ready")
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def kill(self) -> None:
        """Kill the process."""
        if self.running:
            self.process.send_signal(signal.SIGKILL)

    def read_memory_mb(self) -> float:
        """Return the anonymous resident memory of the process in MB (10^6 bytes)."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0


class Proxy:
    """Passes connections on to an address; open ones can go silent while new ones work.

    :ivar open: connections that are passed on now.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server = None
        self._silent: set[object] = set()
        self._tasks: set[asyncio.Task] = set()
        self.open: set[object] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def silence_open(self) -> int:
        """Drop all data of the connections that are open now, without closing them.

        :returns: their number.
        """
        self._silent |= self.open
        count = len(self.open)
        self.open.clear()
        return count

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ip, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        key = object()
        self.open.add(key)
        # The return of this method would not close the connection; the two tasks do.
        self._tasks.add(asyncio.create_task(self._pass_on(key, reader, target_writer)))
        self._tasks.add(asyncio.create_task(self._pass_on(key, target_reader, writer)))

    async def _pass_on(self, key, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                if key not in self._silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.open.discard(key)
        if key not in self._silent:
            writer.close()


def build_route(name: str = "r-main", service: str = "s1", **fields) -> dict:
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "latency_target_ms": 500,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }
    return route | fields


def build_configuration(version: int, routes: list[dict], **service_fields) -> dict:
    """Return a configuration with the services that its routes name."""
    names = {route["service"] for route in routes if "service" in route}
    service = {
        "health_path": "/health",
        "max_conns": 76,
        "protocol": "h1",
        "tls": False,
        "cold_s": 3.0,
        "cold_per_s": 0.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name} | service | service_fields for name in sorted(names)],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def run(script, record_path: Path) -> None:
    """Run a script and exit with its code: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param script: coroutine function that takes a record, a temporary folder and the list of
        machines to which it adds each machine that it starts.
    :param record_path: file for the record.
    """
    record = Record(record_path)
    machines: list[Machine] = []

    async def main(temporary: str) -> int:
        try:
            return await asyncio.wait_for(script(record, temporary, machines), 115)
        except asyncio.TimeoutError:
            record.write("the script took too long")
            return CANNOT_RUN
        finally:
            for machine in machines:
                machine.kill()
                if machine.process is not None:
                    await machine.process.wait()

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(main(temporary))
        except Exception as error:  # Anything unexpected is not a broken rule.
            record.write(f"cannot run: {type(error).__name__}: {error}")
            code = CANNOT_RUN
    record.write(f"exit code {code}")
    sys.exit(code)
