"""Settings of the daemon, read from flags and environment variables."""

import re
from collections.abc import Callable, Mapping

from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.digits import parse_digits
from persimmonspur.errors import ErrorKind, Failure

ENVIRONMENT_PREFIX = "PERSIMMONSPUR_"
_ADDRESS_PATTERN = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}$")
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")


@frozen
class Setting:
    """Definition of one setting.

    :param name: name with hyphens; the flag is ``--NAME``.
    :param allowed: description of the allowed values for help texts and error messages.
    :param is_valid: returns whether a value is allowed.
    :param default: default value, or ``None`` if the setting is required.
    """

    name: str
    help: str
    allowed: str
    is_valid: Callable[[str], bool]
    default: str | None = None

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.replace("-", "_").upper()


def _is_address(value: str) -> bool:
    if not _ADDRESS_PATTERN.match(value):
        return False
    host, _, port = value.rpartition(":")
    return all(int(part) <= 255 for part in host.split(".")) and int(port) <= 65_535


def _is_name(value: str) -> bool:
    return bool(_NAME_PATTERN.match(value))


def _is_positive_integer(value: str) -> bool:
    return bool(parse_digits(value))


ADDRESS_FORMAT = "ip:port, for example 127.0.0.1:7400"
NAME_FORMAT = "lower-case letters, digits, '.' and '-', 63 characters at most"

SETTINGS: tuple[Setting, ...] = (
    Setting("instance", "name of this instance", NAME_FORMAT, _is_name),
    Setting("failure-domain", "failure domain of this instance", NAME_FORMAT, _is_name),
    Setting("caller-address", "address for callers", ADDRESS_FORMAT, _is_address),
    Setting("peer-address", "address for other instances", ADDRESS_FORMAT, _is_address),
    Setting("object-api", "address of the object API", ADDRESS_FORMAT, _is_address),
    Setting("cell", "name of the cell", NAME_FORMAT, _is_name, "main"),
    Setting(
        "concurrency",
        "maximum number of concurrent queries",
        "a whole number above 0",
        _is_positive_integer,
        "256",
    ),
    Setting(
        "log-level",
        "lowest level that is logged",
        ", ".join(LOG_LEVELS),
        lambda value: value in LOG_LEVELS,
        "INFO",
    ),
    Setting(
        "seed",
        "seed of the random number generators",
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
    """Combine flags and environment variables; flags take precedence.

    :returns: the settings, or one failure for each invalid or missing setting.
    """
    values: dict[str, str] = {}
    failures: list[Failure] = []
    for setting in SETTINGS:
        flag = flags.get(setting.name)
        source = f"--{setting.name}" if flag is not None else setting.variable
        value = flag if flag is not None else environment.get(setting.variable, setting.default)
        if value is None:
            failures.append(
                _build_failure(f"--{setting.name} or {setting.variable}", "missing", setting)
            )
            continue
        if not setting.is_valid(value):
            failures.append(_build_failure(source, repr(value), setting))
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


def _build_failure(source: str, value: str, setting: Setting) -> Failure:
    return Failure.of(ErrorKind.INVALID_SETTINGS, f"{source}: {value}; allowed: {setting.allowed}")
