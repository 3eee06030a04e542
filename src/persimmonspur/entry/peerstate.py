"""Transfer of configuration, endpoints and evacuations from one instance to another.

An instance whose store calls fail, or that starts during a store outage, copies them from a
peer with a newer state.
"""

from collections.abc import Callable

import msgspec
from expression import Result

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.routes import RouteTable
from persimmonspur.entry.httpclient import HttpClient, fetch_message
from persimmonspur.entry.relays import RelayHandler
from persimmonspur.entry.server import HttpRequest, Respond, ServerResponse
from persimmonspur.entry.wire import Positions, TableMessage, unpack_endpoint, unpack_table
from persimmonspur.errors import Failure

STATE_PATH = "/state"
# Long enough for a configuration of 1 MB over a link of 7 Mbit/s.
FETCH_TIMEOUT_MS = 3_000.0


class PeerState(msgspec.Struct):
    """One instance's copy of the store.

    :param table: ``None`` without a configuration.
    :param evacuated: failure domains whose endpoints get no requests.
    :param newest: positions of the latest changes in the state.
    :param sent_ms: sender's local time when it sent the state; cold start times of endpoints
        are on the same clock.
    """

    table: TableMessage | None
    endpoints: list[Endpoint]
    evacuated: list[str]
    newest: Positions
    sent_ms: float

    def build_table(self) -> RouteTable | None:
        """Return the route table, or ``None`` without a configuration."""
        return unpack_table(self.table) if self.table is not None else None

    def build_endpoints(self, now_ms: float) -> list[Endpoint]:
        """Return the endpoints with cold start times converted to the receiver's clock.

        :param now_ms: local time of the receiver.
        """
        clock_offset_ms = now_ms - self.sent_ms
        return [unpack_endpoint(endpoint, clock_offset_ms) for endpoint in self.endpoints]


class PeerHandler:
    """Handles requests of other instances for the state and for changes."""

    def __init__(self, get_state: Callable[[], PeerState], relay_handler: RelayHandler) -> None:
        self._get_state = get_state
        self._relay_handler = relay_handler

    def handle(self, request: HttpRequest, respond: Respond) -> Callable[[], None] | None:
        """Handle one request."""
        if request.target.decode("latin-1") != STATE_PATH:
            return self._relay_handler.handle(request, respond)
        respond(ServerResponse(200, [], msgspec.msgpack.encode(self._get_state())))
        return None


def fetch_state(client: HttpClient) -> Result[PeerState, Failure]:
    """Fetch the state of a peer.

    :param client: HTTP client for the peer's address; closed afterwards.
    """
    fetched = fetch_message(client, "peer", STATE_PATH, FETCH_TIMEOUT_MS, PeerState)
    client.close()
    return fetched
