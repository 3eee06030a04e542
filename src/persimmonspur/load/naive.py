"""Instance of the naive tier, the baseline: random replicas, local limits, a fixed timeout.

``python -m persimmonspur.load.naive --help`` lists the arguments. An instance serves
the daemon's HTTP interface for callers and queries the same searchers through the
same adapters. It does not hedge, retry or warm up, and instances do not coordinate.
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
from persimmonspur.load.publishing import ConfigurationWatcher
from persimmonspur.model.configuration import Configuration, DesiredState, Endpoint, Service, Shard
from persimmonspur.model.messages import SubRequest
from persimmonspur.model.outcome import EndpointOutcome
from persimmonspur.model.query import Coverage, QueryAnswer, SnapshotId
from persimmonspur.ports import EndpointClient

SUB_REQUEST_TIMEOUT_MS = 1_000.0
SNAPSHOT_POLL_INTERVAL_MS = 500.0
WATCH_TIMEOUT_MS = 10_000.0
ADDRESS_CACHE_MS = 10_000.0


@define
class NaiveInstance:
    """One instance of the naive tier.

    :param addresses: caller addresses of all instances.
    """

    addresses: list[str]
    endpoint_client: EndpointClient
    clock: Clock
    rng: Random
    configuration: Configuration | None = None
    _snapshots: dict[str, SnapshotId] = field(factory=dict)
    _slots: dict[str, BoundedSemaphore] = field(factory=dict)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration, with this instance's share of the endpoints' slots."""
        services = []
        for service in configuration.services:
            slots = compute_local_limit(service.limits.slots, len(self.addresses))
            services.append(evolve(service, limits=evolve(service.limits, slots=slots)))
            for endpoint in service.endpoints:
                if endpoint.name not in self._slots:
                    self._slots[endpoint.name] = BoundedSemaphore(slots)
        self.configuration = evolve(configuration, services=tuple(services))
        self.endpoint_client.configure(self.configuration)

    def poll_snapshots(self) -> None:
        """Use the newest snapshot of a random serving endpoint for each service."""
        if self.configuration is None:
            return
        for service in self.configuration.services:
            serving = self._list_serving_endpoints(service)
            if not serving:
                continue
            report = self.endpoint_client.fetch_report(
                self.rng.choice(serving), SUB_REQUEST_TIMEOUT_MS
            )
            epochs = {shard_map.epoch for shard_map in service.shard_maps}
            held_snapshots = [s for s in report.snapshots if s.epoch in epochs] if report else []
            if held_snapshots:
                self._snapshots[service.name] = max(held_snapshots)

    def count_usable_endpoints(self) -> int:
        """Return the number of endpoints of services with a known snapshot."""
        services = self.configuration.services if self.configuration is not None else ()
        return sum(len(s.endpoints) for s in services if s.name in self._snapshots)

    def execute_query(self, document: QueryDocument) -> QueryAnswer:
        """Send one sub-request per shard to a random replica and merge the results."""
        service = self.configuration.find_service(document.service) if self.configuration else None
        if service is None or service.name not in self._snapshots:
            kind = ErrorKind.NOT_READY if service else ErrorKind.UNKNOWN_SERVICE
            return _build_rejection(document, Failure.of(kind, f"service: {document.service!r}"))
        snapshot = self._snapshots[service.name]
        shard_maps = [found for found in service.shard_maps if found.epoch == snapshot.epoch]
        if not shard_maps:
            return _build_rejection(
                document, Failure.of(ErrorKind.NO_SNAPSHOT, f"snapshot: {snapshot}")
            )
        shards = select_shards(shard_maps[0], document.key)
        deadline_ms = self.clock.now_ms() + document.timeout_ms
        jobs = [
            gevent.spawn(self._send_sub_request, service, shard, snapshot, document, deadline_ms)
            for shard in shards
        ]
        gevent.joinall(jobs)
        return _build_answer(document, snapshot, shards, [job.get() for job in jobs])

    def _send_sub_request(
        self,
        service: Service,
        shard: Shard,
        snapshot: SnapshotId,
        document: QueryDocument,
        deadline_ms: float,
    ) -> EndpointOutcome:
        replicas = [e for e in self._list_serving_endpoints(service) if shard.name in e.shards]
        if not replicas:
            return _build_failed_outcome(ErrorKind.ENDPOINT_UNAVAILABLE)
        endpoint = self.rng.choice(replicas)
        slots = self._slots[endpoint.name]
        wait_ms = min(deadline_ms - self.clock.now_ms(), SUB_REQUEST_TIMEOUT_MS)
        if wait_ms <= 0 or not slots.acquire(timeout=wait_ms / 1000):
            return _build_failed_outcome(ErrorKind.OVERLOADED)
        try:
            timeout_ms = min(deadline_ms - self.clock.now_ms(), SUB_REQUEST_TIMEOUT_MS)
            if timeout_ms <= 0:
                return _build_failed_outcome(ErrorKind.DEADLINE_EXCEEDED)
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
            return self.endpoint_client.search(endpoint, request, timeout_ms)
        finally:
            slots.release()

    def _list_serving_endpoints(self, service: Service) -> list[Endpoint]:
        assert self.configuration is not None
        resolve_state = self.configuration.resolve_desired_state
        return [e for e in service.endpoints if resolve_state(e) is DesiredState.SERVING]


