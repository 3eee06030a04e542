from random import Random

from persimmonspur.core.configuration.backoff import Backoff


def test_waits_double_up_to_the_bound_with_jitter():
    backoff = Backoff(Random(1), 100.0, 1_000.0)
    waits = [backoff.next_ms() for _ in range(8)]
    for wait, bound in zip(waits, [100, 200, 400, 800, 1000, 1000, 1000, 1000], strict=True):
        assert bound / 2 <= wait <= bound
    assert len(set(waits)) == 8
    backoff.reset()
    assert backoff.next_ms() <= 100


def test_instances_with_other_seeds_wait_differently():
    # Otherwise all would call the object API at once when it comes back.
    assert Backoff(Random(1), 100.0, 1_000.0).next_ms() != Backoff(Random(2), 100.0, 1e3).next_ms()
