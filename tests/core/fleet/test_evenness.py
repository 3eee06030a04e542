import random

import pytest

from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.evenness import INTERVAL_MS, EvennessMeter
from persimmonspur.core.fleet.selection import ReplicaSelector

ADDRESS = "10.0.0.1:80"


@pytest.fixture
def selector():
    return ReplicaSelector("d", random.Random(1))


@pytest.fixture
def meter(selector):
    directory = EndpointDirectory()
    endpoints = [
        Endpoint(f"{service}-{index}", service, ADDRESS, "d", 4)
        for service in ("s", "t", "u")
        for index in range(1 if service == "u" else 2)
    ]
    directory.replace_all(endpoints, False, 0.0)
    return EvennessMeter(selector, directory)


def send(selector, identity, count):
    lifetime = Endpoint(identity, "", ADDRESS, "d", 4).lifetime
    for attempt in range(count):
        selector.record_sent(lifetime, attempt, 0.0)


def test_ratio_of_the_busiest_replica_to_the_mean_of_the_last_interval(selector, meter):
    # Guards against a figure over the whole life of a process, which hides recent unevenness.
    send(selector, "s-0", 500)
    meter.update(0.0)
    for identity, count in (("s-0", 30), ("s-1", 30), ("t-0", 90), ("t-1", 30), ("u-0", 99)):
        send(selector, identity, count)
    meter.update(INTERVAL_MS - 1)
    assert meter.worst_ratio == 2.0
    meter.update(INTERVAL_MS)
    assert (meter.mean_ratio, meter.worst_ratio) == (1.25, 1.5)


def test_services_with_few_requests_are_left_out(selector, meter):
    send(selector, "s-0", 39)
    meter.update(0.0)
    assert (meter.mean_ratio, meter.worst_ratio) == (0.0, 0.0)


def test_count_of_a_restarted_endpoint_starts_anew(selector, meter):
    send(selector, "s-0", 100)
    meter.update(0.0)
    selector._states.clear()
    send(selector, "s-0", 20)
    send(selector, "s-1", 40)
    meter.update(INTERVAL_MS)
    assert meter.worst_ratio == pytest.approx(2.0)
