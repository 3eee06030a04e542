"""Which instances callers are sent to, and which ones relay news to the others."""

import math
from collections.abc import Iterable

from attrs import frozen

from persimmonspur.core.rendezvous import rank_candidates

# Link that the requests of one busy core fill, with answers of about 1 KB from each shard.
LINK_MBPS_PER_CORE = 40.0
# Failure domains that the entry set covers where there are as many.
ENTRY_DOMAINS = 2
# Instances that callers are sent to.
ENTRY_SET_SIZE = 4
# Relays per failure domain, and in all where there are few failure domains: the entry set
# and as many more as a lost failure domain takes.
RELAYS_PER_DOMAIN = 2
RELAYS_LEAST = 6


@frozen
class Member:
    """One registered instance.

    :param incarnation: Unix milliseconds of its start.
    :param caller_address: where clients connect.
    :param peer_address: where other instances send heartbeats.
    :param capability: load that its machine bears, in cores; see :func:`compute_capability`.
    """

    name: str
    incarnation: int
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str
    capability: float = 1.0


def compute_capability(cores: float, link_mbps: float) -> float:
    """Return the load that a machine bears, in cores, whichever of its parts is full first.

    :param link_mbps: of the machine's link; 0 if it is not limited.
    """
    if link_mbps <= 0:
        return cores
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def choose_relays(members: Iterable[Member]) -> list[Member]:
    """Choose the instances that send heartbeats to all and watch the store for the others.

    A bounded number keeps heartbeats and calls of the store from growing with the square
    of the fleet, or with the fleet. The entry set is among them.
    """
    known = list(members)
    queues = _rank_by_domain(known, ENTRY_SET_SIZE)
    if not queues:
        return []
    per_domain = max(RELAYS_PER_DOMAIN, math.ceil(RELAYS_LEAST / len(queues)))
    relays = choose_entry_set(known)
    names = {member.name for member in relays}
    for queue in queues:
        relays.extend(member for member in queue[:per_domain] if member.name not in names)
    return relays


def choose_entry_set(members: Iterable[Member], size: int = ENTRY_SET_SIZE) -> list[Member]:
    """Choose the instances that callers are sent to.

    Few instances see more of each endpoint, reuse more connections and hold larger
    shares of the budgets. Capable machines go first. The set is stable: rendezvous ranks
    decide, failure domains take turns.

    :param size: number of instances; all if there are fewer.
    """
    queues = _rank_by_domain(_select_capable(list(members), size), size)
    chosen: list[Member] = []
    position = 0
    while len(chosen) < size and any(position < len(queue) for queue in queues):
        for queue in queues:
            if position < len(queue) and len(chosen) < size:
                chosen.append(queue[position])
        position += 1
    return chosen


def _rank_by_domain(members: list[Member], size: int) -> list[list[Member]]:
    """Order the failure domains, and the instances of each with capable machines first."""
    capable = {member.name for member in _select_capable(members, size)}
    by_domain: dict[str, dict[str, Member]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, {})[member.name] = member
    queues = []
    for domain in rank_candidates(dict.fromkeys(by_domain, 1.0), "entry-domains"):
        named = by_domain[domain]
        ranked = rank_candidates(dict.fromkeys(named, 1.0), "entry-set")
        ranked.sort(key=lambda name: name not in capable)
        queues.append([named[name] for name in ranked])
    return queues


def _select_capable(members: list[Member], size: int) -> list[Member]:
    """Return the instances on the most capable machines.

    A set of unequal machines is as fast as its slowest, since callers spread their
    requests evenly over it.
    """
    domains = min(ENTRY_DOMAINS, len({member.failure_domain for member in members}))
    wanted = min(size, len(members))
    least = max((member.capability for member in members), default=0.0) / 2
    while least > 0:
        capable = [member for member in members if member.capability >= least]
        if len(capable) >= wanted and len({m.failure_domain for m in capable}) >= domains:
            return capable
        least /= 2
    return members
