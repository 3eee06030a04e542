"""Placement of endpoint budgets on members."""

import math
from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from persimmonspur.core.rendezvous import rank_candidates
from persimmonspur.model.member import Member

# Bounds for the load of an owner, relative to its target load.
MAX_LOAD_RATIO = 1.25
MIN_LOAD_RATIO = 0.75

# Share of all items that one call may move only to improve the balance.
MAX_MOVED_SHARE = 0.1


@frozen
class PlacementItem:
    """The budget of an endpoint, to be placed on a member.

    :param key: endpoint name, hashed for the rendezvous ranking.
    :param load: slots of the endpoint.
    :param failure_domain: failure domain whose members are preferred; empty for no preference.
    :param groups: shards of the endpoint; replicas of a shard are placed on different owners.
    """

    key: str
    load: float
    failure_domain: str = ""
    groups: tuple[str, ...] = ()


def place_items(
    items: Sequence[PlacementItem],
    members: Sequence[Member],
    current: Mapping[str, str],
    balance: bool,
) -> dict[str, str]:
    """Choose an owner for every item.

    All items whose owner is not among the members move; the number of moves that
    only improve the balance is limited by :data:`MAX_MOVED_SHARE`.

    :param members: members that may own items, with a weight above 0.
    :param current: current owner by item key.
    :param balance: whether balance moves may be made now.
    :returns: owner by item key; empty without members.
    """
    if not members:
        return {}
    plan = _Plan.build(items, members)
    unplaced = []
    for item in items:
        owner = current.get(item.key, "")
        if owner in plan.loads:
            plan.assign(item, owner)
            continue
        unplaced.append(item)
    for item in unplaced:
        plan.assign(item, plan.choose_owner(item))
    if balance:
        _rebalance(plan, items)
    return plan.owners


@define
class _Plan:
    """A placement in progress.

    :param weights_by_domain: weights of members by failure domain; all members under ``""``.
    :param domains: failure domain by member.
    :param target_loads: load by member in proportion to its weight.
    :param groups: number of items by owner and group.
    """

    weights_by_domain: dict[str, dict[str, float]]
    domains: dict[str, str]
    target_loads: dict[str, float]
    max_loads: dict[str, float]
    loads: dict[str, float]
    groups: dict[tuple[str, str], int] = field(factory=dict)
    owners: dict[str, str] = field(factory=dict)

    @classmethod
    def build(cls, items: Sequence[PlacementItem], members: Sequence[Member]) -> "_Plan":
        weights_by_domain: dict[str, dict[str, float]] = {"": {}}
        for member in members:
            weights_by_domain[""][member.name] = member.weight
            weights_by_domain.setdefault(member.failure_domain, {})[member.name] = member.weight
        load_per_weight = sum(item.load for item in items) / sum(weights_by_domain[""].values())
        target_loads = {member.name: load_per_weight * member.weight for member in members}
        largest = max((item.load for item in items), default=1.0)
        # Items can't be split: with six equal items on four members, some member has two.
        max_loads = {
            name: max(MAX_LOAD_RATIO * target, math.ceil(target / largest) * largest)
            for name, target in target_loads.items()
        }
        domains = {member.name: member.failure_domain for member in members}
        return cls(
            weights_by_domain, domains, target_loads, max_loads, dict.fromkeys(target_loads, 0.0)
        )

    def assign(self, item: PlacementItem, owner: str) -> None:
        self.owners[item.key] = owner
        self._count(item, owner, 1)

    def move(self, item: PlacementItem, owner: str) -> None:
        self._count(item, self.owners[item.key], -1)
        self.assign(item, owner)

    def rank_owners(self, item: PlacementItem) -> list[str]:
        local = rank_candidates(self.weights_by_domain.get(item.failure_domain, {}), item.key)
        if item.failure_domain == "":
            return local
        return [
            *local,
            *(n for n in rank_candidates(self.weights_by_domain[""], item.key) if n not in local),
        ]

    def choose_owner(self, item: PlacementItem) -> str:
        ranked = self.rank_owners(item)
        for owner in ranked:
            if self.has_room(item, owner) and not self.conflicts(item, owner):
                return owner
        separate = [owner for owner in ranked if not self.conflicts(item, owner)]
        return min(
            separate or ranked, key=lambda owner: self.loads[owner] / self.target_loads[owner]
        )

    def has_room(self, item: PlacementItem, owner: str) -> bool:
        return self.loads[owner] + item.load <= self.max_loads[owner]

    def conflicts(self, item: PlacementItem, owner: str) -> bool:
        own_replicas = 1 if self.owners.get(item.key) == owner else 0
        return any(self.groups.get((owner, group), 0) > own_replicas for group in item.groups)

    def _count(self, item: PlacementItem, owner: str, sign: int) -> None:
        self.loads[owner] += sign * item.load
        for group in item.groups:
            self.groups[owner, group] = self.groups.get((owner, group), 0) + sign


def _rebalance(plan: _Plan, items: Sequence[PlacementItem]) -> None:
    # Each step only moves loads closer to their targets or reduces the number of
    # conflicts, so repeated calls converge.
    moves_left = max(1, int(len(items) * MAX_MOVED_SHARE))
    moves_left = _move_from_overloaded(plan, items, moves_left)
    for target in sorted(plan.loads, key=lambda name: (plan.loads[name], name)):
        moves_left = _fill_underloaded(plan, items, target, moves_left)
    _move_to_local_domain(plan, items, moves_left)


def _move_from_overloaded(plan: _Plan, items: Sequence[PlacementItem], moves_left: int) -> int:
    """Move items away from overloaded owners and from other replicas of their shard."""
    for item in items:
        if moves_left == 0:
            return 0
        owner = plan.owners[item.key]
        if plan.loads[owner] <= plan.max_loads[owner] and not plan.conflicts(item, owner):
            continue
        target = plan.choose_owner(item)
        if target == owner or not plan.has_room(item, target) or plan.conflicts(item, target):
            continue
        plan.move(item, target)
        moves_left -= 1
    return moves_left


def _fill_underloaded(
    plan: _Plan, items: Sequence[PlacementItem], target: str, moves_left: int
) -> int:
    """Move items to an underloaded owner from owners that stay at or above their target load."""
    domain = plan.domains[target]
    for item in sorted(items, key=lambda item: item.failure_domain != domain):
        if moves_left == 0:
            return 0
        if plan.loads[target] + item.load > MIN_LOAD_RATIO * plan.target_loads[target]:
            return moves_left
        owner = plan.owners[item.key]
        if plan.loads[owner] - item.load < plan.target_loads[owner] or plan.conflicts(item, target):
            continue
        plan.move(item, target)
        moves_left -= 1
    return moves_left


def _move_to_local_domain(plan: _Plan, items: Sequence[PlacementItem], moves_left: int) -> None:
    """Move items to owners in their failure domain that are below their target load."""
    for item in items:
        if moves_left == 0:
            return
        if plan.domains[plan.owners[item.key]] == item.failure_domain:
            continue
        for target in (
            plan.weights_by_domain.get(item.failure_domain, {}) if item.failure_domain else ()
        ):
            if plan.loads[target] + item.load > plan.target_loads[target]:
                continue
            if plan.conflicts(item, target):
                continue
            plan.move(item, target)
            moves_left -= 1
            break
