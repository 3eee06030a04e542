"""Tests single faults and changes of a simulated cell; test_cell_machine tests combinations."""

import itertools

import msgspec
import pytest

from cellsim import Simulation, build_configuration
from persimmonspur.core.ownership.store import CALL_TIMEOUT_MS, StoreAccess
from persimmonspur.core.ownership.table import decode_table
from persimmonspur.core.ownership.validity import GRANT_WAIT_MS, VALIDITY_MS
from persimmonspur.model.member import MemberState
from persimmonspur.model.messages import Envelope, Heartbeat

# Covers the suspicion timeout, the turn of the last of five writers, a change of the table
# and the wait of the new owner.
TAKEOVER_MS = 20_000.0
# Well below the wait of a new owner, but long enough for the second writer's turn.
HANDOVER_MS = 2_000.0


def build_running_cell(members=5, endpoints=10, seed=1):
    sim = Simulation(members, endpoints, seed)
    sim.run_until(sim.all_usable, 10_000.0)
    sim.run(15_000.0)
    return sim


def read_table(sim):
    return decode_table(sim.store.history[-1])


def list_used_by(sim, name):
    return [key for key in sim.list_endpoints() if sim.find_user(key) == name]


def find_owner(sim):
    return next(name for name in sim.processes if list_used_by(sim, name))


def test_frozen_owner_uses_nothing_when_it_wakes():
    sim = build_running_cell()
    owner = find_owner(sim)
    keys = list_used_by(sim, owner)
    process = sim.processes[owner]
    process.paused = True
    sim.run_until(sim.all_usable, TAKEOVER_MS)
    process.paused = False
    assert all(sim.get_usable_until(process, key) == 0.0 for key in keys)
    process.paused = True
    process.resume()
    sim.run(10_000.0)
    # It joined again under a new incarnation; the removed one was not admitted.
    assert read_table(sim).members[owner].incarnation > process.first_incarnation


def test_isolated_owner_stops_before_its_successor_starts():
    sim = build_running_cell()
    owner = find_owner(sim)
    keys = list_used_by(sim, owner)
    sim.isolate(owner)
    sim.run(VALIDITY_MS + 100.0)
    assert all(sim.get_usable_until(sim.processes[owner], key) == 0.0 for key in keys)
    sim.run_until(sim.all_usable, TAKEOVER_MS)


def test_object_api_confirms_members_that_no_peer_answers():
    sim = build_running_cell(members=3)
    for name in sim.processes:
        sim.isolate(name, store=False)
    sim.run(5_000.0)
    for _ in range(100):
        sim.run(200.0)
        assert sim.all_usable()
    # At most one confirmation per member and 1,500 ms, plus a read after each lost race.
    sim.store.reads = sim.store.writes = 0
    sim.run(30_000.0)
    assert sim.store.writes <= 3 * 20
    assert sim.store.reads <= 3 * 20


def test_whole_cell_without_peers_keeps_its_budgets_at_a_bounded_cost():
    sim = build_running_cell(members=24, endpoints=24)
    for name in sim.processes:
        sim.isolate(name, store=False)
    sim.run(10_000.0)
    sim.store.reads = sim.store.writes = 0
    unusable = 0
    for _ in range(100):
        sim.run(200.0)
        unusable += not sim.all_usable()
    assert unusable == 0
    assert sim.store.writes <= 24 * 20 / 1.5


def test_stale_read_confirms_nothing():
    sim = build_running_cell()
    owner = find_owner(sim)
    sim.isolate(owner, store=False)
    sim.store.stale = True
    # The simulation fails if a budget has two users.
    sim.run(40_000.0)
    sim.heal()
    sim.run_until(sim.all_usable, TAKEOVER_MS)


def test_owners_continue_through_a_long_outage_of_the_object_api():
    sim = build_running_cell()
    version = read_table(sim).version
    sim.store.down = True
    for _ in range(90):
        sim.run(10_000.0)
        assert sim.all_usable()
    sim.store.down = False
    sim.run(40_000.0)
    # The table renewal that was due during the outage takes place afterwards.
    assert read_table(sim).version > version


def test_majority_that_restarts_under_its_names_resumes():
    sim = build_running_cell()
    for name in ("m0", "m1", "m2"):
        sim.kill(name)
    sim.run(10_000.0)
    kept = sum(len(list_used_by(sim, name)) for name in ("m3", "m4"))
    assert kept > 0, "the survivors didn't keep their budgets through the object API"
    for name in ("m0", "m1", "m2"):
        sim.restart(name)
    sim.run_until(sim.all_usable, 2 * TAKEOVER_MS)


