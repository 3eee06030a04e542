"""Bounds on the sub-requests that bulk queries have outstanding."""

from attrs import define, field

from persimmonspur.model.configuration import PriorityClass, Service

# Classes from this priority on read in bulk; they may wait, and get no burst.
BULK_PRIORITY = 2
QUERY_WINDOW = 16
# A query of an instance with a small share must still progress.
LEAST_OUTSTANDING = 4
# Slots are idle between a reply and the next sub-request, so that a class
# needs more outstanding sub-requests than its share of the slots.
SLOT_FACTOR = 2.0
DEFAULT_SHARE = 0.2


@define
class OutstandingLimits:
    """Counts the outstanding sub-requests of bulk classes at this coordinator."""

    _shares: dict[str, float] = field(factory=dict)
    _outstanding: dict[tuple[str, str], int] = field(factory=dict)

    def configure(self, classes: tuple[PriorityClass, ...]) -> None:
        """Take the declared classes."""
        self._shares = {known.name: known.share for known in classes}

    def compute_bound(self, service: Service, priority_class: str, coordinators: int) -> int:
        """Return how many sub-requests a class may have outstanding at a service.

        :param coordinators: instances that share the service's slots.
        """
        slots = service.limits.slots * len(service.endpoints)
        share = self._shares.get(priority_class, DEFAULT_SHARE)
        return max(LEAST_OUTSTANDING, int(SLOT_FACTOR * share * slots / max(1, coordinators)))

    def count(self, service: str, priority_class: str) -> int:
        """Return the outstanding sub-requests of a class at a service."""
        return self._outstanding.get((service, priority_class), 0)

    def add(self, service: str, priority_class: str, change: int) -> None:
        """Count sub-requests that were sent (positive) or settled (negative)."""
        key = (service, priority_class)
        self._outstanding[key] = self._outstanding.get(key, 0) + change
