"""The target scale, and resource use at that scale extrapolated from the measurements."""

import math

from attrs import frozen

from persimmonspur.capacity.record import CapacityRecord
from persimmonspur.daemon.controllers.cell import LISTING_INTERVAL_MS, SLOW_LISTING_INTERVAL_MS
from persimmonspur.daemon.controllers.configuration import ROOT_READ_INTERVAL_PER_MEMBER_MS

SECONDS_PER_DAY = 86_400.0


@frozen
class Target:
    """The target scale of section 1.6 of docs/design.md.

    :param fan_out: shards that each query covers.
    :param max_change_ms: time within which a change must be in effect in a cell.
    :param max_control_core_share: processor time allowed per instance for control work, as a
        fraction of a core.
    :param max_control_memory_bytes: memory allowed per instance for control work.
    :param max_control_bytes_per_s: control traffic allowed per instance.
    :param max_api_writes_per_s: writes that the object API accepts; the design says "several
        hundred".
    :param table_renewal_interval_s: how often a cell rewrites an unchanged table.
    :param watch_timeout_s: how long one watch call waits.
    """

    instances: int = 3_800
    endpoints: int = 100_000
    queries_per_s: float = 3_100_000.0
    fan_out: int = 62
    changes_per_day: float = 14_000.0
    failures_per_day: float = 140.0
    restarts_per_day: float = 12_000.0
    max_change_ms: float = 14_000.0
    max_control_core_share: float = 0.026
    max_control_memory_bytes: float = 128e6
    max_control_bytes_per_s: float = 7_000.0
    members_per_cell: int = 24
    watchers_per_cell: int = 2
    max_api_reads_per_s: float = 2_000.0
    max_api_writes_per_s: float = 300.0
    table_renewal_interval_s: float = 300.0
    watch_timeout_s: float = 30.0

    @property
    def cells(self) -> int:
        """Number of cells if every cell has the maximum size."""
        return math.ceil(self.instances / self.members_per_cell)

    @property
    def endpoints_per_cell(self) -> float:
        """Mean number of endpoints in a cell."""
        return self.endpoints / self.cells

    @property
    def instance_queries_per_s(self) -> float:
        """Queries per second that one instance coordinates."""
        return self.queries_per_s / self.instances

    @property
    def instance_sub_requests_per_s(self) -> float:
        """Sub-requests per second that one instance sends as coordinator; it receives as many."""
        return self.instance_queries_per_s * self.fan_out

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def listings_per_s(self) -> float:
        """Reads of the instance list: two members of a cell poll it often, the others rarely."""
        frequent_readers = 2 * self.cells
        rare_readers = self.instances - frequent_readers
        return (
            frequent_readers / LISTING_INTERVAL_MS + rare_readers / SLOW_LISTING_INTERVAL_MS
        ) * 1000

    @property
    def checks_per_s(self) -> float:
        """Reads of the configuration root: the members of each cell read it in turn."""
        return self.cells / (ROOT_READ_INTERVAL_PER_MEMBER_MS / 1000)

    @property
    def member_changes_per_s(self) -> float:
        """Table writes per second due to members that fail, leave or join.

        A failure or a restart causes two writes: the member's removal and its return.
        """
        return 2 * (self.failures_per_day + self.restarts_per_day) / SECONDS_PER_DAY


TARGET = Target()


@frozen
class Estimates:
    """Estimates at the target scale; ``None`` if a series is missing.

    :param member_cpu_us_per_s: processor µs per second of a cell member.
    :param heartbeat_bytes_per_s: heartbeats of one instance, sent and received.
    :param coordinator_us: processor µs per sub-request at its coordinator, without I/O.
    :param owner_us: processor µs per sub-request at its owner, without I/O.
    :param end_to_end_us: processor µs per sub-request at both together, with all I/O.
    :param cell_view_bytes: routing view of one cell's endpoints.
    :param full_view_bytes: routing view of all endpoints.
    :param full_apply_us: processor µs to apply the whole configuration.
    :param cell_apply_us: processor µs to apply the part of one cell.
    :param idle_cpu_us_per_s: processor µs per second of a whole daemon without queries.
    :param resident_bytes: resident memory of a whole daemon without queries.
    :param table_change_us: processor µs to compute a new table.
    """

    member_cpu_us_per_s: float | None
    heartbeat_bytes_per_s: float | None
    table_bytes: float | None
    coordinator_us: float | None
    owner_us: float | None
    end_to_end_us: float | None
    cell_view_bytes: float | None
    full_view_bytes: float | None
    configuration_bytes: float | None
    full_apply_us: float | None
    cell_apply_us: float | None
    propagation_ms: float | None
    idle_cpu_us_per_s: float | None
    table_change_us: float | None
    resident_bytes: float | None


def extrapolate(record: CapacityRecord, name: str, x: float) -> float | None:
    """Return the y value of a series's fitted line at ``x``."""
    series = record.find_series(name)
    if series is None:
        return None
    return series.fit.intercept + series.fit.slope * x


def find_slope(record: CapacityRecord, name: str) -> float | None:
    """Return the slope of a series's fitted line."""
    series = record.find_series(name)
    return series.fit.slope if series is not None else None


def estimate(record: CapacityRecord, target: Target = TARGET) -> Estimates:
    """Extrapolate the measured series to the target scale."""
    heartbeat = extrapolate(record, "heartbeat_cpu", target.members_per_cell)
    table = record.find_series("table_cpu")
    member_cpu_us_per_s = None
    if heartbeat is not None and table is not None:
        # The heartbeat series is measured at the smallest endpoint count of the table series.
        extra_endpoints = target.endpoints_per_cell - min(point.x for point in table.points)
        member_cpu_us_per_s = heartbeat + max(0.0, table.fit.slope) * extra_endpoints
    sent = extrapolate(record, "heartbeat_bytes", target.members_per_cell)
    coordinator = extrapolate(record, "coordinator_cpu", target.fan_out)
    owner = find_slope(record, "owner_cpu")
    return Estimates(
        member_cpu_us_per_s,
        2 * sent if sent is not None else None,
        extrapolate(record, "table_bytes", target.endpoints_per_cell),
        coordinator / target.fan_out if coordinator is not None else None,
        owner,
        find_slope(record, "loopback_cpu"),
        extrapolate(record, "view_memory", target.endpoints_per_cell),
        extrapolate(record, "view_memory", target.endpoints),
        extrapolate(record, "configuration_bytes", target.endpoints),
        extrapolate(record, "configuration_apply", target.endpoints),
        extrapolate(record, "configuration_apply", target.endpoints_per_cell),
        extrapolate(record, "propagation", target.members_per_cell),
        extrapolate(record, "idle_cpu", target.endpoints / target.instances),
        extrapolate(record, "table_change", target.endpoints_per_cell),
        extrapolate(record, "idle_memory", target.endpoints / target.instances),
    )
