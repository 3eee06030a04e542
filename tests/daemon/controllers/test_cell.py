"""Tests that table changes are executed in order and that sends need a valid budget."""

import pytest
from attrs import evolve

from fakes import build_instance
from persimmonspur.core.endpoints.actions import Dispatch
from persimmonspur.core.ownership.actions import AdoptTable, ReleaseBudgets
from persimmonspur.core.ownership.table import Assignment, CellTable, encode_table
from persimmonspur.daemon.controllers.cell import CellController
from persimmonspur.daemon.controllers.endpoints import EndpointController
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.member import Member
from persimmonspur.model.messages import Heartbeat, SubRequest
from persimmonspur.model.query import SnapshotId
from persimmonspur.ports import StoredObject

PEERS = {name: Member(name, 1, f"tcp://{name}", "", "alpha") for name in ("entry-2", "entry-3")}


class Recorder:
    """Stands in for the transport and the other controllers and records every call."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        def record(*arguments):
            self.calls.append((name, arguments))
            return True

        return record

    @property
    def names(self):
        return [name for name, _ in self.calls]


@pytest.fixture
def instance():
    instance, recorder = build_instance(), Recorder()
    instance.transport = instance.endpoint_controller = instance.endpoint_client = recorder
    instance.cell_controller = CellController(instance)
    return instance


def build_table(instance, version=1, names=tuple(PEERS)):
    own = instance.cell.member
    members = {own.name: own, **{name: PEERS[name] for name in names}}
    assignments = {"x": Assignment(own.name, own.incarnation, 1)}
    return CellTable("main", version, "", members, frozenset(members), assignments)


def test_new_owner_is_connected_before_and_gates_are_refreshed_after_the_release(instance):
    table = build_table(instance)
    release = ReleaseBudgets("entry-2", 1, ("x",))
    instance.cell_controller.execute([AdoptTable(table), release])
    order = instance.endpoint_controller.names
    assert order.index("connect") < order.index("release") < order.index("refresh")


def test_previous_member_is_disconnected_after_the_joint_table(instance):
    instance.cell_controller.execute([AdoptTable(build_table(instance))])
    smaller = build_table(instance, 2, ("entry-2",))
    instance.cell_controller.execute([AdoptTable(evolve(smaller, joint_members=frozenset(PEERS)))])
    assert "disconnect" not in instance.transport.names
    instance.cell_controller.execute([AdoptTable(evolve(smaller, version=3))])
    assert ("disconnect", ("entry-3",)) in instance.transport.calls


def test_undecodable_table_is_reported_and_not_adopted(instance):
    key = "cells/main/table"
    instance.object_api.objects[key] = StoredObject(key, 1, b"{}")
    instance.cell_controller._read_table()
    assert instance.cell.table is None
    assert "table_unreadable" in [entry.name for entry in instance.timeline.list_entries()]
    instance.object_api.objects[key] = StoredObject(key, 2, encode_table(build_table(instance)))
    instance.cell._store.finish()
    instance.cell_controller._read_table()
    assert instance.cell.table_version == 1


def test_stop_sends_an_ended_heartbeat_to_all_members(instance):
    instance.cell.observe_table(build_table(instance), 0.0)
    instance.cell_controller.stop()
    bodies = [call[1].body for name, call in instance.transport.calls if name == "send"]
    assert [type(body) for body in bodies] == [Heartbeat, Heartbeat]
    assert all(body.ended for body in bodies)


def test_validity_is_checked_immediately_before_the_send(instance):
    request = SubRequest(
        "r1", "q1", "s", "shard", "x", SnapshotId(1, 1), 50.0, 0, True, False, None
    )
    gate = Recorder()
    gate.endpoint = type("Named", (), {"name": "x"})
    controller = EndpointController(instance)
    outcome = controller._send(gate, Dispatch(request, 1e9))
    assert (outcome.error, outcome.ran) == (ErrorKind.NOT_OWNER, Ran.NO)
    assert "search" not in instance.endpoint_client.names
