"""Tests configuration controllers of several instances with a real object API client."""

from types import SimpleNamespace

import gevent
import pytest
from attrs import evolve

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.adapters.publishing import publish_configuration
from persimmonspur.clock import Clock
from persimmonspur.core.configuration.holder import ConfigurationHolder
from persimmonspur.core.configuration.parts import (
    PART_PREFIX,
    ROOT_KEY,
    ConfigurationRoot,
    encode_root,
    split_configuration,
)
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.configuration import ConfigurationController
from persimmonspur.daemon.controllers.registry import PeerMessage
from persimmonspur.daemon.metrics import Metrics
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.model.member import Member
from persimmonspur.model.messages import ConfigurationParts, FetchConfiguration
from persimmonspur.standins.objectapi import ObjectApiStandIn

FIRST = build_configuration(DEPLOYMENTS["ulaanbaatar"])
SECOND = evolve(FIRST, terminated=frozenset({"entry-9"}))
HEARTBEAT_S = 0.05


class Instance:
    """The parts of an instance that the controller uses; messages are delivered in process."""

    def __init__(self, name, peers, standin):
        self.name, self.peers = name, peers
        self.settings = SimpleNamespace(instance=name, cell="main", seed=1)
        self.clock, self.metrics, self.configuration_holder = (
            Clock(),
            Metrics(),
            ConfigurationHolder(),
        )
        self.object_api = HttpObjectApi(standin.address, timeout_ms=1_000, client=name)
        self.cell = SimpleNamespace(table_version=1, list_live_members=self.list_members)
        self.recorded, self.configured, self.dropped_types = [], [], []
        self.timeline = SimpleNamespace(record=lambda event, **_: self.recorded.append(event))
        self.configuration_controller = ConfigurationController(self)
        self.handlers = self.configuration_controller.list_handlers()

    def start(self):
        self.peers[self.name] = self
        self.configuration_controller.start()
        self.heartbeat_greenlet = gevent.spawn(self.send_heartbeats)
        return self

    def stop(self):
        self.configuration_controller.stop()
        self.heartbeat_greenlet.kill()
        self.object_api.close()

    def list_members(self, _now_ms):
        return [Member(name, 1, "", "", "x") for name in self.peers]

    def send_heartbeats(self):
        while True:
            gevent.sleep(HEARTBEAT_S)
            for peer in list(self.peers.values()):
                if peer is not self:
                    peer.configuration_controller.observe_version(
                        self.name, self.configuration_holder.version
                    )

    def send(self, receiver, body):
        if receiver not in self.peers:
            return
        if type(body) in self.dropped_types:
            self.dropped_types.remove(type(body))
            return
        message = PeerMessage(self.name, 1, 1, body, 0.0)
        gevent.spawn(self.peers[receiver].receive, message, self.configuration_holder.version)

    def broadcast(self, body):
        for name in self.peers:
            if name != self.name:
                self.send(name, body)

    def receive(self, message, version):
        self.handlers[type(message.body)](message)
        self.configuration_controller.observe_version(message.sender, version)

    def configure(self, configuration):
        self.configured.append(configuration)


@pytest.fixture
def standin():
    standin = ObjectApiStandIn()
    server = standin.serve("127.0.0.1:0")
    standin.address = f"127.0.0.1:{server.server_port}"
    publish(standin, FIRST)
    yield standin
    server.stop()


@pytest.fixture
def cell(standin):
    peers = {}
    for index in range(5):
        Instance(f"entry-{index}", peers, standin).start()
    wait_until(lambda: all(peer.configuration_holder.version == 1 for peer in peers.values()))
    wait_until(lambda: standin.counts.waiting == 2)
    yield peers
    for peer in peers.values():
        peer.stop()


def publish(standin, configuration):
    api = HttpObjectApi(standin.address, client="operator")
    assert publish_configuration(api, configuration).is_ok()
    api.close()


def wait_until(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.01)


