"""Simulated instances that share the quotas of accounts: time, network and failures."""

import heapq
import itertools
from bisect import bisect_left
from random import Random

import msgspec
from attrs import define, field

from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet.members import (
    ENTRY_SET_HEARTBEAT_INTERVAL_MS,
    NO_HEARTBEATS,
    RELAY_HEARTBEAT_INTERVAL_MS,
    Membership,
)
from persimmonspur.core.fleet.quotas import Quotas, Verdict
from persimmonspur.core.fleet.roles import Member
from persimmonspur.entry.quotas import QuotaGate, ShareMessage, TokenReply, TokenRequest

WINDOW_MS = 5_000.0
OVERSHOOT = 0.1
SLACK = 20.0
DOMAINS = ("a", "b", "c")
TICK_MS = 300.0


@define
class NetworkFaults:
    """Faults of the messages between instances.

    :param late: fraction of the messages that arrive up to 3 s late.
    """

    loss: float = 0.0
    duplicates: float = 0.0
    late: float = 0.0


class SimTimer:
    def __init__(self, function):
        self.function = function

    def cancel(self):
        self.function = None


@define(eq=False)
class SimInstance:
    """One instance with a real membership and a real gate.

    :ivar held: calls that wait until the instance is no longer frozen.
    """

    fleet: object
    member: Member
    membership: Membership = None
    gate: QuotaGate = None
    running: bool = True
    frozen: bool = False
    held: list = field(factory=list)
    last_heartbeat_ms: float = -1e9
    announced: tuple = (False, NO_HEARTBEATS)

    def call_later(self, delay_ms, function):
        timer = SimTimer(function)

        def run():
            if timer.function is None or not self.running:
                return
            if self.frozen:
                self.held.append(run)
                return
            function = timer.function
            timer.function = None
            function()

        self.fleet.schedule(delay_ms, run)
        return timer

    def receive(self, function):
        if self.frozen:
            self.held.append(lambda: self.receive(function))
        elif self.running:
            function()


