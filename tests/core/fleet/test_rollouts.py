"""What an instance sends where while versions move, with failures of instances and the store."""

import pytest
from attrs import evolve

from fleetsim import SimTier, make_route
from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.messages import AttemptKind, AttemptRecord, EndpointResponse
from persimmonspur.core.fleet.progress import Attempt
from persimmonspur.core.fleet.rollouts.fleet import FleetView, Rollouts
from persimmonspur.core.fleet.rollouts.orders import OrderState, RolloutOrder
from persimmonspur.core.fleet.rollouts.rollout import Phase
from persimmonspur.core.fleet.rollouts.versions import UNORDERED_HOLD_MS
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.errors import Ran
from rolloutsim import BOUNDS, SERVICE, SimFleet


def fail_always(fleet, route, elapsed_ms, arrivals_per_s):
    return 500, 1.0


def count_sends(fleet, version, since_ms, until_ms=float("inf")):
    return sum(
        sent_version == version and since_ms <= sent_ms - fleet.ordered_ms < until_ms
        for sent_ms, sent_version, _, _ in fleet.sends
    )


def run(seed=1, duration_ms=14_000.0, **options):
    fleet = SimFleet(seed, **options)
    fleet.order()
    fleet.run(duration_ms)
    return fleet


# One instance


def make_order(state=OrderState.NONE, revision=1, **fields):
    values = {"service": SERVICE, "target_version": "v2", "over_ms": 12_000.0}
    return RolloutOrder(**(values | fields), revision=revision, state=state)


