"""Exact test of whether the new version fails more often than the old one at the same time."""

import math
from collections.abc import Iterable

from attrs import define


@define
class Counts:
    """Responses of the new and the old version, and how many of each were bad."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def add(self, other: "Counts") -> None:
        """Add other counts."""
        self.new += other.new
        self.new_bad += other.new_bad
        self.old += other.old
        self.old_bad += other.old_bad

    def minus(self, other: "Counts") -> "Counts":
        """Return the difference to earlier counts."""
        return Counts(
            self.new - other.new,
            self.new_bad - other.new_bad,
            self.old - other.old,
            self.old_bad - other.old_bad,
        )


def sum_counts(counts: Iterable[Counts]) -> Counts:
    """Return the sum of counts."""
    total = Counts()
    for part in counts:
        total.add(part)
    return total


def compute_p_value(strata: Iterable[Counts]) -> float:
    """Return the probability of as many bad new responses if both versions were alike.

    With one stratum this is Fisher's exact test (R. A. Fisher, "The Logic of Inductive
    Inference", 1935), one-sided. With several it is the exact conditional test for a common
    odds ratio (J. J. Gart, "Point and interval estimation of the common odds ratio", 1970):
    given the totals of each stratum, the bad responses of the new version have a
    hypergeometric distribution in it, and their sum has the convolution of these. A cause that
    both versions share therefore counts as little as the old version shows it as well.

    :param strata: counts of one route during one period each.
    """
    distribution = [1.0]
    observed = 0
    offset = 0
    for stratum in strata:
        bad = stratum.new_bad + stratum.old_bad
        if not bad or not stratum.new or not stratum.old:
            continue
        lowest, probabilities = _compute_hypergeometric(stratum.new, stratum.old, bad)
        distribution = _convolve(distribution, probabilities)
        offset += lowest
        observed += stratum.new_bad
    return min(1.0, math.fsum(distribution[max(0, observed - offset) :]))


def _compute_hypergeometric(new: int, old: int, bad: int) -> tuple[int, list[float]]:
    """Return the lowest possible number of bad new responses, and the probabilities from it on."""
    lowest = max(0, bad - old)
    log_total = _log_comb(new + old, bad)
    probabilities = []
    for count in range(lowest, min(new, bad) + 1):
        log_ways = _log_comb(new, count) + _log_comb(old, bad - count)
        probabilities.append(math.exp(log_ways - log_total))
    return lowest, probabilities


def _log_comb(total: int, chosen: int) -> float:
    return math.lgamma(total + 1) - math.lgamma(chosen + 1) - math.lgamma(total - chosen + 1)


def _convolve(first: list[float], second: list[float]) -> list[float]:
    result = [0.0] * (len(first) + len(second) - 1)
    for index, weight in enumerate(first):
        for shift, probability in enumerate(second):
            result[index + shift] += weight * probability
    return result
