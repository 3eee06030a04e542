"""Transfer of configuration, endpoints and evacuations from one instance to another.

An instance whose store calls fail, or that starts during a store outage, copies them from a
peer with a newer state.
"""

from collections.abc import Callable

import msgspec
from attrs import frozen
from expression import Result

from persimmonspur.clock import Clock
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.routes import RouteTable
from persimmonspur.entry.httpclient import HttpClient, fetch_message
from persimmonspur.entry.relays import RelayHandler
from persimmonspur.entry.server import HttpRequest, Respond, ServerResponse
from persimmonspur.entry.validation import build_entry_failure, find_domain_error
from persimmonspur.entry.wire import TABLE_FORMAT, Positions, TableMessage, decode_endpoint
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


class ReceivedState(msgspec.Struct):
    """A :class:`PeerState` whose entries are not decoded yet.

    One entry that cannot be decoded then does not spoil the others.
    """

    table: msgspec.Raw
    endpoints: list[msgspec.Raw]
    evacuated: list[str]
    newest: Positions
    sent_ms: float


@frozen
class StateCopy:
    """The checked state of a peer, on the receiver's clock.

    :param table: ``None`` without a configuration that can be used.
    :param rejected: failures of invalid entries by the kind of entry.
    """

    table: RouteTable | None
    endpoints: list[Endpoint]
    evacuated: list[str]
    newest: Positions
    rejected: dict[str, list[Failure]]


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


def fetch_state(client: HttpClient, clock: Clock) -> Result[StateCopy, Failure]:
    """Fetch the state of a peer.

    :param client: HTTP client for the peer's address; closed afterwards.
    :param clock: local clock of the receiver.
    """
    fetched = fetch_message(client, "peer", STATE_PATH, FETCH_TIMEOUT_MS, ReceivedState)
    client.close()
    return fetched.map(lambda state: check_state(state, clock.now_ms()))


def check_state(state: ReceivedState, now_ms: float) -> StateCopy:
    """Decode and check each entry on its own; an invalid one names nothing that can be used."""
    offset_ms = now_ms - state.sent_ms
    table = TABLE_FORMAT.decode("main", bytes(state.table), offset_ms, now_ms)
    endpoints: list[Endpoint] = []
    rejected_endpoints: list[Failure] = []
    for data in state.endpoints:
        decoded = decode_endpoint(bytes(data), offset_ms, now_ms)
        if decoded.is_error():
            rejected_endpoints.append(decoded.error)
        else:
            endpoints.append(decoded.ok)
    odd_domains = [name for name in state.evacuated if find_domain_error(name)]
    return StateCopy(
        table.ok if table.is_ok() else None,
        endpoints,
        [name for name in state.evacuated if name not in odd_domains],
        state.newest,
        {
            "configuration": [table.error] if table.is_error() else [],
            "endpoint": rejected_endpoints,
            "evacuation": [build_entry_failure(n, find_domain_error(n)) for n in odd_domains],
        },
    )
