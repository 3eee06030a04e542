"""State of the store that instances hand to each other.

An instance that the store turns away, or that starts while the store is away, takes the
configuration and the endpoints from a peer that knows a newer state.
"""

from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.routes import ClientLimits, Route, RouteTable, ServiceLimits
from persimmonspur.entry.calls import HttpCaller
from persimmonspur.entry.server import HttpAnswer, HttpRequest, Respond
from persimmonspur.errors import ErrorKind, Failure

STATE_PATH = "/state"
FETCH_TIMEOUT_MS = 1_000.0


class PeerState(msgspec.Struct):
    """What an instance knows from the store.

    :param version: of the route table; 0 without one.
    :param newest: revision of the latest change of an endpoint.
    :param sent_ms: sender's local time, to which cold starts refer.
    :param evacuated: failure domains whose endpoints get no requests.
    """

    version: int
    routes: list[Route]
    services: dict[str, ServiceLimits]
    limits: ClientLimits
    endpoints: list[Endpoint]
    newest: int
    evacuated: list[str]
    sent_ms: float

    def build_table(self) -> RouteTable | None:
        """Return the route table, ``None`` without one."""
        if not self.version:
            return None
        return RouteTable(self.version, tuple(self.routes), self.services, self.limits)

    def build_endpoints(self, now_ms: float) -> list[Endpoint]:
        """Return the endpoints with cold starts in the receiver's time.

        :param now_ms: local time of the receiver.
        """
        shift_ms = now_ms - self.sent_ms
        endpoints = []
        for endpoint in self.endpoints:
            if endpoint.cold_until_ms:
                endpoint = endpoint.move_cold_end(shift_ms)
            endpoints.append(endpoint)
        return endpoints


class PeerStateSurface:
    """Answers other instances that ask for the state."""

    def __init__(self, describe: Callable[[], PeerState]) -> None:
        self._describe = describe

    def handle(self, request: HttpRequest, respond: Respond) -> None:
        """Answer one request."""
        if request.target.decode("latin-1") != STATE_PATH:
            respond(HttpAnswer(404))
            return
        respond(HttpAnswer(200, [], msgspec.msgpack.encode(self._describe())))


def fetch_state(caller: HttpCaller) -> Result[PeerState, Failure]:
    """Ask a peer for its state.

    :param caller: of the peer's address.
    """
    called = caller.call("GET", STATE_PATH, b"", FETCH_TIMEOUT_MS)
    if called.is_error():
        return Error(called.error)
    if called.ok.status != 200:
        return Error(Failure.of(ErrorKind.UNREACHABLE, f"peer: status {called.ok.status}"))
    try:
        return Ok(msgspec.msgpack.decode(called.ok.body, type=PeerState))
    except msgspec.DecodeError as error:
        return Error(Failure.of(ErrorKind.UNREACHABLE, f"peer: unreadable state: {error}"))
