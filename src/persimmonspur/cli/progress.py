"""Waits until every instance shows a configuration version."""

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

POLL_MS = 100.0
ANSWER_MS = 1_000.0
CONCURRENCY = 32


@define
class Progress:
    """What the instances show.

    :param versions: configuration version by instance; 0 if it did not answer.
    """

    wanted: int
    versions: dict[str, int]

    @property
    def done(self) -> bool:
        """Whether every instance shows the wanted version or a later one."""
        return self.count() == len(self.versions)

    def count(self) -> int:
        """Return how many instances show the wanted version."""
        return sum(version >= self.wanted for version in self.versions.values())

    def list_waiting(self) -> list[tuple[str, int]]:
        """Return the other instances with what they show."""
        return [
            (name, version)
            for name, version in sorted(self.versions.items())
            if version < self.wanted
        ]


def list_addresses(
    api: ObjectApi, cells: Sequence[str], timeout_s: float
) -> Result[dict[str, str], Failure]:
    """Return the caller address of every member of cells.

    :param timeout_s: how long to try while the object API is down, in seconds.
    """
    clock = Clock()
    deadline_ms = clock.now_ms() + timeout_s * 1000
    addresses: dict[str, str] = {}
    for cell in cells:
        while True:
            read = api.read(f"cells/{cell}/table")
            if read.is_ok() or clock.now_ms() > deadline_ms:
                break
            gevent.sleep(POLL_MS / 1000)
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


def wait_in_effect(
    addresses: dict[str, str],
    version: int,
    timeout_s: float,
    show: Callable[[Progress], None],
) -> Progress:
    """Poll instances until all show a version or the time is over.

    :param show: called when the number of instances that show it changed.
    """
    clock = Clock()
    deadline_ms = clock.now_ms() + timeout_s * 1000
    progress = Progress(version, dict.fromkeys(addresses, 0))
    pool = Pool(CONCURRENCY)
    shown = -1
    while True:
        waiting = [name for name, _ in progress.list_waiting()]
        answers = pool.map(read_version, [addresses[name] for name in waiting])
        progress.versions.update(zip(waiting, answers, strict=True))
        if progress.versions and progress.count() != shown:
            shown = progress.count()
            show(progress)
        if progress.done or clock.now_ms() > deadline_ms:
            return progress
        gevent.sleep(POLL_MS / 1000)


def read_version(address: str) -> int:
    """Return the configuration version that an instance shows; 0 if it does not answer."""
    client = connect_client(address, 1, ANSWER_MS)
    try:
        with gevent.Timeout(ANSWER_MS / 1000):
            document = json.loads(bytes(client.get("/readyz").read()))
            return int(document["configuration_version"])
    except (*HTTP_ERRORS, gevent.Timeout, KeyError):
        return 0
    finally:
        client.close()
