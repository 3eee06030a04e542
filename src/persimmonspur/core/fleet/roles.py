"""Selection of the instances that clients are directed to, and of the relays."""

import math
from collections.abc import Iterable

from attrs import frozen

from persimmonspur.core.rendezvous import rank_candidates

# Link bandwidth that the requests of one busy core use, with responses of about 1 KB from each
# shard.
LINK_MBPS_PER_CORE = 40.0
# Failure domains that the entry set covers, if there are that many.
MIN_ENTRY_SET_DOMAINS = 2
# Number of instances that clients are directed to.
ENTRY_SET_SIZE = 4
# Relays per failure domain, and the minimum in total, which matters with few failure domains.
# Together they cover the entry set and the relays that are lost with one failure domain.
RELAYS_PER_DOMAIN = 2
MIN_RELAYS = 6
# The bound on the capacity of the machines in the entry set is halved this often at most.
MAX_HALVINGS = 16


@frozen
class Member:
    """One registered instance.

    :param incarnation: start time in Unix milliseconds.
    :param caller_address: address to which clients connect.
    :param peer_address: address to which other instances send heartbeats.
    :param capability: capacity of its machine, in cores; see :func:`compute_capability`.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str
    capability: float = 1.0


def compute_capability(cores: float, link_mbps: float) -> float:
    """Return the capacity of a machine, in cores, as limited by its cores or its link.

    :param link_mbps: bandwidth of the machine's link; 0 if it is not limited.
    """
    if link_mbps <= 0:
        return cores
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def choose_relays(members: Iterable[Member]) -> list[Member]:
    """Choose the instances that send heartbeats to all and watch the store for the others.

    Because their number is bounded, heartbeats do not grow with the square of the fleet
    size, and calls of the store do not grow with it. The relays include the entry set.
    """
    candidates = list(members)
    rankings = _rank_by_domain(candidates, ENTRY_SET_SIZE)
    if not rankings:
        return []
    per_domain = max(RELAYS_PER_DOMAIN, math.ceil(MIN_RELAYS / len(rankings)))
    relays = choose_entry_set(candidates)
    names = {member.name for member in relays}
    for ranking in rankings:
        relays.extend(member for member in ranking[:per_domain] if member.name not in names)
    return relays


def weigh_relays(relays: Iterable[Member]) -> dict[str, float]:
    """Return the weight of each relay; the relays of each failure domain weigh the same.

    :returns: weights by name in the given order, with the sum 1.
    """
    by_domain: dict[str, list[str]] = {}
    weights: dict[str, float] = {}
    for relay in relays:
        by_domain.setdefault(relay.failure_domain, []).append(relay.name)
        weights[relay.name] = 0.0
    for names in by_domain.values():
        weights.update(dict.fromkeys(names, 1 / (len(by_domain) * len(names))))
    return weights


def choose_entry_set(members: Iterable[Member], size: int = ENTRY_SET_SIZE) -> list[Member]:
    """Choose the instances that clients are directed to.

    With few instances, each one observes more of every endpoint, reuses more connections
    and has a larger share of the budgets. Machines with a high capacity come first. The set
    is stable, because instances are ranked by rendezvous hashing; they are taken from the
    failure domains in turn.

    :param size: number of instances; if there are fewer, all are chosen.
    """
    rankings = _rank_by_domain(_select_capable(list(members), size), size)
    chosen: list[Member] = []
    position = 0
    while len(chosen) < size and any(position < len(ranking) for ranking in rankings):
        for ranking in rankings:
            if position < len(ranking) and len(chosen) < size:
                chosen.append(ranking[position])
        position += 1
    return chosen


def _rank_by_domain(members: list[Member], size: int) -> list[list[Member]]:
    """Rank the failure domains, and the instances of each, those on capable machines first."""
    capable = {member.name for member in _select_capable(members, size)}
    by_domain: dict[str, dict[str, Member]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, {})[member.name] = member
    rankings = []
    for domain in rank_candidates(dict.fromkeys(by_domain, 1.0), "entry-domains"):
        named = by_domain[domain]
        ranked = rank_candidates(dict.fromkeys(named, 1.0), "entry-set")
        ranked.sort(key=lambda name: name not in capable)
        rankings.append([named[name] for name in ranked])
    return rankings


def _select_capable(members: list[Member], size: int) -> list[Member]:
    """Return the instances on the most capable machines.

    A set of unequal machines is only as fast as its slowest one, since clients distribute
    their requests evenly over the set.
    """
    min_domains = min(MIN_ENTRY_SET_DOMAINS, len({member.failure_domain for member in members}))
    required = min(size, len(members))
    threshold = max((member.capability for member in members), default=0.0) / 2
    for _ in range(MAX_HALVINGS):
        capable = [member for member in members if member.capability >= threshold]
        if len(capable) >= required and len({m.failure_domain for m in capable}) >= min_domains:
            return capable
        threshold /= 2
    return members
