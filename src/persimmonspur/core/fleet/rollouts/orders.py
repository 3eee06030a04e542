"""Orders to move a service to another version, and the state of each as the store holds it."""

from enum import StrEnum

from attrs import frozen


class OrderState(StrEnum):
    """State of an order in the store; empty until an instance has written one."""

    NONE = ""
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether the order has ended."""
        return self in (OrderState.SUCCEEDED, OrderState.ROLLED_BACK)


@frozen
class RolloutOrder:
    """One order in the store.

    :param over_ms: time from the order until it has to be decided.
    :param revision: revision of the object, on which a write of its state is conditional.
    :param state: state that was written for this target version.
    :param problem: why the order cannot be carried out; empty if it can.
    """

    service: str
    target_version: str
    over_ms: float
    revision: int
    state: OrderState = OrderState.NONE
    problem: str = ""


@frozen
class RolloutBounds:
    """Bounds on the requests that an unproven version gets, over all instances together.

    :param exposure_share: fraction of the service's requests.
    :param exposure_slack: requests beyond that fraction.
    :param rollback_ms: time within which a faulty version gets no more requests.
    """

    exposure_share: float
    exposure_slack: float
    rollback_ms: float
