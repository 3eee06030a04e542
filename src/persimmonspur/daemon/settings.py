"""Settings of the daemon, from flags and environment variables."""

import re
from collections.abc import Callable, Mapping

from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.errors import ErrorKind, Failure

ENVIRONMENT_PREFIX = "PERSIMMONSPUR_"
_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_NAME = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}$")
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")


@frozen
class Setting:
    """One setting.

    :param name: with hyphens; the flag is ``--NAME``.
    :param allowed: what values are allowed, for people.
    :param accepts: whether a value is allowed.
    :param default: ``None`` if the setting is required.
    """

    name: str
    help: str
    allowed: str
    accepts: Callable[[str], bool]
    default: str | None = None

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENVIRONMENT_PREFIX + self.name.replace("-", "_").upper()


def _is_address(value: str) -> bool:
    if not _ADDRESS.match(value):
        return False
    host, _, port = value.rpartition(":")
    return all(int(part) <= 255 for part in host.split(".")) and int(port) <= 65_535


def _is_name(value: str) -> bool:
    return bool(_NAME.match(value))


def _is_positive_integer(value: str) -> bool:
    return value.isdigit() and int(value) > 0


ADDRESS_ALLOWED = "ip:port, for example 127.0.0.1:7400"
NAME_ALLOWED = "lower-case letters, digits, '.' and '-', 63 characters at most"

SETTINGS: tuple[Setting, ...] = (
    Setting("instance", "name of this instance", NAME_ALLOWED, _is_name),
    Setting("failure-domain", "where this instance runs", NAME_ALLOWED, _is_name),
    Setting("caller-address", "address for callers", ADDRESS_ALLOWED, _is_address),
    Setting("peer-address", "address for other instances", ADDRESS_ALLOWED, _is_address),
    Setting("object-api", "address of the object API", ADDRESS_ALLOWED, _is_address),
    Setting("cell", "name of the cell", NAME_ALLOWED, _is_name, "main"),
    Setting(
        "concurrency",
        "queries that run at once",
        "a whole number above 0",
        _is_positive_integer,
        "256",
    ),
    Setting(
        "log-level",
        "least level that is logged",
        ", ".join(LOG_LEVELS),
        lambda value: value in LOG_LEVELS,
        "INFO",
    ),
    Setting(
        "seed",
        "seed of all random choices",
        "a whole number above 0",
        _is_positive_integer,
        "1",
    ),
)


@frozen
class Settings:
    """Validated settings."""

    instance: str
    failure_domain: str
    caller_address: str
    peer_address: str
    object_api: str
    cell: str
    concurrency: int
    log_level: str
    seed: int


def load_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Result[Settings, list[Failure]]:
    """Combine flags and environment variables; flags win.

    :returns: the settings, or every fault at once.
    """
    values: dict[str, str] = {}
    failures: list[Failure] = []
    for setting in SETTINGS:
        flag = flags.get(setting.name)
        source = f"--{setting.name}" if flag is not None else setting.variable
        value = flag if flag is not None else environment.get(setting.variable, setting.default)
        if value is None:
            failures.append(
                _describe(f"--{setting.name} or {setting.variable}", "missing", setting)
            )
            continue
        if not setting.accepts(value):
            failures.append(_describe(source, repr(value), setting))
            continue
        values[setting.name] = value
    if failures:
        return Error(failures)
    return Ok(
        Settings(
            values["instance"],
            values["failure-domain"],
            values["caller-address"],
            values["peer-address"],
            values["object-api"],
            values["cell"],
            int(values["concurrency"]),
            values["log-level"],
            int(values["seed"]),
        )
    )


def _describe(source: str, value: str, setting: Setting) -> Failure:
    return Failure.of(ErrorKind.INVALID_SETTINGS, f"{source}: {value}; allowed: {setting.allowed}")
