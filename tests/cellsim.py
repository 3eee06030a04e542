"""Simulates a cell: members with separate clocks, a network and an object API, with faults."""

import heapq
import itertools
from random import Random

from persimmonspur.core.ownership import actions
from persimmonspur.core.ownership.cell import Cell
from persimmonspur.core.ownership.table import decode_table, encode_table
from persimmonspur.model.configuration import Configuration, Endpoint, EndpointLimits, Service
from persimmonspur.model.member import Member
from persimmonspur.model.messages import FetchTable, Heartbeat, Release, TableState

TICK_MS = 100.0
# Relative clock rates, within the allowed drift of 1% between two members.
CLOCK_RATES = (1.0, 1.004, 0.996, 1.002, 0.998)
DOMAINS = ("alpha", "beta")


def build_configuration(count, terminated=(), instances=None):
    endpoints = tuple(
        Endpoint(f"e{i}", "s", "127.0.0.1:1", DOMAINS[i % 2], (f"shard-{i // 2}",))
        for i in range(count)
    )
    service = Service("s", EndpointLimits(4, 10, 1.0), (), endpoints)
    return Configuration("d", (), (), (service,), instances or {}, frozenset(terminated))


class Process:
    """One simulated process of an instance."""

    def __init__(self, sim, name, index, incarnation):
        self.sim, self.name, self.index = sim, name, index
        self.rate = CLOCK_RATES[index % len(CLOCK_RATES)]
        self.offset = 1_000.0 * (index + 1)
        self.paused = False
        self.alive = True
        self.highest_version = 0
        self.first_incarnation = incarnation
        self.queued_events = []
        self.peers = set()
        domain = DOMAINS[index % 2]
        self.cell = Cell(
            "main", Member(name, incarnation, f"tcp://{name}", f"caller-{name}", domain)
        )

    def now(self):
        return self.sim.now * self.rate + self.offset

    def to_simulation_time(self, local_ms):
        return (local_ms - self.offset) / self.rate

    def handle(self, event):
        if not self.alive:
            return
        if self.paused:
            self.queued_events.append(event)
            return
        self.execute(event(self.now()))
        assert self.cell.table_version >= self.highest_version, "the table version decreased"
        self.highest_version = self.cell.table_version

    def resume(self):
        if not self.paused:
            return
        self.paused = False
        backlog, self.queued_events = self.queued_events, []
        self.sim.rng.shuffle(backlog)
        for position, event in enumerate(backlog):
            if position % 2:
                self.sim.check_exclusive_use(self)
            self.handle(event)

    def receive(self, sender, incarnation, version, body):
        def event(now_ms):
            cell, requested = self.cell, []
            match body:
                case Heartbeat():
                    requested = cell.observe_heartbeat(sender, incarnation, version, body, now_ms)
                case FetchTable():
                    if cell.table_version > body.known_version:
                        state = TableState(cell.table_version, encode_table(cell.table))
                        self.send(sender, state)
                case TableState():
                    requested = cell.observe_table(decode_table(body.value), now_ms)
                case Release():
                    endpoints = list(body.budgets)
                    requested = cell.observe_release(sender, body.version, endpoints, now_ms)
            return [*requested, *cell.observe_version(sender, version, now_ms)]

        self.handle(event)

    def send(self, receiver, body):
        if receiver in self.peers:
            cell = self.cell
            self.sim.transmit(self, receiver, cell.member.incarnation, cell.table_version, body)

    def execute(self, requested):
        cell, store = self.cell, self.sim.store
        for action in requested:
            match action:
                case actions.SendHeartbeat():
                    self.send(action.receiver, action.heartbeat)
                case actions.FetchTableFrom():
                    self.send(action.peer, FetchTable(cell.table_version))
                case actions.AdoptTable():
                    self.peers |= action.table.members.keys()
                    self.peers &= action.table.members.keys() | action.table.joint_members
                case actions.ReleaseBudgets():
                    self.sim.release(self, action)
                case actions.ReadTable():
                    store.read(self)
                case actions.WriteTable():
                    store.write(self, action, confirm=False)
                case actions.ConfirmTable():
                    store.write(self, action, confirm=True)


class Store:
    """The object API: calls take time, replies may be lost and reads may be stale."""

    def __init__(self, sim):
        self.sim = sim
        self.history = [None]
        self.down = False
        self.stale = False
        self.lose_replies = 0
        self.delay_ms = 5.0
        # Names of the members that can't reach the object API.
        self.cut = set()
        self.reads = self.writes = 0

    def unreachable(self, process):
        return self.down or process.name in self.cut

    def read(self, process):
        started_ms = process.now()
        self.reads += 1

        def arrive():
            if self.unreachable(process):
                return self.reply(process, lambda now: process.cell.observe_read_failure(now))
            version = len(self.history) - 1
            if self.stale and version > 1:
                version -= self.sim.rng.choice((0, 1, 1))
            value = self.history[version]
            table = decode_table(value) if value is not None else None
            return self.reply(
                process,
                lambda now: process.cell.observe_read(table, version, started_ms, now),
            )

        self.sim.after(self.draw_delay(), arrive)

    def write(self, process, action, confirm):
        started_ms = process.now()
        self.writes += 1
        table = action.table

        def finish(version):
            cell = process.cell
            if confirm:
                return self.reply(
                    process,
                    lambda now: cell.observe_confirmation(table.version, started_ms, version, now),
                )
            return self.reply(process, lambda now: cell.observe_write(table.attempt, version, now))

        def arrive():
            if self.unreachable(process) or action.expected_version != len(self.history) - 1:
                return finish(None)
            former = self.history[-1]
            if former is not None:
                assert table.version >= decode_table(former).version, "the stored version decreased"
            self.history.append(encode_table(table))
            if self.lose_replies > 0:
                self.lose_replies -= 1
                return finish(None)
            return finish(len(self.history) - 1)

        self.sim.after(self.draw_delay(), arrive)

    def draw_delay(self):
        return self.sim.rng.uniform(1.0, self.delay_ms)

    def reply(self, process, event):
        self.sim.after(self.draw_delay(), lambda: process.handle(event))


