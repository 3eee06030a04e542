"""Publishes and watches configurations for the load tools."""

import msgspec
from attrs import define, evolve, field

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.adapters.publishing import publish_configuration
from persimmonspur.core.configuration.holder import ROOT_KEY, ConfigurationHolder
from persimmonspur.core.configuration.parts import PART_PREFIX, decode_root
from persimmonspur.model.configuration import Configuration, DesiredState, FailureDomain
from persimmonspur.ports import ObjectApi


def publish(address: str, configuration: Configuration) -> None:
    """Store a configuration as the next version.

    :param address: ``ip:port`` of the object API.
    :raises RuntimeError: if the write fails.
    """
    api = HttpObjectApi(address)
    try:
        result = publish_configuration(api, configuration)
    finally:
        api.close()
    if result.is_error():
        raise RuntimeError(result.error.failure.message)


@define
class ConfigurationWatcher:
    """Reads new versions of the configuration from the object API, without peers."""

    api: ObjectApi
    _holder: ConfigurationHolder = field(factory=ConfigurationHolder)
    _stored_version: int = 0

    def wait_for_update(self, timeout_ms: float) -> Configuration | None:
        """Wait for a newer version of the configuration.

        :returns: ``None`` if there is none within the timeout, or if it cannot be read or
            decoded. The next call retries a version whose root or parts could not be read.
        """
        stored_root = self.api.watch(ROOT_KEY, self._stored_version, timeout_ms)
        if stored_root.is_error() or stored_root.ok is None:
            return None
        try:
            self._holder.offer_root(decode_root(stored_root.ok.value))
        except msgspec.DecodeError:
            return None
        for digest in self._holder.list_missing_digests():
            stored_part = self.api.read(PART_PREFIX + digest)
            if stored_part.is_error() or stored_part.ok is None:
                return None
            self._holder.offer_part(digest, stored_part.ok.value)
        self._stored_version = stored_root.ok.version
        activated = self._holder.activate_pending()
        return activated.ok if activated.is_ok() else None


def set_failure_domain_state(
    configuration: Configuration, name: str, desired: DesiredState
) -> Configuration:
    """Return the configuration with the desired state of a failure domain replaced."""
    domains = tuple(
        FailureDomain(domain.name, desired) if domain.name == name else domain
        for domain in configuration.failure_domains
    )
    return evolve(configuration, failure_domains=domains)
