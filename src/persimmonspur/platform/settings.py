"""The settings file that the platform writes for each process."""

from pathlib import Path
from typing import Any

import msgspec
from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.entry.features import NO_FEATURES, FeatureSettings
from persimmonspur.errors import ErrorKind, Failure

SETTINGS_VARIABLE = "PERSIMMONSPUR_BOOT"


class _Listen(msgspec.Struct):
    front: str | None = None
    ready: str | None = None
    directory: str | None = None


class _Bounds(msgspec.Struct):
    grace_s: float = 6
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 10
    ttl_max_s: float = 5
    strict_revoke: bool = False
    revoke_ms: float = 5_000
    quota_window_s: float = 5
    quota_overshoot: float = 0
    quota_slack: float = 0
    # Missing in deployments without roll-outs.
    exposure_share: float | None = None
    exposure_slack: float = 0
    rollback_ms: float = 5_000


class _Store(msgspec.Struct):
    addr: str


class _Limits(msgspec.Struct):
    # Share of one core's time; ``cores`` is the relative speed of that core.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


class _Document(msgspec.Struct):
    node: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Store
    # True only when the whole deployment starts for the first time.
    bootstrap: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


@frozen
class EntrySettings:
    """Settings of an entry instance, read at startup.

    :param caller_address: address on which clients send requests.
    :param ready_address: address on which the platform checks readiness.
    :param resolve_address: address on which clients look up the instances to use.
    :param peer_address: address on which other instances send heartbeats (UDP).
    :param shutdown_ms: time from SIGTERM until the process is killed.
    :param retry_ratio: retries and hedges per first attempt, over all instances.
    :param retry_slack: retries and hedges per window, over all instances, that are allowed
        without first attempts.
    :param retry_window_ms: length of the sliding window of the retry budget.
    :param keep_max_ms: longest time for which clients may cache resolved addresses.
    :param cores: CPU time per second that the machine provides, in cores.
    :param link_mbps: bandwidth of the machine's network link; 0 if it is not limited.
    :param first_start: whether the whole deployment starts for the first time.
    :param features: bounds of optional parts.
    """

    instance: str
    failure_domain: str
    region: str
    caller_address: str
    ready_address: str
    resolve_address: str
    peer_address: str
    store_address: str
    shutdown_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    keep_max_ms: float
    cores: float
    link_mbps: float
    first_start: bool = False
    features: FeatureSettings = NO_FEATURES


def load_entry_settings(path: str) -> Result[EntrySettings, Failure]:
    """Load the settings file, ignoring unknown fields.

    :param path: path of the file.
    :returns: the settings, or one message that lists all errors in the file.
    """
    try:
        content = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, Any])
    except OSError as error:
        return Error(_build_failure(path, [f"cannot be read: {error}"]))
    except msgspec.DecodeError as error:
        return Error(_build_failure(path, [str(error)]))
    sections, errors = _read_sections(content)
    if not errors:
        document = _Document(**sections)
        errors = _find_missing_addresses(document.listen)
    if errors:
        return Error(_build_failure(path, errors))
    return Ok(_build_settings(document))


def _read_sections(content: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Decode each section of the file separately, so that all errors are reported at once."""
    sections = {}
    errors = []
    for section in msgspec.structs.fields(_Document):
        if section.name not in content:
            if section.required:
                errors.append(f"{section.name}: missing")
            continue
        try:
            sections[section.name] = msgspec.convert(content[section.name], section.type)
        except msgspec.ValidationError as error:
            errors.append(f"{section.name}: {error}")
    return sections, errors


def _find_missing_addresses(listen: _Listen) -> list[str]:
    addresses = {"front": listen.front, "ready": listen.ready, "directory": listen.directory}
    return [f"listen.{name}: missing" for name, address in addresses.items() if address is None]


def _build_settings(document: _Document) -> EntrySettings:
    listen = document.listen
    bounds = document.bounds
    return EntrySettings(
        document.node,
        document.zone,
        document.region,
        listen.front or "",
        listen.ready or "",
        listen.directory or "",
        f"{document.ip}:{document.port_range[0]}",
        document.platform.addr,
        bounds.grace_s * 1000,
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window_s * 1000,
        bounds.ttl_max_s * 1000,
        document.limits.cpu_share * document.limits.cores,
        document.limits.link_mbps,
        document.bootstrap,
        _build_features(bounds, document.limits),
    )


def _build_features(bounds: _Bounds, limits: _Limits) -> FeatureSettings:
    return FeatureSettings(
        bounds.strict_revoke,
        bounds.revoke_ms,
        bounds.quota_window_s * 1000,
        bounds.quota_overshoot,
        bounds.quota_slack,
        bounds.exposure_share,
        bounds.exposure_slack,
        bounds.rollback_ms,
        limits.memory_mb,
        limits.max_fds,
    )


def _build_failure(path: str, errors: list[str]) -> Failure:
    message = f"settings file {path}: " + "; ".join(errors)
    return Failure.of(ErrorKind.INVALID_SETTINGS, message)
