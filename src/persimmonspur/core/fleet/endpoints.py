"""The endpoints that exist, as the store and the endpoints themselves report them."""

from collections.abc import Iterable

from attrs import evolve, frozen

# After an outage of the store, entries of live endpoints are back within two seconds.
LAPSED_ENTRY_HOLD_MS = 2_000.0


@frozen
class Endpoint:
    """One endpoint.

    :param identity: names one lifetime; requests carry it so that another endpoint
        at the same address does not run them.
    :param address: ``ip:port``.
    :param slots: requests that it runs concurrently.
    :param draining: whether it announced its shutdown.
    :param born_ms: Unix milliseconds of its start; 0 if it does not say.
    :param cold_until_ms: end of its cold start in local time.
    """

    identity: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    cold_until_ms: float = 0.0

    def shift_cold_end(self, shift_ms: float) -> "Endpoint":
        """Return the endpoint with the end of its cold start in another clock.

        :param shift_ms: that clock's time less the present one's.
        """
        return evolve(self, cold_until_ms=self.cold_until_ms + shift_ms)


class EndpointDirectory:
    """Endpoints by service, without those that drain or whose failure domain is evacuated."""

    def __init__(self) -> None:
        self._known: dict[str, Endpoint] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._usable: dict[str, tuple[Endpoint, ...]] = {}
        self.loaded = False

    def usable(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that may get new requests."""
        return self._usable.get(service, ())

    def get(self, identity: str) -> Endpoint | None:
        """Return a known endpoint, also a draining one."""
        return self._known.get(identity)

    def list_all(self) -> list[Endpoint]:
        """Return all known endpoints."""
        return list(self._known.values())

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose endpoints get no requests."""
        return self._evacuated

    def count_states(self, now_ms: float) -> dict[str, float]:
        """Return the number of known endpoints, and of those in each state."""
        counts = {"known": 0.0, "draining": 0.0, "evacuated": 0.0, "cold": 0.0}
        for endpoint in self._known.values():
            counts["known"] += 1
            counts["draining"] += endpoint.draining
            counts["evacuated"] += endpoint.failure_domain in self._evacuated
            counts["cold"] += endpoint.cold_until_ms > now_ms
        return counts

    def identities(self) -> frozenset[str]:
        """Return the identities of all known endpoints."""
        return frozenset(self._known)

    def replace_all(self, endpoints: Iterable[Endpoint], after_outage: bool, now_ms: float) -> None:
        """Take a complete list.

        :param after_outage: entries that the list lacks may come back; they stay in
            use for :data:`LAPSED_ENTRY_HOLD_MS`.
        """
        listed = {endpoint.identity: endpoint for endpoint in endpoints}
        if after_outage:
            for identity, endpoint in self._known.items():
                if identity not in listed:
                    listed[identity] = endpoint
                    self._missing_since.setdefault(identity, now_ms)
        self._known = listed
        self._missing_since = {
            identity: since for identity, since in self._missing_since.items() if identity in listed
        }
        self.loaded = True
        self._index()

    def put(self, endpoint: Endpoint) -> None:
        """Add or change an endpoint."""
        self._known[endpoint.identity] = endpoint
        self._missing_since.pop(endpoint.identity, None)
        self._index()

    def remove(
        self, identities: Iterable[str], after_outage: bool, now_ms: float
    ) -> frozenset[str]:
        """Remove endpoints whose entries are gone.

        Entries lapse while the store is away, and come back when it returns. After an
        outage, and when a service would lose its last endpoint, the endpoints stay in
        use for :data:`LAPSED_ENTRY_HOLD_MS`.

        :param after_outage: whether an outage of the store was noticed.
        :returns: the endpoints that stay for now.
        """
        gone = {identity for identity in identities if identity in self._known}
        left = {
            endpoint.service
            for endpoint in self._known.values()
            if endpoint.identity not in gone and not endpoint.draining
        }
        held = set()
        for identity in gone:
            endpoint = self._known[identity]
            if after_outage or (endpoint.service not in left and not endpoint.draining):
                self._missing_since.setdefault(identity, now_ms)
                held.add(identity)
                continue
            del self._known[identity]
            self._missing_since.pop(identity, None)
        self._index()
        return frozenset(held)

    def expire(self, now_ms: float) -> list[str]:
        """Remove endpoints whose entries did not come back.

        :returns: their identities.
        """
        expired = []
        for identity, since_ms in list(self._missing_since.items()):
            if now_ms - since_ms < LAPSED_ENTRY_HOLD_MS:
                continue
            del self._missing_since[identity]
            self._known.pop(identity, None)
            expired.append(identity)
        if expired:
            self._index()
        return expired

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Set the failure domains whose endpoints get no requests."""
        self._evacuated = failure_domains
        self._index()

    def _index(self) -> None:
        usable: dict[str, list[Endpoint]] = {}
        for endpoint in self._known.values():
            if endpoint.draining or endpoint.failure_domain in self._evacuated:
                continue
            usable.setdefault(endpoint.service, []).append(endpoint)
        self._usable = {service: tuple(endpoints) for service, endpoints in usable.items()}