class Simulation:
    def __init__(self, members=5, endpoints=8, seed=1, checks=True):
        self.rng = Random(seed)
        self.checks = checks
        self.now = 0.0
        self.events = []
        self.event_numbers = itertools.count()
        self.store = Store(self)
        self.processes = {}
        self.incarnations = itertools.count(1_000, 1_000)
        self.configuration = (1, build_configuration(endpoints))
        self.loss = self.duplication = 0.0
        self.delay_ms = 5.0
        # Pairs of sender and receiver between which messages are lost.
        self.cuts = set()
        # Simulation time until which each incarnation may use a budget, by endpoint.
        self.use_until_ms = {}
        self.sent = []
        for index in range(members):
            self.start(f"m{index}", index)

    # Running

    def after(self, delay_ms, action):
        heapq.heappush(self.events, (self.now + delay_ms, next(self.event_numbers), action))

    def start(self, name, index):
        process = Process(self, name, index, next(self.incarnations))
        self.processes[name] = process
        self.configure(process)
        self.after(self.rng.uniform(0, TICK_MS), lambda: self.tick(process))

    def configure(self, process):
        version, configuration = self.configuration
        process.handle(lambda now: process.cell.configure(configuration, now, version))

    def tick(self, process):
        if not process.alive:
            return
        if not process.paused:
            process.handle(process.cell.tick)
            if self.checks:
                self.check_exclusive_use(process)
        self.after(TICK_MS, lambda: self.tick(process))

    def run(self, duration_ms):
        end = self.now + duration_ms
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def run_until(self, condition, limit_ms):
        end = self.now + limit_ms
        while not condition():
            assert self.now < end, "the condition was not met in time"
            self.run(TICK_MS)

    # Faults

    def transmit(self, process, receiver, incarnation, version, body):
        self.sent.append((self.now, process.name, receiver, body))
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if (process.name, receiver) in self.cuts or self.rng.random() < self.loss:
                continue
            self.after(
                self.rng.uniform(0.5, self.delay_ms),
                lambda: self.processes[receiver].receive(process.name, incarnation, version, body),
            )

    def kill(self, name):
        self.processes[name].alive = False

    def restart(self, name):
        process = self.processes[name]
        process.alive = False
        self.start(name, process.index)

    def isolate(self, *names, store=True):
        for name in names:
            for other in self.processes:
                self.cuts |= {(name, other), (other, name)}
            if store:
                self.store.cut.add(name)

    def split(self, *groups):
        self.cuts |= {(a, b) for g in groups for h in groups if g is not h for a in g for b in h}

    def heal(self):
        self.cuts.clear()
        self.loss = self.duplication = 0.0
        self.delay_ms = self.store.delay_ms = 5.0
        self.store.cut.clear()
        self.store.down = self.store.stale = False
        self.store.lose_replies = 0
        for process in list(self.processes.values()):
            process.resume()

    # Observation

    def list_endpoints(self):
        service = self.configuration[1].services[0]
        return [endpoint.name for endpoint in service.endpoints]

    def get_usable_until(self, process, key):
        cell, now_ms = process.cell, process.now()
        return cell.usable_until(key, now_ms)

    def check_exclusive_use(self, process):
        """Record the budgets that a process may use now, and check that no other may use them."""
        if process.cell.table is None:
            return
        checked_user = process.cell.member.name, process.cell.member.incarnation
        for key in process.cell.table.assignments:
            until_ms = self.get_usable_until(process, key)
            if until_ms <= 0:
                continue
            users = self.use_until_ms.setdefault(key, {})
            for user, end_ms in users.items():
                assert user == checked_user or end_ms <= self.now, (
                    f"at {self.now:.0f} {user} until {end_ms:.0f} and {checked_user} use {key}"
                )
            users[checked_user] = max(
                users.get(checked_user, 0.0), process.to_simulation_time(until_ms)
            )

    def release(self, process, action):
        keys = action.endpoints
        drained_ms = self.now + self.rng.choice((0.0, 300.0))
        for key in keys:
            users = self.use_until_ms.get(key, {})
            for name, incarnation in users:
                if name == process.name and incarnation >= process.first_incarnation:
                    user = name, incarnation
                    users[user] = min(users[user], drained_ms)
        body = Release(action.version, list(action.endpoints))
        event = lambda now_ms: process.send(action.receiver, body) or []  # noqa: E731
        self.after(drained_ms - self.now, lambda: process.handle(event))

    def find_user(self, key):
        for process in self.processes.values():
            if process.alive and not process.paused and self.get_usable_until(process, key) > 0:
                return process.name
        return None

    def all_usable(self):
        return all(self.find_user(key) is not None for key in self.list_endpoints())
