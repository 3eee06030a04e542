"""Tests that the naive tier behaves as documented, so that comparisons with it are valid."""

from random import Random

import gevent
import pytest

from persimmonspur.clock import Clock
from persimmonspur.daemon.http import QueryDocument
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.load.naive import NaiveInstance, compute_local_limit
from persimmonspur.load.publishing import set_failure_domain_state
from persimmonspur.model.configuration import DesiredState
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

SNAPSHOT = SnapshotId(1, 1)


class FakeEndpointClient:
    def __init__(self):
        self.searched = []
        self.running = {}
        self.most_running = 0
        self.failing = set()

    def configure(self, configuration):
        self.configuration = configuration

    def fetch_report(self, endpoint, timeout_ms):
        return EndpointReport("i", "warm", 0.0, (SNAPSHOT, SnapshotId(9, 9)))

    def search(self, endpoint, request, timeout_ms):
        self.searched.append(endpoint)
        self.running[endpoint.name] = self.running.get(endpoint.name, 0) + 1
        self.most_running = max(self.most_running, self.running[endpoint.name])
        gevent.sleep(0.001)
        self.running[endpoint.name] -= 1
        if endpoint.name in self.failing:
            return EndpointOutcome(
                ErrorKind.UNREACHABLE, "", Ran.UNKNOWN, None, None, None, 1.0, True
            )
        return EndpointOutcome(None, "", Ran.YES, [{"id": request.shard}], SNAPSHOT, None, 1.0)


@pytest.fixture
def instance():
    naive_instance = NaiveInstance(["a", "b", "c"], FakeEndpointClient(), Clock(), Random(1))
    naive_instance.configure(build_configuration(DEPLOYMENTS["ulaanbaatar"]))
    for _ in range(2):
        naive_instance.poll_snapshots()
    return naive_instance


def build_query(**options):
    return QueryDocument("stock-ledger", "counter", 1_000.0, "r", **options)


@pytest.mark.parametrize(("slots", "instances", "limit"), [(4, 3, 2), (4, 15, 1), (2, 2, 1)])
def test_local_limit_is_rounded_up_and_at_least_one(slots, instances, limit):
    assert compute_local_limit(slots, instances) == limit


def test_every_shard_gets_one_sub_request(instance):
    answer = instance.execute_query(build_query())
    assert answer.failure is None
    assert answer.sub_requests == len(instance.endpoint_client.searched) == 2
    assert answer.snapshot == SNAPSHOT


def test_an_instance_does_not_exceed_its_local_limit(instance):
    jobs = [gevent.spawn(instance.execute_query, build_query()) for _ in range(20)]
    gevent.joinall(jobs)
    assert instance.endpoint_client.most_running == 2


def test_a_failure_is_neither_hidden_nor_retried(instance):
    instance.endpoint_client.failing = {f"stock-ledger-{index}" for index in range(5)}
    answer = instance.execute_query(build_query())
    assert answer.failure.kind is ErrorKind.INCOMPLETE
    assert answer.failure.ran is Ran.UNKNOWN
    assert len(instance.endpoint_client.searched) == 2
    partial = instance.execute_query(build_query(allow_partial=True))
    assert partial.failure is None
    assert partial.coverage.covered == 0
    assert len(partial.missing_shards) == 2


def test_a_failure_domain_that_is_out_gets_no_requests(instance):
    configuration = build_configuration(DEPLOYMENTS["ulaanbaatar"])
    instance.configure(set_failure_domain_state(configuration, "sukhbaatar", DesiredState.OUT))
    for _ in range(10):
        instance.execute_query(build_query())
    domains = {endpoint.failure_domain for endpoint in instance.endpoint_client.searched}
    assert "sukhbaatar" not in domains
