"""Guards single rules of claim partitions that random orders rarely single out."""

from persimmonspur.core.claims import partition as module
from persimmonspur.core.claims.actions import ReadRecords, WriteRecords
from persimmonspur.core.claims.directory import ClaimDirectory, Tenure
from persimmonspur.core.claims.partition import Answered, ClaimPartition, Refused, Run, Wait
from persimmonspur.errors import ErrorKind, Ran


def claim(partition, request_id, epoch=5, version=5, now=0.0):
    return partition.claim(request_id, epoch, version, now + 1.0, now)


def test_repeats_wait_and_then_get_the_same_answer():
    partition = ClaimPartition(0, "a", 5, first=True)
    assert claim(partition, "q") == Run()
    assert claim(partition, "q") == Wait()
    partition.finish("q", Ran.YES, 200, b"answer")
    assert claim(partition, "q") == Answered(200, b"answer")


def test_epoch_above_the_table_waits_for_the_table():
    """The next owner relies on this to run ids of its own epoch."""
    partition = ClaimPartition(0, "a", 1, first=True)
    refused = claim(partition, "q", epoch=6, version=5)
    assert (refused.kind, refused.ran, refused.retry) == (ErrorKind.NOT_READY, Ran.UNKNOWN, True)
    assert claim(partition, "q", epoch=6, version=6) == Run()


def test_missing_epoch_counts_as_the_lowest():
    partition = ClaimPartition(0, "a", 5, first=False)
    assert claim(partition, "q", epoch=0).kind is ErrorKind.STALE_EPOCH


def test_records_are_dropped_after_two_renewals_and_ten_minutes_but_not_while_they_run():
    partition = ClaimPartition(0, "a", 1, first=True)
    claim(partition, "running", epoch=5)
    claim(partition, "old", epoch=5)
    partition.finish("old", Ran.YES, 200, b"")
    for version, now in ((6, 700_000.0), (7, 599_000.0)):
        partition.drop_old(version, now)
        assert len(partition) == 2
    partition.drop_old(7, 600_000.0)
    assert partition.floor == 6
    assert claim(partition, "old", epoch=5).ran is Ran.UNKNOWN
    assert claim(partition, "running", epoch=5) == Wait()


def test_full_partition_says_not_run_and_keeps_its_word(monkeypatch):
    monkeypatch.setattr(module, "MAX_RECORDS", 1)
    partition = ClaimPartition(0, "a", 1, first=True)
    claim(partition, "first")
    assert claim(partition, "second").ran is Ran.NO
    partition._records.clear()
    assert claim(partition, "second").ran is Ran.NO


def test_answers_beyond_the_bound_are_reported_as_run(monkeypatch):
    monkeypatch.setattr(module, "MAX_ANSWER_BYTES", 10)
    partition = ClaimPartition(0, "a", 1, first=True)
    for name in ("one", "two"):
        claim(partition, name)
        partition.finish(name, Ran.YES, 200, b"12345678")
    decision = claim(partition, "one")
    assert isinstance(decision, Refused)
    assert decision.ran is Ran.YES


def start_directory():
    directory = ClaimDirectory("a")
    (action,) = directory.adopt({0: Tenure(own=True, moved_at=1, first=True)}, 0.0)
    assert action == ReadRecords(0)
    directory.observe_read(0, None, 0, 0.0)
    return directory


def test_changes_are_written_together_and_not_faster_than_the_interval():
    directory = start_directory()
    for index in range(100):
        directory.claim(0, f"q{index}", 1, 1, 1.0, 0.0)
    (write,) = directory.tick(1, 100.0)
    assert write.expected_version == 0
    directory.observe_write(0, 1, 110.0)
    directory.claim(0, "more", 1, 1, 200.0, 120.0)
    assert directory.tick(1, 1_000.0) == []
    (write,) = directory.tick(1, 31_000.0)
    assert write.expected_version == 1
    directory.observe_write(0, 2, 31_010.0)
    assert directory.tick(1, 90_000.0) == []


def test_lost_reply_of_a_write_is_settled_by_reading_back():
    directory = start_directory()
    directory.claim(0, "q", 1, 1, 1.0, 0.0)
    (write,) = directory.tick(1, 100.0)
    directory.observe_write(0, None, 110.0)
    assert directory.tick(1, 31_000.0) == [ReadRecords(0)]
    directory.observe_read(0, write.value, 1, 31_010.0)
    (again,) = directory.tick(1, 32_000.0)
    assert isinstance(again, WriteRecords)
    assert again.expected_version == 1
    assert len(directory.find(0)) == 1


def test_records_of_a_newer_owner_are_not_overwritten():
    directory = start_directory()
    newer = ClaimPartition(0, "b", 2, first=False).encode()
    directory.observe_write(0, None, 0.0)
    directory.observe_read(0, newer, 7, 10.0)
    directory.claim(0, "q", 1, 1, 100.0, 20.0)
    assert directory.tick(1, 40_000.0) == []


def hand_over_to(former, value):
    """Let the next owner inherit and return it."""
    successor = ClaimPartition(0, "b", 6, first=False)
    assert claim(successor, "old-epoch", epoch=5, version=6).kind is ErrorKind.STALE_EPOCH
    assert successor.inherit(value, 0.0)
    return successor


def test_late_copy_of_a_rejected_request_does_not_run_at_the_next_owner(monkeypatch):
    monkeypatch.setattr(module, "MAX_RECORDS", 1)
    former = ClaimPartition(0, "a", 1, first=True)
    claim(former, "kept")
    assert claim(former, "rejected").ran is Ran.NO
    former.close()
    successor = hand_over_to(former, former.encode(6))
    assert claim(successor, "rejected", version=6).ran is Ran.UNKNOWN


def test_mark_in_the_object_api_lets_the_next_owner_run_older_epochs():
    """Without the mark, callers that resolved before the move would get no answer."""
    directory = start_directory()
    directory.claim(0, "known", 1, 1, 1.0, 0.0)
    directory.finish(0, "known", Ran.YES, 200, b"")
    directory.adopt({0: Tenure(own=False, moved_at=6, first=False)}, 10.0)
    assert directory.busy
    (mark,) = directory.tick(6, 20.0)
    directory.observe_write(0, 1, 30.0)
    directory.tick(6, 40.0)
    assert not directory.busy
    successor = hand_over_to(directory, mark.value)
    assert claim(successor, "known", version=6).kind is ErrorKind.OUTCOME_UNKNOWN
    assert claim(successor, "new", epoch=1, version=6) == Run()


def test_mark_for_another_change_is_not_trusted():
    former = ClaimPartition(0, "a", 1, first=True)
    former.close()
    later = ClaimPartition(0, "b", 9, first=False)
    assert not later.inherit(former.encode(6), 0.0)
    assert claim(later, "q", epoch=5, version=9).kind is ErrorKind.STALE_EPOCH
