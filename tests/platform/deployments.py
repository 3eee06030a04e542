"""Entry instances in this process, with fakes of the store and the searchers."""

import json

import gevent
import gevent.socket
from platformsim import FakeSearcher, FakeStore, make_configuration, make_entry

from persimmonspur.clock import Clock
from persimmonspur.entry.eventlog import EventLog, LineWriter
from persimmonspur.entry.features import NO_FEATURES
from persimmonspur.entry.serverlimits import CALLER_SHARE
from persimmonspur.load.processes import find_free_addresses
from persimmonspur.platform.run import build_instance
from persimmonspur.platform.settings import EntrySettings

START_TIMEOUT_S = 3.0


class Deployment:
    """A fake store, fake searchers and one entry instance in this process."""

    def __init__(self, tmp_path, store=None, name="front-1", features=NO_FEATURES):
        self.owns_store = store is None
        self.store = store or FakeStore()
        self.searchers = {}
        self.path = tmp_path / name
        self._file = self.path.open("wb")
        clock = Clock()
        writer = LineWriter(self._file.fileno())
        self.log = EventLog(name, clock, writer)
        self.settings = EntrySettings(
            name,
            "zone-a",
            "region",
            *find_free_addresses(4),
            self.store.address,
            6_000.0,
            0.2,
            113.0,
            10_000.0,
            5_000.0,
            1.0,
            0.0,
            features=features,
        )
        self.instance = build_instance(self.settings, clock, self.log)
        self.server = None

    def add_searcher(self, identity, service, version="v1", **fields):
        searcher = FakeSearcher(identity, **fields)
        self.searchers[identity] = searcher
        self.store.put("servers", identity, make_entry(searcher, service, version=version))
        return searcher

    def configure(self, *routes, version=1, services=(), tenants=None, cold_per_s=0.0):
        configuration = make_configuration(version, routes, services, tenants, cold_per_s)
        self.store.put("config", "main", configuration)

    def start(self):
        self.instance.start()
        self.server = self.instance.serve(
            self.settings.caller_address, self.instance.request_handler, CALLER_SHARE
        )
        gevent.sleep(0.1)
        self._wait_until_initialized()

    def _wait_until_initialized(self):
        """Wait for the first lists, which take longer than usual on a busy machine."""
        store = self.store
        if not isinstance(store, FakeStore) or store.down or store.silent:
            return
        if "config" not in store.objects:
            return
        with gevent.Timeout(START_TIMEOUT_S, False):
            while not self.instance.state.initialized:
                gevent.sleep(0.01)

    def send_request(
        self, path, method="GET", body=b"", request_id="abc", deadline_ms=1_000, headers=None
    ):
        host, _, port = self.settings.caller_address.partition(":")
        sock = gevent.socket.create_connection((host, int(port)), timeout=3)
        fields = dict(headers or {})
        if body:
            fields["Content-Length"] = len(body)
        extra = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        sock.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n{extra}Connection: close\r\n\r\n".encode()
            + body
        )
        data = b""
        while True:
            chunk = sock.recv(65_536)
            if not chunk:
                break
            data += chunk
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            fields[name.lower()] = value
        return int(lines[0].split(" ")[1]), fields, rest

    def read_log(self):
        self.log.flush()
        return [json.loads(line) for line in self.path.read_text().splitlines()]

    def close(self):
        self.instance.stop()
        if self.server is not None:
            self.server.stop_accepting()
            self.server.close_idle()
        for searcher in self.searchers.values():
            searcher.close()
        if self.owns_store:
            self.store.close()
        self.log.close()
        self._file.close()


def register_with_each_other(first, second):
    for deployment, peer in ((first, second), (second, first)):
        deployment.instance.membership.register(peer.instance.settings.member, 0.0)
