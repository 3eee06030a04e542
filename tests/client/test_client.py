"""Tests when the client retries, fails over and refreshes its addresses."""

import gevent
import msgspec
import pytest
from gevent.server import StreamServer

from persimmonspur.adapters.http import NoDelayServer, read_body, respond_json
from persimmonspur.client.client import Client
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.load.processes import find_free_address


class ScriptedInstance:
    """An instance that sends scripted answers and records the queries it receives."""

    def __init__(self):
        self.answers, self.queries, self.on_query = [], [], lambda: None
        self.server = NoDelayServer(("127.0.0.1", 0), self.handle, log=None, error_log=None)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def handle(self, environ, start_response):
        body = read_body(environ)
        if environ["PATH_INFO"] == "/v1/resolve":
            addresses = [self.address] * 3
            document = {"addresses": addresses, "keep_ms": 10_000.0, "epoch": 5}
            return respond_json(start_response, 200, document)
        self.queries.append(msgspec.json.decode(body))
        self.on_query()
        error, ran = self.answers.pop(0)
        document = {"error": error, "ran": ran}
        return respond_json(start_response, 503 if error else 200, document)


@pytest.fixture
def entry():
    instance = ScriptedInstance()
    yield instance
    instance.server.stop(timeout=0.1)


@pytest.fixture
def unresponsive():
    """Address of an instance that accepts connections and never responds."""
    server = StreamServer(("127.0.0.1", 0), lambda sock, address: gevent.sleep(30))
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop()


def query(entry, client=None, **options):
    client = client or Client([entry.address])
    result = client.query("s", "counter", 5_000.0, repeatable=False, **options)
    return result, [sent["request_id"] for sent in entry.queries]


@pytest.mark.parametrize("error", ["not_ready", "leaving", "no_snapshot", "incomplete"])
def test_request_that_did_not_run_is_sent_again(entry, error):
    entry.answers = [(error, "no"), (None, "yes")]
    result, sent_ids = query(entry, request_id="mine")
    assert sent_ids == ["mine"] * 2
    assert (result.error, result.ran) == (None, Ran.YES)


def test_request_of_unknown_outcome_is_not_sent_again(entry):
    # Instances do not remember the ids of earlier attempts, so the request could run twice.
    entry.answers = [("outcome_unknown", "unknown")]
    result, sent_ids = query(entry)
    assert len(sent_ids) == 1
    assert result.ran is Ran.UNKNOWN


def test_request_whose_answer_was_lost_is_not_sent_again(entry):
    # A request whose connection broke may have run.
    entry.answers = [("unreachable", "unknown")]
    result, sent_ids = query(entry)
    assert (result.error, result.ran) == (ErrorKind.UNREACHABLE, Ran.UNKNOWN)
    assert len(sent_ids) == 1


def test_unresponsive_instance_is_kept_for_a_request_that_may_have_run(entry, unresponsive):
    # Abandoning the request would leave its outcome unknown although a response is coming.
    client = Client([entry.address])
    client._addresses = [unresponsive, entry.address]
    client._addresses_valid_until_ms = float("inf")
    client._rng.randrange = lambda bound: 0
    result = client.query("s", "counter", 800.0, repeatable=False)
    assert (result.ran, result.attempts) == (Ran.UNKNOWN, 1)
    assert entry.queries == []


def test_refused_connections_did_not_run(entry):
    result, _ = query(entry, Client([find_free_address()]))
    assert (result.error, result.ran) == (ErrorKind.UNREACHABLE, Ran.NO)


def test_an_unresponsive_instance_is_failed_over_and_avoided(entry, unresponsive):
    """A frozen instance must not delay each query by its whole timeout."""
    client = Client([entry.address])
    client._addresses = [unresponsive, entry.address]
    client._addresses_valid_until_ms = float("inf")
    client._rng.randrange = lambda bound: 0
    entry.answers = [(None, "yes")] * 2
    first = client.query("s", "counter", 60_000.0)
    assert (first.error, first.attempts) == (None, 2)
    client._addresses_valid_until_ms = float("inf")
    second = client.query("s", "counter", 60_000.0)
    assert (second.error, second.attempts) == (None, 1)


def test_an_unresponsive_instance_does_not_delay_queries_that_can_use_known_addresses(
    entry, unresponsive
):
    """Guards against queries that wait for the resolve call of another query."""
    client = Client([entry.address])
    client._addresses = [unresponsive, entry.address]
    client._seeds = []
    client._rng.randrange = lambda bound: 0
    resolving = gevent.spawn(client.resolve)
    gevent.sleep(0)
    client._rng.randrange = lambda bound: 1
    answered_before = []
    entry.on_query = lambda: answered_before.append(resolving.ready())
    entry.answers = [(None, "yes")]
    assert client.query("s", "counter", 60_000.0).error is None
    assert answered_before == [False]
    resolving.kill()