def test_all_members_restarted_at_once_resume():
    sim = build_running_cell()
    for name in list(sim.processes):
        sim.restart(name)
    sim.run_until(sim.all_usable, 2 * TAKEOVER_MS)


@pytest.mark.parametrize("way", ["operator", "listing"])
def test_budgets_of_a_lost_majority_move_once_it_is_reported_as_ended(way):
    sim = build_running_cell()
    survivors = [sim.processes[name] for name in ("m3", "m4")]
    deliver_listing(sim, survivors, frozenset(sim.processes))
    for name in ("m0", "m1", "m2"):
        sim.kill(name)
    sim.run(20_000.0)
    assert not sim.all_usable(), "a majority was removed without a report"
    if way == "operator":
        sim.configuration = 2, build_configuration(10, terminated=("m0", "m1", "m2"))
        for process in survivors:
            sim.configure(process)
    else:
        for _ in range(8):
            deliver_listing(sim, survivors, frozenset(("m3", "m4")))
            sim.run(10_000.0)
    sim.run_until(sim.all_usable, TAKEOVER_MS)
    assert read_table(sim).members.keys() == {"m3", "m4"}


def deliver_listing(sim, processes, names):
    for process in processes:
        process.handle(lambda now, cell=process.cell: cell.observe_listing(names, now))


def test_third_of_the_members_lost_at_once_is_one_change():
    sim = build_running_cell(members=9, endpoints=30)
    version = read_table(sim).version
    for name in ("m0", "m3", "m6"):
        sim.kill(name)
    sim.run_until(sim.all_usable, TAKEOVER_MS)
    table = read_table(sim)
    assert table.members.keys() == {"m1", "m2", "m4", "m5", "m7", "m8"}
    assert table.version <= version + 2


def test_flapping_member_gets_no_budgets_for_longer_each_time():
    sim = build_running_cell()
    hold_down_ms = []
    for _ in range(4):
        sim.kill("m1")
        sim.run_until(lambda: "m1" not in read_table(sim).members, TAKEOVER_MS)
        sim.restart("m1")
        sim.run_until(lambda: "m1" in read_table(sim).members, TAKEOVER_MS)
        assert read_table(sim).members["m1"].weight == 0.0
        rejoined_ms = sim.now
        sim.run_until(lambda: read_table(sim).members["m1"].weight == 1.0, 60_000.0)
        hold_down_ms.append(sim.now - rejoined_ms)
    for shorter, longer in itertools.pairwise(hold_down_ms):
        assert longer > 1.5 * shorter


def test_one_member_writes_a_change_that_all_see():
    sim = build_running_cell()
    sim.store.reads = sim.store.writes = 0
    # Slow enough for the others to see the need for a change before they learn of the first write.
    sim.store.delay_ms = 400.0
    sim.kill("m2")
    sim.run_until(lambda: "m2" not in read_table(sim).members, TAKEOVER_MS)
    sim.run(1_000.0)
    assert (sim.store.reads, sim.store.writes) == (1, 1)


def test_racing_writers_leave_one_table():
    sim = build_running_cell()
    for process in sim.processes.values():
        process.cell._membership.rank = lambda key, now_ms: 0
    version = read_table(sim).version
    sim.kill("m2")
    sim.run_until(lambda: "m2" not in read_table(sim).members, TAKEOVER_MS)
    sim.run(2_000.0)
    assert read_table(sim).version == version + 1
    live = [process.cell.table for process in sim.processes.values() if process.alive]
    assert all(table == read_table(sim) for table in live)


def test_lost_reply_to_a_write_is_settled_by_reading_back():
    sim = build_running_cell()
    version = read_table(sim).version
    sim.store.lose_replies = 1
    sim.kill("m2")
    sim.run_until(lambda: "m2" not in read_table(sim).members, TAKEOVER_MS)
    sim.run(100.0)
    live = [process.cell for process in sim.processes.values() if process.alive]
    assert {cell.table_version for cell in live} == {version + 1}


def test_write_without_a_reply_is_read_back_at_once():
    process = build_running_cell().processes["m0"]
    requested = process.cell.observe_write("m0/1000/1", None, process.now())
    assert [type(action).__name__ for action in requested] == ["ReadTable"]


def test_call_without_a_result_does_not_block_later_ones():
    store = StoreAccess()
    assert store.begin(0.0)
    assert not store.begin(CALL_TIMEOUT_MS - 1.0)
    assert store.begin(CALL_TIMEOUT_MS)


