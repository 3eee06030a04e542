"""A naive tier to compare with: random replicas, local limits and a fixed timeout.

``python -m persimmonspur.load.naive --help`` lists the arguments. It has the
callers' HTTP surface of the daemon and calls the same searchers through the
same adapters. It neither hedges nor retries nor warms up, and its instances
do not coordinate.
"""

import argparse
import math
import signal
import sys
from random import Random
from typing import Any

import gevent
import msgspec
from attrs import define, evolve, field
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from persimmonspur.adapters.endpoints import HttpEndpointClient
from persimmonspur.adapters.http import NoDelayServer, StartResponse, read_body, respond_json
from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.clock import Clock
from persimmonspur.core.requests.coverage import list_missing, measure_coverage
from persimmonspur.core.requests.merge import merge_records
from persimmonspur.core.requests.snapshots import select_shards
from persimmonspur.daemon.http import QueryDocument, render_answer
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind, Failure, Ran
from persimmonspur.load.publishing import Follower
from persimmonspur.model.configuration import Configuration, DesiredState, Endpoint, Service, Shard
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome
from persimmonspur.model.query import Coverage, QueryAnswer, SnapshotId
from persimmonspur.ports import EndpointClient

SUB_REQUEST_TIMEOUT_MS = 1_000.0
SNAPSHOT_POLL_MS = 500.0
WATCH_MS = 10_000.0
KEEP_MS = 10_000.0


@define
class NaiveTier:
    """One instance of the naive tier.

    :param addresses: caller addresses of all instances.
    """

    addresses: list[str]
    calls: EndpointClient
    clock: Clock
    rng: Random
    configuration: Configuration | None = None
    _snapshots: dict[str, SnapshotId] = field(factory=dict)
    _slots: dict[str, BoundedSemaphore] = field(factory=dict)

    def configure(self, configuration: Configuration) -> None:
        """Take a configuration with limits of this instance's own."""
        services = []
        for service in configuration.services:
            slots = find_local_limit(service.limits.slots, len(self.addresses))
            services.append(evolve(service, limits=evolve(service.limits, slots=slots)))
            for endpoint in service.endpoints:
                if endpoint.name not in self._slots:
                    self._slots[endpoint.name] = BoundedSemaphore(slots)
        self.configuration = evolve(configuration, services=tuple(services))
        self.calls.configure(self.configuration)

    def poll_snapshots(self) -> None:
        """Take the newest snapshot of one random endpoint of each service."""
        if self.configuration is None:
            return
        for service in self.configuration.services:
            serving = self._list_serving(service)
            if not serving:
                continue
            report = self.calls.fetch_report(self.rng.choice(serving), SUB_REQUEST_TIMEOUT_MS)
            epochs = {shard_map.epoch for shard_map in service.shard_maps}
            held = [s for s in report.snapshots if s.epoch in epochs] if report else []
            if held:
                self._snapshots[service.name] = max(held)

    def count_known(self) -> int:
        """Return the endpoints of services whose snapshot is known."""
        services = self.configuration.services if self.configuration is not None else ()
        return sum(len(s.endpoints) for s in services if s.name in self._snapshots)

    def answer(self, document: QueryDocument) -> QueryAnswer:
        """Send one sub-request per shard to a random replica and merge what comes."""
        service = self.configuration.find_service(document.service) if self.configuration else None
        if service is None or service.name not in self._snapshots:
            kind = ErrorKind.NOT_READY if service else ErrorKind.UNKNOWN_SERVICE
            return _refuse(document, Failure.of(kind, f"service: {document.service!r}"))
        snapshot = self._snapshots[service.name]
        maps = [found for found in service.shard_maps if found.epoch == snapshot.epoch]
        if not maps:
            return _refuse(document, Failure.of(ErrorKind.NO_SNAPSHOT, f"snapshot: {snapshot}"))
        shards = select_shards(maps[0], document.key)
        deadline_ms = self.clock.now_ms() + document.timeout_ms
        jobs = [
            gevent.spawn(self._search, service, shard, snapshot, document, deadline_ms)
            for shard in shards
        ]
        gevent.joinall(jobs)
        return _conclude(document, snapshot, shards, [job.get() for job in jobs])

    def _search(
        self,
        service: Service,
        shard: Shard,
        snapshot: SnapshotId,
        document: QueryDocument,
        deadline_ms: float,
    ) -> EndpointOutcome:
        replicas = [e for e in self._list_serving(service) if shard.name in e.shards]
        if not replicas:
            return _build_error(ErrorKind.ENDPOINT_UNAVAILABLE)
        endpoint = self.rng.choice(replicas)
        slots = self._slots[endpoint.name]
        wait_ms = min(deadline_ms - self.clock.now_ms(), SUB_REQUEST_TIMEOUT_MS)
        if wait_ms <= 0 or not slots.acquire(timeout=wait_ms / 1000):
            return _build_error(ErrorKind.OVERLOADED)
        try:
            timeout_ms = min(deadline_ms - self.clock.now_ms(), SUB_REQUEST_TIMEOUT_MS)
            if timeout_ms <= 0:
                return _build_error(ErrorKind.DEADLINE_EXCEEDED)
            request = SubRequest(
                f"{document.request_id}/{shard.name}/1",
                document.request_id,
                service.name,
                shard.name,
                endpoint.name,
                snapshot,
                timeout_ms,
                0,
                document.repeatable,
                False,
                document.body,
            )
            return self.calls.search(endpoint, request, timeout_ms)
        finally:
            slots.release()

    def _list_serving(self, service: Service) -> list[Endpoint]:
        assert self.configuration is not None
        find_desired = self.configuration.resolve_desired_state
        return [e for e in service.endpoints if find_desired(e) is DesiredState.SERVING]


