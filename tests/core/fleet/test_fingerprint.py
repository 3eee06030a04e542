from attrs import evolve

from persimmonspur.core.fleet.fingerprint import compute_fingerprint
from persimmonspur.core.fleet.messages import ClientRequest

REQUEST = ClientRequest("id-1", "GET", "host", b"/a/b", [], b"", 1_000.0, 0.0)


def test_repetition_of_a_request_has_the_same_fingerprint():
    repetition = evolve(REQUEST, request_id="id-2", timeout_ms=500.0, arrived_ms=9.0, host="HOST")
    assert compute_fingerprint(repetition) == compute_fingerprint(REQUEST)


def test_other_requests_have_other_fingerprints():
    # Guards against treating a request like another one that shares only a part with it.
    others = [
        evolve(REQUEST, method="PUT"),
        evolve(REQUEST, host="other"),
        evolve(REQUEST, target=b"/a"),
        evolve(REQUEST, body=b"x"),
        evolve(REQUEST, host="host/a", target=b"/b"),
    ]
    fingerprints = {compute_fingerprint(request) for request in [REQUEST, *others]}
    assert len(fingerprints) == len(others) + 1
