"""Phases of an instance's life."""

from enum import IntEnum


class Phase(IntEnum):
    """What an instance does at present; phases only advance.

    ``LEAVING`` still serves callers that keep its address, but other instances
    no longer name it; ``STOPPING`` rejects new queries and finishes running ones.
    """

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    STOPPING = 3
