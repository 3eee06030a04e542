"""Guards against a follower that reverts or takes half a configuration."""

import pytest

from fakes import FakeObjectApi
from persimmonspur.adapters.publishing import publish_configuration
from persimmonspur.core.configuration.parts import ROOT_KEY
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.load.publishing import Follower, set_domain
from persimmonspur.model.configuration import DesiredState
from persimmonspur.ports import StoredObject


@pytest.fixture
def configuration():
    return build_configuration(DEPLOYMENTS["ulaanbaatar"])


def test_a_follower_takes_each_version_once(configuration):
    api = FakeObjectApi()
    follower = Follower(api)
    assert follower.fetch(0.0) is None
    publish_configuration(api, configuration)
    assert follower.fetch(0.0) == configuration
    assert follower.fetch(0.0) is None
    changed = set_domain(configuration, "khan-uul", DesiredState.OUT)
    publish_configuration(api, changed)
    assert follower.fetch(0.0) == changed


def test_a_version_without_all_of_its_parts_is_asked_for_again(configuration):
    api = FakeObjectApi()
    publish_configuration(api, configuration)
    parts = {key: value for key, value in api.objects.items() if key != ROOT_KEY}
    lost = next(iter(parts))
    del api.objects[lost]
    follower = Follower(api)
    assert follower.fetch(0.0) is None
    api.objects[lost] = parts[lost]
    assert follower.fetch(0.0) == configuration


def test_an_unreadable_root_is_ignored(configuration):
    api = FakeObjectApi()
    publish_configuration(api, configuration)
    stored = api.objects[ROOT_KEY]
    api.objects[ROOT_KEY] = StoredObject(ROOT_KEY, stored.version, b"{")
    assert Follower(api).fetch(0.0) is None
