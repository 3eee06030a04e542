"""Endpoints that leave or want no requests, with instances and searchers on loopback sockets."""

import gevent
import pytest
from deployments import Deployment, register_with_each_other
from platformsim import make_entry, make_route

from persimmonspur.entry import leaving
from persimmonspur.entry.gauges import count_endpoints


@pytest.fixture
def pair(tmp_path):
    """Two instances with one store."""
    first = Deployment(tmp_path, name="front-1")
    second = Deployment(tmp_path, store=first.store, name="front-2")
    yield first, second
    second.close()
    first.close()


def start_both(first, second, **fields):
    for index in range(2):
        first.add_searcher(f"i-{index}", "s1", **fields)
    first.configure(make_route())
    first.start()
    second.start()
    register_with_each_other(first, second)


def let_leave(searcher, status=200, extra=b""):
    searcher.respond = lambda headers: searcher.build_response(
        headers, status=status, extra=b"Server-Leaving: 1\r\n" + extra
    )


def find_preferred(deployment):
    """Return the searcher to which an instance sends the next request."""
    deployment.send_request("/one/x", request_id="preferred")
    return next(searcher for searcher in deployment.searchers.values() if searcher.executed)


def send_until_received(deployment, searcher):
    """Send requests until a searcher gets one."""
    before = len(searcher.received)
    for index in range(100):
        deployment.send_request("/one/x", request_id=f"until-{index}")
        if len(searcher.received) > before:
            return
    raise AssertionError("the searcher got no request")


def keep_only(deployment, searcher):
    for identity in deployment.searchers:
        if identity != searcher.identity:
            deployment.store.delete("servers", identity)
    gevent.sleep(0.6)


def count_received_after(deployments, searcher, requests=10):
    before = len(searcher.received)
    for index in range(requests):
        for deployment in deployments:
            status, _, _ = deployment.send_request("/one/x", request_id=f"after-{index}")
            assert status == 200
    return len(searcher.received) - before


@pytest.mark.parametrize(
    ("status", "extra"), [(200, b""), (503, b"X-Not-Executed: 1\r\n"), (500, b"")]
)
def test_no_instance_sends_to_a_searcher_that_says_it_is_leaving(pair, status, extra):
    # Guards against other instances that use a leaving endpoint until the store says so.
    first, second = pair
    start_both(first, second)
    searcher = find_preferred(first)
    let_leave(searcher, status, extra)
    first.store.down = True
    send_until_received(first, searcher)
    gevent.sleep(0.05)
    assert count_received_after([first, second], searcher) == 0
    events = [line for line in second.read_log() if line["name"] == "endpoint_leaving"]
    assert [(line["instance"], line["endpoint"], line["source"]) for line in events] == [
        ("front-1", searcher.identity, "response"),
        ("front-2", searcher.identity, "front-1"),
    ]


def test_mark_survives_a_new_entry_and_ends_with_a_new_process(pair):
    # Guards against an entry that is written again, or lapses and returns, ending the mark.
    first, second = pair
    start_both(first, second)
    searcher = find_preferred(first)
    let_leave(searcher)
    send_until_received(first, searcher)
    identity = searcher.identity
    first.store.put("servers", identity, make_entry(searcher, "s1", seq=2))
    gevent.sleep(0.6)
    assert count_received_after([first, second], searcher) == 0
    first.store.delete("servers", identity)
    gevent.sleep(0.6)
    first.store.put("servers", identity, make_entry(searcher, "s1", seq=3))
    gevent.sleep(0.6)
    assert count_received_after([first, second], searcher) == 0
    searcher.respond = None
    born_ms = make_entry(searcher, "s1")["born"] + 1
    first.store.put("servers", identity, make_entry(searcher, "s1", born=born_ms))
    keep_only(first, searcher)
    assert count_received_after([first, second], searcher) == 20


def test_lost_announcement_is_repeated(pair, monkeypatch):
    first, second = pair
    start_both(first, second)
    searcher = find_preferred(first)
    let_leave(searcher)
    transport = first.instance.heartbeats
    send_message = transport.send_message
    transport.send_message = lambda message, peers: None
    send_until_received(first, searcher)
    transport.send_message = send_message
    gevent.sleep(leaving.REPEAT_DELAY_MS / 1000 + 0.1)
    assert count_received_after([second], searcher) == 0


def test_instance_that_starts_later_is_told_what_is_leaving(pair):
    # Guards against an instance that missed the announcement because it was not running.
    first, second = pair
    first.add_searcher("i-0", "s1")
    first.add_searcher("i-1", "s1")
    first.configure(make_route())
    first.start()
    searcher = find_preferred(first)
    let_leave(searcher)
    send_until_received(first, searcher)
    gevent.sleep(leaving.REPEAT_DELAY_MS / 1000 + 0.1)
    register_with_each_other(first, second)
    second.start()
    gevent.sleep(0.5)
    assert count_received_after([second], searcher) == 0


def test_announcement_of_an_unknown_endpoint_is_kept_until_it_is_known(pair):
    # Guards against a view that is older than the announcement.
    first, second = pair
    start_both(first, second)
    message = leaving.EndpointsLeaving("front-1", [("i-2", 1_700_000_000_000)])
    first.instance.heartbeats.send_message(message, first.instance.membership.peers())
    gevent.sleep(0.05)
    late = first.add_searcher("i-2", "s1")
    gevent.sleep(0.6)
    assert count_received_after([second], late) == 0


def test_malformed_announcements_are_ignored(pair):
    first, second = pair
    start_both(first, second)
    member = second.instance.settings.member
    first.instance.heartbeats.send_message(leaving.EndpointsLeaving("x", [("i-0", "7")]), [member])
    first.instance.heartbeats.send_message(leaving.EndpointsLeaving("x", [(5, 7)]), [member])
    first.instance.heartbeats.send_message(leaving.EndpointsLeaving("x", []), [member])
    gevent.sleep(0.05)
    assert second.send_request("/one/x")[0] == 200
    assert second.instance.pushback.count_states(second.instance.state.endpoints, 0.0) == {
        "leaving": 0,
        "pushed_back": 0,
    }


def test_searcher_that_wants_no_requests_for_a_while_gets_none(pair):
    first, second = pair
    start_both(first, second)
    searcher = find_preferred(first)
    searcher.respond = lambda headers: searcher.build_response(
        headers, status=503, extra=b"X-Not-Executed: 1\r\nRetry-After: 4\r\n"
    )
    send_until_received(first, searcher)
    searcher.respond = None
    assert count_received_after([first], searcher) == 0
    assert count_endpoints(first.instance)["pushed_back"] == 1
    keep_only(first, searcher)
    # The period concerns only the instance that got the response.
    assert first.send_request("/one/x")[0] == 503
    assert count_received_after([second], searcher) == 10
    gevent.sleep(4.0)
    assert count_received_after([first], searcher) == 10


def test_connections_to_a_leaving_searcher_are_closed(pair):
    # Guards against open connections that keep an endpoint from ending.
    first, second = pair
    start_both(first, second)
    searcher = find_preferred(first)
    let_leave(searcher)
    send_until_received(first, searcher)
    gevent.sleep(0.6)
    assert searcher.identity not in first.instance.sender._pools
