"""Lifecycle phases of an instance."""

from enum import IntEnum


class Phase(IntEnum):
    """Phase of an instance; it only advances.

    In ``LEAVING`` the instance still serves callers that cached its address, but
    other instances no longer return it from /v1/resolve. In ``STOPPING`` it
    rejects new queries and finishes those that run.
    """

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    STOPPING = 3
