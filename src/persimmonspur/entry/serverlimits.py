"""Shares of a machine's memory and descriptors for requests and for the responses to its own."""

import resource
from collections.abc import Callable

from attrs import frozen

from persimmonspur.core.fleet.routes import ClientLimits
from persimmonspur.entry.features import FeatureSettings
from persimmonspur.entry.memory import MemoryBudget
from persimmonspur.entry.requests import estimate_largest_request
from persimmonspur.entry.responses import estimate_largest_response

# Assumed where the settings name no limit: the smallest machine in use.
DEFAULT_MEMORY_MB = 152.0
# Descriptors that each machine reserves for files.
FILE_DESCRIPTORS = 200
# A larger limit on descriptors gives no more connections.
MAX_DESCRIPTORS = 65_536
MIN_CONNECTIONS = 4
# The budget always has room for this many of the largest requests within the limits.
MIN_LARGEST_REQUESTS = 2


@frozen
class AddressShare:
    """Part of the machine that the requests at one kind of address may take.

    :param name: name of the kind in metrics and logs.
    :param memory: fraction of the machine's memory.
    :param connections: fraction of the descriptors that are not reserved for files.
    """

    name: str
    memory: float
    connections: float


# All requests together take at most a quarter of the memory. Descriptors are left for
# connections to endpoints, the store and peers: more than half if only callers are many.
CALLER_SHARE = AddressShare("caller", 3 / 16, 7 / 16)
# Followers of a relay keep a connection for each kind of change: with 131 instances in three
# failure domains and four kinds about 180, twice that if two relays are lost.
PEER_SHARE = AddressShare("peer", 1 / 32, 5 / 16)
# Readiness, directory and metrics.
OPERATIONS_SHARE = AddressShare("operations", 1 / 96, 1 / 16)


@frozen
class ResponseShare:
    """Part of the machine that the responses of one kind of server may take.

    :param memory: fraction of the machine's memory for all that are being received.
    :param max_response_bytes: maximum size of one response.
    """

    memory: float
    max_response_bytes: int


ENDPOINT_RESPONSES = ResponseShare(3 / 16, 2_000_000)
# Large enough for several configurations of 1 MB in one response.
STORE_RESPONSES = ResponseShare(1 / 8, 16_000_000)
PEER_RESPONSES = ResponseShare(1 / 8, 16_000_000)
# On a small machine a single response takes at most this fraction of the memory.
LARGEST_RESPONSE_FRACTION = 1 / 8


@frozen
class ResponseLimits:
    """What the responses of one kind of server may take.

    :param max_response_bytes: size above which a response is a failure.
    :param memory: memory budget of all responses that are being received.
    """

    max_response_bytes: int
    memory: MemoryBudget


@frozen
class ServerLimits:
    """What all connections at one address may take together.

    :param max_connections: maximum number of open connections.
    """

    memory: MemoryBudget
    max_connections: int


def build_server_limits(
    share: AddressShare, features: FeatureSettings, get_limits: Callable[[], ClientLimits]
) -> ServerLimits:
    """Derive the limits of one address from those of the machine."""
    budget = build_request_memory(int(_get_memory_bytes(features) * share.memory), get_limits)
    sockets = _get_max_descriptors(features) - FILE_DESCRIPTORS
    return ServerLimits(budget, max(MIN_CONNECTIONS, int(sockets * share.connections)))


def build_request_memory(budget_bytes: int, get_limits: Callable[[], ClientLimits]) -> MemoryBudget:
    """Create the memory budget of the requests at one address.

    It has room for some of the largest requests within the limits, however small it is.
    """
    return MemoryBudget(
        budget_bytes, lambda: MIN_LARGEST_REQUESTS * estimate_largest_request(get_limits())
    )


def build_response_limits(share: ResponseShare, features: FeatureSettings) -> ResponseLimits:
    """Derive the limits of the responses of one kind of server from those of the machine."""
    memory_bytes = _get_memory_bytes(features)
    largest_bytes = min(share.max_response_bytes, int(memory_bytes * LARGEST_RESPONSE_FRACTION))
    budget = MemoryBudget(
        int(memory_bytes * share.memory), lambda: estimate_largest_response(largest_bytes)
    )
    return ResponseLimits(largest_bytes, budget)


def _get_memory_bytes(features: FeatureSettings) -> float:
    return (features.memory_mb or DEFAULT_MEMORY_MB) * 1_000_000


def _get_max_descriptors(features: FeatureSettings) -> int:
    """Return the smaller one of the settings' and the system's limit for this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = MAX_DESCRIPTORS if soft_limit == resource.RLIM_INFINITY else soft_limit
    return min(allowed, features.max_fds or MAX_DESCRIPTORS)
