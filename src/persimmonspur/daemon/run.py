"""Entry point of the daemon: settings, startup, signals and shutdown."""

import os
import signal
import sys
from typing import TYPE_CHECKING

import gevent
import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from gevent.event import Event
from loguru import logger
from pynng.exceptions import NNGException

from persimmonspur import __version__
from persimmonspur.adapters.endpoints import HttpEndpointClient
from persimmonspur.adapters.http import NoDelayServer
from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.clock import Clock
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers import cell, configuration, endpoints, queries
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Controller
from persimmonspur.daemon.filters import admission, standard
from persimmonspur.daemon.http import ADDRESS_CACHE_MS, WsgiApplication
from persimmonspur.daemon.instance import Instance
from persimmonspur.daemon.lifecycle import Phase
from persimmonspur.daemon.settings import SETTINGS, Settings, load_settings
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.peers.transport import NngTransport

if TYPE_CHECKING:
    from loguru import Message

STALL_PROBE_INTERVAL_MS = 50.0
STALL_REPORT_THRESHOLD_MS = 100.0
# Added to the time for which callers cache addresses, before queries are rejected.
LEAVE_MARGIN_MS = 1_000.0
CONNECTION_DRAIN_TIMEOUT_MS = 1_000.0
SHUTDOWN_POLL_INTERVAL_MS = 10.0
SOCKET_LINGER_MS = 100.0

# Importing these modules registers their controllers and filters.
_REGISTERED_MODULES = (cell, configuration, endpoints, queries, admission, standard)


class ServeCommand(Command):
    """The command that runs one instance."""

    name = "serve"
    description = "Runs one instance until SIGTERM."
    options = [  # noqa: RUF012
        option(
            setting.name,
            None,
            f"{setting.help}; allowed: {setting.allowed} ({setting.variable})",
            flag=False,
        )
        for setting in SETTINGS
    ]

    def handle(self) -> int:
        """Load the settings and run the instance; return the exit code."""
        flags = {setting.name: self.option(setting.name) for setting in SETTINGS}
        loaded = load_settings(flags, os.environ)
        if loaded.is_error():
            for failure in loaded.error:
                self.line_error(failure.message)
            return ERROR_RESPONSES[ErrorKind.INVALID_SETTINGS].exit_code
        return run(loaded.ok)


def main() -> int:
    """Run the daemon from the command line."""
    application = Application("persimmonspurd", __version__)
    command = ServeCommand()
    application.add(command)
    application._default_command = "serve"
    application._single_command = True
    return int(application.run())


def run(settings: Settings) -> int:
    """Run one instance from startup to shutdown.

    :returns: the exit code.
    """
    configure_logging(settings)
    instance = build_instance(settings)
    stop_requested, fast_stop_requested = install_signal_handlers()
    try:
        wsgi_app = WsgiApplication(instance)
        server = serve(instance, wsgi_app)
    except (OSError, NNGException) as error:
        instance.timeline.record(events.LISTEN_FAILED, reason=str(error))
        return ERROR_RESPONSES[ErrorKind.INVALID_SETTINGS].exit_code
    stop_requested.wait()
    leave(instance, fast_stop_requested)
    stop(instance, server, wsgi_app)
    return 0


def configure_logging(settings: Settings) -> None:
    """Log to standard error as one JSON document per line."""
    logger.remove()
    logger.add(_write_log_line, level=settings.log_level, format="{message}")


def build_instance(settings: Settings) -> Instance:
    """Build an instance without starting it."""
    clock = Clock()
    object_api = HttpObjectApi(settings.object_api, client=settings.instance)
    endpoint_client = HttpEndpointClient(clock)
    incarnation = int(clock.wall_ms())
    return Instance(settings, clock, incarnation, object_api, object_api, endpoint_client)


