"""All orders that this instance knows, and what they mean for its sends to endpoints."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import define, field, frozen

from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.messages import SendResult
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.rollouts.evidence import TypicalLatencies
from persimmonspur.core.fleet.rollouts.orders import OrderState, RolloutBounds, RolloutOrder
from persimmonspur.core.fleet.rollouts.rollout import Phase, Rollout, RolloutReport, Standing
from persimmonspur.core.fleet.rollouts.statistics import Counts, sum_counts
from persimmonspur.core.fleet.rollouts.versions import ServiceVersions
from persimmonspur.core.fleet.selection import ReplicaSelector

# Part of the rollback time after which a state that was not confirmed allows no more sends to
# the new version. The relay that confirms it may itself have lost the store shortly before.
CONFIRMATION_FRACTION = 0.5
# Reports of instances that clients are directed to must be this recent for `succeeded`.
REPORT_MAX_AGE_MS = 1_200.0
# Time for which an instance leaves a write to the one that ranks before it.
WRITE_TAKEOVER_MS = 2_000.0
# Time between attempts to write the same state.
WRITE_RETRY_MS = 500.0
# Time for which an order stays known that a restored store lacks.
MISSING_ORDER_HOLD_MS = 5_000.0
# Time for which the end of an order is reported to the others.
END_REPORT_MS = 2_000.0

Tiers = tuple[tuple[Endpoint, ...], ...]
_NO_TIERS: Tiers = ()


@frozen
class FleetView:
    """What this instance knows about the others and the store.

    :param participants: live instances that clients are directed to, by rank.
    :param connected: whether it hears a majority of the instances.
    :param confirmed_ms: local time at which the orders were last confirmed by the store or a
        relay.
    """

    own: str
    participants: tuple[str, ...]
    connected: bool
    confirmed_ms: float


@frozen
class StateWrite:
    """A state to write to the store, if the object still has the revision."""

    order: RolloutOrder
    state: OrderState


@define(eq=False)
class _Split:
    """Usable endpoints of a service, divided by the order for it.

    :param source: the endpoints that were divided.
    :param until_ms: local time until which the division holds.
    :param all_old: tier of the old endpoints alone.
    """

    source: tuple[Endpoint, ...]
    until_ms: float
    old: tuple[Endpoint, ...]
    new: tuple[Endpoint, ...]
    all_old: Tiers


@define(eq=False)
class _Progress:
    """One order and what this instance has done for it.

    :param settled_ms: time of the latest report of each peer that says it left the old version.
    :param shift_heard_ms: time of the latest report that the traffic shifts.
    :param desired_since_ms: time since which the store should have another state.
    """

    rollout: Rollout
    era: int
    settled_ms: dict[str, float] = field(factory=dict)
    shift_heard_ms: float = float("-inf")
    desired: OrderState = OrderState.NONE
    desired_since_ms: float = 0.0
    next_write_ms: float = 0.0
    missing_since_ms: float | None = None
    ended_ms: float | None = None
    reported_phase: Phase = Phase.PENDING


class Rollouts:
    """Carries out the orders to move services to other versions.

    Each instance decides which endpoints its requests may go to, counts their responses, and
    tells the other instances that clients are directed to. Any of them may find a fault.

    :ivar orders_known: whether all orders of the store were read.
    """

    def __init__(
        self,
        bounds: RolloutBounds,
        endpoints: EndpointDirectory,
        selector: ReplicaSelector,
        on_phase_change: Callable[[Rollout, dict[str, Any]], None],
    ) -> None:
        """Create the state of an instance that knows no order.

        :param on_phase_change: called with an order whose phase has changed, and its figures.
        """
        self._bounds = bounds
        self._endpoints = endpoints
        self._selector = selector
        self._on_phase_change = on_phase_change
        self._progress: dict[str, _Progress] = {}
        self._versions: dict[str, ServiceVersions] = {}
        self._splits: dict[str, _Split] = {}
        self._latencies = TypicalLatencies()
        self._view = FleetView("", (), False, float("-inf"))
        self.orders_known = False

    @property
    def active(self) -> bool:
        """Whether an order has not ended in the store."""
        return any(not item.rollout.order.state.final for item in self._progress.values())

    def get(self, service: str) -> Rollout | None:
        """Return the order for a service."""
        item = self._progress.get(service)
        return item.rollout if item is not None else None

    def list_all(self) -> list[Rollout]:
        """Return all orders that are known."""
        return [item.rollout for item in self._progress.values()]

    # Orders

    def replace_orders(
        self, orders: Mapping[str, RolloutOrder], era: int, recovering: bool, now_ms: float
    ) -> None:
        """Replace all orders by a complete list.

        :param era: era of the store that the list was read in.
        :param recovering: whether the store may lack what was written before a restore.
        """
        self.orders_known = True
        self._splits.clear()
        for service in list(self._progress):
            if service not in orders:
                self.remove_order(service, recovering, now_ms)
        for order in orders.values():
            self.apply_order(order, era, recovering, now_ms)

    def apply_order(self, order: RolloutOrder, era: int, recovering: bool, now_ms: float) -> None:
        """Adopt an order, or the state of one."""
        item = self._progress.get(order.service)
        if item is None:
            self._begin(order, era, now_ms)
            return
        known = item.rollout.order
        if (era, order.revision) < (item.era, known.revision):
            return
        is_restored = recovering or era != item.era
        item.era = era
        item.missing_since_ms = None
        item.rollout.missing = False
        same = order.target_version == known.target_version and order.problem == known.problem
        if same and not (known.state.final and not order.state.final and not is_restored):
            item.rollout.adopt_state(order)
            self._apply_phase(item, now_ms)
            return
        # Another target, or the same one ordered anew.
        self._abandon(item)
        self._begin(order, era, now_ms)

    def remove_order(self, service: str, recovering: bool, now_ms: float) -> None:
        """Forget an order that is no longer in the store.

        :param recovering: whether the store may lack it only because it was restored.
        """
        item = self._progress.get(service)
        if item is None:
            return
        if recovering:
            if item.missing_since_ms is None:
                item.missing_since_ms = now_ms
            item.rollout.missing = True
            return
        self._abandon(item)
        del self._progress[service]

    def _begin(self, order: RolloutOrder, era: int, now_ms: float) -> None:
        item = _Progress(Rollout(order, self._bounds, self._latencies, now_ms), era)
        self._progress[order.service] = item
        self._get_versions(order.service).barred.discard(order.target_version)
        self._report_phase(item, now_ms)
        self._apply_phase(item, now_ms)

    def _abandon(self, item: _Progress) -> None:
        """Keep a version from getting requests whose order ended without success."""
        rollout = item.rollout
        if rollout.phase is not Phase.SUCCEEDED and rollout.target:
            self._get_versions(rollout.order.service).bar(rollout.target)
        self._splits.pop(rollout.order.service, None)

    def _apply_phase(self, item: _Progress, now_ms: float) -> None:
        """Adapt the endpoints in use to the phase of an order, and report a change of it."""
        rollout = item.rollout
        service = rollout.order.service
        self._splits.pop(service, None)
        versions = self._get_versions(service)
        if rollout.phase is Phase.SUCCEEDED:
            known = {
                endpoint.version
                for endpoint in self._endpoints.list_all()
                if endpoint.service == service
            }
            versions.allow_only(rollout.target, known)
        elif rollout.phase is Phase.ROLLED_BACK and rollout.target:
            versions.bar(rollout.target)
        if rollout.phase is not item.reported_phase:
            self._report_phase(item, now_ms)

    def _report_phase(self, item: _Progress, now_ms: float) -> None:
        item.reported_phase = item.rollout.phase
        if item.rollout.phase in (Phase.ROLLED_BACK, Phase.SUCCEEDED):
            item.ended_ms = now_ms
        self._on_phase_change(item.rollout, self.describe(item.rollout, now_ms))

    def describe(self, rollout: Rollout, now_ms: float) -> dict[str, Any]:
        """Return the figures of an order for the log."""
        total = sum_counts(rollout.evidence.compute_totals().values())
        return {
            "service": rollout.order.service,
            "target_version": rollout.target,
            "phase": rollout.phase.value,
            "state": rollout.order.state.value,
            "reason": rollout.reason,
            "elapsed_ms": round(rollout.get_elapsed_ms(now_ms)),
            "share": round(rollout.compute_share(now_ms), 3),
            "new_responses": total.new,
            "new_bad": total.new_bad,
            "old_responses": total.old,
            "old_bad": total.old_bad,
            "own_first_attempts": rollout.first_attempts,
            "own_new_sends": rollout.new_sends,
        }

    def _get_versions(self, service: str) -> ServiceVersions:
        versions = self._versions.get(service)
        if versions is None:
            versions = self._versions[service] = ServiceVersions()
        return versions

    # Requests

    def select_candidates(
        self, service: str, usable: tuple[Endpoint, ...], is_first: bool, now_ms: float
    ) -> Tiers:
        """Return the endpoints that a request may be sent to, those to prefer first.

        :param usable: endpoints of the service that may get new requests.
        :param is_first: whether the request was sent to no endpoint of the service before.
        """
        split = self._splits.get(service)
        if split is None or split.source is not usable or now_ms >= split.until_ms:
            split = self._split(service, usable, now_ms)
        item = self._progress.get(service)
        if item is None or not split.new:
            return split.all_old
        rollout = item.rollout
        phase = rollout.phase
        if phase is Phase.SUCCEEDED:
            return (split.new,)
        if phase is Phase.ROLLED_BACK:
            return split.all_old
        if not split.old:
            # No established endpoint is left.
            return (split.new,)
        if phase is Phase.PENDING or item.missing_since_ms is not None:
            return split.all_old
        if not self._is_confirmed(now_ms):
            return split.all_old
        return self._select_in_progress(rollout, split, is_first, item.shift_heard_ms, now_ms)

    def _select_in_progress(
        self, rollout: Rollout, split: _Split, is_first: bool, heard_ms: float, now_ms: float
    ) -> Tiers:
        """Return the tiers while the verdict is open.

        :param heard_ms: local time of the last report that the traffic shifts.
        """
        shifting = rollout.phase is Phase.SHIFTING
        share = rollout.compute_share(now_ms)
        if self._view.own not in self._view.participants:
            # This instance counts no responses, so it only follows those that do.
            follows = shifting and now_ms - heard_ms < REPORT_MAX_AGE_MS
            if not follows or share < 1.0:
                return split.all_old
        if share >= 1.0:
            return (split.new, split.old)
        if not is_first or not rollout.credit.available:
            return split.all_old
        load = share if shifting else rollout.credit.canary_load
        return (self._choose_busy(split.new, load, now_ms), split.old)

    def _choose_busy(
        self, endpoints: tuple[Endpoint, ...], share: float, now_ms: float
    ) -> tuple[Endpoint, ...]:
        """Return as few endpoints as can take a share of the requests.

        Each is then about as busy as it is with all requests, so that a version shows which
        fails only under load.
        """
        count = max(1, math.ceil(share * len(endpoints) - 1e-9))
        get_state = self._selector.get_state

        def rank(endpoint: Endpoint) -> tuple[bool, bool, str]:
            blocked = get_state(endpoint.lifetime).blocked_until_ms > now_ms
            return (blocked, endpoint.cold_until_ms > now_ms, endpoint.identity)

        return tuple(sorted(endpoints, key=rank)[:count])

    def _split(self, service: str, usable: tuple[Endpoint, ...], now_ms: float) -> _Split:
        item = self._progress.get(service)
        target = None
        if item is not None and item.rollout.phase is not Phase.ROLLED_BACK:
            target = item.rollout.target
        new = tuple(endpoint for endpoint in usable if endpoint.version == target)
        rest = [endpoint for endpoint in usable if endpoint.version != target]
        versions = self._get_versions(service)
        old = versions.select(rest, self.orders_known, now_ms)
        split = _Split(usable, versions.next_release_ms, old, new, (old,))
        self._splits[service] = split
        return split

    def _is_confirmed(self, now_ms: float) -> bool:
        age_ms = now_ms - self._view.confirmed_ms
        return age_ms < CONFIRMATION_FRACTION * self._bounds.rollback_ms

    def record_sent(self, endpoint: Endpoint, is_first: bool, now_ms: float) -> None:
        """Record a send.

        :param is_first: whether it is the first for its request and service.
        """
        item = self._progress.get(endpoint.service)
        if item is not None:
            is_new = endpoint.version == item.rollout.target
            item.rollout.record_sent(is_new, is_first, now_ms)

    def record_result(
        self, attempt: Attempt, route: str, result: SendResult, now_ms: float
    ) -> None:
        """Record the result of a send.

        :param route: name of the request's route.
        """
        service = attempt.endpoint.service
        item = self._progress.get(service)
        if item is None or item.rollout.phase in (Phase.ROLLED_BACK, Phase.SUCCEEDED):
            self._latencies.observe(attempt, route, result, now_ms)
            return
        rollout = item.rollout
        is_new = attempt.endpoint.version == rollout.target
        if rollout.evidence.record(attempt, route, is_new, result, now_ms) and rollout.in_progress:
            rollout.evaluate(now_ms)
            if not rollout.in_progress:
                self._apply_phase(item, now_ms)

    # Other instances

    def update(self, view: FleetView, now_ms: float) -> None:
        """Proceed with time, and with what is known about the other instances."""
        self._view = view
        rank = view.participants.index(view.own) if view.own in view.participants else None
        standing = Standing(rank, view.connected, self._is_confirmed(now_ms))
        for service, item in list(self._progress.items()):
            missing_since_ms = item.missing_since_ms
            if missing_since_ms is not None and now_ms - missing_since_ms >= MISSING_ORDER_HOLD_MS:
                self.remove_order(service, False, now_ms)
                continue
            before = item.rollout.phase
            item.rollout.update(standing, self._count_endpoints(item.rollout), now_ms)
            if item.rollout.phase is not before:
                self._apply_phase(item, now_ms)

    def _count_endpoints(self, rollout: Rollout) -> tuple[int, int]:
        usable = self._endpoints.usable(rollout.order.service)
        new = sum(endpoint.version == rollout.target for endpoint in usable)
        return new, len(usable) - new

    def build_reports(self, now_ms: float) -> list[RolloutReport]:
        """Return the reports for the other instances: on orders in progress or just ended."""
        reports = []
        for item in self._progress.values():
            rollout = item.rollout
            if not rollout.in_progress:
                if rollout.phase is not Phase.ROLLED_BACK or item.ended_ms is None:
                    continue
                if now_ms - item.ended_ms > END_REPORT_MS:
                    continue
            reports.append(rollout.build_report(self._is_settled(rollout, now_ms), now_ms))
        return reports

    def merge_report(
        self, sender: str, incarnation: int, report: RolloutReport, now_ms: float
    ) -> bool:
        """Adopt a report of another instance.

        :returns: whether this instance knows the order.
        """
        item = self._progress.get(report.service)
        if item is None or report.target_version != item.rollout.target:
            return False
        before = item.rollout.phase
        if not item.rollout.merge_report(sender, incarnation, report, now_ms):
            return True
        if report.phase == Phase.SHIFTING:
            item.shift_heard_ms = now_ms
        if report.settled:
            item.settled_ms[sender] = now_ms
        else:
            item.settled_ms.pop(sender, None)
        if item.rollout.phase is not before:
            self._apply_phase(item, now_ms)
        return True

    def _is_settled(self, rollout: Rollout, now_ms: float) -> bool:
        if rollout.phase is not Phase.SHIFTING or not self._is_confirmed(now_ms):
            return False
        outstanding = 0
        for endpoint in self._endpoints.list_all():
            if endpoint.service == rollout.order.service and endpoint.version != rollout.target:
                outstanding += len(self._selector.get_state(endpoint.lifetime).outstanding)
        return rollout.is_settled(outstanding, now_ms)

    def _are_all_settled(self, item: _Progress, now_ms: float) -> bool:
        view = self._view
        if not view.connected or not self._is_settled(item.rollout, now_ms):
            return False
        for name in view.participants:
            if name == view.own:
                continue
            if now_ms - item.settled_ms.get(name, float("-inf")) > REPORT_MAX_AGE_MS:
                return False
        return True

    # Writes

    def find_due_writes(self, now_ms: float) -> list[StateWrite]:
        """Return the states that this instance has to write now."""
        if self._view.own not in self._view.participants or not self.orders_known:
            return []
        wait_ms = WRITE_TAKEOVER_MS * self._view.participants.index(self._view.own)
        writes = []
        for item in self._progress.values():
            order = item.rollout.order
            desired = item.rollout.get_desired_state(self._are_all_settled(item, now_ms))
            if desired is OrderState.SUCCEEDED and order.state is OrderState.RUNNING:
                desired = self._check_last(item, now_ms)
            if desired is order.state or item.missing_since_ms is not None:
                item.desired = order.state
                continue
            if desired is not item.desired:
                item.desired, item.desired_since_ms = desired, now_ms
            if now_ms - item.desired_since_ms < wait_ms or now_ms < item.next_write_ms:
                continue
            item.next_write_ms = now_ms + WRITE_RETRY_MS
            writes.append(StateWrite(order, desired))
        return writes

    def _check_last(self, item: _Progress, now_ms: float) -> OrderState:
        """Return the state to write when all instances have left the old version."""
        item.rollout.check_last()
        if item.rollout.phase is Phase.ROLLED_BACK:
            self._apply_phase(item, now_ms)
        return item.rollout.get_desired_state(True)

    def is_wanted(self, write: StateWrite, now_ms: float) -> bool:
        """Return whether a state is still to be written, after the process may have paused."""
        item = self._progress.get(write.order.service)
        if item is None or item.rollout.order != write.order:
            return False
        settled = self._are_all_settled(item, now_ms)
        return item.rollout.get_desired_state(settled) is write.state


def count_phases(rollouts: Iterable[Rollout]) -> dict[str, float]:
    """Return the number of orders in each phase."""
    counts = {phase.value: 0.0 for phase in Phase}
    for rollout in rollouts:
        counts[rollout.phase.value] += 1
    return counts


def sum_evidence(rollouts: Iterable[Rollout]) -> Counts:
    """Return the counts of all orders in progress together."""
    total = Counts()
    for rollout in rollouts:
        if rollout.in_progress:
            total.add(sum_counts(rollout.evidence.compute_totals().values()))
    return total
