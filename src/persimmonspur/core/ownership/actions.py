"""Actions that a cell asks its caller to carry out."""

from attrs import frozen

from persimmonspur.core.ownership.table import CellTable
from persimmonspur.model.messages import Heartbeat


@frozen
class ReadTable:
    """Read the table from the object API and report it with :meth:`Cell.observe_read`."""


@frozen
class WriteTable:
    """Write the table by conditional update and report with :meth:`Cell.observe_write`.

    :param expected_version: stored version that the update expects; 0 for a new object.
    """

    table: CellTable
    expected_version: int


@frozen
class ConfirmTable:
    """Rewrite the table unchanged and report with :meth:`Cell.observe_confirmation`.

    Only a conditional update proves that no newer table is stored, as a read may be stale.

    :param expected_version: stored version that the update expects.
    """

    table: CellTable
    expected_version: int


@frozen
class SendHeartbeat:
    """Send a heartbeat to a member."""

    receiver: str
    heartbeat: Heartbeat


@frozen
class FetchTableFrom:
    """Request the table from a peer and report it with :meth:`Cell.observe_table`."""

    peer: str


@frozen
class AdoptTable:
    """The cell adopted a newer table: connect to its members and update the endpoints' gates."""

    table: CellTable


@frozen
class ReleaseBudgets:
    """Stop using budgets and notify their new owner.

    :param receiver: name of the new owner.
    :param version: table version that moved the budgets.
    """

    receiver: str
    version: int
    endpoints: tuple[str, ...]


CellAction = (
    ReadTable
    | WriteTable
    | ConfirmTable
    | SendHeartbeat
    | FetchTableFrom
    | AdoptTable
    | ReleaseBudgets
)
