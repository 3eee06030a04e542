"""Short digests that identify requests and endpoints in messages between instances."""

import hashlib

from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.messages import ClientRequest

REQUEST_DIGEST_BYTES = 8
LIFETIME_DIGEST_BYTES = 4


def compute_fingerprint(request: ClientRequest) -> str:
    """Return a digest of everything that an endpoint's work depends on.

    Ids, deadlines and other headers differ between repetitions of a request.
    """
    digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
    for part in (request.method.encode(), request.host.lower().encode(), request.target):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(request.body)
    return digest.hexdigest()


def compute_lifetime_digest(endpoint: Endpoint) -> str:
    """Return a digest that differs between endpoints and between their restarts."""
    lifetime = endpoint.lifetime.encode()
    return hashlib.blake2b(lifetime, digest_size=LIFETIME_DIGEST_BYTES).hexdigest()
