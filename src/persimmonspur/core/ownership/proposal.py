"""Builds the next version of a cell table."""

from collections.abc import Mapping, Sequence

from attrs import evolve, field, frozen

from persimmonspur.core.ownership.placement import PlacementItem, place_items
from persimmonspur.core.ownership.table import Assignment, CellTable, Removal
from persimmonspur.model.configuration import Configuration, DesiredState
from persimmonspur.model.member import Member, MemberState

MAX_MEMBERS = 24


@frozen
class OwnershipConfiguration:
    """The parts of a configuration that ownership depends on.

    :param items: endpoint budgets to place.
    :param desired: desired states by instance; instances without one should serve.
    :param terminated: instances that an operator declares as ended.
    """

    version: int
    items: tuple[PlacementItem, ...]
    desired: Mapping[str, DesiredState]
    terminated: frozenset[str]

    @classmethod
    def from_configuration(
        cls, configuration: Configuration, version: int
    ) -> "OwnershipConfiguration":
        """Extract the parts from a configuration.

        :param version: version of the configuration.
        """
        items = []
        for service in configuration.services:
            for endpoint in service.endpoints:
                items.append(
                    PlacementItem(
                        endpoint.name,
                        float(service.limits.slots),
                        endpoint.failure_domain,
                        endpoint.shards,
                    )
                )
        return cls(version, tuple(items), configuration.instances, configuration.terminated)


@frozen
class Observations:
    """Observations of a member that may require a change of the table.

    :param unreachable: members that a majority does not hear.
    :param joiners: instances that ask to become members.
    :param leaving: members that announced that they leave.
    :param terminated: members that announced their end, or are silent and were reported as ended
        by the platform or an operator.
    :param hold_down_expired: members without budgets whose hold-down is over.
    :param expired_removals: names whose removal record may be dropped.
    :param fenced: whether the owners of all earlier versions have lost their validity.
    :param balance: whether balance moves may be made now.
    :param renew: whether the table is due for renewal.
    :param formed: whether the members have had enough time to join before the first assignments.
    """

    unreachable: frozenset[str] = frozenset()
    joiners: tuple[Member, ...] = ()
    leaving: frozenset[str] = frozenset()
    terminated: frozenset[str] = frozenset()
    hold_down_expired: frozenset[str] = frozenset()
    expired_removals: frozenset[str] = frozenset()
    fenced: bool = False
    balance: bool = False
    renew: bool = False
    formed: bool = field(default=True)


def build_proposal(
    base: CellTable, configuration: OwnershipConfiguration, observations: Observations
) -> CellTable | None:
    """Return the next table, or ``None`` if the base needs no change.

    Equal inputs give equal tables on every member; the writer adds its attempt id.
    """
    members, removals = _update_members(base, configuration, observations)
    version = base.version + 1
    owners = _list_eligible_owners(members, configuration)
    is_first = not base.assignments
    assignments = base.assignments
    if not is_first or observations.formed:
        balance = observations.balance and members == base.members
        assignments = _assign_all(base.assignments, configuration.items, owners, version, balance)
        if observations.fenced:
            assignments = _drop_unowned(assignments, version)
    proposed = (members, _select_owned(assignments))
    current = (base.members, _select_owned(base.assignments))
    if proposed == current and not observations.renew:
        return None
    terminated_names = observations.terminated & base.members.keys()
    terminated = {name: base.members[name].incarnation for name in sorted(terminated_names)}
    return CellTable(
        base.cell,
        version,
        "",
        members,
        frozenset(base.members),
        assignments,
        configuration.version,
        terminated,
        removals,
    )


def _update_members(
    base: CellTable, configuration: OwnershipConfiguration, observations: Observations
) -> tuple[dict[str, Member], dict[str, Removal]]:
    members = dict(base.members)
    removals = {n: r for n, r in base.removals.items() if n not in observations.expired_removals}
    for name in sorted(observations.unreachable | observations.terminated):
        member = members.pop(name, None)
        if member is not None:
            removals[name] = _build_removal(removals.get(name), member)
    for name in sorted(observations.leaving & members.keys()):
        members[name] = evolve(members[name], state=MemberState.LEAVING)
    for name in sorted(observations.hold_down_expired & members.keys()):
        members[name] = evolve(members[name], weight=1.0)
    for joiner in observations.joiners:
        # Members that learned of the declaration earlier still treat the name as ended,
        # so it must not join again while the declaration is in the configuration.
        if joiner.name not in configuration.terminated:
            _admit_joiner(joiner, members, removals)
    return members, removals


def _admit_joiner(joiner: Member, members: dict[str, Member], removals: dict[str, Removal]) -> None:
    former = members.get(joiner.name)
    if former is None and len(members) >= MAX_MEMBERS:
        return
    if former is not None:
        if former.incarnation >= joiner.incarnation:
            return
        removals[joiner.name] = _build_removal(removals.get(joiner.name), former)
    removal = removals.get(joiner.name)
    if removal is not None and removal.incarnation >= joiner.incarnation:
        return
    held = removal is not None and removal.count > 0
    members[joiner.name] = evolve(joiner, weight=0.0 if held else joiner.weight)


def _build_removal(former: Removal | None, member: Member) -> Removal:
    count = former.count if former is not None else 0
    # Only removals without an announcement count as flapping.
    is_unannounced = member.state is not MemberState.LEAVING
    return Removal(member.incarnation, count + is_unannounced)


def _list_eligible_owners(
    members: Mapping[str, Member], configuration: OwnershipConfiguration
) -> list[Member]:
    eligible = []
    for name in sorted(members):
        member = members[name]
        if member.state is MemberState.LEAVING:
            continue
        if configuration.desired.get(name, DesiredState.SERVING) is not DesiredState.SERVING:
            continue
        eligible.append(member)
    weighted = [member for member in eligible if member.weight > 0]
    # If all eligible members are held down, they own the budgets rather than nobody.
    return weighted or [evolve(member, weight=1.0) for member in eligible]


def _assign_all(
    current: Mapping[str, Assignment],
    items: Sequence[PlacementItem],
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
    # An entry without an owner keeps its last owner, whose validity may not have expired.
    previous = former.owner or former.previous
    return Assignment(owner, incarnation, version, previous, former.moved_at_version)


def _drop_unowned(assignments: Mapping[str, Assignment], version: int) -> dict[str, Assignment]:
    """Return the assignments without those that lost their owner in an earlier version."""
    return {
        key: assignment
        for key, assignment in assignments.items()
        if assignment.owner != "" or assignment.moved_at_version == version
    }


def _select_owned(assignments: Mapping[str, Assignment]) -> dict[str, Assignment]:
    """Return the assignments with an owner; dropping the others alone needs no write."""
    return {key: a for key, a in assignments.items() if a.owner != ""}
