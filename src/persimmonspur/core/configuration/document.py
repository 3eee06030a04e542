"""Parses and validates a configuration file as a whole."""

import json
from typing import Any

import yaml
from attrs import evolve, frozen
from expression import Error, Ok, Result

from persimmonspur.core.configuration.declarations import Declarations, ServiceReader
from persimmonspur.core.configuration.fields import DocumentError, DocumentReader, join_path
from persimmonspur.core.configuration.rules import check_declarations
from persimmonspur.core.configuration.sections import (
    CLASS,
    DESIRED,
    DESIRED_ALLOWED,
    DOCUMENT,
    DocumentSection,
)
from persimmonspur.model.configuration import (
    Configuration,
    DesiredState,
    FailureDomain,
    PriorityClass,
    Service,
)


@frozen
class ConfigurationFile:
    """A valid configuration file.

    :param declares_desired: whether the file has the field ``desired``.
    :param declares_terminated: whether the file has the field ``terminated``.
    """

    configuration: Configuration
    declares_desired: bool
    declares_terminated: bool

    def merge_with(self, current: Configuration | None) -> Configuration:
        """Return the file's configuration, with omitted states taken from the current one.

        A file without desired states keeps the current ones, so that applying it
        does not undo a drain by accident.
        """
        result = self.configuration
        if current is None:
            return result
        if not self.declares_desired:
            result = _copy_desired_states(result, current)
        if not self.declares_terminated:
            result = evolve(result, terminated=current.terminated)
        return result


def parse_document(text: str) -> Result[ConfigurationFile, list[DocumentError]]:
    """Parse a file in YAML or JSON.

    :returns: the file, or all validation errors.
    """
    reader = DocumentReader()
    try:
        raw = _load_text(text, reader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        reader.report("document", str(error), "one YAML or JSON document")
        return Error(reader.errors)
    document = reader.read_section("", raw, DOCUMENT)
    if not isinstance(raw, dict):
        return Error(reader.errors)
    declarations = _read_declarations(reader, raw, document)
    check_declarations(reader, declarations)
    if reader.errors or document is None:
        return Error(reader.errors)
    configuration = _build_configuration(document, declarations)
    return Ok(
        ConfigurationFile(
            configuration, document.desired is not None, document.terminated is not None
        )
    )


def _read_declarations(
    reader: DocumentReader, raw: dict[Any, Any], document: DocumentSection | None
) -> Declarations:
    declarations = Declarations()
    if document is not None:
        declarations.failure_domains = document.failure_domains
    elif isinstance(raw.get("failure_domains"), list):
        # Other fields are invalid; the names given still count as declared, which avoids
        # follow-up errors about undeclared failure domains.
        names = [name for name in raw["failure_domains"] if isinstance(name, str)]
        declarations.failure_domains = tuple(names)
    if "classes" in raw:
        declarations.classes = _read_classes(reader, raw["classes"])
    if "services" in raw:
        for name in reader.read_names("services", raw["services"]):
            service_reader = ServiceReader(reader, name, raw["services"][name])
            declarations.services.append(service_reader.read())
    if raw.get("desired") is not None:
        _read_desired(reader, raw["desired"], declarations)
    return declarations


def _read_classes(reader: DocumentReader, raw: Any) -> list[PriorityClass]:
    classes = []
    for name in reader.read_names("classes", raw):
        section = reader.read_section(f"classes.{name}", raw[name], CLASS)
        if section is not None:
            classes.append(PriorityClass(name, section.priority, section.share))
    return classes


def _read_desired(reader: DocumentReader, raw: Any, declarations: Declarations) -> None:
    section = reader.read_section("desired", raw, DESIRED)
    if section is None:
        return
    declarations.desired_domains = _read_states(
        reader, "desired.failure_domains", section.failure_domains
    )
    declarations.desired_instances = _read_states(reader, "desired.instances", section.instances)
    declarations.desired_endpoints = _read_states(reader, "desired.endpoints", section.endpoints)


def _read_states(reader: DocumentReader, path: str, raw: Any) -> dict[str, DesiredState]:
    states: dict[str, DesiredState] = {}
    if raw is None:
        return states
    for name in reader.read_names(path, raw):
        try:
            states[name] = DesiredState(raw[name])
        except ValueError:
            reader.report(join_path(path, name), raw[name], DESIRED_ALLOWED)
    return states


def _build_configuration(document: DocumentSection, declarations: Declarations) -> Configuration:
    services = []
    for declared in declarations.services:
        limits = declared.limits
        assert limits is not None and declared.section is not None
        endpoints = tuple(
            evolve(
                entry.endpoint,
                desired=declarations.desired_endpoints.get(
                    entry.endpoint.name, DesiredState.SERVING
                ),
            )
            for entry in declared.endpoints
        )
        services.append(
            Service(
                declared.name,
                limits,
                tuple(declared.shard_maps),
                endpoints,
                declared.section.min_replicas,
                declared.section.typical_ms,
            )
        )
    domains = tuple(
        FailureDomain(name, declarations.desired_domains.get(name, DesiredState.SERVING))
        for name in document.failure_domains
    )
    instances: dict[str, DesiredState] = {
        name: state
        for name, state in declarations.desired_instances.items()
        if state is not DesiredState.SERVING
    }
    return Configuration(
        document.deployment,
        domains,
        tuple(declarations.classes),
        tuple(services),
        instances,
        frozenset(document.terminated or ()),
    )


def _copy_desired_states(target: Configuration, current: Configuration) -> Configuration:
    domains = {domain.name: domain.desired for domain in current.failure_domains}
    endpoints = {
        endpoint.name: endpoint.desired
        for service in current.services
        for endpoint in service.endpoints
    }
    return evolve(
        target,
        failure_domains=tuple(
            evolve(domain, desired=domains.get(domain.name, domain.desired))
            for domain in target.failure_domains
        ),
        services=tuple(
            evolve(
                service,
                endpoints=tuple(
                    evolve(endpoint, desired=endpoints.get(endpoint.name, endpoint.desired))
                    for endpoint in service.endpoints
                ),
            )
            for service in target.services
        ),
        instances=dict(current.instances),
    )


def _load_text(text: str, reader: DocumentReader) -> Any:
    def build_mapping(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for name, value in pairs:
            if name in result:
                reader.report(name, "declared twice", "each name once")
            result[name] = value
        return result

    if text.lstrip().startswith("{"):
        try:
            return json.loads(text, object_pairs_hook=build_mapping)
        except ValueError:
            # A YAML document may also start with a brace.
            reader.errors.clear()
    return _load_yaml(text, reader)


def _load_yaml(text: str, reader: DocumentReader) -> Any:
    class Loader(yaml.SafeLoader):
        """Reports duplicate keys, of which the YAML loader silently keeps the last one."""

        def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
            keys = set()
            for key, _ in node.value:
                if key.value in keys:
                    line = key.start_mark.line + 1
                    reader.report(f"line {line}: {key.value}", "declared twice", "each name once")
                # The value of a non-scalar key node is a list, which is not hashable.
                if isinstance(key.value, str):
                    keys.add(key.value)
            return super().construct_mapping(node, deep)

    return yaml.load(text, Loader)
