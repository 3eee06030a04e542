"""Verifies query results against the data set of the stand-in searchers."""

from enum import StrEnum
from typing import Any

from attrs import define, field

from persimmonspur.client.client import QueryResult
from persimmonspur.core.requests.merge import merge_records
from persimmonspur.core.requests.snapshots import select_shards
from persimmonspur.model.configuration import KEY_SPACE_UNITS, Configuration, Shard, ShardMap
from persimmonspur.model.query import SnapshotId
from persimmonspur.standins.dataset import list_records

WHOLE_KEY_SPACE = ShardMap(0, (Shard("whole", 0, KEY_SPACE_UNITS),))


class Verdict(StrEnum):
    """Outcome of the verification of a query result."""

    EXACT = "exact"
    PARTIAL = "partial"
    WRONG = "wrong"


@define
class ResultVerifier:
    """Recomputes the expected result of a query from the data set.

    :param shard_maps: shard maps of a run by service and epoch. For a service without any, one
        shard of the whole key space is assumed and partial results are not compared.
    """

    shard_maps: dict[str, dict[int, ShardMap]] = field(factory=dict)
    _expected_records: dict[tuple[Any, ...], list[Any]] = field(factory=dict)

    @classmethod
    def from_configurations(cls, *configurations: Configuration) -> "ResultVerifier":
        """Return a verifier with the shard maps of all configurations used in a run."""
        shard_maps: dict[str, dict[int, ShardMap]] = {}
        for configuration in configurations:
            for service in configuration.services:
                known = shard_maps.setdefault(service.name, {})
                known.update({shard_map.epoch: shard_map for shard_map in service.shard_maps})
        return cls(shard_maps)

    def count_needed(self, service: str, result: QueryResult, key: int | None) -> int:
        """Return the number of sub-requests for a query without hedges and retries.

        :returns: 0 if the result names no snapshot or the shard map is unknown.
        """
        if result.snapshot is None:
            return 0
        shard_map = self._find_shard_map(service, SnapshotId.parse(result.snapshot))
        if shard_map is None or shard_map is WHOLE_KEY_SPACE:
            return 0
        return len(select_shards(shard_map, key))

    def verify(self, service: str, result: QueryResult, key: int | None, top: int) -> Verdict:
        """Verify snapshot, coverage, missing shards and records of a query result.

        :param top: maximum number of records that the query requested.
        """
        if result.snapshot is None:
            return Verdict.WRONG
        snapshot = SnapshotId.parse(result.snapshot)
        shard_map = self._find_shard_map(service, snapshot)
        if shard_map is None:
            return Verdict.WRONG
        if shard_map is WHOLE_KEY_SPACE and result.missing_shards:
            return Verdict.PARTIAL
        needed = select_shards(shard_map, key if shard_map is not WHOLE_KEY_SPACE else None)
        names = {shard.name for shard in needed}
        missing = set(result.missing_shards)
        covered_shards = [shard for shard in needed if shard.name not in missing]
        covered = sum(shard.units for shard in covered_shards)
        total = sum(shard.units for shard in needed)
        if not missing <= names or (result.covered, result.total) != (covered, total):
            return Verdict.WRONG
        if result.records != self._compute_expected_records(
            service, snapshot.version, covered_shards, top
        ):
            return Verdict.WRONG
        return Verdict.PARTIAL if missing else Verdict.EXACT

    def _find_shard_map(self, service: str, snapshot: SnapshotId) -> ShardMap | None:
        if service not in self.shard_maps:
            return WHOLE_KEY_SPACE
        return self.shard_maps[service].get(snapshot.epoch)

    def _compute_expected_records(
        self, service: str, version: int, shards: list[Shard], top: int
    ) -> list[Any]:
        bounds = tuple((shard.start, shard.stop) for shard in shards)
        cache_key = (service, version, bounds, top)
        if cache_key not in self._expected_records:
            parts = [list_records(service, version, start, stop, top) for start, stop in bounds]
            self._expected_records[cache_key] = merge_records(parts, top)
        return self._expected_records[cache_key]
