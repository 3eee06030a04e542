"""Merges the events of several processes, whose clocks may differ, into one order."""

import heapq
from collections import deque

from attrs import define, field

from persimmonspur.daemon.timeline import TimelineEntry

SENT_EVENT = "sub_request_sent"
RECEIVED_EVENT = "dispatched"


@define
class OrderedEntry:
    """An event with its corrected time.

    :param time_ms: wall-clock time corrected to the clock of the first process that messages
        connect with this one, directly or through others.
    """

    entry: TimelineEntry
    time_ms: float


@define
class _Link:
    """Messages from one process to another.

    :param min_difference_ms: smallest difference between the receiver's wall-clock time at the
        receipt of a message and the sender's at its sending.
    """

    min_difference_ms: float
    messages: int = 1


def order_entries(entries: list[TimelineEntry]) -> list[OrderedEntry]:
    """Order events by causality, then by corrected wall-clock time.

    Events of one process keep their sequence, and the sending of a sub-request
    precedes its dispatch. Clock offsets are estimated from these pairs, which
    also places events without a known cause approximately.
    """
    ordered = sorted(entries, key=lambda entry: (entry.instance, entry.sequence))
    pairs = _pair_messages(ordered)
    offsets = _estimate_offsets(ordered, pairs)
    times = [entry.wall_ms - offsets[entry.instance] for entry in ordered]
    return [OrderedEntry(ordered[i], times[i]) for i in _sort_topologically(ordered, times, pairs)]


def _pair_messages(entries: list[TimelineEntry]) -> list[tuple[int, int]]:
    sent = {}
    for index, entry in enumerate(entries):
        if entry.name == SENT_EVENT:
            sent[entry.fields.get("sub_request")] = index
    pairs = []
    for index, entry in enumerate(entries):
        if entry.name != RECEIVED_EVENT:
            continue
        cause = sent.get(entry.fields.get("sub_request"))
        if cause is not None:
            pairs.append((cause, index))
    return pairs


def _estimate_offsets(
    entries: list[TimelineEntry], pairs: list[tuple[int, int]]
) -> dict[str, float]:
    """Return how far the wall clock of each process is ahead of the reference clock.

    The reference is the clock of the first process among those connected by messages.
    """
    links: dict[tuple[str, str], _Link] = {}
    for cause, effect in pairs:
        sender, receiver = entries[cause], entries[effect]
        if sender.instance == receiver.instance:
            continue
        difference_ms = receiver.wall_ms - sender.wall_ms
        link = links.get((sender.instance, receiver.instance))
        if link is None:
            links[sender.instance, receiver.instance] = _Link(difference_ms)
            continue
        link.min_difference_ms = min(link.min_difference_ms, difference_ms)
        link.messages += 1
    names = list(dict.fromkeys(entry.instance for entry in entries))
    offsets: dict[str, float] = {}
    for name in names:
        if name in offsets:
            continue
        # No message connects this process to the ones before it.
        offsets[name] = 0.0
        _propagate_offsets(name, names, links, offsets)
    return offsets


def _propagate_offsets(
    start: str,
    names: list[str],
    links: dict[tuple[str, str], _Link],
    offsets: dict[str, float],
) -> None:
    queue = deque([start])
    while queue:
        known = queue.popleft()
        for name in names:
            if name in offsets:
                continue
            ahead_ms = _estimate_offset_between(links.get((known, name)), links.get((name, known)))
            if ahead_ms is None:
                continue
            offsets[name] = offsets[known] + ahead_ms
            queue.append(name)


def _estimate_offset_between(forward: _Link | None, backward: _Link | None) -> float | None:
    """Return how far the clock of ``forward``'s receiver is ahead of its sender's.

    With messages in one direction only, the offset is 0 unless a message would then
    arrive before it was sent. Without messages it is unknown.
    """
    if forward is not None and backward is not None:
        # Assumes that the minimum delay is the same in both directions.
        return (forward.min_difference_ms - backward.min_difference_ms) / 2
    if forward is not None:
        return min(0.0, forward.min_difference_ms)
    if backward is not None:
        return max(0.0, -backward.min_difference_ms)
    return None


@define
class _Graph:
    successors: dict[int, list[int]] = field(factory=dict)
    pending_predecessors: dict[int, int] = field(factory=dict)

    def add(self, cause: int, effect: int) -> None:
        self.successors.setdefault(cause, []).append(effect)
        self.pending_predecessors[effect] = self.pending_predecessors.get(effect, 0) + 1


def _sort_topologically(
    entries: list[TimelineEntry], times: list[float], pairs: list[tuple[int, int]]
) -> list[int]:
    graph = _Graph()
    for index in range(1, len(entries)):
        if entries[index].instance == entries[index - 1].instance:
            graph.add(index - 1, index)
    for cause, effect in pairs:
        if cause != effect:
            graph.add(cause, effect)
    ready = [(times[i], i) for i in range(len(entries)) if not graph.pending_predecessors.get(i)]
    heapq.heapify(ready)
    result = []
    while ready:
        _, index = heapq.heappop(ready)
        result.append(index)
        for successor in graph.successors.get(index, ()):
            graph.pending_predecessors[successor] -= 1
            if graph.pending_predecessors[successor] == 0:
                heapq.heappush(ready, (times[successor], successor))
    if len(result) < len(entries):
        # A process was restarted and its sequence numbers began again, so that the graph
        # has a cycle and no causal order exists.
        return sorted(range(len(entries)), key=lambda index: (times[index], index))
    return result
