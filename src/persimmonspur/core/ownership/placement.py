"""Assigns budgets to members."""

import math
from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from persimmonspur.core.rendezvous import rank_candidates
from persimmonspur.model.member import Member

# Highest and lowest load of an owner relative to its share of the mean.
HIGHEST_LOAD = 1.25
LOWEST_LOAD = 0.75
BALANCE_SHARE = 0.1


@frozen
class Item:
    """What is placed.

    :param key: hashed for the rendezvous ranking.
    :param load: slots.
    :param failure_domain: members in it come first; empty for no preference.
    :param groups: shards, whose other replicas belong on other owners.
    """

    key: str
    load: float
    failure_domain: str = ""
    groups: tuple[str, ...] = ()


def place_items(
    items: Sequence[Item],
    members: Sequence[Member],
    current: Mapping[str, str],
    balance: bool,
) -> dict[str, str]:
    """Choose an owner for every item.

    Items whose owner is not among the members move without a limit; moves
    that only improve the balance are limited to :data:`BALANCE_SHARE`.

    :param members: members that may own, of weight above 0.
    :param current: present owner by item key.
    :param balance: whether balance moves may be made now.
    :returns: owner by item key; empty without members.
    """
    if not members:
        return {}
    plan = _Plan.build(items, members)
    homeless = []
    for item in items:
        owner = current.get(item.key, "")
        if owner in plan.loads:
            plan.put(item, owner)
            continue
        homeless.append(item)
    for item in homeless:
        plan.put(item, plan.choose(item))
    if balance:
        _rebalance(plan, items)
    return plan.owners


@define
class _Plan:
    weights: dict[str, dict[str, float]]
    domains: dict[str, str]
    shares: dict[str, float]
    limits: dict[str, float]
    loads: dict[str, float]
    groups: dict[tuple[str, str], int] = field(factory=dict)
    owners: dict[str, str] = field(factory=dict)

    @classmethod
    def build(cls, items: Sequence[Item], members: Sequence[Member]) -> "_Plan":
        weights: dict[str, dict[str, float]] = {"": {}}
        for member in members:
            weights[""][member.name] = member.weight
            weights.setdefault(member.failure_domain, {})[member.name] = member.weight
        mean = sum(item.load for item in items) / sum(weights[""].values())
        shares = {member.name: mean * member.weight for member in members}
        largest = max((item.load for item in items), default=1.0)
        # Whole items must fit: six equal ones need an owner of two among four.
        limits = {
            name: max(HIGHEST_LOAD * share, math.ceil(share / largest) * largest)
            for name, share in shares.items()
        }
        domains = {member.name: member.failure_domain for member in members}
        return cls(weights, domains, shares, limits, dict.fromkeys(shares, 0.0))

    def put(self, item: Item, owner: str) -> None:
        self.owners[item.key] = owner
        self._count(item, owner, 1)

    def move(self, item: Item, owner: str) -> None:
        self._count(item, self.owners[item.key], -1)
        self.put(item, owner)

    def rank(self, item: Item) -> list[str]:
        near = rank_candidates(self.weights.get(item.failure_domain, {}), item.key)
        if item.failure_domain == "":
            return near
        return [*near, *(n for n in rank_candidates(self.weights[""], item.key) if n not in near)]

    def choose(self, item: Item) -> str:
        ranked = self.rank(item)
        for owner in ranked:
            if self.has_room(item, owner) and not self.conflicts(item, owner):
                return owner
        separate = [owner for owner in ranked if not self.conflicts(item, owner)]
        return min(separate or ranked, key=lambda owner: self.loads[owner] / self.shares[owner])

    def has_room(self, item: Item, owner: str) -> bool:
        return self.loads[owner] + item.load <= self.limits[owner]

    def conflicts(self, item: Item, owner: str) -> bool:
        mine = 1 if self.owners.get(item.key) == owner else 0
        return any(self.groups.get((owner, group), 0) > mine for group in item.groups)

    def _count(self, item: Item, owner: str, sign: int) -> None:
        self.loads[owner] += sign * item.load
        for group in item.groups:
            self.groups[owner, group] = self.groups.get((owner, group), 0) + sign


def _rebalance(plan: _Plan, items: Sequence[Item]) -> None:
    # Each step only moves load towards the mean or lowers the number of
    # conflicts, so repeated calls come to rest.
    moves = max(1, int(len(items) * BALANCE_SHARE))
    moves = _relieve(plan, items, moves)
    for target in sorted(plan.loads, key=lambda name: (plan.loads[name], name)):
        moves = _fill(plan, items, target, moves)
    _bring_home(plan, items, moves)


def _relieve(plan: _Plan, items: Sequence[Item], moves: int) -> int:
    """Move items away from overloaded owners and from other replicas of their shard."""
    for item in items:
        if moves == 0:
            return 0
        owner = plan.owners[item.key]
        if plan.loads[owner] <= plan.limits[owner] and not plan.conflicts(item, owner):
            continue
        target = plan.choose(item)
        if target == owner or not plan.has_room(item, target) or plan.conflicts(item, target):
            continue
        plan.move(item, target)
        moves -= 1
    return moves


def _fill(plan: _Plan, items: Sequence[Item], target: str, moves: int) -> int:
    """Move items to an owner with little load, from owners above the mean."""
    domain = plan.domains[target]
    for item in sorted(items, key=lambda item: item.failure_domain != domain):
        if moves == 0:
            return 0
        if plan.loads[target] + item.load > LOWEST_LOAD * plan.shares[target]:
            return moves
        owner = plan.owners[item.key]
        if plan.loads[owner] - item.load < plan.shares[owner] or plan.conflicts(item, target):
            continue
        plan.move(item, target)
        moves -= 1
    return moves


def _bring_home(plan: _Plan, items: Sequence[Item], moves: int) -> None:
    """Move items to owners in their failure domain that are below the mean."""
    for item in items:
        if moves == 0:
            return
        if plan.domains[plan.owners[item.key]] == item.failure_domain:
            continue
        for target in plan.weights.get(item.failure_domain, {}) if item.failure_domain else ():
            if plan.loads[target] + item.load > plan.shares[target]:
                continue
            if plan.conflicts(item, target):
                continue
            plan.move(item, target)
            moves -= 1
            break
