"""Known endpoints, as reported by the store and by the endpoints themselves."""

from collections.abc import Iterable

from attrs import evolve, frozen

# Entries of live endpoints reappear within two seconds after an outage of the store.
MISSING_ENTRY_HOLD_MS = 2_000.0


@frozen
class Endpoint:
    """One endpoint.

    :param identity: identifies one lifetime of the endpoint; requests carry it so that
        another endpoint at the same address does not run them.
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

    def is_older_than(self, other: "Endpoint") -> bool:
        """Return whether the other is a later report, or of a later lifetime."""
        return (self.born_ms, self.sequence) < (other.born_ms, other.sequence)

    def shift_cold_end(self, clock_offset_ms: float) -> "Endpoint":
        """Return the endpoint with the end of its cold start converted to another clock.

        :param clock_offset_ms: time on the other clock minus time on this one.
        """
        return evolve(self, cold_until_ms=self.cold_until_ms + clock_offset_ms)


class EndpointDirectory:
    """Known endpoints, and by service those that may get new requests.

    Draining endpoints and endpoints in evacuated failure domains get no new requests.

    :ivar loaded: whether a complete list of the endpoints has been received.
    """

    def __init__(self) -> None:
        self._by_identity: dict[str, Endpoint] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}
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

    def identities(self) -> frozenset[str]:
        """Return the identities of all known endpoints."""
        return frozenset(self._by_identity)

    def replace_all(self, endpoints: Iterable[Endpoint], after_outage: bool, now_ms: float) -> None:
        """Replace all endpoints by a complete list.

        :param after_outage: whether the store was recently unavailable. Entries missing
            from the list may then reappear, so their endpoints stay in use for
            :data:`MISSING_ENTRY_HOLD_MS`.
        """
        listed = {endpoint.identity: endpoint for endpoint in endpoints}
        if after_outage:
            for identity, endpoint in self._by_identity.items():
                if identity not in listed:
                    listed[identity] = endpoint
                    self._missing_since.setdefault(identity, now_ms)
                elif listed[identity].is_older_than(endpoint):
                    # The store was restored, and the endpoint may be draining since.
                    listed[identity] = endpoint
        self._by_identity = listed
        self._missing_since = {
            identity: since for identity, since in self._missing_since.items() if identity in listed
        }
        self.loaded = True
        self._rebuild_index()

    def put(self, endpoint: Endpoint) -> None:
        """Add or update an endpoint."""
        self._by_identity[endpoint.identity] = endpoint
        self._missing_since.pop(endpoint.identity, None)
        self._rebuild_index()

    def remove(
        self, identities: Iterable[str], after_outage: bool, now_ms: float
    ) -> frozenset[str]:
        """Remove endpoints whose entries were removed from the store.

        Entries expire while the store is unavailable and reappear afterwards. After an
        outage, or if a service would lose its last endpoint that is not draining, the
        endpoints therefore stay in use for :data:`MISSING_ENTRY_HOLD_MS`.

        :param after_outage: whether the store was recently unavailable.
        :returns: the endpoints that stay in use for now.
        """
        removed = {identity for identity in identities if identity in self._by_identity}
        remaining_services = {
            endpoint.service
            for endpoint in self._by_identity.values()
            if endpoint.identity not in removed and not endpoint.draining
        }
        held = set()
        for identity in removed:
            endpoint = self._by_identity[identity]
            if after_outage or (
                endpoint.service not in remaining_services and not endpoint.draining
            ):
                self._missing_since.setdefault(identity, now_ms)
                held.add(identity)
                continue
            del self._by_identity[identity]
            self._missing_since.pop(identity, None)
        self._rebuild_index()
        return frozenset(held)

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
