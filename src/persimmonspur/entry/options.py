"""Options of the entry daemon that are read from environment variables."""

from collections.abc import Mapping

from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.digits import parse_digits
from persimmonspur.errors import ErrorKind, Failure

# Address on which metrics are served; metrics are not served if it is unset.
METRICS_VARIABLE = "PERSIMMONSPUR_METRICS_ADDRESS"
# Events below this level are not logged.
LEVEL_VARIABLE = "PERSIMMONSPUR_LOG_LEVEL"
LEVELS = ("INFO", "WARNING", "ERROR")


@frozen
class EntryOptions:
    """Options that operators set in addition to the platform's settings file.

    :param metrics_address: ``ip:port``; empty if metrics are not served.
    :param log_level: one of :data:`LEVELS`.
    """

    metrics_address: str
    log_level: str


def read_options(environment: Mapping[str, str]) -> Result[EntryOptions, Failure]:
    """Read the options from environment variables.

    :returns: the options, or one failure that lists all errors.
    """
    errors = []
    metrics_address = environment.get(METRICS_VARIABLE, "")
    host, _, port_text = metrics_address.rpartition(":")
    port = parse_digits(port_text) or 0
    if metrics_address and (not host or not 0 < port < 65_536):
        errors.append(f"{METRICS_VARIABLE}: {metrics_address!r}; allowed: ip:port")
    log_level = environment.get(LEVEL_VARIABLE, "") or LEVELS[0]
    if log_level not in LEVELS:
        errors.append(f"{LEVEL_VARIABLE}: {log_level!r}; allowed: {', '.join(LEVELS)}")
    if errors:
        return Error(Failure.of(ErrorKind.INVALID_SETTINGS, "environment: " + "; ".join(errors)))
    return Ok(EntryOptions(metrics_address, log_level))
