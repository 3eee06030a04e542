"""One order in progress: its phase, its evidence, and the share of the new version."""

from enum import StrEnum

import msgspec
from attrs import frozen

from persimmonspur.core.fleet.rollouts.evidence import Evidence, TypicalLatencies
from persimmonspur.core.fleet.rollouts.orders import OrderState, RolloutBounds, RolloutOrder
from persimmonspur.core.fleet.rollouts.statistics import Counts, sum_counts
from persimmonspur.core.fleet.rollouts.traffic import (
    SendCredit,
    compute_shift_ms,
    compute_shift_share,
)
from persimmonspur.core.fleet.rollouts.verdict import find_fault, find_last_doubt, is_doubtful

# The traffic begins to shift after this part of the order's time with enough good responses,
# and with any of them the second part later. Short orders are decided earlier, because it takes
# this time after the shift until all instances have left the old version and one has written it.
VERDICT_FRACTION = 0.7
MIN_VERDICT_FRACTION = 0.4
VERDICT_DELAY_FRACTION = 0.08
COMPLETION_MS = 1_600.0
MIN_GOOD_RESPONSES = 10
# Success is not written before this part of the order's time: until then a fault that shows
# only with all requests can still be undone.
MIN_END_FRACTION = 0.9
# An order that has not begun to shift by then is rolled back, so that its state is written by
# the end of its time.
GIVE_UP_FRACTION = 0.95
# Time beyond the end of the order for which a shift may still be completed, which may be held
# up by a store that does not answer.
MAX_OVERTIME_MS = 5_000.0
# From this part of the order's time on, requests that wait at old endpoints no longer hold up
# the end; an endpoint that hangs would otherwise delay it by the timeout of a route.
LAST_WAIT_FRACTION = 0.93
# Delay of the verdict for each rank, so that usually one instance decides.
RANK_DELAY_MS = 500.0
# A report about an order that began this long before the one that this instance saw begin is
# about an earlier order, unless both saw the same write of its state.
MAX_START_SKEW_MS = 3_000.0
# An instance has left the old version after it has sent nothing to it for this time.
SETTLED_MS = 300.0


def compute_verdict_ms(over_ms: float) -> float:
    """Return the time from an order at which its traffic may begin to shift."""
    latest_ms = over_ms - compute_shift_ms(over_ms) - COMPLETION_MS
    return max(MIN_VERDICT_FRACTION * over_ms, min(VERDICT_FRACTION * over_ms, latest_ms))


class Phase(StrEnum):
    """Phase of an order at one instance, from its arrival to its end."""

    PENDING = "pending"
    RUNNING = "running"
    SHIFTING = "shifting"
    ROLLED_BACK = "rolled_back"
    SUCCEEDED = "succeeded"


class RolloutReport(msgspec.Struct, array_like=True):
    """What an instance tells the others about one order.

    :param elapsed_ms: time since the order began.
    :param shift_ms: time since the traffic began to shift; -1 before that.
    :param settled: whether the sender has left the old version.
    :param run_revision: revision at which the sender saw the order run; 0 before that.
    :param begun_ms: the sender's local time at which it began to count.
    :param counts: digest of the route, new responses, bad ones, old responses, bad ones.
    """

    service: str
    target_version: str
    phase: str
    reason: str
    elapsed_ms: int
    shift_ms: int
    settled: bool
    run_revision: int
    begun_ms: int
    counts: list[tuple[str, int, int, int, int]]


@frozen
class Standing:
    """What this instance knows about the others and the store.

    :param rank: position among the live instances that clients are directed to; ``None`` if
        it is not one of them.
    :param connected: whether it hears a majority of the instances.
    :param confirmed: whether the state of the orders was confirmed lately.
    """

    rank: int | None
    connected: bool
    confirmed: bool


