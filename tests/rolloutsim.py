"""Several instances in simulated time that move one service to a new version."""

import heapq
import itertools
import random

from attrs import define, evolve, field

from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.messages import AttemptKind, AttemptRecord, EndpointResponse
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.rollouts.fleet import FleetView, Rollouts
from persimmonspur.core.fleet.rollouts.orders import RolloutBounds, RolloutOrder
from persimmonspur.core.fleet.rollouts.rollout import Phase
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.errors import Ran

BOUNDS = RolloutBounds(0.1, 50.0, 5_000.0)
SERVICE = "s1"
TICK_MS = 250.0
ROUTES = ("r0", "r1", "r2")


@define(eq=False)
class SimStore:
    """The orders in the store, with conditional writes of their states.

    :ivar down: whether calls fail.
    """

    order: RolloutOrder | None = None
    down: bool = False
    era: int = 1
    revision: int = 100
    writes: list = field(factory=list)

    def put(self, **fields):
        self.revision += 1
        values = {"service": SERVICE, "target_version": "v2", "over_ms": 12_000.0} | fields
        self.order = RolloutOrder(**values, revision=self.revision)

    def remove(self):
        self.order = None
        self.revision += 1

    def write(self, write, now_ms):
        if self.down or self.order is None:
            return None
        if self.order.revision == write.order.revision:
            self.revision += 1
            self.order = evolve(self.order, revision=self.revision, state=write.state)
            self.writes.append((now_ms, write.state))
        return self.order


