"""One order for the events of several processes whose clocks differ."""

import heapq
from collections import deque

from attrs import define, field

from persimmonspur.daemon.timeline import TimelineEntry

SENT = "sub_request_sent"
RECEIVED = "dispatched"


@define
class OrderedEntry:
    """An event in the common order.

    :param time_ms: wall-clock time corrected to the clock of the reference process.
    """

    entry: TimelineEntry
    time_ms: float


@define
class _Link:
    """Messages between two processes in one direction.

    :param least_ms: least difference of the receiver's and the sender's wall clock.
    """

    least_ms: float
    messages: int = 1


def order_entries(entries: list[TimelineEntry]) -> list[OrderedEntry]:
    """Order events by causality first and by corrected time second.

    Events of one process keep their sequence, and a sub-request is sent before
    it is dispatched. Clock differences are estimated from the same pairs, so
    that events without a known cause are near the right place too.
    """
    ordered = sorted(entries, key=lambda entry: (entry.instance, entry.sequence))
    pairs = _pair_messages(ordered)
    offsets = _estimate_offsets(ordered, pairs)
    times = [entry.wall_ms - offsets[entry.instance] for entry in ordered]
    return [OrderedEntry(ordered[i], times[i]) for i in _sort(ordered, times, pairs)]


def _pair_messages(entries: list[TimelineEntry]) -> list[tuple[int, int]]:
    sent = {}
    for index, entry in enumerate(entries):
        if entry.name == SENT:
            sent[entry.fields.get("sub_request")] = index
    pairs = []
    for index, entry in enumerate(entries):
        if entry.name != RECEIVED:
            continue
        cause = sent.get(entry.fields.get("sub_request"))
        if cause is not None:
            pairs.append((cause, index))
    return pairs


def _estimate_offsets(
    entries: list[TimelineEntry], pairs: list[tuple[int, int]]
) -> dict[str, float]:
    """Return what each process's wall clock is ahead of the first one's."""
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
        link.least_ms = min(link.least_ms, difference_ms)
        link.messages += 1
    names = list(dict.fromkeys(entry.instance for entry in entries))
    offsets: dict[str, float] = {}
    for name in names:
        if name in offsets:
            continue
        # No message connects this process with those before it.
        offsets[name] = 0.0
        _spread(name, names, links, offsets)
    return offsets


def _spread(
    start: str,
    names: list[str],
    links: dict[tuple[str, str], _Link],
    offsets: dict[str, float],
) -> None:
    waiting = deque([start])
    while waiting:
        known = waiting.popleft()
        for name in names:
            if name in offsets:
                continue
            ahead_ms = _find_ahead(links.get((known, name)), links.get((name, known)))
            if ahead_ms is None:
                continue
            offsets[name] = offsets[known] + ahead_ms
            waiting.append(name)


def _find_ahead(there: _Link | None, back: _Link | None) -> float | None:
    if there is not None and back is not None:
        # Messages take about the same least time in both directions.
        return (there.least_ms - back.least_ms) / 2
    if there is not None:
        return min(0.0, there.least_ms)
    if back is not None:
        return max(0.0, -back.least_ms)
    return None


@define
class _Graph:
    followers: dict[int, list[int]] = field(factory=dict)
    waiting: dict[int, int] = field(factory=dict)

    def add(self, cause: int, effect: int) -> None:
        self.followers.setdefault(cause, []).append(effect)
        self.waiting[effect] = self.waiting.get(effect, 0) + 1


def _sort(
    entries: list[TimelineEntry], times: list[float], pairs: list[tuple[int, int]]
) -> list[int]:
    graph = _Graph()
    for index in range(1, len(entries)):
        if entries[index].instance == entries[index - 1].instance:
            graph.add(index - 1, index)
    for cause, effect in pairs:
        if cause != effect:
            graph.add(cause, effect)
    ready = [(times[i], i) for i in range(len(entries)) if not graph.waiting.get(i)]
    heapq.heapify(ready)
    result = []
    while ready:
        _, index = heapq.heappop(ready)
        result.append(index)
        for follower in graph.followers.get(index, ()):
            graph.waiting[follower] -= 1
            if graph.waiting[follower] == 0:
                heapq.heappush(ready, (times[follower], follower))
    if len(result) < len(entries):
        # A process was restarted and its sequence began again: no causal order exists.
        return sorted(range(len(entries)), key=lambda index: (times[index], index))
    return result
