import gevent

from persimmonspur.clock import Clock
from persimmonspur.entry.timers import LoopTimers


def test_timers_run_in_order():
    timers = LoopTimers(Clock())
    ran = []
    timers.call_later(30, lambda: ran.append(30))
    timers.call_later(10, lambda: ran.append(10))
    timers.call_later(20, lambda: ran.append(20))
    gevent.sleep(0.1)
    assert ran == [10, 20, 30]


def test_cancelled_timer_does_not_run():
    timers = LoopTimers(Clock())
    ran = []
    timer = timers.call_later(5, lambda: ran.append("cancelled"))
    timers.call_later(10, lambda: ran.append("kept"))
    timer.cancel()
    gevent.sleep(0.05)
    assert ran == ["kept"]


def test_timer_set_by_a_timer_runs():
    timers = LoopTimers(Clock())
    ran = []
    timers.call_later(5, lambda: timers.call_later(5, lambda: ran.append("second")))
    gevent.sleep(0.05)
    assert ran == ["second"]


def test_failing_timer_does_not_affect_the_others():
    # Guards against one failing callback that prevents all later timers from running.
    timers = LoopTimers(Clock())
    ran = []
    timers.call_later(5, lambda: 1 / 0)
    timers.call_later(10, lambda: ran.append("later"))
    gevent.sleep(0.05)
    assert ran == ["later"]
