"""The table of a cell: its members and the owner of each endpoint's budget.

An endpoint's budget is the right to send sub-requests to it within its limits; only the owner
may use it.
"""

import msgspec
from attrs import field, frozen

from persimmonspur.model.member import Member


@frozen
class Assignment:
    """The owner of a budget.

    :param owner: name of the instance; empty once the configuration no longer has the endpoint.
    :param incarnation: incarnation of that instance.
    :param moved_at_version: table version at which it became the owner.
    :param previous: name of the previous owner; empty if there was none.
    :param previous_moved_at: table version at which the previous owner became the owner.
    """

    owner: str
    incarnation: int
    moved_at_version: int
    previous: str = ""
    previous_moved_at: int = 0


@frozen
class Removal:
    """The record of a removed member.

    :param incarnation: the removed incarnation, which may not join again.
    :param count: removals within the last ten minutes that no announcement of leaving preceded.
    """

    incarnation: int
    count: int


@frozen
class CellTable:
    """One version of a cell's table.

    :param version: grows by one with every change.
    :param attempt: id of the write attempt, to recognize a write whose reply was lost.
    :param members: members by name.
    :param joint_members: names of the members of the previous version, of whom a majority must
        also report this version before it is installed.
    :param assignments: endpoint budgets by endpoint name.
    :param configuration_version: version of the configuration that the assignments are based on.
    :param terminated: ended incarnations by name, as announced by the instance or reported by the
        platform or an operator.
    :param removals: records of removed members by name.
    """

    cell: str
    version: int
    attempt: str
    members: dict[str, Member] = field(factory=dict)
    joint_members: frozenset[str] = frozenset()
    assignments: dict[str, Assignment] = field(factory=dict)
    configuration_version: int = 0
    terminated: dict[str, int] = field(factory=dict)
    removals: dict[str, Removal] = field(factory=dict)


def count_majority(members: int) -> int:
    """Return how many members form a majority of the given number."""
    return members // 2 + 1


def encode_table(table: CellTable) -> bytes:
    """Encode a table in its stored format."""
    return msgspec.json.encode(table)


def decode_table(data: bytes) -> CellTable:
    """Decode a stored table.

    :raises msgspec.ValidationError: if the data is not a table.
    """
    return msgspec.json.decode(data, type=CellTable)