def wait_for_version(peers, version):
    wait_until(lambda: all(peer.configuration_holder.version == version for peer in peers.values()))


def list_watchers(peers):
    return [peer for peer in peers.values() if peer.configuration_controller.is_watcher]


def test_two_watchers_propagate_a_change_to_all_instances(standin, cell):
    standin.counts.by_client.clear()
    publish(standin, SECOND)
    wait_for_version(cell, 2)
    assert all(peer.configured == [FIRST, SECOND] for peer in cell.values())
    watchers = {peer.name for peer in list_watchers(cell)}
    assert len(watchers) == 2
    assert set(standin.counts.by_client) <= watchers | {"operator"}


def test_instance_without_the_object_api_gets_a_change_from_peers(standin, cell):
    isolated = list_watchers(cell)[0]
    standin.faults.down_for = [isolated.name]
    publish(standin, SECOND)
    wait_for_version(cell, 2)
    assert events.STORE_FAILED in isolated.recorded


def test_lost_messages_between_peers_are_retried(standin, cell):
    for peer in cell.values():
        peer.dropped_types = [FetchConfiguration, ConfigurationParts]
    publish(standin, SECOND)
    wait_for_version(cell, 2)


def test_change_after_an_outage_is_retrieved(standin, cell):
    standin.faults.down = True
    wait_until(lambda: all(events.STORE_FAILED in peer.recorded for peer in list_watchers(cell)))
    standin.faults.down = False
    wait_until(lambda: standin.counts.waiting == 2)
    publish(standin, SECOND)
    wait_for_version(cell, 2)


def test_decreasing_stored_version_is_ignored(standin, cell):
    previous_root = standin.find(ROOT_KEY)
    publish(standin, SECOND)
    wait_for_version(cell, 2)
    wait_until(lambda: standin.counts.waiting == 2)
    watches = standin.counts.watches
    standin.store(ROOT_KEY, previous_root)
    wait_until(lambda: standin.counts.watches >= watches + 2)
    assert all(peer.configured == [FIRST, SECOND] for peer in cell.values())


def test_damaged_root_keeps_the_current_configuration(standin, cell):
    standin.store(ROOT_KEY, b"damaged")
    wait_until(
        lambda: all(
            events.CONFIGURATION_UNREADABLE in peer.recorded for peer in list_watchers(cell)
        )
    )
    assert all(peer.configured == [FIRST] for peer in cell.values())


def test_damaged_part_keeps_the_current_configuration_until_it_is_repaired(standin, cell):
    split = split_configuration(SECOND)
    damaged = split.references[0]
    for digest, value in split.values.items():
        if standin.find(PART_PREFIX + digest) is None:
            standin.store(PART_PREFIX + digest, b"damaged" if digest == damaged.digest else value)
    standin.store(ROOT_KEY, encode_root(ConfigurationRoot(2, "two", split.references)))
    wait_until(
        lambda: all(
            events.CONFIGURATION_PART_UNREADABLE in peer.recorded for peer in list_watchers(cell)
        )
    )
    assert all(peer.configured == [FIRST] for peer in cell.values())
    standin.store(damaged.key, split.values[damaged.digest])
    wait_for_version(cell, 2)
    assert all(peer.configured == [FIRST, SECOND] for peer in cell.values())


def test_starting_instance_uses_the_highest_version_of_object_api_and_peers(standin, cell):
    publish(standin, SECOND)
    wait_for_version(cell, 2)
    standin.faults.stale_reads = True
    new_instance = Instance("entry-5", cell, standin)
    assert not new_instance.configuration_controller.synchronized
    new_instance.configuration_controller._poll_store_forever = lambda: None
    new_instance.configuration_controller._poll_store()
    assert new_instance.configuration_holder.version == 1
    # The first read may be stale, so the instance is not ready before a peer announced a version.
    assert not new_instance.configuration_controller.synchronized
    new_instance.start()
    wait_until(lambda: new_instance.configuration_controller.synchronized)
    assert new_instance.configuration_holder.version == 2
