"""Signals that reach an entry process while it starts."""

import signal
from pathlib import Path

import gevent
import pytest
from entryprocess import EntryProcesses

from persimmonspur.entry.run import STACK_SIGNAL


@pytest.fixture
def processes(tmp_path):
    processes = EntryProcesses(tmp_path)
    yield processes
    processes.close()


@pytest.mark.process
def test_sighup_while_modules_are_loaded_does_not_end_the_process(processes):
    # Guards against a start that is lost because the settings changed at the same time.
    process = processes.start()
    maps = Path(f"/proc/{process.pid}/maps")
    with gevent.Timeout(10.0):
        while "msgspec" not in maps.read_text():
            gevent.sleep(0.001)
    process.send_signal(signal.SIGHUP)
    with gevent.Timeout(10.0):
        while "entry-instances" not in processes.store.objects:
            gevent.sleep(0.01)
    assert process.poll() is None


@pytest.mark.process
def test_process_shows_its_stack_on_request(processes, tmp_path):
    # Guards against a hanging process that leaves no trace of what it does.
    path = tmp_path / "errors"
    process = processes.start(error_path=path)
    with gevent.Timeout(30.0):
        while "entry-instances" not in processes.store.objects:
            gevent.sleep(0.01)
        process.send_signal(STACK_SIGNAL)
        while "most recent call first" not in path.read_text():
            gevent.sleep(0.01)
    assert process.poll() is None