def test_member_with_an_older_configuration_does_not_undo_a_newer_one():
    sim = build_running_cell()
    sim.configuration = 2, build_configuration(6)
    for name in ("m0", "m1"):
        sim.configure(sim.processes[name])
    sim.run_until(lambda: read_table(sim).configuration_version == 2, TAKEOVER_MS)
    version = read_table(sim).version
    sim.run(20_000.0)
    owned = [key for key, entry in read_table(sim).assignments.items() if entry.owner]
    assert len(owned) == 6
    assert read_table(sim).version <= version + 1


def test_pending_change_costs_few_reads_during_an_outage():
    sim = build_running_cell()
    sim.store.down = True
    sim.kill("m2")
    sim.run(60_000.0)
    sim.store.reads = 0
    sim.run(160_000.0)
    assert sim.store.reads <= 4 * 160 / 16 + 4


def test_member_that_knows_of_a_newer_table_confirms_nothing():
    sim = build_running_cell()
    process = sim.processes["m1"]
    sim.isolate("m1")
    cell, now_ms = process.cell, process.now()
    cell.observe_version("m0", cell.table_version + 1, now_ms)
    confirmed_ms = cell._grants.confirmation.confirmed_ms
    sequence = cell._grants.confirmation.start_round(now_ms)
    for name in ("m0", "m2", "m3", "m4"):
        incarnation = cell.table.members[name].incarnation
        heartbeat = Heartbeat(10**6, sequence, cell.member.incarnation, 0)
        cell.observe_heartbeat(name, incarnation, cell.table_version, heartbeat, now_ms + 1.0)
    assert cell._grants.confirmation.confirmed_ms == confirmed_ms
    sent = [action.heartbeat for action in cell._send_heartbeats(now_ms + 2.0)]
    assert {heartbeat.echo_sequence for heartbeat in sent} == {0}


def test_graceful_leave_hands_over_without_the_wait():
    sim = build_running_cell()
    owner = find_owner(sim)
    keys = list_used_by(sim, owner)
    process = sim.processes[owner]
    sim.rng.choice = lambda options: options[0]
    process.handle(process.cell.begin_leaving)
    sim.run(HANDOVER_MS)
    assert HANDOVER_MS < GRANT_WAIT_MS
    assert all(sim.find_user(key) not in (None, owner) for key in keys)
    assert read_table(sim).members[owner].state is MemberState.LEAVING


def test_graceful_end_of_a_majority_leaves_the_rest_able_to_change():
    sim = build_running_cell(members=3)
    for name in ("m0", "m1"):
        process = sim.processes[name]
        process.handle(process.cell.begin_leaving)
    sim.run(8_000.0)
    for name in ("m0", "m1"):
        process = sim.processes[name]
        process.handle(process.cell.end)
        assert not any(sim.get_usable_until(process, key) for key in sim.list_endpoints())
        last = [body for _, sender, _, body in sim.sent if sender == name][-1]
        assert (last.ended, last.echo_sequence) == (True, 0)
        sim.kill(name)
    sim.run_until(lambda: read_table(sim).members.keys() == {"m2"}, 5_000.0)
    assert sim.all_usable()


def test_owner_that_ended_uses_nothing():
    sim = build_running_cell()
    process = sim.processes[find_owner(sim)]
    process.handle(process.cell.end)
    assert not any(sim.get_usable_until(process, key) for key in sim.list_endpoints())


def test_instance_whose_clock_was_set_back_returns():
    sim = build_running_cell()
    sim.incarnations = iter([7])
    sim.restart("m1")
    sim.run_until(lambda: read_table(sim).members["m1"].incarnation != 2_000, TAKEOVER_MS)
    sim.run(1_000.0)
    assert sim.processes["m1"].cell.is_member
    sim.kill("m1")
    sim.run_until(lambda: "m1" not in read_table(sim).members, TAKEOVER_MS)
    sim.incarnations = iter([7])
    sim.restart("m1")
    sim.run_until(lambda: "m1" in read_table(sim).members, TAKEOVER_MS)


def test_leaving_member_is_not_listed_while_the_object_api_is_down():
    sim = build_running_cell()
    sim.store.down = True
    process = sim.processes["m1"]
    process.handle(process.cell.begin_leaving)
    sim.run(500.0)
    for name in ("m0", "m2"):
        other = sim.processes[name]
        live = [member.name for member in other.cell.list_live_members(other.now())]
        assert live == ["m0", "m2", "m3", "m4"]


