"""State of the store that instances hand to each other.

An instance that the store turns away, or that starts while the store is away, takes the
configuration and the endpoints from a peer that knows a newer state.
"""

from collections.abc import Callable

import msgspec
from expression import Result

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.routes import RouteTable
from persimmonspur.entry.httpclient import HttpClient, fetch_message
from persimmonspur.entry.relays import RelaySurface
from persimmonspur.entry.server import HttpRequest, Respond, ServerResponse
from persimmonspur.entry.wire import Revisions, TableMessage, unpack_endpoint, unpack_table
from persimmonspur.errors import Failure

STATE_PATH = "/state"
FETCH_TIMEOUT_MS = 1_000.0


class PeerState(msgspec.Struct):
    """What an instance knows from the store.

    :param table: ``None`` without a configuration.
    :param evacuated: failure domains whose endpoints get no requests.
    :param newest: up to which changes the state goes.
    :param sent_ms: sender's local time, to which cold starts refer.
    """

    table: TableMessage | None
    endpoints: list[Endpoint]
    evacuated: list[str]
    newest: Revisions
    sent_ms: float

    def build_table(self) -> RouteTable | None:
        """Return the route table, ``None`` without one."""
        return unpack_table(self.table) if self.table is not None else None

    def build_endpoints(self, now_ms: float) -> list[Endpoint]:
        """Return the endpoints with cold starts in the receiver's time.

        :param now_ms: local time of the receiver.
        """
        shift_ms = now_ms - self.sent_ms
        return [unpack_endpoint(endpoint, shift_ms) for endpoint in self.endpoints]


class PeerSurface:
    """Answers other instances: those that ask for the state, and those that follow this one."""

    def __init__(self, describe: Callable[[], PeerState], relays: RelaySurface) -> None:
        self._describe = describe
        self._relays = relays

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Answer one request."""
        if request.target.decode("latin-1") != STATE_PATH:
            return self._relays.handle(request, respond)
        respond(ServerResponse(200, [], msgspec.msgpack.encode(self._describe())))
        return None


def fetch_state(caller: HttpClient) -> Result[PeerState, Failure]:
    """Ask a peer for its state.

    :param caller: of the peer's address.
    """
    fetched = fetch_message(caller, "peer", STATE_PATH, FETCH_TIMEOUT_MS, PeerState)
    caller.close()
    return fetched
