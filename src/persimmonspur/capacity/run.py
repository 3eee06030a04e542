"""Runs the capacity measurements and writes the tables of docs/CAPACITY.md.

``python -m persimmonspur.capacity.run`` runs all measurements;
``--only NAME,NAME`` runs only these and keeps the other stored series;
``--tables`` measures nothing and regenerates the tables from the stored record.
"""

import argparse
import platform
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import msgspec
from loguru import logger

from persimmonspur.capacity import (
    cells,
    configurations,
    loopback,
    propagation,
    requests,
)
from persimmonspur.capacity.page import fill_page
from persimmonspur.capacity.record import MEASUREMENTS, CapacityRecord, Series

# Imported for their side effect: each module registers its measurements.
_REGISTERED_MODULES = (cells, configurations, loopback, propagation, requests)


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="persimmonspur.capacity.run")
    parser.add_argument("--record", type=Path, default=Path("docs/capacity.json"))
    parser.add_argument("--page", type=Path, default=Path("docs/CAPACITY.md"))
    parser.add_argument("--only", default="")
    parser.add_argument("--tables", action="store_true")
    options = parser.parse_args()
    logger.remove()
    stored = None
    if options.record.exists():
        stored = msgspec.json.decode(options.record.read_bytes(), type=CapacityRecord)
    if not options.tables:
        names = [name for name in options.only.split(",") if name] or list(MEASUREMENTS)
        stored = run_measurements(names, stored if options.only else None)
        data = msgspec.json.format(msgspec.json.encode(stored), indent=1)
        options.record.write_bytes(data + b"\n")
    if stored is None:
        sys.stderr.write(f"{options.record}: file not found; run without --tables to create it\n")
        return 1
    if options.page.exists():
        options.page.write_text(fill_page(options.page.read_text(), stored))
    return 0


def run_measurements(names: list[str], stored: CapacityRecord | None) -> CapacityRecord:
    """Run the named measurements.

    :param stored: earlier record; its series that are not measured again are kept.
    """
    measured: list[Series] = []
    skipped: list[str] = []
    for name in names:
        started_s = time.monotonic()
        try:
            measured.extend(MEASUREMENTS.get(name)())
        except (RuntimeError, ValueError, TimeoutError, ImportError) as error:
            skipped.append(f"{name}: {error}")
        sys.stderr.write(f"{name}: {time.monotonic() - started_s:.1f} s\n")
    if stored is not None:
        measured_names = {series.name for series in measured}
        measured = [s for s in stored.series if s.name not in measured_names] + measured
        skipped += [text for text in stored.skipped if text.partition(":")[0] not in names]
    return CapacityRecord(
        datetime.now(UTC).isoformat(timespec="seconds"),
        f"{platform.machine()}, Python {platform.python_version()}",
        measured,
        skipped,
    )


if __name__ == "__main__":
    sys.exit(main())
