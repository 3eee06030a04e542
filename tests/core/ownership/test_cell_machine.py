"""Guards against two users of one budget, falling versions and endpoints without an owner.

Any fault may come at any moment, together or twice.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cellsim import Simulation, build_configuration

MEMBERS = 5
NAMES = [f"m{index}" for index in range(MEMBERS)]
names = st.sampled_from(NAMES)
# Long enough for the longest backoff, an expiry, a change, its installation and the wait.
RECOVERY_MS = 90_000.0


class CellMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32), formed=st.booleans())
    def start(self, seed, formed):
        self.sim = Simulation(MEMBERS, 6, seed)
        if formed:
            self.sim.run(8_000.0)

    @rule(duration_ms=st.sampled_from([50, 200, 1_000, 2_000, 4_000, 8_000]))
    def run(self, duration_ms):
        self.sim.run(duration_ms)

    @rule(name=names)
    def pause(self, name):
        self.sim.processes[name].paused = True

    @rule(name=names)
    def resume(self, name):
        self.sim.processes[name].resume()

    @rule(name=names)
    def kill(self, name):
        self.sim.kill(name)

    @rule(name=names)
    def restart(self, name):
        self.sim.restart(name)

    @rule(name=names, store=st.booleans())
    def isolate(self, name, store):
        self.sim.isolate(name, store=store)

    @rule(name=names, other=names)
    def cut_one_way(self, name, other):
        self.sim.cuts.add((name, other))

    @rule(minority=st.sets(names, min_size=1, max_size=3))
    def split(self, minority):
        self.sim.split(minority, set(NAMES) - minority)

    @rule()
    def reconnect(self):
        self.sim.cuts.clear()
        self.sim.store.cut.clear()

    @rule(down=st.booleans(), stale=st.booleans(), delay_ms=st.sampled_from([5, 900, 3_000]))
    def change_store(self, down, stale, delay_ms):
        store = self.sim.store
        store.down, store.stale, store.delay_ms = down, stale, delay_ms

    @rule()
    def lose_reply(self):
        self.sim.store.lose_replies += 1

    @rule(
        loss=st.sampled_from([0.0, 0.2, 0.6]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_ms=st.sampled_from([5.0, 700.0, 5_000.0]),
    )
    def change_network(self, loss, duplication, delay_ms):
        self.sim.loss, self.sim.duplication, self.sim.delay_ms = loss, duplication, delay_ms

    @rule(name=names)
    def leave(self, name):
        process = self.sim.processes[name]
        process.handle(process.cell.begin_leaving)

    @rule(count=st.integers(4, 6), told=st.sets(names))
    def configure(self, count, told):
        version = self.sim.configuration[0] + 1
        self.sim.configuration = version, build_configuration(count)
        for name in told:
            self.sim.configure(self.sim.processes[name])

    @precondition(lambda self: self.sim.now > 0)
    @rule(name=names)
    def use(self, name):
        process = self.sim.processes[name]
        if process.alive and not process.paused:
            self.sim.check_use(process)

    def teardown(self):
        sim = getattr(self, "sim", None)
        if sim is None:
            return
        sim.heal()
        for name, process in list(sim.processes.items()):
            if not process.alive or process.cell.leaving:
                sim.restart(name)
            else:
                sim.configure(process)
        sim.run_until(sim.all_usable, RECOVERY_MS)
        sim.run(3_000.0)


CellMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
TestCellMachine = CellMachine.TestCase
