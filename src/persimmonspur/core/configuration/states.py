"""Changes the desired state of an endpoint, an instance or a failure domain."""

from enum import StrEnum

from attrs import evolve
from expression import Error, Ok, Result

from persimmonspur.core.configuration.fields import NAME_ALLOWED, NAME_REGEX, DocumentError
from persimmonspur.model.configuration import Configuration, DesiredState


class TargetKind(StrEnum):
    """Kind of object that has a desired state."""

    ENDPOINT = "endpoint"
    INSTANCE = "instance"
    FAILURE_DOMAIN = "failure-domain"


def set_desired_state(
    configuration: Configuration | None, kind: TargetKind, name: str, desired: DesiredState
) -> Result[Configuration, list[DocumentError]]:
    """Return a copy of the configuration with one desired state changed."""
    if configuration is None:
        return Error([DocumentError("configuration", "none is stored", "one stored by apply")])
    match kind:
        case TargetKind.ENDPOINT:
            return _set_endpoint(configuration, name, desired)
        case TargetKind.FAILURE_DOMAIN:
            return _set_failure_domain(configuration, name, desired)
        case TargetKind.INSTANCE:
            return _set_instance(configuration, name, desired)


def _set_endpoint(
    configuration: Configuration, name: str, desired: DesiredState
) -> Result[Configuration, list[DocumentError]]:
    found = False
    services = []
    for service in configuration.services:
        endpoints = list(service.endpoints)
        for index, endpoint in enumerate(endpoints):
            if endpoint.name == name:
                found = True
                endpoints[index] = evolve(endpoint, desired=desired)
        services.append(evolve(service, endpoints=tuple(endpoints)))
    if not found:
        return Error([DocumentError("endpoint", name, "a declared endpoint")])
    return Ok(evolve(configuration, services=tuple(services)))


def _set_failure_domain(
    configuration: Configuration, name: str, desired: DesiredState
) -> Result[Configuration, list[DocumentError]]:
    names = [domain.name for domain in configuration.failure_domains]
    if name not in names:
        return Error([DocumentError("failure-domain", name, ", ".join(names))])
    domains = tuple(
        evolve(domain, desired=desired) if domain.name == name else domain
        for domain in configuration.failure_domains
    )
    return Ok(evolve(configuration, failure_domains=domains))


def _set_instance(
    configuration: Configuration, name: str, desired: DesiredState
) -> Result[Configuration, list[DocumentError]]:
    if not NAME_REGEX.fullmatch(name):
        return Error([DocumentError("instance", name, NAME_ALLOWED)])
    instances = {**configuration.instances, name: desired}
    if desired is DesiredState.SERVING:
        del instances[name]
    return Ok(evolve(configuration, instances=instances))
