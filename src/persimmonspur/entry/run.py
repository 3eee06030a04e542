"""Runs one entry instance until SIGTERM."""

import faulthandler
import gc
import signal
from collections.abc import Callable
from typing import Any

import gevent
from attrs import frozen
from gevent.event import Event

from persimmonspur.entry import events
from persimmonspur.entry.instance import EntryInstance
from persimmonspur.entry.server import Handler, HttpServer
from persimmonspur.entry.serverlimits import CALLER_SHARE

# Time to accept connections after the instance removed its registration, because clients
# cache resolved addresses.
DEREGISTRATION_WAIT_MS = 2_500.0
# The process exits this long before the deadline at which it would be killed.
EXIT_MARGIN_MS = 500.0
DRAIN_POLL_MS = 50.0
# Requests in progress are answered this long before the exit, so that the answers are sent.
ANSWER_MARGIN_MS = 150.0
RELOAD_INTERVAL_MS = 2_000.0
# Writes the stack of each thread to standard error.
STACK_SIGNAL = signal.SIGUSR1


@frozen
class Listener:
    """An additional address to serve, such as the one for metrics, and its handler."""

    address: str
    handler: Handler


def run_entry(
    instance: EntryInstance, listeners: list[Listener], on_reload: Callable[[], None]
) -> int:
    """Serve until SIGTERM or SIGINT, then finish the requests in progress.

    :data:`STACK_SIGNAL` shows what the process does, also when it hangs.

    :param on_reload: called after SIGHUP and every :data:`RELOAD_INTERVAL_MS`, since the
        settings may change without a signal.
    :returns: the exit code.
    """
    # A process that hangs can run no handler of its own; this one needs no interpreter.
    faulthandler.register(STACK_SIGNAL)
    stop_requested = Event()
    loop = gevent.get_hub().loop
    watchers = [
        _watch_signal(loop, signal.SIGTERM, stop_requested.set),
        _watch_signal(loop, signal.SIGINT, stop_requested.set),
        _watch_signal(loop, signal.SIGHUP, on_reload),
    ]
    settings = instance.settings
    client_server = instance.serve(
        settings.member.caller_address, instance.request_handler, CALLER_SHARE
    )
    other_servers = [instance.serve(listener.address, listener.handler) for listener in listeners]
    reloader = loop.timer(RELOAD_INTERVAL_MS / 1000, RELOAD_INTERVAL_MS / 1000)
    reloader.start(on_reload)
    # Objects created at startup live as long as the process. Freezing them excludes them
    # from later collections, each of which would pause all requests for some milliseconds.
    gc.collect()
    gc.freeze()
    instance.start()
    instance.log.record(
        events.ENTRY_STARTED,
        caller_address=settings.member.caller_address,
        incarnation=settings.member.incarnation,
    )
    stop_requested.wait()
    _shut_down(instance, client_server, other_servers)
    for watcher in (reloader, *watchers):
        watcher.stop()
    return 0


def _watch_signal(loop: Any, signal_number: int, function: Callable[[], None]) -> Any:
    watcher = loop.signal(signal_number)
    watcher.start(function)
    return watcher


def _shut_down(
    instance: EntryInstance, client_server: HttpServer, other_servers: list[HttpServer]
) -> None:
    started_ms = instance.clock.now_ms()
    deadline_ms = started_ms + instance.settings.shutdown_ms - EXIT_MARGIN_MS
    instance.log.record(events.ENTRY_STOPPING, running=instance.request_handler.running)
    instance.leave()
    handler = instance.request_handler
    handler.start_draining(deadline_ms - ANSWER_MARGIN_MS)
    client_server.closing = True
    gevent.sleep(min(DEREGISTRATION_WAIT_MS, instance.settings.shutdown_ms / 2) / 1000)
    client_server.stop_accepting()
    # Allows requests on the connections just accepted to be read before idle ones close.
    gevent.sleep(DRAIN_POLL_MS / 1000)
    # A request that is still being received can no longer be finished for certain.
    handler.reject_new()
    while client_server.close_idle() and instance.clock.now_ms() < deadline_ms:
        if instance.clock.now_ms() >= deadline_ms - ANSWER_MARGIN_MS:
            handler.end_running()
        gevent.sleep(DRAIN_POLL_MS / 1000)
    for server in other_servers:
        server.stop_accepting()
    instance.stop()
    instance.log.record(events.ENTRY_STOPPED, running=instance.request_handler.running)
    instance.log.flush()
