"""Writes and reads the configuration as the load tool needs it."""

from attrs import evolve, frozen

from persimmonspur.adapters.objectapi import HttpObjectApi
from persimmonspur.adapters.publishing import publish_configuration
from persimmonspur.core.configuration.parts import ROOT_KEY, assemble_configuration, decode_root
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
        result = publish_configuration(api, configuration)
    finally:
        api.close()
    if result.is_error():
        raise RuntimeError(result.error.failure.message)


def fetch(api: ObjectApi, after_version: int, timeout_ms: float) -> FetchedConfiguration | None:
    """Wait for a later configuration.

    :param after_version: stored version of the root that is known.
    :returns: ``None`` if there is no later one or the object API does not answer.
    """
    watched = api.watch(ROOT_KEY, after_version, timeout_ms)
    if watched.is_error() or watched.ok is None:
        return None
    root = decode_root(watched.ok.value)
    values = {}
    for reference in root.parts:
        part = api.read(reference.key)
        if part.is_error() or part.ok is None:
            return None
        values[reference.digest] = part.ok.value
    assembled = assemble_configuration(root.parts, values)
    if assembled.is_error():
        return None
    return FetchedConfiguration(watched.ok.version, assembled.ok)


def set_domain(configuration: Configuration, name: str, desired: Desired) -> Configuration:
    """Return the configuration with another desired state of a failure domain."""
    domains = tuple(
        FailureDomain(domain.name, desired) if domain.name == name else domain
        for domain in configuration.failure_domains
    )
    return evolve(configuration, failure_domains=domains)
