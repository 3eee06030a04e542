"""Guards the client's repeats of non-repeatable requests."""

import gevent
import msgspec
import pytest
from gevent.server import StreamServer

from persimmonspur.adapters.http import NoDelayServer, read_body, respond_json
from persimmonspur.client.client import Client
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.load.processes import find_free_address


class Entry:
    """An instance that answers as scripted and keeps what it got."""

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
    made = Entry()
    yield made
    made.server.stop(timeout=0.1)


@pytest.fixture
def silent():
    """Address of an instance that accepts connections and never answers."""
    server = StreamServer(("127.0.0.1", 0), lambda sock, address: gevent.sleep(30))
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop()


def query(entry, client=None, **options):
    client = client or Client([entry.address])
    answer = client.query("s", "counter", 5_000.0, repeatable=False, **options)
    return answer, [sent["request_id"] for sent in entry.queries]


@pytest.mark.parametrize("error", ["not_ready", "leaving", "no_snapshot", "incomplete"])
def test_request_that_did_not_run_is_sent_again(entry, error):
    entry.answers = [(error, "no"), (None, "yes")]
    answer, sent = query(entry, request_id="mine")
    assert sent == ["mine"] * 2
    assert (answer.error, answer.ran) == (None, Ran.YES)


def test_request_of_unknown_outcome_is_not_sent_again(entry):
    # Guards against a second run: no instance remembers the ids of earlier attempts.
    entry.answers = [("outcome_unknown", "unknown")]
    answer, sent = query(entry)
    assert len(sent) == 1
    assert answer.ran is Ran.UNKNOWN


def test_request_whose_answer_was_lost_is_not_sent_again(entry):
    # Guards against a second run after a connection that broke.
    entry.answers = [("unreachable", "unknown")]
    answer, sent = query(entry)
    assert (answer.error, answer.ran) == (ErrorKind.UNREACHABLE, Ran.UNKNOWN)
    assert len(sent) == 1


def test_silent_instance_is_not_left_during_a_request_that_may_have_run(entry, silent):
    # Guards against an outcome that stays unknown although its answer was on the way.
    client = Client([entry.address])
    client._addresses = [silent, entry.address]
    client._addresses_valid_until_ms = float("inf")
    client._rng.randrange = lambda bound: 0
    answer = client.query("s", "counter", 800.0, repeatable=False)
    assert (answer.ran, answer.attempts) == (Ran.UNKNOWN, 1)
    assert entry.queries == []


def test_refused_connections_did_not_run(entry):
    answer, _ = query(entry, Client([find_free_address()]))
    assert (answer.error, answer.ran) == (ErrorKind.UNREACHABLE, Ran.NO)


def test_a_silent_instance_is_left_and_avoided(entry, silent):
    """A frozen instance must not cost its callers the whole timeout each time."""
    client = Client([entry.address])
    client._addresses = [silent, entry.address]
    client._addresses_valid_until_ms = float("inf")
    client._rng.randrange = lambda bound: 0
    entry.answers = [(None, "yes")] * 2
    first = client.query("s", "counter", 60_000.0)
    assert (first.error, first.attempts) == (None, 2)
    client._addresses_valid_until_ms = float("inf")
    second = client.query("s", "counter", 60_000.0)
    assert (second.error, second.attempts) == (None, 1)


def test_a_silent_instance_delays_no_query_that_can_use_known_addresses(entry, silent):
    """Every query used to wait for the resolve call that the silent instance never answers."""
    client = Client([entry.address])
    client._addresses = [silent, entry.address]
    client._seeds = []
    client._rng.randrange = lambda bound: 0
    asking = gevent.spawn(client.resolve)
    gevent.sleep(0)
    client._rng.randrange = lambda bound: 1
    answered_before = []
    entry.on_query = lambda: answered_before.append(asking.ready())
    entry.answers = [(None, "yes")]
    assert client.query("s", "counter", 60_000.0).error is None
    assert answered_before == [False]
    asking.kill()
