"""Reads and changes the configuration as the load tool needs it."""

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
    :raises RuntimeError: if the object API refuses.
    """
    api = HttpObjectApi(address)
    try:
        result = publish_configuration(api, configuration)
    finally:
        api.close()
    if result.is_error():
        raise RuntimeError(result.error.failure.message)


@define
class Follower:
    """Follows the configuration through the object API alone."""

    api: ObjectApi
    _holder: ConfigurationHolder = field(factory=ConfigurationHolder)
    _stored_version: int = 0

    def fetch(self, timeout_ms: float) -> Configuration | None:
        """Wait for a later configuration.

        :returns: ``None`` if there is no later one or the object API does not answer.
        """
        watched = self.api.watch(ROOT_KEY, self._stored_version, timeout_ms)
        if watched.is_error() or watched.ok is None:
            return None
        try:
            self._holder.offer_root(decode_root(watched.ok.value))
        except msgspec.DecodeError:
            return None
        for digest in self._holder.list_missing_digests():
            read = self.api.read(PART_PREFIX + digest)
            if read.is_error() or read.ok is None:
                return None
            self._holder.offer_part(digest, read.ok.value)
        self._stored_version = watched.ok.version
        switched = self._holder.activate_pending()
        return switched.ok if switched.is_ok() else None


def set_domain(configuration: Configuration, name: str, desired: DesiredState) -> Configuration:
    """Return the configuration with another desired state of a failure domain."""
    domains = tuple(
        FailureDomain(domain.name, desired) if domain.name == name else domain
        for domain in configuration.failure_domains
    )
    return evolve(configuration, failure_domains=domains)