def test_silent_member_is_not_listed_but_an_isolated_one_lists_all():
    sim = build_running_cell()
    sim.isolate("m1", store=False)
    sim.store.down = True
    sim.run(4_500.0)
    for name, count in (("m0", 4), ("m1", 5)):
        other = sim.processes[name]
        assert len(other.cell.list_live_members(other.now())) == count


def test_change_of_members_needs_the_former_majority():
    """A table is installed only once a majority of the previous members has it, too.

    A single owner is isolated while a table with three more members is written. The
    three are a majority of that table, but the owner still confirms the previous table
    by itself. The simulation fails if a budget has two users.
    """
    sim = Simulation(1, 10)
    sim.run(6_000.0)
    assert len(list_used_by(sim, "m0")) == len(sim.list_endpoints())
    former = len(sim.store.history)
    for index in (1, 2, 3):
        sim.start(f"m{index}", index)
    sim.store.lose_replies = 1
    while len(sim.store.history) == former or len(read_table(sim).members) == 1:
        sim.run(0.5)
    assert read_table(sim).members.keys() == {"m0", "m1", "m2", "m3"}
    sim.isolate("m0")
    sim.run(60_000.0)
    sim.heal()
    sim.run_until(sim.all_usable, 2 * TAKEOVER_MS)


def test_table_fetch_is_repeated_after_a_lost_reply():
    sim = build_running_cell()
    process = sim.processes["m4"]
    sim.cuts |= {(name, "m4") for name in sim.processes}
    process.cell.known_version = 0
    version = process.cell.table_version
    requested = process.cell.observe_version("m0", version + 1, process.now())
    assert [type(action).__name__ for action in requested] == ["FetchTableFrom"]
    later_actions = []
    for step in range(1, 30):
        later_actions.extend(process.cell.tick(process.now() + 100.0 * step))
    fetches = [action for action in later_actions if type(action).__name__ == "FetchTableFrom"]
    reads = [action for action in later_actions if type(action).__name__ == "ReadTable"]
    assert len(fetches) >= 3
    assert reads, "the object API wasn't asked although the peer didn't answer"


def test_echo_confirms_only_for_the_incarnations_that_it_connects():
    """An echo counts only for the incarnations involved and for the same table.

    A restarted member doesn't know which versions its predecessor reported, and a
    member that reports a newer table no longer confirms the current one.
    """
    sim = build_running_cell(members=3)
    process = sim.processes[find_owner(sim)]
    cell, now_ms = process.cell, process.now()
    others = [name for name in sim.processes if name != process.name]
    confirmation = cell._grants.confirmation
    confirmed_ms = confirmation.confirmed_ms
    sequence = confirmation.start_round(now_ms)

    def echo(incarnation, echo_incarnation, version):
        for name in others:
            current = cell.table.members[name].incarnation
            heartbeat = Heartbeat(10**6, sequence, echo_incarnation, 0)
            cell.observe_heartbeat(name, current + incarnation, version, heartbeat, now_ms + 1.0)

    own, version = cell.member.incarnation, cell.table_version
    echo(0, own - 500, version)
    assert confirmation.confirmed_ms == confirmed_ms, "echoes of an earlier incarnation counted"
    echo(500, own, version)
    assert confirmation.confirmed_ms == confirmed_ms, "echoes from later incarnations counted"
    echo(0, own, version + 1)
    assert confirmation.confirmed_ms == confirmed_ms, "echoes from a newer table counted"


def test_wait_of_a_new_owner_covers_the_slowest_clock():
    # The former owner's clock, which measures its validity, may be 1% slow.
    assert GRANT_WAIT_MS >= VALIDITY_MS * 1.01 + 200.0


def test_steady_state_costs_one_renewal_per_interval_and_no_other_call():
    sim = Simulation(12, 12, checks=False)
    sim.run(60_000.0)
    sim.store.reads = sim.store.writes = 0
    sim.run(600_000.0)
    assert 2 <= sim.store.writes <= 3
    assert sim.store.reads <= 3


def test_heartbeat_is_at_most_120_bytes():
    heartbeat = Heartbeat(10_000_000, 10_000_000, 1_790_000_000_000, (1 << 24) - 1)
    name = "a-rather-long-instance-name-17"
    envelope = Envelope(name, 1_790_000_000_000, 1e9 + 0.123, 100_000, 100_000, heartbeat)
    assert len(msgspec.msgpack.encode(envelope)) <= 120
