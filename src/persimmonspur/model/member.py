"""Members of a cell."""

from enum import StrEnum

from attrs import frozen


class MemberState(StrEnum):
    """Lifecycle state of a member, as recorded in the cell table."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"


@frozen
class Member:
    """One incarnation of an instance.

    :param name: name of the instance; only one process at a time uses it.
    :param incarnation: increases with every start of the instance.
    :param peer_address: address that other instances connect to (``tcp://ip:port``).
    :param caller_address: address that callers connect to (``ip:port``).
    :param failure_domain: failure domain that the instance runs in.
    :param weight: relative share of the budgets; a member with 0 owns none.
    """

    name: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    state: MemberState = MemberState.SERVING
    weight: float = 1.0