class SimInstance:
    """One instance; its links and its process can fail.

    :ivar frozen: whether its process makes no progress.
    :ivar cut: whether it reaches neither the store nor the other instances.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.incarnation = 1
        self.frozen = False
        self.cut = False
        self.lag_ms = fleet.rng.uniform(20.0, 600.0)
        self.start()

    def start(self):
        self.endpoints = EndpointDirectory()
        self.selector = ReplicaSelector("d", random.Random(self.name))
        self.changes = []
        self.rollouts = Rollouts(BOUNDS, self.endpoints, self.selector, self._record_change)
        self.confirmed_ms = float("-inf")
        self.ticks = 0

    def _record_change(self, rollout, figures):
        self.changes.append(figures)
        if rollout.phase is Phase.ROLLED_BACK:
            self.send_reports()

    def read_store(self, order, removed, now_ms):
        """Apply what a watch answered."""
        if order is not None:
            self.rollouts.orders_known = True
            self.rollouts.apply_order(order, self.fleet.store.era, False, now_ms)
        elif removed:
            self.rollouts.replace_orders({}, self.fleet.store.era, False, now_ms)

    def tick(self, now_ms):
        fleet = self.fleet
        self.ticks += 1
        if not fleet.store.down and not self.cut:
            self.confirmed_ms = now_ms
            order = fleet.store.order
            fleet.call_later(self.lag_ms, lambda: self._deliver(order))
        live = [peer.name for peer in fleet.instances if self._hears(peer)]
        view = FleetView(
            self.name, tuple(live), 2 * len(live) > len(fleet.instances), self.confirmed_ms
        )
        self.rollouts.update(view, now_ms)
        rollout = self.rollouts.get(SERVICE)
        if self.ticks % 2 == 0 or (rollout is not None and rollout.phase is Phase.SHIFTING):
            self.send_reports()
        if self.cut:
            return
        for write in self.rollouts.find_due_writes(now_ms):
            current = fleet.store.write(write, now_ms)
            if current is not None:
                self.rollouts.apply_order(current, fleet.store.era, False, now_ms)

    def _hears(self, peer):
        return peer is self or not (peer.frozen or peer.cut or self.cut)

    def _deliver(self, order):
        if self.frozen or self.cut:
            return
        self.read_store(order, order is None, self.fleet.now_ms)

    def send_reports(self):
        for report in self.rollouts.build_reports(self.fleet.now_ms):
            for peer in self.fleet.instances:
                if peer is not self and self.fleet.rng.random() > self.fleet.loss:
                    self.fleet.call_later(
                        self.fleet.rng.uniform(1.0, 30.0),
                        lambda p=peer, r=report: p.receive(self, r),
                    )

    def receive(self, sender, report):
        if not self.frozen and not self.cut and not sender.cut:
            self.rollouts.merge_report(sender.name, sender.incarnation, report, self.fleet.now_ms)

    def send(self, route, now_ms):
        """Send one request, and once more if its response is bad."""
        self._send_attempt(route, (), now_ms)

    def _send_attempt(self, route, tried, now_ms):
        usable = self.endpoints.usable(SERVICE)
        for tier in self.rollouts.select_candidates(SERVICE, usable, not tried, now_ms):
            candidates = [endpoint for endpoint in tier if endpoint.identity not in tried]
            if candidates:
                endpoint = self.fleet.rng.choice(candidates)
                break
        else:
            return
        number = next(self.fleet.numbers)
        record = AttemptRecord(endpoint.identity, SERVICE, AttemptKind.FIRST, now_ms, 1.0, 0.0, 0)
        attempt = Attempt(number, endpoint, record, None)
        self.selector.record_sent(endpoint.lifetime, number, now_ms)
        self.rollouts.record_sent(endpoint, not tried, now_ms)
        status, took_ms = self.fleet.respond(endpoint, route, now_ms)
        self.fleet.call_later(took_ms, lambda: self._finish(attempt, route, status, tried))

    def _finish(self, attempt, route, status, tried):
        now_ms = self.fleet.now_ms
        identity = attempt.endpoint.identity
        lifetime = attempt.endpoint.lifetime
        self.selector.record_response(lifetime, attempt.number, 20.0, status >= 500, now_ms)
        response = EndpointResponse(status, [], b"", "stamp", Ran.YES)
        self.rollouts.record_result(attempt, route, response, now_ms)
        if status >= 500 and not tried:
            self._send_attempt(route, (identity,), now_ms)


class SimFleet:
    """A store, instances, and endpoints of two versions.

    :param fault: returns the status and a factor on the latency for a request to the new
        version, from its route, the time since the order, and the number of requests that
        its endpoint got in the last second.
    :ivar sends: time and version of each send, and whether its response is bad.
    """

    def __init__(self, seed=1, per_s=40.0, fault=None, shared=None, over_ms=12_000.0, instances=4):
        self.rng = random.Random(seed)
        self.now_ms = 10_000.0
        self.numbers = itertools.count()
        self.per_s = per_s
        self.fault = fault
        self.shared = shared
        self.loss = 0.02
        self.over_ms = over_ms
        self.store = SimStore()
        self.sends = []
        self.ordered_ms = float("inf")
        self._arrivals = {}
        self._heap = []
        self.instances = [SimInstance(self, f"i{index}") for index in range(instances)]
        self.active = list(self.instances)
        for instance in self.instances:
            self.call_later(self.rng.uniform(0.0, TICK_MS), lambda i=instance: self._tick(i))
            instance.rollouts.replace_orders({}, 1, False, self.now_ms)
        for version in ("v1", "v2"):
            self.add_endpoints(version)
        self._schedule_request()

    def add_endpoints(self, version, count=3, **fields):
        for index in range(count):
            born = int(version[1:])
            endpoint = Endpoint(
                f"{version}-{index}", SERVICE, "10.0.0.1:80", "d", 4, born_ms=born, version=version
            )
            for instance in self.instances:
                instance.endpoints.put(evolve(endpoint, **fields))

    def remove_endpoints(self, version):
        for instance in self.instances:
            found = [
                endpoint.identity
                for endpoint in instance.endpoints.list_all()
                if endpoint.version == version
            ]
            instance.endpoints.remove(found, False, self.now_ms)
            instance.endpoints.expire(self.now_ms + 10_000.0)

    def call_later(self, delay_ms, function):
        heapq.heappush(self._heap, (self.now_ms + delay_ms, next(self.numbers), function))

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, function = heapq.heappop(self._heap)
            function()
        self.now_ms = end_ms

    def order(self, warmup_ms=3_000.0, **fields):
        self.run(warmup_ms)
        self.ordered_ms = self.now_ms
        self.store.put(over_ms=self.over_ms, **fields)

    def _tick(self, instance):
        self.call_later(TICK_MS, lambda: self._tick(instance))
        if not instance.frozen:
            instance.tick(self.now_ms)

    def _schedule_request(self):
        self.call_later(self.rng.expovariate(self.per_s / 1_000.0), self._send_request)

    def _send_request(self):
        self._schedule_request()
        instance = self.rng.choice(self.active)
        if not instance.frozen:
            instance.send(self.rng.choice(ROUTES), self.now_ms)

    def respond(self, endpoint, route, now_ms):
        took_ms = 4.0 + self.rng.lognormvariate(2.7, 0.35)
        status = 200
        if self.rng.random() < 0.002:
            status = 500
        if self.rng.random() < 0.03:
            took_ms += self.rng.uniform(100.0, 250.0)
        if self.shared is not None:
            status, factor = self.shared(self, now_ms - self.ordered_ms) or (status, 1.0)
            took_ms *= factor
        bad = False
        if endpoint.version == "v2" and self.fault is not None:
            found = self.fault(
                self, route, now_ms - self.ordered_ms, self._count_rate(endpoint, now_ms)
            )
            if found is not None:
                bad = True
                status, factor = found
                took_ms *= factor
        self.sends.append((now_ms, endpoint.version, now_ms + took_ms, bad))
        return status, took_ms

    def _count_rate(self, endpoint, now_ms):
        arrivals = self._arrivals.setdefault(endpoint.identity, [])
        arrivals.append(now_ms)
        while arrivals[0] < now_ms - 1_000.0:
            arrivals.pop(0)
        return len(arrivals)

    # Results

    @property
    def state(self):
        return self.store.order.state if self.store.order is not None else None

    def count_exposed(self, version="v2"):
        return sum(self._counts(send, version) for send in self.sends)

    def _counts(self, send, version):
        return send[1] == version and 0 <= send[0] - self.ordered_ms <= self.over_ms

    def compute_allowed(self):
        requests = sum(0 <= send[0] - self.ordered_ms <= self.over_ms for send in self.sends)
        return BOUNDS.exposure_share * requests + BOUNDS.exposure_slack

    def find_late_sends(self):
        """Return the sends to the new version after the rollback time."""
        bad_ms = sorted(end for _, version, end, bad in self.sends if version == "v2" and bad)
        if len(bad_ms) < 50:
            return []
        limit_ms = bad_ms[49] + BOUNDS.rollback_ms
        return [sent for sent, version, _, _ in self.sends if version == "v2" and sent > limit_ms]

    def get_first_write_ms(self, state):
        for written_ms, written in self.store.writes:
            if written is state:
                return written_ms - self.ordered_ms
        return None


def is_in_time(fleet, state):
    """Return whether a state was written before the end of the order."""
    written_ms = fleet.get_first_write_ms(state)
    return written_ms is not None and written_ms <= fleet.over_ms
