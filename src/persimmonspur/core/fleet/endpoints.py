"""Known endpoints, as reported by the store and by the endpoints themselves."""

from collections.abc import Iterable
from functools import cached_property
from typing import NewType

from attrs import evolve, frozen

# Entries of live endpoints reappear within two seconds after an outage of the store.
MISSING_ENTRY_HOLD_MS = 2_000.0
# A later report of the same cold start may give an end that differs by the time that the reports
# took.
COLD_END_TOLERANCE_MS = 1_000.0


# Identifies one process of an endpoint: its identity, address and start time.
Lifetime = NewType("Lifetime", str)


def get_identity(lifetime: Lifetime) -> str:
    """Return the identity of the endpoint that a lifetime belongs to."""
    return lifetime.rsplit(" ", 2)[0]


@frozen
class Endpoint:
    """One endpoint.

    :param identity: names the endpoint; requests carry it so that another endpoint at the same
        address does not run them. An endpoint may start again under its identity.
    :param address: ``ip:port``.
    :param slots: number of requests that it runs concurrently.
    :param draining: whether it announced its shutdown.
    :param born_ms: start time in Unix milliseconds; 0 if unknown.
    :param cold_until_ms: local time at which its cold start ends.
    :param sequence: number of its report; starts anew with each lifetime.
    :param version: version of its software; empty if unknown.
    """

    identity: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    cold_until_ms: float = 0.0
    sequence: float = 0.0
    version: str = ""

    @property
    def lifetime(self) -> Lifetime:
        """Identifies this process of the endpoint.

        What was learned about a process, and its connections, does not apply to another one.
        """
        return self._lifetime

    # The underscore keeps the cached value out of messages between instances.
    @cached_property
    def _lifetime(self) -> Lifetime:
        return Lifetime(f"{self.identity} {self.address} {self.born_ms}")

    def is_older_than(self, other: "Endpoint") -> bool:
        """Return whether the other is a later report, or of a later lifetime."""
        return (self.born_ms, self.sequence) < (other.born_ms, other.sequence)

    def shift_cold_end(self, clock_offset_ms: float) -> "Endpoint":
        """Return the endpoint with the end of its cold start converted to another clock.

        :param clock_offset_ms: time on the other clock minus time on this one.
        """
        return evolve(self, cold_until_ms=self.cold_until_ms + clock_offset_ms)


def restricts_work(before: Endpoint | None, after: Endpoint | None) -> bool:
    """Return whether an endpoint may get less work after a change of its entry.

    :param before: ``None`` if its entry is new, so that it gets no work yet.
    :param after: ``None`` if its entry was removed.
    """
    if before is None:
        return False
    if after is None:
        return True
    return (
        (after.draining and not before.draining)
        or after.cold_until_ms > before.cold_until_ms + COLD_END_TOLERANCE_MS
        or after.slots < before.slots
        or after.lifetime != before.lifetime
        or after.service != before.service
    )


@frozen
class AppliedChange:
    """What one change of an entry, or one step that followed from it, did.

    :param before: the endpoint that was known before, if any.
    :param after: the endpoint that is known now, ``None`` if there is none.
    :param held: whether the entry is gone and the endpoint stays in use for now.
    """

    identity: str
    before: Endpoint | None
    after: Endpoint | None
    held: bool = False


