"""Tests a simulated cell under random combinations of faults.

The simulation fails if a budget has two users or a version decreases; after each run, every
endpoint must get an owner again. Any fault may occur at any time, repeatedly or with others.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cellsim import Simulation, build_configuration

MEMBERS = 5
NAMES = [f"m{index}" for index in range(MEMBERS)]
names = st.sampled_from(NAMES)
# Time for which the cell runs after an event; 0 lets events coincide.
pauses = st.sampled_from([0.0, 0.0, 50.0, 300.0, 1_500.0, 4_500.0, 9_000.0, 12_000.0])
# Covers the longest backoff, an expiry, a change of the table, its installation and the wait
# of the new owner.
RECOVERY_MS = 90_000.0


class CellMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32), formed=st.sampled_from([True, True, False]))
    def start(self, seed, formed):
        self.sim = Simulation(MEMBERS, 6, seed)
        if formed:
            self.sim.run(8_000.0)
        self.declared = set()

    @rule(then=pauses, name=names)
    def pause_or_resume(self, then, name):
        process = self.sim.processes[name]
        if process.paused:
            process.resume()
        else:
            process.paused = True
        self.sim.run(then)

    @rule(
        then=pauses, name=names, how=st.sampled_from(["kill", "end", "restart", "restart", "leave"])
    )
    def end(self, then, name, how):
        process = self.sim.processes[name]
        if how == "kill":
            self.sim.kill(name)
        elif how == "end" and process.alive and not process.paused:
            process.handle(process.cell.end)
            self.sim.kill(name)
        elif how == "restart" and name not in self.declared:
            self.sim.restart(name)
        elif how == "leave":
            process.handle(process.cell.begin_leaving)
        self.sim.run(then)

    @rule(then=pauses, name=names, store=st.booleans())
    def isolate(self, then, name, store):
        self.sim.isolate(name, store=store)
        self.sim.run(then)

    @rule(then=pauses, name=names, other=names)
    def cut_one_way(self, then, name, other):
        self.sim.cuts.add((name, other))
        self.sim.run(then)

    @rule(then=pauses, minority=st.sets(names, min_size=1, max_size=3))
    def split(self, then, minority):
        self.sim.split(minority, set(NAMES) - minority)
        self.sim.run(then)

    @rule(then=pauses)
    def reconnect(self, then):
        self.sim.cuts.clear()
        self.sim.store.cut.clear()
        self.sim.run(then)

    @rule(
        then=pauses,
        down=st.sampled_from([False, False, True]),
        stale=st.booleans(),
        delay_ms=st.sampled_from([5, 900, 3_000]),
        lost=st.integers(0, 2),
    )
    def change_store(self, then, down, stale, delay_ms, lost):
        store = self.sim.store
        store.down, store.stale, store.delay_ms = down, stale, delay_ms
        store.lose_replies = lost
        self.sim.run(then)

    @rule(
        then=pauses,
        loss=st.sampled_from([0.0, 0.2, 0.6]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_ms=st.sampled_from([5.0, 700.0, 5_000.0]),
    )
    def change_network(self, then, loss, duplication, delay_ms):
        self.sim.loss, self.sim.duplication, self.sim.delay_ms = loss, duplication, delay_ms
        self.sim.run(then)

    @rule(then=pauses, count=st.integers(4, 6), told=st.sets(names), declare=st.booleans())
    def configure(self, then, count, told, declare):
        if declare:
            self.declared |= {n for n, process in self.sim.processes.items() if not process.alive}
        version = self.sim.configuration[0] + 1
        self.sim.configuration = version, build_configuration(count, self.declared)
        for name in told:
            self.sim.configure(self.sim.processes[name])
        self.sim.run(then)

    def teardown(self):
        sim = getattr(self, "sim", None)
        if sim is None:
            return
        sim.heal()
        sim.configuration = sim.configuration[0] + 1, build_configuration(6)
        for name, process in list(sim.processes.items()):
            if not process.alive or process.cell.leaving:
                sim.restart(name)
            else:
                sim.configure(process)
        sim.run_until(sim.all_usable, RECOVERY_MS)
        sim.run(3_000.0)


CellMachine.TestCase.settings = settings(max_examples=50, stateful_step_count=25)
TestCellMachine = CellMachine.TestCase
