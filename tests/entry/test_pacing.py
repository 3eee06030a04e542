import gevent

from persimmonspur.clock import Clock
from persimmonspur.entry.pacing import WORK_MS, WorkPacer


def test_expensive_work_leaves_time_to_others():
    # Guards against ordinary requests that wait for the work of many expensive connections.
    clock = Clock()
    pacer = WorkPacer(clock)
    done = []

    def work():
        end_ms = clock.now_ms() + WORK_MS
        while clock.now_ms() < end_ms:
            pass
        done.append(1)

    for _ in range(10):
        pacer.add(work)
    assert not done
    other_turns = 0
    with gevent.Timeout(5.0):
        while len(done) < 10:
            gevent.sleep(0)
            other_turns += 1
    assert other_turns >= 10 and len(pacer) == 0


def test_work_that_is_added_later_is_done_as_well():
    pacer = WorkPacer(Clock())
    done = []
    pacer.add(lambda: pacer.add(lambda: done.append(1)))
    gevent.sleep(0.05)
    pacer.add(lambda: done.append(2))
    gevent.sleep(0.05)
    assert done == [1, 2]
