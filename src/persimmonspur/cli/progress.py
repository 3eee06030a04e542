"""Waits until every instance has a configuration version in effect."""

import json
from collections.abc import Callable, Sequence

import gevent
import msgspec
from attrs import define
from expression import Error, Ok, Result
from gevent.pool import Pool

from persimmonspur.adapters.http import HTTP_ERRORS, connect_client
from persimmonspur.clock import Clock
from persimmonspur.core.ownership.table import decode_table
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.ports import ObjectApi

POLL_INTERVAL_MS = 100.0
READINESS_TIMEOUT_MS = 1_000.0
MAX_CONCURRENT_REQUESTS = 32


@define
class RolloutProgress:
    """Configuration versions that the instances report.

    :param versions: configuration version by instance name; 0 if the instance did not answer.
    """

    target_version: int
    versions: dict[str, int]

    @property
    def done(self) -> bool:
        """Whether every instance reports the target version or a later one."""
        return self.count_up_to_date() == len(self.versions)

    def count_up_to_date(self) -> int:
        """Return how many instances report the target version or a later one."""
        return sum(version >= self.target_version for version in self.versions.values())

    def list_outdated(self) -> list[tuple[str, int]]:
        """Return the name and version of the instances that lack the target version."""
        return [
            (name, version)
            for name, version in sorted(self.versions.items())
            if version < self.target_version
        ]


def list_addresses(
    api: ObjectApi, cells: Sequence[str], timeout_s: float
) -> Result[dict[str, str], Failure]:
    """Return the caller address of every member of the cells, by instance name.

    :param timeout_s: how long to retry while the object API is down, in seconds.
    """
    clock = Clock()
    deadline_ms = clock.now_ms() + timeout_s * 1000
    addresses: dict[str, str] = {}
    for cell in cells:
        while True:
            read = api.read(f"cells/{cell}/table")
            if read.is_ok() or clock.now_ms() > deadline_ms:
                break
            gevent.sleep(POLL_INTERVAL_MS / 1000)
        if read.is_error():
            return Error(read.error)
        if read.ok is None:
            continue
        try:
            table = decode_table(read.ok.value)
        except msgspec.DecodeError as error:
            message = f"the table of cell {cell} is unreadable: {error}"
            return Error(Failure.of(ErrorKind.INTERNAL, message))
        for member in table.members.values():
            addresses[member.name] = member.caller_address
    return Ok(addresses)


def wait_until_in_effect(
    addresses: dict[str, str],
    version: int,
    timeout_s: float,
    report_progress: Callable[[RolloutProgress], None],
) -> RolloutProgress:
    """Poll instances until all report a version or the timeout expires.

    :param report_progress: called when the number of instances that report the version changes.
    """
    clock = Clock()
    deadline_ms = clock.now_ms() + timeout_s * 1000
    progress = RolloutProgress(version, dict.fromkeys(addresses, 0))
    pool = Pool(MAX_CONCURRENT_REQUESTS)
    last_count = -1
    while True:
        outdated = [name for name, _ in progress.list_outdated()]
        reported_versions = pool.map(read_version, [addresses[name] for name in outdated])
        progress.versions.update(zip(outdated, reported_versions, strict=True))
        if progress.versions and progress.count_up_to_date() != last_count:
            last_count = progress.count_up_to_date()
            report_progress(progress)
        if progress.done or clock.now_ms() > deadline_ms:
            return progress
        gevent.sleep(POLL_INTERVAL_MS / 1000)


def read_version(address: str) -> int:
    """Return the configuration version that an instance reports; 0 if it does not answer."""
    client = connect_client(address, 1, READINESS_TIMEOUT_MS)
    try:
        with gevent.Timeout(READINESS_TIMEOUT_MS / 1000):
            document = json.loads(bytes(client.get("/readyz").read()))
            return int(document["configuration_version"])
    except (*HTTP_ERRORS, gevent.Timeout, KeyError):
        return 0
    finally:
        client.close()
