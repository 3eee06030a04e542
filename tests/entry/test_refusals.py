import json
import os

from persimmonspur.entry.eventlog import EventLog, LineWriter
from persimmonspur.entry.metrics import EntryMetrics, format_metrics
from persimmonspur.entry.refusals import RefusalRecorder


class ManualClock:
    def __init__(self):
        self.now = 0.0

    def now_ms(self):
        return self.now

    def wall_ms(self):
        return self.now


def test_refusals_are_counted_and_logged_in_at_most_one_line_per_second(tmp_path):
    # Guards against clients that fill the log by being refused.
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    clock = ManualClock()
    log = EventLog("front-1", clock, LineWriter(descriptor))
    metrics = EntryMetrics()
    recorder = RefusalRecorder(log, metrics, clock)
    for _ in range(2_000):
        recorder.record("caller", "head")
        clock.now += 1.0
    recorder.record("peer", "memory")
    clock.now += 1_000.0
    recorder.write_due()
    recorder.write_due()
    log.close()
    os.close(descriptor)
    lines = [json.loads(line)["refusals"] for line in path.read_text().splitlines()]
    assert len(lines) == 3
    assert sum(line.get("caller: head", 0) for line in lines) == 2_000
    assert lines[-1]["peer: memory"] == 1
    text = format_metrics(metrics).decode()
    assert 'persimmonspur_refusals_total{address="caller",reason="head"} 2000.0' in text
