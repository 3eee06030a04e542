"""Entry instances as real processes, with a fake store in the test's own process."""

import json
import os
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

from platformsim import FakeStore

from persimmonspur.load.processes import find_free_addresses


class EntryProcesses:
    """Starts entry processes, and ends them with the test.

    :ivar store: fake store that all of them use.
    :ivar caller_address: address on which the latest process accepts client requests.
    :ivar addresses: all TCP addresses of the latest process, by name.
    """

    def __init__(self, tmp_path):
        self.store = FakeStore()
        self.caller_address = ""
        self.addresses = {}
        self._tmp_path = tmp_path
        self._processes = []

    def start(self, limits=None, log_path=os.devnull, error_path=None, **bounds):
        """Start a process.

        :param limits: limits of its machine in its settings.
        :param log_path: file for the process's log.
        :param error_path: file for its standard error; that of the test by default.
        :param bounds: bounds in its settings.
        """
        self.caller_address, ready, resolve, peer = find_free_addresses(4)
        self.addresses = {
            "front": self.caller_address,
            "ready": ready,
            "directory": resolve,
            "peer": peer,
        }
        host, _, peer_port = peer.partition(":")
        path = self._tmp_path / "settings.json"
        settings = {
            "node": "front-1",
            "ip": host,
            "zone": "zone-a",
            "region": "region",
            "listen": {"front": self.caller_address, "ready": ready, "directory": resolve},
            "port_range": [int(peer_port), int(peer_port)],
            "platform": {"addr": self.store.address},
            "bounds": bounds,
            "limits": limits or {},
        }
        path.write_text(json.dumps(settings))
        with Path(log_path).open("wb") as log, ExitStack() as files:
            errors = files.enter_context(Path(error_path).open("wb")) if error_path else None
            process = subprocess.Popen(
                [sys.executable, "-m", "persimmonspur.platform"],
                env={**os.environ, "PERSIMMONSPUR_BOOT": str(path)},
                stdout=log,
                stderr=errors,
            )
        self._processes.append(process)
        return process

    def close(self):
        """Kill the processes and stop the store."""
        for process in self._processes:
            process.kill()
            process.wait()
        self.store.close()