class Instance:
    """The decisions of one instance, at a time that the test sets."""

    def __init__(self, versions=("v1", "v2")):
        self.now_ms = 100_000.0
        self.endpoints = EndpointDirectory()
        for version in versions:
            self.put(version)
        self.changes = []
        self.rollouts = Rollouts(
            BOUNDS,
            self.endpoints,
            ReplicaSelector("d", None),
            lambda rollout, figures: self.changes.append(figures),
        )
        self.update()

    def put(self, version, count=2, **fields):
        for index in range(count):
            born = int(version[1:])
            endpoint = Endpoint(
                f"{version}-{index}", SERVICE, "10.0.0.1:80", "d", 4, born_ms=born, version=version
            )
            self.endpoints.put(evolve(endpoint, **fields))

    def update(self, participants=("a",), connected=True):
        self.rollouts.update(FleetView("a", participants, connected, self.now_ms), self.now_ms)

    def list_orders(self, *orders, era=1, recovering=False):
        named = {order.service: order for order in orders}
        self.rollouts.replace_orders(named, era, recovering, self.now_ms)

    def apply(self, order, era=1, recovering=False):
        self.rollouts.apply_order(order, era, recovering, self.now_ms)

    def select(self, is_first=True):
        usable = self.endpoints.usable(SERVICE)
        tiers = self.rollouts.select_candidates(SERVICE, usable, is_first, self.now_ms)
        return [{endpoint.version for endpoint in tier} for tier in tiers]

    def record(self, identity, count=1, status=200, took_ms=5.0):
        """Record responses of an endpoint."""
        endpoint = self.endpoints.get(identity)
        for number in range(count):
            record = AttemptRecord(
                identity, SERVICE, AttemptKind.FIRST, self.now_ms - took_ms, 1.0, 0.0, 0
            )
            response = EndpointResponse(status, [], b"", "stamp", Ran.YES)
            attempt = Attempt(number, endpoint, record, None)
            self.rollouts.record_result(attempt, "route", response, self.now_ms)

    def run(self, duration_ms, **view):
        """Let time pass, updating as often as an instance does."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 250.0
            self.update(**view)

    def count(self):
        """Return the responses of the new version, and how many are bad."""
        totals = self.rollouts.get(SERVICE).evidence.compute_totals().values()
        return sum(part.new for part in totals), sum(part.new_bad for part in totals)

    def find_writes(self):
        return [write.state for write in self.rollouts.find_due_writes(self.now_ms)]


def test_new_version_gets_nothing_before_its_order_runs():
    # Guards against requests to a version whose order no instance has accepted.
    instance = Instance()
    instance.list_orders()
    assert instance.select() == [{"v1"}]
    instance.apply(make_order())
    assert instance.select() == [{"v1"}]
    assert instance.find_writes() == [OrderState.RUNNING]
    instance.apply(make_order(OrderState.RUNNING, 2))
    assert instance.select() == [{"v2"}, {"v1"}]
    assert instance.select(is_first=False) == [{"v1"}]


def test_instance_that_has_not_read_the_orders_uses_the_version_that_runs_longer():
    # Guards against an instance that starts during a rollout and uses all endpoints at first.
    instance = Instance()
    assert instance.select() == [{"v1"}]
    instance.now_ms += 10 * UNORDERED_HOLD_MS
    assert instance.select() == [{"v1"}]


@pytest.mark.parametrize(
    ("state", "used"),
    [
        (OrderState.RUNNING, [{"v2"}, {"v1"}]),
        (OrderState.SUCCEEDED, [{"v2"}]),
        (OrderState.ROLLED_BACK, [{"v1"}]),
    ],
)
def test_instance_that_starts_midway_follows_the_state_in_the_store(state, used):
    instance = Instance()
    instance.list_orders(make_order(state, 7))
    assert instance.select() == used


def test_version_without_an_order_is_held_back_for_a_time():
    # Guards against requests to a version whose order is still on its way.
    instance = Instance(("v1",))
    instance.list_orders()
    assert instance.select() == [{"v1"}]
    instance.put("v2")
    assert instance.select() == [{"v1"}]
    instance.now_ms += UNORDERED_HOLD_MS
    assert instance.select() == [{"v1", "v2"}]


def test_version_without_an_order_is_used_if_no_established_endpoint_is_left():
    # Guards against rejecting all requests of a service that was replaced without an order.
    instance = Instance(("v1",))
    instance.list_orders()
    instance.select()
    instance.put("v1", draining=True)
    instance.put("v2")
    assert instance.select() == [{"v2"}]


def test_new_service_of_a_reshard_is_used_at_once():
    # Guards against shards without answers because their endpoints have the new version only.
    instance = Instance(("v2",))
    instance.list_orders()
    assert instance.select() == [{"v2"}]


def test_share_of_first_attempts_is_counted():
    # Guards against more requests to the new version than its share, with retries and hedges.
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING))
    sent = dict.fromkeys(("v1", "v2"), 0)
    endpoints = {version: instance.endpoints.get(f"{version}-0") for version in sent}
    requests = 2_000
    for _ in range(requests):
        for is_first in (True, False):
            version = min(instance.select(is_first)[0], key=lambda version: version)
            sent[version] += 1
            instance.rollouts.record_sent(endpoints[version], is_first, instance.now_ms)
    extra = 0.3 * BOUNDS.exposure_slack / 4
    assert 0.07 * requests - 2 <= sent["v2"] <= 0.07 * requests + extra + 1


def test_canary_that_finds_no_room_is_not_made_up_for_in_a_burst():
    # Guards against a burst at the new version after all its endpoints were full or cold.
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING))
    old = instance.endpoints.get("v1-0")
    new = instance.endpoints.get("v2-0")
    for _ in range(1_000):
        instance.rollouts.record_sent(old, True, instance.now_ms)
    burst = 0
    while instance.select()[0] == {"v2"}:
        instance.rollouts.record_sent(new, True, instance.now_ms)
        burst += 1
    assert burst <= 3


def test_canary_uses_one_endpoint_that_is_not_cold():
    # Guards against canary sends spread so thinly that a fault under load does not show.
    instance = Instance()
    instance.put("v2", 3)
    instance.put("v2", 1, cold_until_ms=instance.now_ms + 5_000.0)
    instance.list_orders(make_order(OrderState.RUNNING))
    for _ in range(200):
        instance.rollouts.record_sent(instance.endpoints.get("v1-0"), True, instance.now_ms)
    usable = instance.endpoints.usable(SERVICE)
    tiers = instance.rollouts.select_candidates(SERVICE, usable, True, instance.now_ms)
    assert [endpoint.identity for endpoint in tiers[0]] == ["v2-1"]


def test_unconfirmed_state_allows_no_sends_to_the_new_version():
    # Guards against an instance without the store that misses a rollback.
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING))
    instance.now_ms += BOUNDS.rollback_ms
    assert instance.select() == [{"v1"}]
    instance.update()
    assert instance.select() == [{"v2"}, {"v1"}]


def test_instance_outside_the_entry_set_sends_nothing_to_the_new_version():
    # Guards against sends whose responses nobody counts.
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING))
    instance.update(("b", "c"))
    assert instance.select() == [{"v1"}]
    assert instance.find_writes() == []


def test_instance_outside_the_entry_set_follows_a_shift_that_it_hears_of():
    # Guards against requests that are lost at old endpoints, which stop without draining.
    inside, outside = Instance(), Instance()
    for instance in (inside, outside):
        instance.list_orders(make_order(OrderState.RUNNING))
    inside.record("v2-0", 20)
    for _ in range(50):
        inside.now_ms += 250.0
        inside.update()
        outside.now_ms = inside.now_ms
        outside.update(("a-peer",))
        if inside.rollouts.get(SERVICE).compute_share(inside.now_ms) == 1.0:
            break
        assert outside.select() == [{"v1"}]
    (report,) = inside.rollouts.build_reports(inside.now_ms)
    assert outside.rollouts.merge_report("a-peer", 1, report, outside.now_ms)
    assert outside.select() == [{"v2"}, {"v1"}]
    outside.now_ms += 1_500.0
    assert outside.select() == [{"v1"}]


def test_reports_on_an_earlier_order_are_ignored():
    # Guards against a repeated order that ends at once because of the state of the first one.
    earlier, later = Instance(), Instance()
    earlier.list_orders(make_order(OrderState.RUNNING, 5))
    earlier.now_ms += 12_000.0
    earlier.update()
    (report,) = earlier.rollouts.build_reports(earlier.now_ms)
    assert report.phase == Phase.ROLLED_BACK
    later.list_orders(make_order(OrderState.NONE, 8))
    later.rollouts.merge_report("b", 1, report, later.now_ms)
    assert later.rollouts.get(SERVICE).get_elapsed_ms(later.now_ms) == 0.0
    assert later.rollouts.get(SERVICE).phase is Phase.PENDING


def test_rollback_of_another_instance_is_adopted():
    # Guards against an instance that exposes its requests until it has evidence of its own.
    first, second = Instance(), Instance()
    for instance in (first, second):
        instance.list_orders(make_order(OrderState.RUNNING, 5))
    first.record("v1-0", 300)
    first.record("v2-0", 8, status=500)
    (report,) = first.rollouts.build_reports(first.now_ms)
    second.rollouts.merge_report("b", 1, report, second.now_ms)
    assert second.select() == [{"v1"}]
    assert "8 of 8" not in second.changes[-1]["reason"]
    assert second.changes[-1]["reason"].startswith("route route: 3 of 3")


def test_responses_delayed_by_one_pause_count_once():
    # Guards against a rollback because one endpoint of the new version pauses once.
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING))
    instance.record("v1-0", 20)
    instance.record("v2-0", 6, took_ms=250.0)
    assert instance.count() == (1, 1)
    instance.now_ms += 200.0
    instance.record("v2-0", 1, took_ms=250.0)
    assert instance.count() == (2, 2)


def shift(**view):
    """Return an instance whose requests all go to the new version."""
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING, 5))
    instance.record("v2-0", 20)
    instance.run(11_000.0, **view)
    return instance


def test_success_waits_for_requests_at_old_endpoints():
    # Guards against requests that are lost because old endpoints stop without draining.
    instance = shift()
    lifetime = instance.endpoints.get("v1-0").lifetime
    instance.rollouts._selector.record_sent(lifetime, 1, instance.now_ms)
    assert instance.find_writes() == []
    instance.rollouts._selector.record_response(lifetime, 1, 10.0, False, instance.now_ms)
    assert instance.find_writes() == [OrderState.SUCCEEDED]


def test_success_waits_for_a_recent_report_of_each_instance():
    # Guards against old endpoints that stop while another instance still sends to them.
    view = {"participants": ("a", "b")}
    instance = shift(**view)
    assert instance.find_writes() == []
    (report,) = instance.rollouts.build_reports(instance.now_ms)
    report.settled = False
    instance.rollouts.merge_report("b", 1, report, instance.now_ms)
    assert instance.find_writes() == []
    report.settled = True
    instance.rollouts.merge_report("b", 1, report, instance.now_ms)
    assert instance.find_writes() == [OrderState.SUCCEEDED]
    instance.run(1_500.0, **view)
    assert instance.find_writes() == []


def test_instance_without_most_of_the_others_neither_shifts_nor_writes_success():
    instance = shift()
    instance.update(connected=False)
    assert instance.find_writes() == []
    instance = shift(connected=False)
    assert instance.rollouts.get(SERVICE).phase is Phase.RUNNING


def test_writer_that_does_not_rank_first_waits():
    # Guards against all instances writing each state at once.
    instance = Instance()
    instance.update(("b", "a"))
    instance.list_orders(make_order())
    assert instance.find_writes() == []
    instance.now_ms += 1_900.0
    assert instance.find_writes() == []
    instance.now_ms += 200.0
    assert instance.find_writes() == [OrderState.RUNNING]


def test_shift_waits_for_as_many_endpoints_as_the_old_version_has():
    # Guards against a shift to endpoints that are still starting, which overloads the others.
    instance = Instance(("v1",))
    instance.put("v2", 1)
    instance.list_orders(make_order(OrderState.RUNNING))
    instance.record("v2-0", 20)
    instance.run(9_000.0)
    assert instance.rollouts.get(SERVICE).phase is Phase.RUNNING
    instance.put("v2", 2)
    instance.run(250.0)
    assert instance.rollouts.get(SERVICE).phase is Phase.SHIFTING


def test_version_that_was_rolled_back_stays_barred():
    # Guards against a version that is taken for one without an order after a while.
    instance = Instance()
    instance.list_orders(make_order(OrderState.ROLLED_BACK, 2))
    for _ in range(3):
        assert instance.select() == [{"v1"}]
        instance.now_ms += UNORDERED_HOLD_MS
        instance.update()
    instance.put("v1", draining=True)
    assert instance.select() == [set()]


def test_instance_that_learns_of_an_order_late_adopts_its_time():
    # Guards against an instance that ignores the others, and which the others then wait for.
    early, late = Instance(), Instance()
    early.list_orders(make_order(OrderState.RUNNING, 5))
    early.now_ms += 6_000.0
    late.list_orders(make_order(OrderState.NONE, 4))
    late.apply(make_order(OrderState.RUNNING, 5))
    (report,) = early.rollouts.build_reports(early.now_ms)
    late.rollouts.merge_report("b", 1, report, late.now_ms)
    assert late.rollouts.get(SERVICE).get_elapsed_ms(late.now_ms) == 6_000.0


def test_order_with_a_problem_is_rolled_back_at_once():
    instance = Instance()
    instance.list_orders(make_order(problem="over_s must be a positive number"))
    assert instance.select() == [{"v1"}]
    assert instance.find_writes() == [OrderState.ROLLED_BACK]
    assert "over_s" in instance.changes[-1]["reason"]


def test_removed_order_leaves_the_traffic_where_it_was():
    # Guards against a version that stays in use, or comes into use, without its order.
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING))
    instance.list_orders()
    for _ in range(3):
        assert instance.select() == [{"v1"}]
        instance.now_ms += UNORDERED_HOLD_MS
    assert instance.find_writes() == []


def test_changed_order_begins_anew_with_the_other_version():
    # Guards against requests to a version that is no longer ordered.
    instance = Instance()
    instance.put("v3")
    instance.list_orders(make_order(OrderState.RUNNING, 2))
    instance.apply(make_order(revision=3, target_version="v3"))
    assert instance.select() == [{"v1"}]
    instance.apply(make_order(OrderState.RUNNING, 4, target_version="v3"))
    assert instance.select() == [{"v3"}, {"v1"}]


def test_order_after_a_success_moves_on_from_the_new_version():
    # Guards against the first version as the old one of the second order.
    instance = Instance()
    instance.list_orders(make_order(OrderState.SUCCEEDED, 2))
    instance.put("v3")
    assert instance.select() == [{"v2"}]
    instance.apply(make_order(OrderState.RUNNING, 4, target_version="v3"))
    assert instance.select() == [{"v3"}, {"v2"}]


def test_version_that_was_rolled_back_can_be_ordered_again():
    instance = Instance()
    instance.list_orders(make_order(OrderState.ROLLED_BACK, 2))
    assert instance.select() == [{"v1"}]
    instance.apply(make_order(OrderState.NONE, 3))
    assert instance.find_writes() == [OrderState.RUNNING]
    instance.apply(make_order(OrderState.RUNNING, 4))
    assert instance.select() == [{"v2"}, {"v1"}]


def test_older_revision_does_not_undo_a_state():
    # Guards against the watch that reports the order after its state was written.
    instance = Instance()
    instance.list_orders(make_order(OrderState.ROLLED_BACK, 9))
    instance.apply(make_order(OrderState.RUNNING, 8))
    assert instance.select() == [{"v1"}]


@pytest.mark.parametrize("state", [OrderState.SUCCEEDED, OrderState.ROLLED_BACK])
def test_final_state_that_a_restored_store_lacks_is_written_again(state):
    # Guards against a second run of an order that has ended.
    instance = Instance()
    instance.list_orders(make_order(state, 9))
    used = instance.select()
    instance.list_orders(make_order(OrderState.RUNNING, 4), era=2)
    assert instance.select() == used
    assert instance.find_writes() == [state]


def test_order_that_a_restored_store_lacks_is_kept_for_a_time():
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING, 9))
    instance.list_orders(era=2, recovering=True)
    assert instance.select() == [{"v1"}]
    instance.now_ms += 1_000.0
    instance.list_orders(make_order(OrderState.RUNNING, 4), era=2)
    instance.update()
    assert instance.select() == [{"v2"}, {"v1"}]


def test_order_without_endpoints_of_its_version_is_rolled_back():
    instance = Instance(("v1",))
    instance.list_orders(make_order(OrderState.RUNNING, 2))
    instance.now_ms += 12_000.0
    instance.update()
    assert instance.find_writes() == [OrderState.ROLLED_BACK]
    assert "no response of version v2" in instance.changes[-1]["reason"]


# Several instances


def test_second_writer_takes_over():
    # Guards against an order that waits for the one instance that does not reach the store.
    fleet = SimFleet()
    fleet.instances[0].rollouts.find_due_writes = lambda now_ms: []
    fleet.order()
    fleet.run(14_000.0)
    assert fleet.state is OrderState.SUCCEEDED
    assert fleet.store.writes[0][0] - fleet.ordered_ms < 3_500.0


@pytest.mark.parametrize("frozen_ms", [1_500.0, 9_000.0, 10_000.0])
def test_frozen_writer_changes_nothing_when_it_wakes(frozen_ms):
    # Guards against a stale write, and an order that waits for a frozen instance.
    fleet = SimFleet()
    first = fleet.instances[0]
    fleet.order()
    fleet.run(frozen_ms)
    first.frozen = True
    fleet.run(14_000.0 - frozen_ms)
    assert fleet.state is OrderState.SUCCEEDED
    first.frozen = False
    fleet.run(3_000.0)
    assert fleet.state is OrderState.SUCCEEDED
    assert first.rollouts.get(SERVICE).phase is Phase.SUCCEEDED


def test_every_instance_stops_at_a_fault_that_one_of_them_finds():
    # Guards against instances that go on to send to a version that another one has given up.
    fleet = run(fault=fail_always, per_s=40.0)
    assert fleet.state is OrderState.ROLLED_BACK
    written_ms = fleet.get_first_write_ms(OrderState.ROLLED_BACK)
    assert count_sends(fleet, "v2", written_ms) == 0
    assert not any(instance.rollouts.get(SERVICE).in_progress for instance in fleet.instances)


def test_nothing_is_written_and_nothing_sent_to_the_new_version_without_the_store():
    # Guards against exposure that no state in the store allows any more.
    fleet = SimFleet(per_s=60.0)
    fleet.order()
    fleet.run(2_000.0)
    fleet.store.down = True
    fleet.run(8_000.0)
    assert count_sends(fleet, "v2", 5_000.0) == 0
    assert count_sends(fleet, "v1", 5_000.0) > 200
    fleet.store.down = False
    fleet.run(6_000.0)
    assert fleet.state.final


def test_store_without_answers_late_in_the_shift_ends_in_one_state_everywhere():
    fleet = SimFleet(per_s=40.0)
    fleet.order()
    fleet.run(9_000.0)
    fleet.store.down = True
    fleet.run(3_000.0)
    fleet.store.down = False
    fleet.run(9_000.0)
    assert fleet.state.final
    phases = {instance.rollouts.get(SERVICE).phase.value for instance in fleet.instances}
    assert phases == {fleet.state.value}


def test_instance_that_is_cut_off_sends_nothing_to_the_new_version():
    fleet = SimFleet(per_s=60.0)
    fleet.order()
    fleet.run(2_000.0)
    fleet.instances[3].cut = True
    before = len(fleet.sends)
    fleet.run(3_000.0)
    sent = fleet.instances[3].rollouts.get(SERVICE).new_sends
    fleet.run(9_000.0)
    assert len(fleet.sends) > before
    assert fleet.instances[3].rollouts.get(SERVICE).new_sends == sent
    assert fleet.state is OrderState.SUCCEEDED


def test_half_of_the_instances_does_not_move_the_traffic_alone():
    # Guards against a success that one side of a partition writes for both.
    fleet = SimFleet(per_s=60.0)
    for instance in fleet.instances[2:]:
        instance.cut = True
    fleet.order()
    fleet.run(14_000.0)
    assert OrderState.SUCCEEDED not in [state for _, state in fleet.store.writes]


def test_instance_that_restarts_midway_keeps_the_evidence_of_the_others():
    fleet = SimFleet(per_s=40.0)
    fleet.order()
    fleet.run(6_000.0)
    restarted = fleet.instances[1]
    endpoints = restarted.endpoints
    restarted.incarnation += 1
    restarted.start()
    for endpoint in endpoints.list_all():
        restarted.endpoints.put(endpoint)
    fleet.run(8_000.0)
    assert fleet.state is OrderState.SUCCEEDED
    assert fleet.get_first_write_ms(OrderState.SUCCEEDED) <= fleet.over_ms


def test_instances_without_requests_do_not_hold_up_the_order():
    fleet = SimFleet(per_s=30.0)
    fleet.active = fleet.instances[2:3]
    fleet.order()
    fleet.run(12_000.0)
    assert fleet.state is OrderState.SUCCEEDED


def test_old_version_gets_nothing_after_success_and_nothing_waits_there():
    # Guards against requests that are lost because the old endpoints stop without draining.
    for seed in range(10):
        fleet = run(seed, per_s=60.0)
        written_ms = fleet.get_first_write_ms(OrderState.SUCCEEDED)
        if written_ms is None:
            continue
        old = [send for send in fleet.sends if send[1] == "v1"]
        assert max(end_ms for _, _, end_ms, _ in old) - fleet.ordered_ms <= written_ms


# Requests


def test_retry_of_a_canary_goes_to_the_old_version():
    # Guards against retries and hedges that expose more requests to the new version.
    tier = SimTier()
    route = make_route()
    service = tier.services_of(route)[0]
    tier.add_service(service, 3, version="v1")
    for index in range(3):
        tier.endpoints.put(
            Endpoint(f"new-{index}", service, "10.0.1.1:80", "domain-0", 4, version="v2")
        )
    rollouts = Rollouts(BOUNDS, tier.endpoints, tier.selector, lambda rollout, figures: None)
    tier.context = evolve(tier.context, rollouts=rollouts)
    now_ms = tier.clock.now_ms()
    rollouts.update(FleetView("a", ("a",), True, now_ms), now_ms)
    order = RolloutOrder(service, "v2", 12_000.0, 1, OrderState.RUNNING)
    rollouts.replace_orders({service: order}, 1, False, now_ms)
    _, responses = tier.start(route)
    first = tier.sender.sends[-1]
    assert first.endpoint.version == "v2"
    first.reply(500)
    retry = tier.sender.sends[-1]
    assert retry.endpoint.version == "v1"
    retry.reply()
    assert responses[0].status == 200
    totals = rollouts.get(service).evidence.compute_totals()
    assert [(part.new, part.new_bad, part.old, part.old_bad) for part in totals.values()] == [
        (1, 1, 1, 0)
    ]


@pytest.mark.parametrize(
    ("fields", "counted"),
    [
        ({"status": 200}, (1, 0)),
        ({"status": 500}, (1, 1)),
        ({"status": 200, "stamp": ""}, (1, 1)),
        ({"status": 404, "stamp": ""}, (1, 0)),
        ({"status": 421, "misdirected": True, "ran": Ran.NO}, None),
        ({"status": 429, "ran": Ran.NO}, None),
        ({"status": 503, "ran": Ran.NO}, (1, 1)),
    ],
)
def test_responses_are_classified(fields, counted):
    instance = Instance()
    instance.list_orders(make_order(OrderState.RUNNING))
    values = {"headers": [], "body": b"", "stamp": "s", "ran": Ran.YES} | fields
    endpoint = instance.endpoints.get("v2-0")
    record = AttemptRecord("v2-0", SERVICE, AttemptKind.FIRST, instance.now_ms, 1.0, 0.0, 0)
    attempt = Attempt(1, endpoint, record, None)
    result = EndpointResponse(**values)
    instance.rollouts.record_result(attempt, "route", result, instance.now_ms + 5.0)
    totals = instance.rollouts.get(SERVICE).evidence.compute_totals()
    expected = [] if counted is None else [counted]
    assert [(part.new, part.new_bad) for part in totals.values()] == expected
