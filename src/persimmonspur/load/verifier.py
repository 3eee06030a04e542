"""Compares answers with the data set that the stand-in searchers hold."""

from enum import StrEnum
from typing import Any

from attrs import define, field

from persimmonspur.client.client import QueryResult
from persimmonspur.core.requests.merge import merge_records
from persimmonspur.core.requests.snapshots import select_shards
from persimmonspur.model.configuration import KEY_SPACE_UNITS, Configuration, Shard, ShardMap
from persimmonspur.model.query import SnapshotId
from persimmonspur.standins.dataset import list_records

WHOLE = ShardMap(0, (Shard("whole", 0, KEY_SPACE_UNITS),))


class Verdict(StrEnum):
    """What the data set says of an answer."""

    EXACT = "exact"
    PARTIAL = "partial"
    WRONG = "wrong"


@define
class ResultVerifier:
    """Knows every shard map of a run.

    :param shard_maps: by service and epoch; without any, a shard map of one shard is assumed
        and answers with missing shards are not compared.
    """

    shard_maps: dict[str, dict[int, ShardMap]] = field(factory=dict)
    _expected: dict[tuple[Any, ...], list[Any]] = field(factory=dict)

    @classmethod
    def from_configurations(cls, *configurations: Configuration) -> "ResultVerifier":
        """Collect the shard maps of every configuration that a run uses."""
        shard_maps: dict[str, dict[int, ShardMap]] = {}
        for configuration in configurations:
            for service in configuration.services:
                known = shard_maps.setdefault(service.name, {})
                known.update({shard_map.epoch: shard_map for shard_map in service.shard_maps})
        return cls(shard_maps)

    def count_needed(self, service: str, answer: QueryResult, key: int | None) -> int:
        """Return the sub-requests that a query needs without hedges and retries.

        :returns: 0 if the answer names no known snapshot.
        """
        if answer.snapshot is None:
            return 0
        shard_map = self._find(service, SnapshotId.parse(answer.snapshot))
        if shard_map is None or shard_map is WHOLE:
            return 0
        return len(select_shards(shard_map, key))

    def check(self, service: str, answer: QueryResult, key: int | None, top: int) -> Verdict:
        """Check snapshot, coverage, missing shards and records of an answer.

        :param top: records that the query asked for.
        """
        if answer.snapshot is None:
            return Verdict.WRONG
        snapshot = SnapshotId.parse(answer.snapshot)
        shard_map = self._find(service, snapshot)
        if shard_map is None:
            return Verdict.WRONG
        if shard_map is WHOLE and answer.missing_shards:
            return Verdict.PARTIAL
        needed = select_shards(shard_map, key if shard_map is not WHOLE else None)
        names = {shard.name for shard in needed}
        missing = set(answer.missing_shards)
        present = [shard for shard in needed if shard.name not in missing]
        covered = sum(shard.units for shard in present)
        total = sum(shard.units for shard in needed)
        if not missing <= names or (answer.covered, answer.total) != (covered, total):
            return Verdict.WRONG
        if answer.records != self._expect(service, snapshot.version, present, top):
            return Verdict.WRONG
        return Verdict.PARTIAL if missing else Verdict.EXACT

    def _find(self, service: str, snapshot: SnapshotId) -> ShardMap | None:
        if service not in self.shard_maps:
            return WHOLE
        return self.shard_maps[service].get(snapshot.epoch)

    def _expect(self, service: str, version: int, shards: list[Shard], top: int) -> list[Any]:
        bounds = tuple((shard.start, shard.stop) for shard in shards)
        cache_key = (service, version, bounds, top)
        if cache_key not in self._expected:
            parts = [list_records(service, version, start, stop, top) for start, stop in bounds]
            self._expected[cache_key] = merge_records(parts, top)
        return self._expected[cache_key]