def find_local_limit(slots: int, instances: int) -> int:
    """Return the concurrent requests that one instance sends to one endpoint."""
    return max(1, math.ceil(slots / instances))


class NaiveSurface:
    """WSGI application with the callers' part of the daemon's surface."""

    def __init__(self, tier: NaiveTier) -> None:
        self._tier = tier

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Answer one HTTP request."""
        body = read_body(environ)
        path = environ["PATH_INFO"]
        if path == "/v1/query":
            return self._answer_query(body, start_response)
        if path == "/v1/resolve":
            document = {"addresses": self._tier.addresses, "keep_ms": KEEP_MS, "epoch": 1}
            return respond_json(start_response, 200, document)
        known = self._tier.count_known()
        document = {"ready": known > 0, "usable_endpoints": known}
        return respond_json(start_response, 200 if known else 503, document)

    def _answer_query(self, body: bytes, start_response: StartResponse) -> list[bytes]:
        try:
            document = msgspec.json.decode(body, type=QueryDocument)
        except msgspec.DecodeError as error:
            failure = Failure.of(ErrorKind.INVALID_REQUEST, str(error))
            refusal = {"error": failure.kind, "message": failure.message, "ran": failure.ran}
            return respond_json(start_response, ERROR_RESPONSES[failure.kind].status, refusal)
        status, answer = render_answer(self._tier.answer(document))
        return respond_json(start_response, status, answer)


def main() -> int:
    """Run one naive instance until SIGTERM."""
    parser = argparse.ArgumentParser(prog="persimmonspur.load.naive")
    parser.add_argument("--caller-address", required=True)
    parser.add_argument("--object-api", required=True)
    parser.add_argument("--addresses", required=True, help="all instances, separated by commas")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    clock = Clock()
    rng = Random(options.seed)
    tier = NaiveTier(options.addresses.split(","), HttpEndpointClient(clock), clock, rng)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    gevent.spawn(_watch_configuration, tier, Follower(HttpObjectApi(options.object_api)))
    gevent.spawn(_poll_snapshots, tier)
    host, _, port = options.caller_address.rpartition(":")
    server = NoDelayServer((host, int(port)), NaiveSurface(tier), log=None, error_log=None)
    server.start()
    stopped.wait()
    return 0


def _watch_configuration(tier: NaiveTier, follower: Follower) -> None:
    while True:
        configuration = follower.fetch(WATCH_MS)
        if configuration is None:
            gevent.sleep(0.1)
            continue
        tier.configure(configuration)


def _poll_snapshots(tier: NaiveTier) -> None:
    while True:
        tier.poll_snapshots()
        known = tier.count_known() > 0
        gevent.sleep(SNAPSHOT_POLL_MS / 1000 if known else 0.05)


def _conclude(
    document: QueryDocument,
    snapshot: SnapshotId,
    shards: tuple[Shard, ...],
    outcomes: list[EndpointOutcome],
) -> QueryAnswer:
    answered = set()
    parts = []
    for shard, outcome in zip(shards, outcomes, strict=True):
        if outcome.error is not None or outcome.snapshot != snapshot:
            continue
        answered.add(shard.name)
        parts.append(outcome.records or [])
    coverage = measure_coverage(shards, answered)
    missing = list_missing(shards, answered)
    failure = None
    if missing and not document.allow_partial:
        failure = Failure.of(ErrorKind.INCOMPLETE, "missing shards", _find_ran(outcomes))
    records = merge_records(parts, document.limit) if failure is None else []
    return QueryAnswer(
        document.request_id, snapshot, coverage, missing, records, failure, len(shards)
    )


def _find_ran(outcomes: list[EndpointOutcome]) -> Ran:
    labels = {outcome.ran for outcome in outcomes}
    for ran in (Ran.YES, Ran.UNKNOWN):
        if ran in labels:
            return ran
    return Ran.NO


def _refuse(document: QueryDocument, failure: Failure) -> QueryAnswer:
    return QueryAnswer(document.request_id, None, Coverage(0), (), [], failure, 0)


def _build_error(kind: ErrorKind) -> EndpointOutcome:
    return EndpointOutcome(kind, str(kind), Ran.NO, None, None, None, 0.0)


if __name__ == "__main__":
    sys.exit(main())
