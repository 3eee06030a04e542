"""Checks of routes: limits that conflict, and routes that no request can reach."""

from collections.abc import Iterator

from persimmonspur.platform.configcheck.findings import CHECKS, Checked, Finding, describe
from persimmonspur.platform.documents import RouteDocument

# Bytes of a head besides the path: method, version, line ends, and a host line.
MIN_OTHER_HEAD_BYTES = 40


@CHECKS.register("names of routes")
def check_names(checked: Checked) -> Iterator[Finding]:
    """Check that names are different, since latencies are kept by them."""
    first: dict[str, int] = {}
    for index, route in enumerate(checked.document.routes):
        known = first.setdefault(route.name, index)
        if known != index:
            yield describe(f"routes[{index}].name", route.name, f"not the name of routes[{known}]")


@CHECKS.register("routes that never match")
def check_reachable(checked: Checked) -> Iterator[Finding]:
    """Check that each route can be reached by some request."""
    first: dict[tuple[str, str], int] = {}
    max_prefix_bytes = checked.document.limits.max_header_bytes - MIN_OTHER_HEAD_BYTES
    for index, route in enumerate(checked.document.routes):
        path = f"routes[{index}]"
        if not route.host or ":" in route.host or not _is_token(route.host):
            allowed = "a host name without a port; this route never matches"
            yield describe(f"{path}.host", repr(route.host), allowed)
        prefix = route.path_prefix
        if not prefix.startswith("/") or "?" in prefix or "#" in prefix or not _is_token(prefix):
            allowed = "a path as sent, from '/' on and without a query; this route never matches"
            yield describe(f"{path}.path_prefix", repr(prefix), allowed)
        elif len(prefix) > max_prefix_bytes:
            allowed = (
                f"at most {max_prefix_bytes} bytes, since limits.max_header_bytes refuses more"
            )
            yield describe(f"{path}.path_prefix", f"{len(prefix)} bytes", allowed)
        known = first.setdefault((route.host.lower(), prefix), index)
        if known != index:
            allowed = f"not the host and path of routes[{known}]; this route never matches"
            yield describe(f"{path}.path_prefix", repr(prefix), allowed)


@CHECKS.register("targets")
def check_targets(checked: Checked) -> Iterator[Finding]:
    """Check that each route has exactly one kind of target, with at least one service."""
    for index, route in enumerate(checked.document.routes):
        path = f"routes[{index}]"
        targets = {"service": route.service, "split": route.split, "gather": route.gather}
        given = [name for name, target in targets.items() if target is not None]
        if len(given) != 1:
            found = ", ".join(given) or "none of them"
            yield describe(path, found, "exactly one of service, split and gather")
        yield from _check_split(path, route)
        yield from _check_gather(path, route)


@CHECKS.register("times and attempts of routes")
def check_route_limits(checked: Checked) -> Iterator[Finding]:
    """Check that times and counts are usable and do not contradict each other."""
    for index, route in enumerate(checked.document.routes):
        path = f"routes[{index}]"
        if route.timeout_ms <= 0:
            yield describe(f"{path}.timeout_ms", route.timeout_ms, "a number above 0")
        elif not 0 < route.latency_target_ms <= route.timeout_ms:
            allowed = f"a number above 0 and at most timeout_ms ({route.timeout_ms:g})"
            yield describe(f"{path}.latency_target_ms", route.latency_target_ms, allowed)
        if route.max_attempts < 1:
            yield describe(f"{path}.max_attempts", route.max_attempts, "1 or more")
        if route.priority < 0:
            yield describe(f"{path}.priority", route.priority, "0 or more")


def _check_split(path: str, route: RouteDocument) -> Iterator[Finding]:
    if route.split is None:
        return
    for number, target in enumerate(route.split):
        if target.weight < 0:
            yield describe(f"{path}.split[{number}].weight", target.weight, "0 or more")
    if not any(target.weight > 0 for target in route.split):
        yield describe(f"{path}.split", "no weight above 0", "at least one service with a weight")


def _check_gather(path: str, route: RouteDocument) -> Iterator[Finding]:
    if route.gather is None:
        return
    if not route.gather:
        yield describe(f"{path}.gather", "empty", "at least one service")
    if len(set(route.gather)) < len(route.gather):
        yield describe(
            f"{path}.gather", "a service twice", "different services, one for each shard"
        )
    if route.top_k < 1:
        yield describe(f"{path}.top_k", route.top_k, "1 or more for a gather route")
    if not 0 <= route.min_share <= 1:
        yield describe(f"{path}.min_share", route.min_share, "a number from 0 to 1")


def _is_token(text: str) -> bool:
    """Return whether a text can be part of a request line or a host line as it is."""
    return all(" " < character <= "\xff" and character != "\x7f" for character in text)
