"""Runs stand-ins in a separate process.

``python -m persimmonspur.standins.run objectapi --address ip:port`` and
``python -m persimmonspur.standins.run searchers --specs FILE``. Each prints
its addresses as one line of JSON once it is serving, and exits on SIGTERM or SIGINT.
"""

import argparse
import signal
import sys
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from persimmonspur.adapters.http import NoDelayServer, StartResponse, read_body, respond_json
from persimmonspur.clock import Clock
from persimmonspur.standins.objectapi import ObjectApiStandIn
from persimmonspur.standins.searcher import Searcher, SearcherSpec


def main() -> int:
    """Run the stand-in given on the command line until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="persimmonspur.standins.run")
    parser.add_argument("kind", choices=["objectapi", "searchers"])
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--specs", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    if options.kind == "objectapi":
        server = ObjectApiStandIn().serve(options.address)
        host = options.address.rpartition(":")[0]
        _print_document({"address": f"{host}:{server.server_port}"})
    else:
        specs = msgspec.json.decode(options.specs.read_bytes(), type=list[SearcherSpec])
        _print_document(_serve_searchers(specs, options.address, options.seed))
    stopped.wait()
    return 0


def _serve_searchers(specs: list[SearcherSpec], address: str, seed: int) -> dict[str, Any]:
    clock = Clock()
    searchers = {}
    addresses = {}
    for index, spec in enumerate(specs):
        searcher = searchers[spec.name] = Searcher(spec, clock, seed * 10_000 + index)
        addresses[spec.name] = searcher.serve()

    def handle(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        body = read_body(environ)
        if environ["PATH_INFO"] == "/control":
            for name, change in msgspec.json.decode(body).items():
                searchers[name].control(change)
        counts = {name: msgspec.to_builtins(s.counts) for name, s in searchers.items()}
        return respond_json(start_response, 200, counts)

    host, _, port = address.rpartition(":")
    control = NoDelayServer((host, int(port)), handle, log=None, error_log=None)
    control.start()
    return {"control": f"{host}:{control.server_port}", "endpoints": addresses}


def _print_document(document: dict[str, Any]) -> None:
    sys.stdout.write(msgspec.json.encode(document).decode() + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