class Fleet:
    """Several instances, and the requests of accounts that arrive at them.

    :ivar ran: times at which requests of each account ran.
    """

    def __init__(self, size, accounts, seed=0, faults=None, first_start=False):
        self.clock = ManualClock()
        self.rng = Random(seed)
        self.faults = faults or NetworkFaults()
        self.instances = {}
        self.accounts = {account.name: account for account in accounts}
        self.ran = {account.name: [] for account in accounts}
        self.offered = {account.name: [] for account in accounts}
        self.rejected = {account.name: 0 for account in accounts}
        self.blocked = set()
        self.messages = {}
        self.sent_bytes = 0
        self._heap = []
        self._numbers = itertools.count()
        self._incarnations = itertools.count(1)
        self.registered = {}
        for index in range(size):
            self.start(f"i{index:03}", DOMAINS[index % len(DOMAINS)], first_start)

    def schedule(self, delay_ms, function):
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._heap, (due_ms, next(self._numbers), function))

    def advance(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, function = heapq.heappop(self._heap)
            self.clock.advance(max(0.0, due_ms - self.clock.now_ms()))
            function()
        self.clock.advance(end_ms - self.clock.now_ms())

    def start(self, name, domain, first_start=False):
        member = Member(name, next(self._incarnations), domain, "region", name, name)
        instance = self.instances[name] = SimInstance(self, member)
        instance.membership = membership = Membership(member)
        now_ms = self.clock.now_ms()
        self.registered[name] = member
        for peer in self.registered.values():
            membership.register(peer, now_ms)
        membership.retain(frozenset(self.registered), now_ms)
        membership.own_ready = True
        quotas = Quotas(WINDOW_MS, OVERSHOOT, SLACK, member.incarnation * 1_000_000)
        gate = instance.gate = QuotaGate(
            quotas,
            membership,
            self.clock,
            instance,
            lambda name, count: None,
            lambda has_share: None,
            first_start=first_start,
        )
        gate.set_accounts(self.accounts.values())
        # Ticks of different instances are not aligned.
        instance.call_later(self.rng.uniform(0, TICK_MS), lambda: self._start_ticks(instance))
        return instance

    def _start_ticks(self, instance):
        self._tick(instance)
        instance.gate.connect(
            lambda message, peers: [self._send_message(instance, peer, message) for peer in peers]
        )

    def stop(self, name):
        """Stop an instance gracefully."""
        instance = self.instances[name]
        instance.membership.own_ready = False
        self._send_heartbeat(instance, 0.0)
        self.registered.pop(name)
        self.schedule(2_500.0, lambda: self._end(instance))

    def crash(self, name):
        self._end(self.instances[name])

    def _end(self, instance):
        instance.running = False
        instance.gate.disconnect()

    def freeze(self, name, duration_ms):
        instance = self.instances[name]
        instance.frozen = True
        self.schedule(duration_ms, lambda: self._resume(instance))

    def _resume(self, instance):
        instance.frozen = False
        held, instance.held = instance.held, []
        self.rng.shuffle(held)
        for function in held:
            function()

    def block(self, first, second):
        """Cut the links between two groups of instances."""
        for a in first:
            for b in second:
                self.blocked.add((a, b))
                self.blocked.add((b, a))

    def heal(self):
        self.blocked.clear()

    def change_account(self, account, max_delay_ms, without=()):
        """Apply a changed quota at each instance after its own delay.

        :param without: names of instances that do not learn of it.
        """
        self.accounts[account.name] = account
        for name, instance in self.instances.items():
            if name in without or not instance.running:
                continue
            accounts = list(self.accounts.values())
            delay_ms = self.rng.uniform(0, max_delay_ms)
            instance.call_later(
                delay_ms,
                lambda instance=instance, accounts=accounts: instance.gate.set_accounts(accounts),
            )

    def entry_set(self):
        """Return the names of the entry set as the first running instance sees it."""
        for instance in self.instances.values():
            if instance.running and not instance.frozen:
                entry_set = instance.membership.entry_set(self.clock.now_ms())
                return [member.name for member in entry_set]
        return []

    def offer(self, account_name, targets, rate_per_s, duration_ms):
        """Let requests arrive at random times.

        :param targets: names of the instances, or a function that returns them.
        """
        end_ms = self.clock.now_ms() + duration_ms

        def arrive():
            if self.clock.now_ms() >= end_ms:
                return
            self.schedule(self.rng.expovariate(rate_per_s) * 1000, arrive)
            names = targets() if callable(targets) else targets
            self.request(account_name, self.rng.choice(names))

        self.schedule(self.rng.expovariate(rate_per_s) * 1000, arrive)

    def request(self, account_name, name):
        instance = self.instances[name]
        if not instance.running:
            return
        self.offered[account_name].append(self.clock.now_ms())

        def end(admitted):
            if admitted:
                self.ran[account_name].append(self.clock.now_ms())
            else:
                self.rejected[account_name] += 1

        def handle():
            verdict = instance.gate.acquire(self.accounts[account_name], 1_000.0, end)
            if verdict is Verdict.ADMITTED:
                end(True)
            elif verdict is Verdict.REJECTED:
                end(False)

        instance.receive(handle)

    def _tick(self, instance):
        instance.call_later(TICK_MS, lambda: self._tick(instance))
        now_ms = self.clock.now_ms()
        membership = instance.membership
        interval_ms = NO_HEARTBEATS
        if membership.is_relay(now_ms):
            in_set = instance.member in membership.entry_set(now_ms)
            interval_ms = ENTRY_SET_HEARTBEAT_INTERVAL_MS if in_set else RELAY_HEARTBEAT_INTERVAL_MS
        due = interval_ms and now_ms - instance.last_heartbeat_ms >= interval_ms - 1
        if due or instance.announced != (membership.own_ready, interval_ms):
            self._send_heartbeat(instance, interval_ms)

    def _send_heartbeat(self, instance, interval_ms):
        instance.last_heartbeat_ms = self.clock.now_ms()
        ready = instance.membership.own_ready
        instance.announced = (ready, interval_ms)
        for peer in instance.membership.peers():
            self._deliver(
                instance,
                peer,
                lambda target: target.membership.record_heartbeat(
                    instance.member, ready, self.clock.now_ms(), interval_ms
                ),
            )

    def _send_message(self, instance, peer, message):
        kind = type(message).__name__
        self.messages[kind] = self.messages.get(kind, 0) + 1
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        handlers = {
            ShareMessage: lambda gate: gate.handle_share(message),
            TokenRequest: lambda gate: gate.handle_request(message),
            TokenReply: lambda gate: gate.handle_reply(message),
        }
        self._deliver(instance, peer, lambda target: handlers[type(message)](target.gate))

    def _deliver(self, instance, peer, apply):
        target = self.instances.get(peer.name)
        if target is None or (instance.member.name, peer.name) in self.blocked:
            return
        if self.rng.random() < self.faults.loss:
            return
        copies = 2 if self.rng.random() < self.faults.duplicates else 1
        for _ in range(copies):
            delay_ms = self.rng.uniform(0.3, 3.0)
            if self.rng.random() < self.faults.late:
                delay_ms = self.rng.uniform(100.0, 3_000.0)
            self.schedule(delay_ms, lambda: target.receive(lambda: apply(target)))


def find_worst_window(times, account, since_ms=0.0):
    """Return the greatest number of requests in a window, divided by the bound."""
    bound = (account.rate_per_s * WINDOW_MS / 1000 + account.burst) * (1 + OVERSHOOT) + SLACK
    worst = 0
    for index, time_ms in enumerate(times):
        if time_ms >= since_ms:
            worst = max(worst, bisect_left(times, time_ms + WINDOW_MS) - index)
    return worst / bound


def count_between(times, start_ms, end_ms):
    return bisect_left(times, end_ms) - bisect_left(times, start_ms)


def measure_usable(fleet, account, start_ms, end_ms):
    """Return the requests that ran, divided by those that the quota and the offer allow."""
    ran = count_between(fleet.ran[account.name], start_ms, end_ms)
    offered = count_between(fleet.offered[account.name], start_ms, end_ms)
    allowed = account.rate_per_s * (end_ms - start_ms) / 1000
    return ran / min(offered, allowed)
