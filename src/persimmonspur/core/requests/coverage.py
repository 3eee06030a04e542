"""Computes the exact coverage of the key space."""

from collections.abc import Collection, Iterable

from persimmonspur.model.configuration import Shard
from persimmonspur.model.query import Coverage


def measure_coverage(shards: Iterable[Shard], answered: Collection[str]) -> Coverage:
    """Return how many key space units of the required shards were answered.

    :param shards: all shards that the query requires.
    :param answered: names of the shards whose records were merged.
    """
    covered = 0
    total = 0
    for shard in shards:
        total += shard.units
        if shard.name in answered:
            covered += shard.units
    return Coverage(covered, total)


def list_missing(shards: Iterable[Shard], answered: Collection[str]) -> tuple[str, ...]:
    """Return the names of required shards that were not merged, in key order."""
    return tuple(shard.name for shard in shards if shard.name not in answered)