class EndpointDirectory:
    """Known endpoints, and by service those that may get new requests.

    Draining endpoints and endpoints in evacuated failure domains get no new requests.

    :ivar loaded: whether a complete list of the endpoints has been received.
    """

    def __init__(self) -> None:
        self._by_identity: dict[str, Endpoint] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        # Endpoints that were dropped lately, and when. They are held after all if the rest of
        # their service follows, whether or not the removals came in one batch.
        self._dropped: dict[str, tuple[Endpoint, float]] = {}
        self._usable: dict[str, tuple[Endpoint, ...]] = {}
        self.loaded = False

    def usable(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that may get new requests."""
        return self._usable.get(service, ())

    def get(self, identity: str) -> Endpoint | None:
        """Return a known endpoint, draining or not."""
        return self._by_identity.get(identity)

    def list_all(self) -> list[Endpoint]:
        """Return all known endpoints."""
        return list(self._by_identity.values())

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose endpoints get no requests."""
        return self._evacuated

    def count_states(self, now_ms: float) -> dict[str, float]:
        """Return the number of known endpoints, and of those in each state."""
        counts = {"known": 0.0, "draining": 0.0, "evacuated": 0.0, "cold": 0.0}
        for endpoint in self._by_identity.values():
            counts["known"] += 1
            counts["draining"] += endpoint.draining
            counts["evacuated"] += endpoint.failure_domain in self._evacuated
            counts["cold"] += endpoint.cold_until_ms > now_ms
        return counts

    def lifetimes(self) -> frozenset[Lifetime]:
        """Return the lifetimes of all known endpoints."""
        return frozenset(endpoint.lifetime for endpoint in self._by_identity.values())

    def replace_all(self, endpoints: Iterable[Endpoint], after_outage: bool, now_ms: float) -> None:
        """Replace all endpoints by a complete list.

        :param after_outage: whether the store was recently unavailable. Entries missing
            from the list may then reappear, so their endpoints stay in use for
            :data:`MISSING_ENTRY_HOLD_MS`.
        """
        listed = {endpoint.identity: endpoint for endpoint in endpoints}
        missing_since: dict[str, float] = {}
        if after_outage:
            for identity, endpoint in self._by_identity.items():
                if identity not in listed:
                    listed[identity] = endpoint
                    missing_since[identity] = self._missing_since.get(identity, now_ms)
                elif listed[identity].is_older_than(endpoint):
                    # The store was restored, and the endpoint may be draining since.
                    listed[identity] = endpoint
        self._by_identity = listed
        self._missing_since = missing_since
        self._dropped.clear()
        self.loaded = True
        self._rebuild_index()

    def apply(
        self,
        changes: Iterable[tuple[str, Endpoint | None]],
        after_outage: bool,
        now_ms: float,
    ) -> list[AppliedChange]:
        """Apply changes of entries in the order in which the store made them.

        Entries expire while the store is unavailable and reappear afterwards. After an
        outage, or if a service would lose its last endpoint that is not draining, the
        endpoints therefore stay in use for :data:`MISSING_ENTRY_HOLD_MS`. The result does
        not depend on how the changes are split into batches.

        :param changes: identities with their entries, ``None`` if an entry was removed.
        :param after_outage: whether the store was recently unavailable.
        """
        applied: list[AppliedChange] = []
        for identity, endpoint in changes:
            if endpoint is None:
                applied += self._remove_one(identity, after_outage, now_ms)
                continue
            applied.append(AppliedChange(identity, self._by_identity.get(identity), endpoint))
            self._by_identity[identity] = endpoint
            self._missing_since.pop(identity, None)
            self._dropped.pop(identity, None)
        self._rebuild_index()
        return applied

    def put(self, endpoint: Endpoint) -> None:
        """Add or update an endpoint."""
        self.apply([(endpoint.identity, endpoint)], False, 0.0)

    def remove(
        self, identities: Iterable[str], after_outage: bool, now_ms: float
    ) -> frozenset[str]:
        """Remove endpoints whose entries were removed from the store; see :meth:`apply`.

        :returns: the endpoints that stay in use for now.
        """
        removals = [(identity, None) for identity in identities]
        applied = self.apply(removals, after_outage, now_ms)
        return frozenset(change.identity for change in applied if change.held)

    def _remove_one(self, identity: str, after_outage: bool, now_ms: float) -> list[AppliedChange]:
        endpoint = self._by_identity.get(identity)
        if endpoint is None or identity in self._missing_since:
            return []
        if after_outage:
            return [self._hold(endpoint, now_ms)]
        if endpoint.draining:
            del self._by_identity[identity]
            return [AppliedChange(identity, endpoint, None)]
        if self._has_other_endpoint(endpoint):
            del self._by_identity[identity]
            self._forget_dropped(now_ms)
            self._dropped[identity] = (endpoint, now_ms)
            return [AppliedChange(identity, endpoint, None)]
        applied = [self._hold(endpoint, now_ms)]
        self._forget_dropped(now_ms)
        for dropped, dropped_ms in list(self._dropped.values()):
            if dropped.service == endpoint.service:
                del self._dropped[dropped.identity]
                applied.append(self._hold(dropped, dropped_ms))
        return applied

    def _forget_dropped(self, now_ms: float) -> None:
        for identity, (_, dropped_ms) in list(self._dropped.items()):
            if now_ms - dropped_ms >= MISSING_ENTRY_HOLD_MS:
                del self._dropped[identity]

    def _hold(self, endpoint: Endpoint, since_ms: float) -> AppliedChange:
        before = self._by_identity.get(endpoint.identity)
        self._by_identity[endpoint.identity] = endpoint
        self._missing_since[endpoint.identity] = since_ms
        return AppliedChange(endpoint.identity, before, endpoint, held=True)

    def _has_other_endpoint(self, endpoint: Endpoint) -> bool:
        """Return whether the service has another endpoint with an entry that is not draining."""
        for other in self._by_identity.values():
            if other.service != endpoint.service or other.draining:
                continue
            if other.identity != endpoint.identity and other.identity not in self._missing_since:
                return True
        return False

    def expire(self, now_ms: float) -> list[str]:
        """Remove held endpoints whose entries did not reappear in time.

        :returns: their identities.
        """
        expired = []
        for identity, since_ms in list(self._missing_since.items()):
            if now_ms - since_ms < MISSING_ENTRY_HOLD_MS:
                continue
            del self._missing_since[identity]
            self._by_identity.pop(identity, None)
            expired.append(identity)
        if expired:
            self._rebuild_index()
        return expired

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Set the failure domains whose endpoints get no requests."""
        self._evacuated = failure_domains
        self._rebuild_index()

    def _rebuild_index(self) -> None:
        usable: dict[str, list[Endpoint]] = {}
        for endpoint in self._by_identity.values():
            if endpoint.draining or endpoint.failure_domain in self._evacuated:
                continue
            usable.setdefault(endpoint.service, []).append(endpoint)
        self._usable = {service: tuple(endpoints) for service, endpoints in usable.items()}
