"""Checks of services and of the limits on client requests."""

from collections.abc import Iterator

from persimmonspur.platform.configcheck.findings import CHECKS, Checked, Finding, describe
from persimmonspur.platform.documents import RouteDocument


@CHECKS.register("services")
def check_services(checked: Checked) -> Iterator[Finding]:
    """Check that services are declared once, with usable limits, and that routes use them."""
    first: dict[str, int] = {}
    for index, service in enumerate(checked.document.services):
        path = f"services[{index}]"
        known = first.setdefault(service.name, index)
        if known != index:
            yield describe(f"{path}.name", service.name, f"not the name of services[{known}]")
        if service.max_conns < 1:
            yield describe(f"{path}.max_conns", service.max_conns, "1 or more")
        if service.cold_per_s < 0:
            yield describe(f"{path}.cold_per_s", service.cold_per_s, "0 or more")
    used: set[str] = set()
    for index, route in enumerate(checked.document.routes):
        for name in _list_services(route):
            if name not in first and name not in used:
                allowed = "a service below services; without one, default limits hold"
                yield describe(f"routes[{index}]", name, allowed, is_error=False)
            used.add(name)
    for name, index in first.items():
        if name not in used:
            yield describe(f"services[{index}]", name, "a service that a route uses", False)


@CHECKS.register("limits on client requests")
def check_limits(checked: Checked) -> Iterator[Finding]:
    """Check that the limits on client requests admit some request."""
    limits = checked.document.limits
    for name in ("max_header_bytes", "header_timeout_ms", "idle_timeout_ms"):
        value = getattr(limits, name)
        if value <= 0:
            yield describe(f"limits.{name}", value, "a number above 0")
    if limits.max_body_bytes < 0:
        yield describe("limits.max_body_bytes", limits.max_body_bytes, "0 or more")
    if limits.header_timeout_ms > limits.idle_timeout_ms > 0:
        allowed = f"at most idle_timeout_ms ({limits.idle_timeout_ms:g})"
        yield describe("limits.header_timeout_ms", limits.header_timeout_ms, allowed, False)


def _list_services(route: RouteDocument) -> list[str]:
    services = list(route.gather or ())
    services += [target.service for target in route.split or ()]
    if route.service is not None:
        services.append(route.service)
    return services
