"""Writes and reads the configuration as the load tool needs it."""

from attrs import evolve, frozen

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.core.configuration.document import RootDocument, decode_root, encode_root
from persimmonspur.core.configuration.holder import ROOT_KEY
from persimmonspur.model.configuration import Configuration, Desired, FailureDomain
from persimmonspur.ports import ObjectApi


@frozen
class FetchedConfiguration:
    """A configuration with the stored version of its root object."""

    stored_version: int
    configuration: Configuration


def publish(address: str, configuration: Configuration) -> None:
    """Store a configuration as the next version.

    :param address: ``ip:port`` of the object API.
    :raises RuntimeError: if the object API refuses.
    """
    api = HttpObjectApi(address)
    try:
        stored = api.read(ROOT_KEY)
        if stored.is_error():
            raise RuntimeError(stored.error.message)
        version, expected = 1, 0
        if stored.ok is not None:
            version = decode_root(stored.ok.value).version + 1
            expected = stored.ok.version
        root = encode_root(RootDocument(version, f"load-{version}", configuration))
        written = api.write(ROOT_KEY, root, expected)
        if written.is_error():
            raise RuntimeError(written.error.message)
    finally:
        api.close()


def fetch(api: ObjectApi, after_version: int, timeout_ms: float) -> FetchedConfiguration | None:
    """Wait for a later configuration.

    :param after_version: stored version of the root that is known.
    :returns: ``None`` if there is no later one or the object API does not answer.
    """
    watched = api.watch(ROOT_KEY, after_version, timeout_ms)
    if watched.is_error() or watched.ok is None:
        return None
    return FetchedConfiguration(watched.ok.version, decode_root(watched.ok.value).configuration)


def set_domain(configuration: Configuration, name: str, desired: Desired) -> Configuration:
    """Return the configuration with another desired state of a failure domain."""
    domains = tuple(
        FailureDomain(domain.name, desired) if domain.name == name else domain
        for domain in configuration.failure_domains
    )
    return evolve(configuration, failure_domains=domains)