def compute_local_limit(slots: int, instances: int) -> int:
    """Return the maximum concurrent requests from one instance to one endpoint."""
    return max(1, math.ceil(slots / instances))


class NaiveWsgiApplication:
    """WSGI application with the daemon's HTTP interface for callers."""

    def __init__(self, instance: NaiveInstance) -> None:
        self._instance = instance

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        """Handle one HTTP request."""
        body = read_body(environ)
        path = environ["PATH_INFO"]
        if path == "/v1/query":
            return self._answer_query(body, start_response)
        if path == "/v1/resolve":
            document = {
                "addresses": self._instance.addresses,
                "keep_ms": ADDRESS_CACHE_MS,
                "epoch": 1,
            }
            return respond_json(start_response, 200, document)
        usable = self._instance.count_usable_endpoints()
        document = {"ready": usable > 0, "usable_endpoints": usable}
        return respond_json(start_response, 200 if usable else 503, document)

    def _answer_query(self, body: bytes, start_response: StartResponse) -> list[bytes]:
        try:
            document = msgspec.json.decode(body, type=QueryDocument)
        except msgspec.DecodeError as error:
            failure = Failure.of(ErrorKind.INVALID_REQUEST, str(error))
            rejection = {"error": failure.kind, "message": failure.message, "ran": failure.ran}
            return respond_json(start_response, ERROR_RESPONSES[failure.kind].status, rejection)
        status, answer = render_answer(self._instance.execute_query(document))
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
    instance = NaiveInstance(options.addresses.split(","), HttpEndpointClient(clock), clock, rng)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    gevent.spawn(
        _watch_configuration, instance, ConfigurationWatcher(HttpObjectApi(options.object_api))
    )
    gevent.spawn(_poll_snapshots, instance)
    host, _, port = options.caller_address.rpartition(":")
    server = NoDelayServer(
        (host, int(port)), NaiveWsgiApplication(instance), log=None, error_log=None
    )
    server.start()
    stopped.wait()
    return 0


def _watch_configuration(instance: NaiveInstance, watcher: ConfigurationWatcher) -> None:
    while True:
        configuration = watcher.wait_for_update(WATCH_TIMEOUT_MS)
        if configuration is None:
            gevent.sleep(0.1)
            continue
        instance.configure(configuration)


def _poll_snapshots(instance: NaiveInstance) -> None:
    while True:
        instance.poll_snapshots()
        usable = instance.count_usable_endpoints() > 0
        gevent.sleep(SNAPSHOT_POLL_INTERVAL_MS / 1000 if usable else 0.05)


def _build_answer(
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
        failure = Failure.of(ErrorKind.INCOMPLETE, "missing shards", _combine_ran(outcomes))
    records = merge_records(parts, document.limit) if failure is None else []
    return QueryAnswer(
        document.request_id, snapshot, coverage, missing, records, failure, len(shards)
    )


def _combine_ran(outcomes: list[EndpointOutcome]) -> Ran:
    labels = {outcome.ran for outcome in outcomes}
    for ran in (Ran.YES, Ran.UNKNOWN):
        if ran in labels:
            return ran
    return Ran.NO


def _build_rejection(document: QueryDocument, failure: Failure) -> QueryAnswer:
    return QueryAnswer(document.request_id, None, Coverage(0), (), [], failure, 0)


def _build_failed_outcome(kind: ErrorKind) -> EndpointOutcome:
    return EndpointOutcome(kind, str(kind), Ran.NO, None, None, None, 0.0)


if __name__ == "__main__":
    sys.exit(main())
