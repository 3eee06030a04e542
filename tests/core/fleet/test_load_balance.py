"""What callers get, and how evenly work is spread, while knowledge of the load is stale.

The scenarios are described in ``balancesim``; docs/design/load-balance.md has the figures of all
alternatives that were tried.
"""

from statistics import mean

import pytest
from attrs import fields

from balancesim import BalanceSimulation, Figures, Scenario
from persimmonspur.core.fleet import selection

SEEDS = (1, 2)
ORDINARY = Scenario(200, warm_up_ms=800.0, duration_ms=1_200.0)
QUIET = Scenario(40, warm_up_ms=1_000.0, duration_ms=4_000.0)


def play(scenario):
    """Return the mean of each figure over the seeds."""
    played = [BalanceSimulation(scenario, seed).run() for seed in SEEDS]
    names = (field.name for field in fields(Figures))
    return Figures(*(mean(getattr(figures, name) for figures in played) for name in names))


def use_former_ranking(monkeypatch):
    """Rank replicas by reported load, with fast ones first."""
    monkeypatch.setattr(selection, "OUTSTANDING_WEIGHT", 0.0)
    monkeypatch.setattr(selection, "EVEN_SHARE_FRACTION", 0.0)
    monkeypatch.setattr(selection, "MIN_LATENCY_FACTOR", 0.0)
    monkeypatch.setattr(selection, "SCORE_JITTER", 0.05)


def test_own_unanswered_requests_tell_more_than_stale_reports(monkeypatch):
    # Guards against requests that pile up at paused replicas, which report nothing.
    figures = play(ORDINARY)
    use_former_ranking(monkeypatch)
    former = play(ORDINARY)
    assert figures.missing < 0.6 * former.missing
    assert figures.whole_in_time > former.whole_in_time
    assert figures.p50_ms < former.p50_ms
    assert figures.extra <= former.extra


def test_replicas_share_the_requests_of_a_quiet_day(monkeypatch):
    # Guards against one replica of a shard that gets most requests because it is a little
    # faster, or in the failure domain of an instance, and against more bytes between failure
    # domains in return.
    figures = play(QUIET)
    use_former_ranking(monkeypatch)
    former = play(QUIET)
    assert figures.busiest <= 1.4 and figures.busiest < 0.9 * former.busiest
    assert figures.remote <= former.remote
    assert figures.in_time >= former.in_time - 0.01


@pytest.mark.parametrize(
    ("scenario", "min_value"),
    [
        (Scenario(100, warm_up_ms=500.0, duration_ms=700.0, report_age_ms=None), 0.96),
        (Scenario(100, warm_up_ms=500.0, duration_ms=700.0, wrong_reports=True), 0.96),
        (Scenario(100, warm_up_ms=500.0, duration_ms=700.0, demand=(1.0, 0.0, 0.0, 0.0)), 0.96),
        (Scenario(40, warm_up_ms=500.0, duration_ms=1_500.0, replicas=1, pauses=False), 0.96),
    ],
    ids=["no-reports", "wrong-reports", "one-instance", "single-replica"],
)
def test_gathers_are_served_whatever_endpoints_report(scenario, min_value):
    # Guards against requests that are rejected or late because of what endpoints report.
    assert play(scenario).value >= min_value
