"""Positions in the history of the store, comparable across restores from an older copy."""

from attrs import frozen


@frozen(order=True)
class StorePosition:
    """A revision of the store within one of its eras.

    A restored store begins a new era, in which it gives out the revisions of lost changes
    again. Revisions of different eras say nothing about each other: whatever its revision, a
    position in a later era is newer.

    :param era: number of the era; 0 if the store announces none.
    :param revision: 0 if none is known.
    """

    era: int = 0
    revision: int = 0


NO_POSITION = StorePosition()
