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
        self.answers, self.queries, self.epoch, self.on_query = [], [], 5, lambda: None
        self.server = NoDelayServer(("127.0.0.1", 0), self.handle, log=None, error_log=None)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def handle(self, environ, start_response):
        body = read_body(environ)
        if environ["PATH_INFO"] == "/v1/resolve":
            addresses = [self.address] * 3
            document = {"addresses": addresses, "keep_ms": 10_000.0, "epoch": self.epoch}
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


def query(entry, client=None, **options):
    client = client or Client([entry.address])
    answer = client.query("s", "counter", 5_000.0, repeatable=False, **options)
    return answer, [(sent["request_id"], sent["epoch"]) for sent in entry.queries]


def test_repeats_bear_the_id_and_epoch_of_the_first_attempt(entry):
    """A resolve by another query between two attempts must not raise the epoch."""
    client = Client([entry.address])
    entry.answers = [("not_ready", "no"), (None, "yes")]

    def resolve_again():
        entry.epoch, client._keep_until_ms = 9, 0.0
        client.resolve()

    entry.on_query = resolve_again
    answer, sent = query(entry, client)
    assert sent == [(answer.request_id, 5)] * 2
    assert (answer.error, answer.epoch) == (None, 5)


def test_fresh_id_only_after_certainly_not_run(entry):
    entry.answers = [("no_snapshot", "no"), ("outcome_unknown", "unknown")]
    answer, sent = query(entry)
    assert len(set(sent)) == 2
    assert answer.ran is Ran.UNKNOWN


def test_given_id_is_kept(entry):
    entry.answers = [("no_snapshot", "no")]
    answer, sent = query(entry, request_id="mine", epoch=3)
    assert (answer.request_id, answer.epoch, answer.ran) == ("mine", 3, Ran.NO)
    assert sent == [("mine", 3)]


def test_rejected_repeat_does_not_hide_a_lost_answer(entry):
    """The first attempt may have run; a later rejection cannot say that it did not."""
    entry.answers = [("unreachable", "unknown"), ("no_snapshot", "no")]
    answer, sent = query(entry)
    assert (answer.error, answer.ran) == (ErrorKind.NO_SNAPSHOT, Ran.UNKNOWN)
    assert len(set(sent)) == 1


def test_refused_connections_did_not_run(entry):
    answer, _ = query(entry, Client([find_free_address()]))
    assert (answer.error, answer.ran) == (ErrorKind.UNREACHABLE, Ran.NO)


def test_a_silent_instance_is_left_and_avoided(entry):
    """A frozen instance must not cost its callers the whole timeout each time."""
    silent = StreamServer(("127.0.0.1", 0), lambda sock, address: gevent.sleep(30))
    silent.start()
    client = Client([entry.address])
    client._addresses = [f"127.0.0.1:{silent.server_port}", entry.address]
    client._keep_until_ms = float("inf")
    client._rng.randrange = lambda bound: 0
    entry.answers = [(None, "yes")] * 2
    first = client.query("s", "counter", 60_000.0)
    assert (first.error, first.attempts) == (None, 2)
    client._keep_until_ms = float("inf")
    second = client.query("s", "counter", 60_000.0)
    assert (second.error, second.attempts) == (None, 1)
    silent.stop()


def test_a_silent_instance_delays_no_query_that_can_use_known_addresses(entry):
    """Every query used to wait for the resolve call that the silent instance never answers."""
    silent = StreamServer(("127.0.0.1", 0), lambda sock, address: gevent.sleep(30))
    silent.start()
    client = Client([entry.address])
    client._addresses = [f"127.0.0.1:{silent.server_port}", entry.address]
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
    silent.stop()
