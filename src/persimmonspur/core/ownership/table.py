"""The table of a cell: its members and who owns which budget."""

import msgspec
from attrs import field, frozen

from persimmonspur.model.member import Member


@frozen
class Assignment:
    """Who may use a budget.

    :param owner: name of the instance.
    :param incarnation: incarnation of that instance.
    :param moved_at_version: table version at which it became the owner.
    :param previous: name of the former owner; empty if there was none.
    """

    owner: str
    incarnation: int
    moved_at_version: int
    previous: str = ""


@frozen
class CellTable:
    """One version of a cell's table.

    :param version: grows by one with every change.
    :param attempt: id of the write attempt, to recognise a write whose reply was lost.
    :param members: members by name.
    :param joint_members: names before the last membership change.
    :param assignments: endpoint budgets by endpoint name.
    :param claim_owners: claim partitions by number.
    """

    cell: str
    version: int
    attempt: str
    members: dict[str, Member] = field(factory=dict)
    joint_members: frozenset[str] = frozenset()
    assignments: dict[str, Assignment] = field(factory=dict)
    claim_owners: dict[int, Assignment] = field(factory=dict)


def encode_table(table: CellTable) -> bytes:
    """Encode a table in its stored form."""
    return msgspec.json.encode(table)


def decode_table(data: bytes) -> CellTable:
    """Decode a stored table.

    :raises msgspec.ValidationError: if the data is not a table.
    """
    return msgspec.json.decode(data, type=CellTable)
