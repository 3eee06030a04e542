"""Checks a configuration document as a whole."""

from typing import Any

import msgspec
from attrs import frozen

from persimmonspur.core.configuration.fields import DocumentError
from persimmonspur.platform.configcheck import routes, services, tenants
from persimmonspur.platform.configcheck.fields import find_field_errors
from persimmonspur.platform.configcheck.findings import CHECKS, Checked, TenantDocument, describe
from persimmonspur.platform.documents import ConfigurationDocument

# The modules whose checks are registered when they are imported.
CHECK_MODULES = (routes, services, tenants)
TENANTS = "tenants"


@frozen
class CheckResult:
    """The outcome of all checks.

    :param errors: why instances would reject the document, or what could never work.
    :param warnings: what deserves a look.
    """

    errors: tuple[DocumentError, ...]
    warnings: tuple[DocumentError, ...] = ()


def get_specification(document: Any) -> Any:
    """Return the configuration in a document that may be a whole object of the store."""
    if isinstance(document, dict) and "spec" in document and "routes" not in document:
        return document["spec"]
    return document


def check_configuration(specification: Any, in_force: Any = None) -> CheckResult:
    """Check a configuration.

    :param in_force: the configuration that it is to replace, if any.
    """
    errors = find_field_errors(specification, ConfigurationDocument)
    has_tenants = isinstance(specification, dict) and specification.get(TENANTS) is not None
    if has_tenants:
        found = find_field_errors(specification[TENANTS], list[TenantDocument], TENANTS)
        known = {error.path for error in errors}
        errors += [error for error in found if error.path not in known]
    if errors:
        return CheckResult(tuple(_hide_key(error) for error in errors))
    checked = Checked(
        msgspec.convert(specification, ConfigurationDocument),
        msgspec.convert(specification[TENANTS], list[TenantDocument]) if has_tenants else None,
    )
    findings = [finding for name in CHECKS for finding in CHECKS.get(name)(checked)]
    known_version = in_force.get("version") if isinstance(in_force, dict) else None
    version = checked.document.version
    if isinstance(known_version, int) and specification != in_force and version <= known_version:
        allowed = f"above {known_version}, the version in force, or no instance takes it"
        findings.append(describe("version", version, allowed))
    return CheckResult(
        tuple(finding.error for finding in findings if finding.is_error),
        tuple(finding.error for finding in findings if not finding.is_error),
    )


def _hide_key(error: DocumentError) -> DocumentError:
    if ".api_keys" not in error.path:
        return error
    return DocumentError(error.path, "this value", error.allowed)
