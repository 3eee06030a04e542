"""Builds the next version of a cell table."""

from collections.abc import Mapping, Sequence

from attrs import evolve, field, frozen

from persimmonspur.core.ownership.placement import Item, place_items
from persimmonspur.core.ownership.table import Assignment, CellTable, Removal
from persimmonspur.model.configuration import Configuration, Desired
from persimmonspur.model.member import Member, MemberState

MAX_MEMBERS = 24


@frozen
class OwnershipConfiguration:
    """What the configuration says about ownership.

    :param desired: instances that should not serve.
    :param terminated: instances that ended for good.
    """

    version: int
    items: tuple[Item, ...]
    desired: Mapping[str, Desired]
    terminated: frozenset[str]

    @classmethod
    def from_configuration(
        cls, configuration: Configuration, version: int
    ) -> "OwnershipConfiguration":
        """Collect the endpoints of a configuration."""
        items = []
        for service in configuration.services:
            for endpoint in service.endpoints:
                items.append(
                    Item(
                        endpoint.name,
                        float(service.limits.slots),
                        endpoint.failure_domain,
                        endpoint.shards,
                    )
                )
        return cls(version, tuple(items), configuration.instances, configuration.terminated)


@frozen
class Observations:
    """What a member has observed that may call for a change.

    :param unreachable: members that a majority does not hear.
    :param joiners: instances that ask to become members.
    :param leaving: members that announced their end.
    :param terminated: members that the platform or an operator declared ended.
    :param ready: returned members whose hold-down is over.
    :param forgotten: names whose removal record may go.
    :param settled: whether no owner of an earlier version can still act.
    :param balance: whether balance moves may be made now.
    :param renew: whether the table is due for renewal.
    :param rested: whether the table has rested long enough for its first assignments.
    """

    unreachable: frozenset[str] = frozenset()
    joiners: tuple[Member, ...] = ()
    leaving: frozenset[str] = frozenset()
    terminated: frozenset[str] = frozenset()
    ready: frozenset[str] = frozenset()
    forgotten: frozenset[str] = frozenset()
    settled: bool = False
    balance: bool = False
    renew: bool = False
    rested: bool = field(default=True)


def build_proposal(
    base: CellTable, catalogue: OwnershipConfiguration, evidence: Observations
) -> CellTable | None:
    """Return the table that should follow, or ``None`` if the base is fine.

    Equal inputs give equal tables at every member; the writer adds its attempt id.
    """
    members, removals = _change_members(base, catalogue, evidence)
    version = base.version + 1
    owners = _list_owners(members, catalogue)
    first = not base.assignments
    assignments = base.assignments
    if not first or evidence.rested:
        balance = evidence.balance and members == base.members
        assignments = _assign_all(base.assignments, catalogue.items, owners, version, balance)
        if evidence.settled:
            assignments = _drop_unowned(assignments, version)
    same = (members, _list_moves(assignments))
    former = (base.members, _list_moves(base.assignments))
    if same == former and not evidence.renew:
        return None
    ended = evidence.terminated & base.members.keys()
    terminated = {name: base.members[name].incarnation for name in sorted(ended)}
    return CellTable(
        base.cell,
        version,
        "",
        members,
        frozenset(base.members),
        assignments,
        catalogue.version,
        terminated,
        removals,
    )


def _change_members(
    base: CellTable, catalogue: OwnershipConfiguration, evidence: Observations
) -> tuple[dict[str, Member], dict[str, Removal]]:
    members = dict(base.members)
    removals = {n: r for n, r in base.removals.items() if n not in evidence.forgotten}
    for name in sorted(evidence.unreachable | evidence.terminated):
        member = members.pop(name, None)
        if member is not None:
            removals[name] = _record(removals.get(name), member)
    for name in sorted(evidence.leaving & members.keys()):
        members[name] = evolve(members[name], state=MemberState.LEAVING)
    for name in sorted(evidence.ready & members.keys()):
        members[name] = evolve(members[name], weight=1.0)
    for joiner in evidence.joiners:
        # A declared end stays true for the members that heard it earlier, so
        # the name must not return while it stands.
        if joiner.name not in catalogue.terminated:
            _admit(joiner, members, removals)
    return members, removals


def _admit(joiner: Member, members: dict[str, Member], removals: dict[str, Removal]) -> None:
    former = members.get(joiner.name)
    if former is None and len(members) >= MAX_MEMBERS:
        return
    if former is not None:
        if former.incarnation >= joiner.incarnation:
            return
        removals[joiner.name] = _record(removals.get(joiner.name), former)
    removal = removals.get(joiner.name)
    if removal is not None and removal.incarnation >= joiner.incarnation:
        return
    held = removal is not None and removal.count > 0
    members[joiner.name] = evolve(joiner, weight=0.0 if held else joiner.weight)


def _record(former: Removal | None, member: Member) -> Removal:
    count = former.count if former is not None else 0
    # A member that announced that it leaves is not flapping.
    unexpected = member.state is not MemberState.LEAVING
    return Removal(member.incarnation, count + unexpected)


def _list_owners(members: Mapping[str, Member], catalogue: OwnershipConfiguration) -> list[Member]:
    able = []
    for name in sorted(members):
        member = members[name]
        if member.state is MemberState.LEAVING:
            continue
        if catalogue.desired.get(name, Desired.SERVING) is not Desired.SERVING:
            continue
        able.append(member)
    weighted = [member for member in able if member.weight > 0]
    # Without any other member the held ones serve, rather than nobody.
    return weighted or [evolve(member, weight=1.0) for member in able]


def _assign_all(
    current: Mapping[str, Assignment],
    items: Sequence[Item],
    owners: Sequence[Member],
    version: int,
    balance: bool,
) -> dict[str, Assignment]:
    incarnations = {member.name: member.incarnation for member in owners}
    kept = {}
    for key, assignment in current.items():
        if incarnations.get(assignment.owner) == assignment.incarnation:
            kept[key] = assignment.owner
    placed = place_items(items, owners, kept, balance)
    assignments = {}
    for item in items:
        owner = placed.get(item.key)
        former = current.get(item.key)
        if owner is None:
            if former is not None:
                assignments[item.key] = former
            continue
        assignments[item.key] = _assign(former, owner, incarnations[owner], version)
    for key, former in current.items():
        if key not in assignments:
            assignments[key] = _assign(former, "", 0, version)
    return assignments


def _assign(former: Assignment | None, owner: str, incarnation: int, version: int) -> Assignment:
    if former is None:
        return Assignment(owner, incarnation, version)
    if (former.owner, former.incarnation) == (owner, incarnation):
        return former
    # An entry without an owner keeps the last one, who may still be valid.
    previous = former.owner or former.previous
    return Assignment(owner, incarnation, version, previous, former.moved_at_version)


def _drop_unowned(assignments: Mapping[str, Assignment], version: int) -> dict[str, Assignment]:
    """Drop entries without an owner that are older than this change."""
    return {
        key: assignment
        for key, assignment in assignments.items()
        if assignment.owner != "" or assignment.moved_at_version == version
    }


def _list_moves(assignments: Mapping[str, Assignment]) -> dict[str, Assignment]:
    """Return the entries with owners; dropping others is no reason to write."""
    return {key: a for key, a in assignments.items() if a.owner != ""}