class Rollout:
    """One order as this instance carries it out.

    :ivar reason: why the order was rolled back.
    :ivar first_attempts: first attempts of this instance at any version.
    :ivar new_sends: all sends of this instance to the new version.
    :ivar missing: whether a restored store lacks the order.
    """

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        latencies: TypicalLatencies,
        now_ms: float,
    ) -> None:
        """Begin with an order that has just arrived.

        :param latencies: typical latencies of the versions in use.
        """
        self.order = order
        self.phase = Phase.PENDING
        self.reason = ""
        self.evidence = Evidence(order.service, latencies, now_ms)
        self.credit = SendCredit(bounds.exposure_share, bounds.exposure_slack)
        self.first_attempts = 0
        self.new_sends = 0
        self.missing = False
        self._seen_from_start = order.state is OrderState.NONE
        self._new_endpoints = 0
        self._run_revision = 0
        self._begun_ms = now_ms
        self._started_ms = now_ms
        self._shift_started_ms = 0.0
        self._last_old_send_ms = now_ms
        self.adopt_state(order)

    @property
    def target(self) -> str:
        """Version that is to take over."""
        return self.order.target_version

    @property
    def in_progress(self) -> bool:
        """Whether the new version may get requests, and the verdict is open."""
        return self.phase in (Phase.RUNNING, Phase.SHIFTING)

    def adopt_state(self, order: RolloutOrder) -> None:
        """Adopt the state that the store has."""
        self.order = order
        if order.state is OrderState.RUNNING and not self._run_revision:
            self._run_revision = order.revision
        if order.state is OrderState.SUCCEEDED:
            self.phase = Phase.SUCCEEDED
        elif order.state is OrderState.ROLLED_BACK:
            self.roll_back("the store says so")
        elif order.problem:
            self.roll_back(order.problem)
        elif order.state is OrderState.RUNNING and self.phase is Phase.PENDING:
            self.phase = Phase.RUNNING

    def roll_back(self, reason: str) -> None:
        """Stop the sends to the new version; the state in the store follows."""
        if self.phase in (Phase.ROLLED_BACK, Phase.SUCCEEDED):
            return
        self.phase = Phase.ROLLED_BACK
        self.reason = reason

    def get_desired_state(self, all_settled: bool) -> OrderState:
        """Return the state that the store should have.

        :param all_settled: whether all instances have left the old version.
        """
        if self.phase is Phase.PENDING:
            return OrderState.RUNNING
        if self.phase is Phase.ROLLED_BACK:
            return OrderState.ROLLED_BACK
        if self.phase is Phase.SUCCEEDED:
            return OrderState.SUCCEEDED
        if self.phase is Phase.SHIFTING and all_settled:
            return OrderState.SUCCEEDED
        return self.order.state or OrderState.RUNNING

    def get_elapsed_ms(self, now_ms: float) -> float:
        """Return the time since the order began, as far as is known."""
        return now_ms - self._started_ms

    def compute_share(self, now_ms: float) -> float:
        """Return the share of the first attempts that goes to the new version."""
        if self.phase is Phase.RUNNING:
            return self.credit.canary_share
        if self.phase is Phase.SHIFTING:
            return compute_shift_share(
                self._new_endpoints, now_ms - self._shift_started_ms, self.order.over_ms
            )
        return 1.0 if self.phase is Phase.SUCCEEDED else 0.0

    def record_sent(self, is_new: bool, is_first: bool, now_ms: float) -> None:
        """Record a send to an endpoint of the service."""
        if is_first:
            self.first_attempts += 1
            if self.in_progress:
                self.credit.record_first_attempt(self.compute_share(now_ms))
        if is_new:
            self.new_sends += 1
            self.credit.spend()
        else:
            self._last_old_send_ms = now_ms

    def is_settled(self, old_outstanding: int, now_ms: float) -> bool:
        """Return whether this instance has left the old version.

        :param old_outstanding: unanswered requests at endpoints of the old version.
        """
        if self.phase is not Phase.SHIFTING or self.compute_share(now_ms) < 1.0:
            return False
        if self.get_elapsed_ms(now_ms) < MIN_END_FRACTION * self.order.over_ms:
            return False
        if now_ms - self._last_old_send_ms < SETTLED_MS:
            return False
        is_last = self.get_elapsed_ms(now_ms) >= LAST_WAIT_FRACTION * self.order.over_ms
        return is_last or not old_outstanding

    def evaluate(self, now_ms: float) -> None:
        """Roll back if the evidence shows a fault."""
        if not self.in_progress:
            return
        fault = find_fault(self.evidence)
        if fault:
            self.roll_back(fault)

    def check_last(self) -> None:
        """Roll back if the evidence is too doubtful for the end of the old version."""
        if self.phase is Phase.SHIFTING:
            doubt = find_last_doubt(self.evidence)
            if doubt:
                self.roll_back(doubt)

    def update(self, standing: Standing, endpoints: tuple[int, int], now_ms: float) -> None:
        """Proceed with time.

        :param endpoints: numbers of usable endpoints of the new and of other versions.
        """
        self._new_endpoints = endpoints[0]
        if self.phase in (Phase.ROLLED_BACK, Phase.SUCCEEDED):
            return
        self.evaluate(now_ms)
        elapsed_ms = self.get_elapsed_ms(now_ms)
        over_ms = self.order.over_ms
        if self.phase is Phase.SHIFTING:
            if elapsed_ms >= over_ms + MAX_OVERTIME_MS:
                self.roll_back("the old version was not left in time")
            return
        if elapsed_ms >= GIVE_UP_FRACTION * over_ms:
            self.roll_back(self._describe_missing_verdict())
            return
        if self.phase is Phase.RUNNING and standing.rank is not None:
            elapsed_ms -= standing.rank * RANK_DELAY_MS
            has_capacity = endpoints[0] >= endpoints[1]
            self._consider_shift(standing, has_capacity, elapsed_ms, now_ms)

    def _consider_shift(
        self, standing: Standing, has_capacity: bool, elapsed_ms: float, now_ms: float
    ) -> None:
        verdict_ms = compute_verdict_ms(self.order.over_ms)
        if elapsed_ms < verdict_ms:
            return
        if not standing.connected or not standing.confirmed or self.missing:
            return
        total = sum_counts(self.evidence.compute_totals().values())
        good = total.new - total.new_bad
        is_late = elapsed_ms >= verdict_ms + VERDICT_DELAY_FRACTION * self.order.over_ms
        if good < (1 if is_late else MIN_GOOD_RESPONSES):
            return
        if not has_capacity and not is_late:
            return
        if not is_doubtful(self.evidence):
            self._start_shift(now_ms)
        elif is_late:
            self.roll_back(f"{total.new_bad} of {total.new} responses are bad: too many to go on")

    def _start_shift(self, started_ms: float) -> None:
        self.phase = Phase.SHIFTING
        self._shift_started_ms = started_ms
        self.evidence.begin_shift()

    def _describe_missing_verdict(self) -> str:
        total = sum_counts(self.evidence.compute_totals().values())
        if not total.new:
            return f"no response of version {self.target} in time"
        return "no verdict in time"

    def build_report(self, settled: bool, now_ms: float) -> RolloutReport:
        """Build the report for the other instances."""
        shift_ms = now_ms - self._shift_started_ms if self.phase is Phase.SHIFTING else -1
        counts = []
        for digest, own in self.evidence.own.items():
            counts.append((digest, own.new, own.new_bad, own.old, own.old_bad))
        return RolloutReport(
            self.order.service,
            self.target,
            self.phase.value,
            self.reason,
            int(self.get_elapsed_ms(now_ms)),
            int(shift_ms),
            settled,
            self._run_revision,
            int(self._begun_ms),
            counts,
        )

    def merge_report(
        self, sender: str, incarnation: int, report: RolloutReport, now_ms: float
    ) -> bool:
        """Adopt the evidence and the verdict of another instance.

        :returns: whether the report is about this order.
        """
        started_ms = now_ms - report.elapsed_ms
        if report.target_version != self.target:
            return False
        same_run = self._run_revision > 0 and report.run_revision == self._run_revision
        if same_run or not self._seen_from_start:
            self._started_ms = min(self._started_ms, started_ms)
        elif started_ms < self._started_ms - MAX_START_SKEW_MS:
            return False
        counts = {digest: Counts(*values) for digest, *values in report.counts}
        self.evidence.merge(sender, (incarnation, report.begun_ms), counts, now_ms)
        if report.phase == Phase.ROLLED_BACK:
            self.roll_back(report.reason)
        elif report.phase == Phase.SHIFTING and self.phase is Phase.RUNNING:
            self._start_shift(now_ms - max(0, report.shift_ms))
        return True
