"""Identification of requests that are the same, whatever their ids."""

import hashlib

from persimmonspur.core.fleet.messages import ClientRequest

DIGEST_BYTES = 8


def compute_fingerprint(request: ClientRequest) -> str:
    """Return a digest of everything that an endpoint's work depends on.

    Ids, deadlines and other headers differ between repetitions of a request.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method.encode(), request.host.lower().encode(), request.target):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(request.body)
    return digest.hexdigest()
