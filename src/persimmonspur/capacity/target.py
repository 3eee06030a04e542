"""The target scale and what the measured slopes come to there."""

import math

from attrs import frozen

from persimmonspur.capacity.record import CapacityRecord
from persimmonspur.daemon.controllers.cell import LISTING_INTERVAL_MS, SLOW_LISTING_INTERVAL_MS
from persimmonspur.daemon.controllers.configuration import ROOT_READ_INTERVAL_PER_MEMBER_MS

DAY_S = 86_400.0


@frozen
class Target:
    """Section 1.6 of the design.

    :param core_share: control overhead allowed per instance, as a part of a core.
    :param control_bytes: control traffic allowed per instance in bytes per second.
    :param api_writes: writes per second that the object API takes; "several hundred".
    """

    instances: int = 3_800
    endpoints: int = 100_000
    queries_per_s: float = 3_100_000.0
    fan_out: int = 62
    changes_per_day: float = 14_000.0
    failures_per_day: float = 140.0
    restarts_per_day: float = 12_000.0
    change_limit_ms: float = 14_000.0
    core_share: float = 0.026
    memory_bytes: float = 128e6
    control_bytes: float = 7_000.0
    cell_members: int = 24
    watchers: int = 2
    api_reads: float = 2_000.0
    api_writes: float = 300.0
    renewal_s: float = 300.0
    watch_s: float = 30.0

    @property
    def cells(self) -> int:
        """Cells of the largest size."""
        return math.ceil(self.instances / self.cell_members)

    @property
    def cell_endpoints(self) -> float:
        """Endpoints of one cell."""
        return self.endpoints / self.cells

    @property
    def instance_queries(self) -> float:
        """Queries per second at one instance."""
        return self.queries_per_s / self.instances

    @property
    def instance_sub_requests(self) -> float:
        """Sub-requests per second that one instance coordinates, and as many that it owns."""
        return self.instance_queries * self.fan_out

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.changes_per_day / DAY_S

    @property
    def listings_per_s(self) -> float:
        """Readings of the instance list: two members of a cell often, the others seldom."""
        often = 2 * self.cells
        seldom = self.instances - often
        return (often / LISTING_INTERVAL_MS + seldom / SLOW_LISTING_INTERVAL_MS) * 1000

    @property
    def checks_per_s(self) -> float:
        """Readings of the root by all members in turn."""
        return self.cells / (ROOT_READ_INTERVAL_PER_MEMBER_MS / 1000)

    @property
    def member_changes_per_s(self) -> float:
        """Table writes per second because members fail, leave or join.

        A failure costs one removal and one return, a restart one leave and one return.
        """
        return 2 * (self.failures_per_day + self.restarts_per_day) / DAY_S


TARGET = Target()


@frozen
class Estimates:
    """What the slopes come to at the target; ``None`` where a series is missing.

    :param member_cpu: processor µs per second of a cell member.
    :param member_bytes: bytes per second, sent and received.
    :param apply_whole: processor µs to apply the whole configuration.
    :param apply_cell: processor µs to apply the part of one cell.
    :param idle_cpu: processor µs per second of a whole daemon without queries.
    :param resident: resident bytes of a whole daemon without queries.
    :param change_cpu: processor µs to compute a new table.
    """

    member_cpu: float | None
    member_bytes: float | None
    table_bytes: float | None
    coordinator_us: float | None
    owner_us: float | None
    end_to_end_us: float | None
    view_cell: float | None
    view_whole: float | None
    configuration_bytes: float | None
    apply_whole: float | None
    apply_cell: float | None
    propagation_ms: float | None
    idle_cpu: float | None
    change_cpu: float | None
    resident: float | None


def extrapolate(record: CapacityRecord, name: str, x: float) -> float | None:
    """Return the fitted line of a series at a point."""
    series = record.find(name)
    if series is None:
        return None
    return series.fit.intercept + series.fit.slope * x


def find_slope(record: CapacityRecord, name: str) -> float | None:
    """Return the slope of a series."""
    series = record.find(name)
    return series.fit.slope if series is not None else None


def estimate(record: CapacityRecord, target: Target = TARGET) -> Estimates:
    """Apply the slopes to the target scale."""
    heartbeat = extrapolate(record, "heartbeat_cpu", target.cell_members)
    table = record.find("table_cpu")
    member_cpu = None
    if heartbeat is not None and table is not None:
        # The heartbeat series has the fewest endpoints of the table series.
        more = target.cell_endpoints - min(point.x for point in table.points)
        member_cpu = heartbeat + max(0.0, table.fit.slope) * more
    sent = extrapolate(record, "heartbeat_bytes", target.cell_members)
    coordinator = extrapolate(record, "coordinator_cpu", target.fan_out)
    owner = find_slope(record, "owner_cpu")
    return Estimates(
        member_cpu,
        2 * sent if sent is not None else None,
        extrapolate(record, "table_bytes", target.cell_endpoints),
        coordinator / target.fan_out if coordinator is not None else None,
        owner,
        find_slope(record, "loopback_cpu"),
        extrapolate(record, "view_memory", target.cell_endpoints),
        extrapolate(record, "view_memory", target.endpoints),
        extrapolate(record, "configuration_bytes", target.endpoints),
        extrapolate(record, "configuration_apply", target.endpoints),
        extrapolate(record, "configuration_apply", target.cell_endpoints),
        extrapolate(record, "propagation", target.cell_members),
        extrapolate(record, "idle_cpu", target.endpoints / target.instances),
        extrapolate(record, "table_change", target.cell_endpoints),
        extrapolate(record, "idle_memory", target.endpoints / target.instances),
    )
