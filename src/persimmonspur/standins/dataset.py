"""Deterministic records of the stand-in searchers, so that any answer can be verified."""

from typing import Any

from persimmonspur.core.rendezvous import hash_key
from persimmonspur.model.configuration import KEY_SPACE_UNITS

RECORD_COUNT = 256
UNITS_PER_RECORD = KEY_SPACE_UNITS // RECORD_COUNT


def list_records(service: str, version: int, start: int, stop: int, top: int) -> list[Any]:
    """Return the records with the highest scores in a range of the key space.

    The records depend on the index version but not on the shard map, so a
    complete answer is the same before and after a repartition.

    :param start: first key space unit.
    :param stop: unit after the last one.
    :param top: maximum number of records.
    """
    records: list[dict[str, Any]] = []
    for index in range(-(-start // UNITS_PER_RECORD), -(-stop // UNITS_PER_RECORD)):
        identifier = f"{service}-{index:04d}"
        score = hash_key(identifier, str(version)) % 10_000
        records.append({"id": identifier, "score": score, "version": version})
    records.sort(key=lambda record: (-record["score"], record["id"]))
    return records[:top]
