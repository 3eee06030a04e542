"""Tests that a watcher never goes back to an old configuration or uses an incomplete one."""

import pytest

from fakes import FakeObjectApi
from persimmonspur.adapters.publishing import publish_configuration
from persimmonspur.core.configuration.parts import ROOT_KEY
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.load.publishing import ConfigurationWatcher, set_failure_domain_state
from persimmonspur.model.configuration import DesiredState
from persimmonspur.ports import StoredObject


@pytest.fixture
def configuration():
    return build_configuration(DEPLOYMENTS["ulaanbaatar"])


def test_each_version_is_returned_once(configuration):
    api = FakeObjectApi()
    watcher = ConfigurationWatcher(api)
    assert watcher.wait_for_update(0.0) is None
    publish_configuration(api, configuration)
    assert watcher.wait_for_update(0.0) == configuration
    assert watcher.wait_for_update(0.0) is None
    changed = set_failure_domain_state(configuration, "khan-uul", DesiredState.OUT)
    publish_configuration(api, changed)
    assert watcher.wait_for_update(0.0) == changed


def test_a_version_with_a_missing_part_is_retried(configuration):
    api = FakeObjectApi()
    publish_configuration(api, configuration)
    parts = {key: value for key, value in api.objects.items() if key != ROOT_KEY}
    missing_key = next(iter(parts))
    del api.objects[missing_key]
    watcher = ConfigurationWatcher(api)
    assert watcher.wait_for_update(0.0) is None
    api.objects[missing_key] = parts[missing_key]
    assert watcher.wait_for_update(0.0) == configuration


def test_an_unreadable_root_is_ignored(configuration):
    api = FakeObjectApi()
    publish_configuration(api, configuration)
    stored = api.objects[ROOT_KEY]
    api.objects[ROOT_KEY] = StoredObject(ROOT_KEY, stored.version, b"{")
    assert ConfigurationWatcher(api).wait_for_update(0.0) is None
