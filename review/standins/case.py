"""Runs one case: starts its parts, writes the record, and turns the finding into an exit code."""

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.client import Client
from standins.deployment import ZONES, EntryProcess
from standins.searcher import Searcher
from standins.store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Case:
    """A small deployment: a store, searchers and entry processes.

    :ivar trouble: whether the disruption takes place.
    """

    def __init__(self, folder: Path, scratch: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.searchers: list[Searcher] = []
        self.entries: list[EntryProcess] = []
        self._scratch = scratch
        self._record = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        """Write a line to the record, with the time since the start of the case."""
        since_s = (time.monotonic() if at_s is None else at_s) - self._started_s
        self._record.write(f"{since_s:8.3f} {text}\n")
        self._record.flush()

    def print(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.write(text)
        print(text, flush=True)

    def write_traffic(self, clients: list[Client]) -> None:
        """Write what clients sent, how it was answered, and what searchers ran."""
        lines = []
        for record in (record for client in clients for record in client.sent):
            answer = "no answer" if record.status is None else f"status {record.status}"
            text = f"{record.request_id} sent: {answer} after {record.took_s * 1000:.0f} ms"
            lines.append((record.at_s, f"{text} {record.stamp}".rstrip()))
        for searcher in self.searchers:
            for arrival in searcher.arrivals:
                text = f"{arrival.request_id} reached {searcher.identity} and was run"
                lines.append((arrival.at_s, text))
        for at_s, text in sorted(lines):
            self.write(text, at_s)

    async def add_searcher(
        self, identity: str, service: str, zone: str, **fields: float
    ) -> Searcher:
        """Start a searcher and register it."""
        searcher = Searcher(identity, service, zone, **fields)
        await searcher.listen()
        searcher.register(self.store)
        self.searchers.append(searcher)
        return searcher

    async def start_entries(self, count: int) -> None:
        """Start entry processes, zones in turn, and wait until all are ready."""
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            name = f"front-{zone}-{index // len(ZONES) + 1}"
            self.entries.append(EntryProcess(self._scratch, name, zone, self.store.address))
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            if not await entry.wait_until_ready():
                raise CouldNotRunError(f"{entry.name} did not become ready")
        self.print(f"{count} entry processes are ready")

    async def close(self) -> None:
        """End everything that was started."""
        for entry in self.entries:
            entry.kill()
            for line in sorted(set(entry.read_errors()))[:5]:
                self.write(f"{entry.name} wrote: {line}")
        for server in (*self.searchers, self.store):
            await server.close()
        self._record.close()


async def _run(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> int:
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        case = Case(folder, Path(scratch))
        try:
            await case.store.listen()
            broken = await play(case)
            case.print("the rule was broken" if broken else "the rule held")
            return BROKEN if broken else HELD
        except Exception:
            case.print(traceback.format_exc())
            return COULD_NOT_RUN
        finally:
            await case.close()


def run_case(file: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit.

    :param file: path of the case's program; the record is written beside it.
    :param play: plays the case and returns whether the rule was broken.
    """
    sys.exit(asyncio.run(_run(Path(file).resolve().parent, play)))
