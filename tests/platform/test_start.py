"""Signals that reach an entry process while it starts."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import gevent
import pytest
from platformsim import FakeStore

from persimmonspur.load.processes import find_free_addresses


@pytest.fixture
def start_process(tmp_path):
    store = FakeStore()
    processes = []

    def start():
        caller, ready, resolve, peer = find_free_addresses(4)
        host, _, peer_port = peer.partition(":")
        path = tmp_path / "settings.json"
        settings = {
            "node": "front-1",
            "ip": host,
            "zone": "zone-a",
            "region": "region",
            "listen": {"front": caller, "ready": ready, "directory": resolve},
            "port_range": [int(peer_port), int(peer_port)],
            "platform": {"addr": store.address},
        }
        path.write_text(json.dumps(settings))
        environment = {**os.environ, "PERSIMMONSPUR_BOOT": str(path)}
        process = subprocess.Popen(
            [sys.executable, "-m", "persimmonspur.platform"],
            env=environment,
            stdout=subprocess.DEVNULL,
        )
        processes.append(process)
        return process

    yield start, store
    for process in processes:
        process.kill()
        process.wait()
    store.close()


@pytest.mark.process
def test_sighup_while_modules_are_loaded_does_not_end_the_process(start_process):
    # Guards against a start that is lost because the settings changed at the same time.
    start, store = start_process
    process = start()
    maps = Path(f"/proc/{process.pid}/maps")
    with gevent.Timeout(10.0):
        while "msgspec" not in maps.read_text():
            gevent.sleep(0.001)
    process.send_signal(signal.SIGHUP)
    with gevent.Timeout(10.0):
        while "entry-instances" not in store.objects:
            gevent.sleep(0.01)
    assert process.poll() is None
