"""Decides from the evidence whether a new version is rolled back or takes over."""

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
# While the traffic shifts, a cause is shared if the old version's bad rate is at least this
# fraction of the new one's.
SHARED_CAUSE_RATIO = 0.5
# Latest periods that are also tested alone, since a version that turns bad later has good
# responses before that.
RECENT_PERIODS = 2
# Without any response of the old version, a new one is bad with this many bad responses and
# more bad ones than good ones.
MIN_BAD_ALONE = 5


def find_fault(evidence: Evidence, at_shift: dict[str, Counts] | None) -> str:
    """Return why the new version is to be rolled back now, or an empty text.

    :param at_shift: totals by route when the traffic began to shift; ``None`` before that.
    """
    strata = evidence.get_strata()
    total = sum_counts(counts for periods in strata.values() for counts in periods)
    if total.new_bad < MIN_BAD_RESPONSES:
        return ""
    if not total.old and total.new_bad >= MIN_BAD_ALONE and 2 * total.new_bad > total.new:
        return f"{total.new_bad} of {total.new} responses are bad, none to compare with"
    for digest, periods in strata.items():
        route_total = sum_counts(periods)
        if route_total.new_bad < MIN_BAD_RESPONSES:
            continue
        p_value = compute_p_value(periods)
        if p_value < SIGNIFICANCE:
            return _describe(f"route {evidence.get_route_name(digest)}", route_total, p_value)
    every = [counts for periods in strata.values() for counts in periods]
    recent = [counts for periods in strata.values() for counts in periods[-RECENT_PERIODS:]]
    for scope, periods in (("all routes", every), ("all routes lately", recent)):
        p_value = compute_p_value(periods)
        if p_value < SIGNIFICANCE:
            return _describe(scope, sum_counts(periods), p_value)
    if at_shift is None:
        return ""
    return _find_fault_in_shift(evidence, at_shift, MIN_BAD_RESPONSES, SIGNIFICANCE)


def is_doubtful(evidence: Evidence) -> bool:
    """Return whether the new version must not take over, though it is not certainly bad."""
    strata = evidence.get_strata()
    significance = _choose_final_significance(evidence)
    if any(compute_p_value(periods) < significance for periods in strata.values()):
        return True
    every = (counts for periods in strata.values() for counts in periods)
    return compute_p_value(every) < significance


def find_last_doubt(evidence: Evidence, at_shift: dict[str, Counts]) -> str:
    """Return why the new version is to be rolled back before the old one ends, or an empty text.

    :param at_shift: totals by route when the traffic began to shift.
    """
    return _find_fault_in_shift(evidence, at_shift, 1, _choose_final_significance(evidence))


def _choose_final_significance(evidence: Evidence) -> float:
    total = sum_counts(evidence.compute_totals().values())
    return FEW_RESPONSES_SIGNIFICANCE if total.new < FEW_RESPONSES else FINAL_SIGNIFICANCE


def _find_fault_in_shift(
    evidence: Evidence, at_shift: dict[str, Counts], min_bad: int, significance: float
) -> str:
    """Compare the new version with the old one before the shift.

    While the traffic shifts, the old version soon has too few responses to compare with at
    the same time. They only serve to recognize a cause that both versions share.
    """
    totals = evidence.compute_totals()
    since = {
        digest: counts.minus(at_shift.get(digest, Counts())) for digest, counts in totals.items()
    }
    # The responses of the new version since the shift, and all of the old one.
    latest = {
        digest: Counts(part.new, part.new_bad, totals[digest].old, totals[digest].old_bad)
        for digest, part in since.items()
    }
    scopes = []
    for digest, part in since.items():
        if not _is_shared_cause(part):
            route = f"route {evidence.get_route_name(digest)}"
            scopes.append((route, [totals[digest]]))
            scopes.append((f"{route} since the shift", [latest[digest]]))
    if not _is_shared_cause(sum_counts(since.values())):
        scopes.append(("all routes", list(totals.values())))
        scopes.append(("all routes since the shift", list(latest.values())))
    for scope, counts in scopes:
        total = sum_counts(counts)
        if total.new_bad < min_bad:
            continue
        p_value = compute_p_value(counts)
        if p_value < significance:
            return _describe(scope, total, p_value)
    return ""


def _is_shared_cause(counts: Counts) -> bool:
    if not counts.new_bad or not counts.old_bad:
        return False
    new_rate = counts.new_bad / counts.new
    return counts.old_bad / counts.old >= SHARED_CAUSE_RATIO * new_rate


def _describe(scope: str, total: Counts, p_value: float) -> str:
    return (
        f"{scope}: {total.new_bad} of {total.new} responses of the new version are bad, "
        f"{total.old_bad} of {total.old} of the old one, p {p_value:.1g}"
    )
