import pytest

from persimmonspur.client.client import QueryResult
from persimmonspur.load.deployment import DEPLOYMENTS, build_configuration
from persimmonspur.load.faults import repartition_configuration
from persimmonspur.load.verifier import ResultVerifier, Verdict
from persimmonspur.model.configuration import KEY_SPACE_UNITS
from persimmonspur.standins.dataset import list_records

SERVICE = "repair-counter"


@pytest.fixture
def verifier():
    configuration = build_configuration(DEPLOYMENTS["ulaanbaatar"])
    return ResultVerifier.from_configurations(
        configuration, repartition_configuration(configuration)
    )


def build_answer(records, covered=KEY_SPACE_UNITS, missing=(), snapshot="1.1"):
    return QueryResult("r", 200, snapshot, covered, KEY_SPACE_UNITS, missing, records)


@pytest.mark.parametrize("snapshot", ["1.1", "2.1"])
def test_a_complete_answer_is_exact_in_both_epochs(verifier, snapshot):
    records = list_records(SERVICE, 1, 0, KEY_SPACE_UNITS, 10)
    answer = build_answer(records, snapshot=snapshot)
    assert verifier.verify(SERVICE, answer, None, 10) is Verdict.EXACT


def test_a_record_of_another_version_is_wrong(verifier):
    records = list_records(SERVICE, 1, 0, KEY_SPACE_UNITS, 10)
    records[3] = {**records[3], "version": 2}
    assert verifier.verify(SERVICE, build_answer(records), None, 10) is Verdict.WRONG


def test_a_duplicate_record_is_wrong(verifier):
    records = list_records(SERVICE, 1, 0, KEY_SPACE_UNITS, 10)
    answer = build_answer([records[0], *records[:9]])
    assert verifier.verify(SERVICE, answer, None, 10) is Verdict.WRONG


def test_a_partial_answer_must_state_its_coverage_and_missing_shards(verifier):
    # Requests all records, so that the records of a missing shard are always missed.
    first = verifier.shard_maps[SERVICE][1].shards[0]
    records = list_records(SERVICE, 1, first.stop, KEY_SPACE_UNITS, 256)
    covered = KEY_SPACE_UNITS - first.units
    accurate = build_answer(records, covered, (first.name,))
    assert verifier.verify(SERVICE, accurate, None, 256) is Verdict.PARTIAL
    undeclared = build_answer(records, KEY_SPACE_UNITS, ())
    assert verifier.verify(SERVICE, undeclared, None, 256) is Verdict.WRONG
    overstated = build_answer(records, KEY_SPACE_UNITS, (first.name,))
    assert verifier.verify(SERVICE, overstated, None, 256) is Verdict.WRONG


def test_a_single_key_query_needs_one_shard(verifier):
    shard = verifier.shard_maps[SERVICE][1].shards[2]
    records = list_records(SERVICE, 1, shard.start, shard.stop, 1)
    answer = QueryResult("r", 200, "1.1", shard.units, shard.units, (), records)
    assert verifier.verify(SERVICE, answer, shard.start, 1) is Verdict.EXACT
    assert verifier.count_needed(SERVICE, answer, shard.start) == 1
    assert verifier.count_needed(SERVICE, answer, None) == 10
