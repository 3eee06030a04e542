"""Settings of the entry daemon's own, from the environment."""

from collections.abc import Mapping

from attrs import frozen
from expression import Error, Ok, Result

from persimmonspur.errors import ErrorKind, Failure

# Address on which metrics are served; without it they are not.
METRICS_VARIABLE = "PERSIMMONSPUR_METRICS_ADDRESS"
# Events below this level are not written.
LEVEL_VARIABLE = "PERSIMMONSPUR_LOG_LEVEL"
LEVELS = ("INFO", "WARNING", "ERROR")


@frozen
class EntryOptions:
    """What operators set beside the platform's file.

    :param metrics_address: ``ip:port``; empty for none.
    :param log_level: one of :data:`LEVELS`.
    """

    metrics_address: str
    log_level: str


def read_options(environment: Mapping[str, str]) -> Result[EntryOptions, Failure]:
    """Read the environment.

    :returns: the options, or all faults in one message.
    """
    faults = []
    address = environment.get(METRICS_VARIABLE, "")
    host, _, port = address.rpartition(":")
    if address and (not host or not port.isdigit() or not 0 < int(port) < 65_536):
        faults.append(f"{METRICS_VARIABLE}: {address!r}; allowed: ip:port")
    level = environment.get(LEVEL_VARIABLE, "") or LEVELS[0]
    if level not in LEVELS:
        faults.append(f"{LEVEL_VARIABLE}: {level!r}; allowed: {', '.join(LEVELS)}")
    if faults:
        return Error(Failure.of(ErrorKind.INVALID_SETTINGS, "environment: " + "; ".join(faults)))
    return Ok(EntryOptions(address, level))
