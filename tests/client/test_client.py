"""Guards the client's repeats of non-repeatable requests."""

import msgspec
import pytest

from persimmonspur.adapters.http import NoDelayServer, read_body, respond_json
from persimmonspur.client.client import Client
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.load.processes import find_free_address

NOT_READY = (503, {"error": "not_ready", "ran": "no"})
NO_SNAPSHOT = (503, {"error": "no_snapshot", "ran": "no"})
DONE = (200, {"records": []})


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
            document = {"addresses": self.addresses, "keep_ms": 10_000.0, "epoch": self.epoch}
            return respond_json(start_response, 200, document)
        self.queries.append(msgspec.json.decode(body))
        self.on_query()
        return respond_json(start_response, *self.answers.pop(0))


@pytest.fixture
def entry():
    made = Entry()
    made.addresses = [made.address] * 3
    yield made
    made.server.stop(timeout=0.1)


def query(client, **options):
    return client.query("s", "counter", 5_000.0, repeatable=False, **options)


def test_repeats_bear_the_id_and_epoch_of_the_first_attempt(entry):
    """A resolve by another query between two attempts must not raise the epoch."""
    client = Client([entry.address])
    entry.answers = [NOT_READY, DONE]

    def resolve_again():
        entry.epoch = 9
        client._keep_until_ms = 0.0
        client.resolve()

    entry.on_query = resolve_again
    answer = query(client)
    assert answer.error is None
    assert [(q["request_id"], q["epoch"]) for q in entry.queries] == [(answer.request_id, 5)] * 2
    assert answer.epoch == 5


def test_fresh_id_only_after_certainly_not_run(entry):
    client = Client([entry.address])
    entry.answers = [NO_SNAPSHOT, (502, {"error": "outcome_unknown", "ran": "unknown"})]
    answer = query(client)
    ids = [document["request_id"] for document in entry.queries]
    assert len(set(ids)) == 2
    assert answer.ran is Ran.UNKNOWN


def test_given_id_is_kept(entry):
    client = Client([entry.address])
    entry.answers = [NO_SNAPSHOT]
    answer = query(client, request_id="mine", epoch=3)
    assert (answer.request_id, answer.epoch, answer.ran) == ("mine", 3, Ran.NO)
    assert entry.queries[0]["epoch"] == 3


def test_rejected_repeat_does_not_hide_a_lost_answer(entry):
    """The first attempt may have run; a later rejection cannot say that it did not."""
    client = Client([entry.address])
    entry.answers = [
        (503, {"error": "unreachable", "ran": "unknown"}),
        NO_SNAPSHOT,
    ]
    answer = query(client)
    assert (answer.error, answer.ran) == (ErrorKind.NO_SNAPSHOT, Ran.UNKNOWN)
    assert len({document["request_id"] for document in entry.queries}) == 1


def test_refused_connections_did_not_run():
    answer = query(Client([find_free_address()]))
    assert (answer.error, answer.ran) == (ErrorKind.UNREACHABLE, Ran.NO)