def serve(instance: Instance, wsgi_app: WsgiApplication) -> NoDelayServer:
    """Bind the addresses and start all controllers.

    :raises OSError: if an address is in use.
    """
    settings = instance.settings
    transport = NngTransport(f"tcp://{settings.peer_address}", instance.receive)
    instance.transport = transport
    controllers: dict[str, Controller] = {}
    for name in CONTROLLERS:
        controllers[name] = CONTROLLERS.get(name)(instance)
        instance.register_handlers(controllers[name])
    instance.set_controllers(controllers)
    host, _, port = settings.caller_address.rpartition(":")
    server = NoDelayServer((host, int(port)), wsgi_app, log=None, error_log=None)
    server.start()
    transport.start()
    for controller in controllers.values():
        controller.start()
    gevent.spawn(_monitor_hub_stalls, instance)
    peer_bytes = instance.metrics.peer_bytes
    peer_bytes.labels("sent").set_function(lambda: transport.sent_bytes)
    peer_bytes.labels("received").set_function(lambda: transport.received_bytes)
    instance.phase = Phase.SERVING
    instance.timeline.record(
        events.STARTED, instance=settings.instance, address=settings.caller_address
    )
    return server


def install_signal_handlers() -> tuple[Event, Event]:
    """Handle SIGTERM and SIGINT.

    :returns: an event set by the first signal, and one set by the second.
    """
    stop_requested = Event()
    fast_stop_requested = Event()

    def handle_signal() -> None:
        if stop_requested.is_set():
            fast_stop_requested.set()
        stop_requested.set()

    gevent.signal_handler(signal.SIGTERM, handle_signal)
    gevent.signal_handler(signal.SIGINT, handle_signal)
    return stop_requested, fast_stop_requested


def leave(instance: Instance, fast_stop_requested: Event) -> None:
    """Announce that the instance leaves and serve until cached addresses have expired.

    :param fast_stop_requested: event that ends the wait early.
    """
    instance.phase = Phase.LEAVING
    instance.timeline.record(events.STOPPING, instance=instance.settings.instance)
    instance.cell_controller.execute(instance.cell.begin_leaving(instance.clock.now_ms()))
    fast_stop_requested.wait((ADDRESS_CACHE_MS + LEAVE_MARGIN_MS) / 1000)


def stop(instance: Instance, server: NoDelayServer, wsgi_app: WsgiApplication) -> None:
    """Reject new queries, finish those that run, then stop the server and the controllers."""
    instance.phase = Phase.STOPPING
    while wsgi_app.active_requests or _is_busy(instance):
        gevent.sleep(SHUTDOWN_POLL_INTERVAL_MS / 1000)
    server.stop()
    _drain_connections(instance, server, wsgi_app)
    for controller in instance.controllers.values():
        controller.stop()
    # nng drops unsent messages when a socket closes; the last ones release budgets
    # and contain replies to sub-requests.
    gevent.sleep(SOCKET_LINGER_MS / 1000)
    instance.transport.close()
    instance.timeline.record(events.STOPPED, instance=instance.settings.instance)


def _is_busy(instance: Instance) -> bool:
    return bool(instance.query_controller.running) or instance.endpoint_controller.busy


def _drain_connections(
    instance: Instance, server: NoDelayServer, wsgi_app: WsgiApplication
) -> None:
    """Wait for open connections, so that callers get a rejection instead of a reset."""
    deadline_ms = instance.clock.now_ms() + CONNECTION_DRAIN_TIMEOUT_MS
    while wsgi_app.active_requests or server.open_connections:
        if instance.clock.now_ms() > deadline_ms and not wsgi_app.active_requests:
            return
        gevent.sleep(SHUTDOWN_POLL_INTERVAL_MS / 1000)


def _write_log_line(message: "Message") -> None:
    record = message.record
    document = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    sys.stderr.buffer.write(msgspec.json.encode(document) + b"\n")
    sys.stderr.buffer.flush()


def _monitor_hub_stalls(instance: Instance) -> None:
    longest_stall_ms = 0.0
    window_started_ms = instance.clock.now_ms()
    while True:
        before_ms = instance.clock.now_ms()
        gevent.sleep(STALL_PROBE_INTERVAL_MS / 1000)
        now_ms = instance.clock.now_ms()
        stall_ms = now_ms - before_ms - STALL_PROBE_INTERVAL_MS
        longest_stall_ms = max(longest_stall_ms, stall_ms)
        instance.metrics.hub_stall_ms.set(longest_stall_ms)
        if stall_ms > STALL_REPORT_THRESHOLD_MS:
            instance.timeline.record(events.HUB_STALLED, stall_ms=round(stall_ms))
        if now_ms - window_started_ms > 10_000:
            longest_stall_ms, window_started_ms = 0.0, now_ms


if __name__ == "__main__":
    sys.exit(main())
