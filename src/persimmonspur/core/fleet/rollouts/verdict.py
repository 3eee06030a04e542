"""Decides from the evidence whether a new version is rolled back or takes over."""

from collections.abc import Iterable

from persimmonspur.core.fleet.rollouts.evidence import Evidence
from persimmonspur.core.fleet.rollouts.statistics import Counts, compute_p_value, sum_counts

# Significance at which a version is rolled back. The test is repeated at each update and for
# each route.
SIGNIFICANCE = 0.001
# Significance at which a version does not take over, which is tested once before the traffic
# shifts and once after it. In simulated time (tests/rolloutsim.py, 250 seeds) 0.03
# rolled back 6% of the good versions at 60 requests a second, and 0.01 1%.
FINAL_SIGNIFICANCE = 0.01
# The same with fewer responses of the new version than this: 0.01 let 34 of 80 versions pass
# whose failure rate is 30% at 5 requests a second.
FEW_RESPONSES = 25
FEW_RESPONSES_SIGNIFICANCE = 0.05
# Fewer bad responses than this are no evidence, except before the version takes over.
MIN_BAD_RESPONSES = 3
# While the traffic shifts, a fault must also show in the responses since the shift with this
# significance. Otherwise it may be a cause that both versions share. With fewer responses of the
# old version since the shift than the second number, that cannot be told. In simulated time 0.05
# rolled back 12 instead of 5 of 60 good versions for a disturbance 0.4 s into the shift.
SHARED_CAUSE_SIGNIFICANCE = 0.02
MIN_OLD_SINCE_SHIFT = 10
# Latest periods that are also tested alone, since a version that turns bad later has good
# responses before that.
RECENT_PERIODS = 2
# Without any response of the old version, a new one is bad with this many bad responses and
# more bad ones than good ones.
MIN_BAD_ALONE = 5


def find_fault(evidence: Evidence) -> str:
    """Return why the new version is to be rolled back now, or an empty text."""
    total = sum_counts(evidence.compute_totals().values())
    if total.new_bad < MIN_BAD_RESPONSES:
        return ""
    if not total.old and total.new_bad >= MIN_BAD_ALONE and 2 * total.new_bad > total.new:
        return f"{total.new_bad} of {total.new} responses are bad, none to compare with"
    fault = _find_fault_at_the_same_time(evidence)
    return fault or _find_fault_in_shift(evidence, MIN_BAD_RESPONSES, SIGNIFICANCE)


def is_doubtful(evidence: Evidence) -> bool:
    """Return whether the new version must not take over, though it is not certainly bad."""
    periods = evidence.get_periods()
    significance = _choose_final_significance(evidence)
    if any(compute_p_value(strata) < significance for strata in periods.values()):
        return True
    every = (counts for strata in periods.values() for counts in strata)
    return compute_p_value(every) < significance


def find_last_doubt(evidence: Evidence) -> str:
    """Return why the new version is to be rolled back before the old one ends, or an empty text."""
    return _find_fault_in_shift(evidence, 1, _choose_final_significance(evidence))


def _choose_final_significance(evidence: Evidence) -> float:
    total = sum_counts(evidence.compute_totals().values())
    return FEW_RESPONSES_SIGNIFICANCE if total.new < FEW_RESPONSES else FINAL_SIGNIFICANCE


def _find_fault_at_the_same_time(evidence: Evidence) -> str:
    """Compare both versions within each period."""
    periods = evidence.get_periods()
    since = evidence.get_since_shift()
    scopes = []
    for digest, strata in periods.items():
        route = f"route {evidence.get_route_name(digest)}"
        scopes.append((route, [*strata, since.get(digest, Counts())]))
    every = [counts for strata in periods.values() for counts in strata]
    scopes.append(("all routes", [*every, *since.values()]))
    recent = [counts for strata in periods.values() for counts in strata[-RECENT_PERIODS:]]
    scopes.append(("all routes lately", [*recent, *since.values()]))
    return _find_significant(scopes, MIN_BAD_RESPONSES, SIGNIFICANCE)


def _find_fault_in_shift(evidence: Evidence, min_bad: int, significance: float) -> str:
    """Compare the new version with the old one before the shift.

    While the traffic shifts, the old version soon has too few responses to compare with at
    the same time. They only serve to recognize a cause that both versions share.
    """
    since = evidence.get_since_shift()
    if not since:
        return ""
    shows_in_all = _shows_since_shift(since.values())
    if sum_counts(since.values()).old < MIN_OLD_SINCE_SHIFT:
        shows_in_all = True
    totals = evidence.compute_totals()
    latest = {}
    scopes = []
    for digest, total in totals.items():
        part = since.get(digest, Counts())
        # The responses of the new version since the shift, and all of the old one.
        latest[digest] = Counts(part.new, part.new_bad, total.old, total.old_bad)
        if shows_in_all or _shows_since_shift([part]):
            route = f"route {evidence.get_route_name(digest)}"
            scopes.append((route, [total]))
            scopes.append((f"{route} since the shift", [latest[digest]]))
    if shows_in_all:
        scopes.append(("all routes", list(totals.values())))
        scopes.append(("all routes since the shift", list(latest.values())))
    return _find_significant(scopes, min_bad, significance)


def _shows_since_shift(counts: Iterable[Counts]) -> bool:
    return compute_p_value(counts) < SHARED_CAUSE_SIGNIFICANCE


def _find_significant(
    scopes: list[tuple[str, list[Counts]]], min_bad: int, significance: float
) -> str:
    """Return the first scope in which the new version has too many bad responses."""
    for scope, strata in scopes:
        total = sum_counts(strata)
        if total.new_bad < min_bad:
            continue
        p_value = compute_p_value(strata)
        if p_value < significance:
            return (
                f"{scope}: {total.new_bad} of {total.new} responses of the new version are bad, "
                f"{total.old_bad} of {total.old} of the old one, p {p_value:.1g}"
            )
    return ""
