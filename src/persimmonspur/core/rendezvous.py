"""Weighted rendezvous hashing."""

import functools
import hashlib
import math

_HASH_RANGE = float(1 << 64)
# The same members and keys are scored many times per second.
SCORE_CACHE_SIZE = 16_384


def hash_key(*parts: str) -> int:
    """Hash strings to 64 bits, the same in every process.

    :param parts: strings to hash, joined by a separator that does not occur in names.
    """
    digest = hashlib.blake2b("\x1f".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


@functools.lru_cache(maxsize=SCORE_CACHE_SIZE)
def score_candidate(candidate: str, key: str, weight: float) -> float:
    """Return the candidate's score for a key; the highest score wins.

    :param weight: relative share of keys; a candidate with weight 0 or less never wins.
    """
    if weight <= 0:
        return -math.inf
    uniform = (hash_key(candidate, key) + 0.5) / _HASH_RANGE
    return -weight / math.log(uniform)


def rank_candidates(weights: dict[str, float], key: str) -> list[str]:
    """Rank candidates for a key, best first, omitting those with weight 0 or less.

    :param weights: weights by candidate name.
    """
    scored = []
    for name, weight in weights.items():
        if weight <= 0:
            continue
        scored.append((-score_candidate(name, key, weight), name))
    scored.sort()
    return [name for _, name in scored]
