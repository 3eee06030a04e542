"""The settings file that the platform writes for each process."""

from pathlib import Path
from typing import Any

import msgspec
from attrs import frozen
from expression import Error, Ok, Result

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


class _Store(msgspec.Struct):
    addr: str


class _Limits(msgspec.Struct):
    # Share of a core at full time; ``cores`` is how many times as fast that core is.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 0.0


class _Document(msgspec.Struct):
    node: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


@frozen
class EntrySettings:
    """What an entry instance knows at its start.

    :param caller_address: where clients send requests.
    :param ready_address: where the platform asks whether this instance is ready.
    :param resolve_address: where clients ask which instances to use.
    :param peer_address: where other instances send heartbeats (UDP).
    :param shutdown_ms: time from SIGTERM until the process is killed.
    :param retry_ratio: repeated sends per request over all instances.
    :param retry_slack: repeated sends per window that need no requests.
    :param keep_max_ms: longest time that clients keep an answer about addresses.
    :param cores: processor time per second that the machine gives, in cores.
    :param link_mbps: of the machine's link; 0 if it is not limited.
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


def load_entry_settings(path: str) -> Result[EntrySettings, Failure]:
    """Read the settings file; unknown fields are ignored.

    :param path: of the file.
    :returns: the settings, or all faults of the file in one message.
    """
    try:
        content = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, Any])
    except OSError as error:
        return Error(_describe(path, [f"cannot be read: {error}"]))
    except msgspec.DecodeError as error:
        return Error(_describe(path, [str(error)]))
    sections, faults = _read_sections(content)
    if not faults:
        document = _Document(**sections)
        faults = _list_missing_addresses(document.listen)
    if faults:
        return Error(_describe(path, faults))
    return Ok(_build_settings(document))


def _read_sections(content: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Decode each field of the file on its own, so that one fault does not hide others."""
    sections = {}
    faults = []
    for section in msgspec.structs.fields(_Document):
        if section.name not in content:
            if section.required:
                faults.append(f"{section.name}: missing")
            continue
        try:
            sections[section.name] = msgspec.convert(content[section.name], section.type)
        except msgspec.ValidationError as error:
            faults.append(f"{section.name}: {error}")
    return sections, faults


def _list_missing_addresses(listen: _Listen) -> list[str]:
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
    )


def _describe(path: str, faults: list[str]) -> Failure:
    message = f"settings file {path}: " + "; ".join(faults)
    return Failure.of(ErrorKind.INVALID_SETTINGS, message)
