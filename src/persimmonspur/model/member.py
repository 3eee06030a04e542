"""Members of a cell."""

from enum import StrEnum

from attrs import frozen


class MemberState(StrEnum):
    """Lifecycle of a member as the cell table records it."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"


@frozen
class Member:
    """One incarnation of an instance.

    :param name: name of the instance; one process at a time bears it.
    :param incarnation: grows with every start of the instance.
    :param peer_address: address that other instances connect to (``tcp://ip:port``).
    :param caller_address: address that callers connect to (``ip:port``).
    :param failure_domain: where the instance runs.
    :param weight: relative share of budgets; 0 owns none.
    """

    name: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    state: MemberState = MemberState.SERVING
    weight: float = 1.0
