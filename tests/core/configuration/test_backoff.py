from random import Random

from persimmonspur.core.configuration.backoff import Backoff


def test_delays_double_up_to_the_maximum_with_jitter():
    backoff = Backoff(Random(1), 100.0, 1_000.0)
    waits = [backoff.next_ms() for _ in range(8)]
    for wait, bound in zip(waits, [100, 200, 400, 800, 1000, 1000, 1000, 1000], strict=True):
        assert bound / 2 <= wait <= bound
    assert len(set(waits)) == 8
    backoff.reset()
    assert backoff.next_ms() <= 100


def test_different_seeds_give_different_delays():
    # Otherwise all instances would call the object API at once when it recovers.
    assert Backoff(Random(1), 100.0, 1_000.0).next_ms() != Backoff(Random(2), 100.0, 1e3).next_ms()
