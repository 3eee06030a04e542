"""Metrics of the daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_MS = (1, 2, 5, 10, 20, 35, 50, 75, 100, 140, 200, 350, 500, 1_000, 2_500, 5_000)
COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.query_ms = Histogram(
            "persimmonspur_query_ms",
            "Time of queries in milliseconds",
            ["service", "priority_class", "result"],
            buckets=LATENCY_BUCKETS_MS,
            registry=self.registry,
        )
        self.incomplete = Counter(
            "persimmonspur_incomplete_total",
            "Answers that do not cover the whole key space",
            ["service"],
            registry=self.registry,
        )
        self.sub_requests = Counter(
            "persimmonspur_sub_requests_total",
            "Sub-requests by kind",
            ["service", "kind"],
            registry=self.registry,
        )
        self.rejections = Counter(
            "persimmonspur_rejections_total",
            "Queries that were answered with an error and did not run, by kind",
            ["service", "kind"],
            registry=self.registry,
        )
        self.coverage = Histogram(
            "persimmonspur_coverage",
            "Covered share of the key space that queries asked for",
            ["service"],
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.pinned_epoch = Gauge(
            "persimmonspur_pinned_epoch",
            "Epoch of the snapshot that the latest query pinned",
            ["service"],
            registry=self.registry,
        )
        self.pinned_version = Gauge(
            "persimmonspur_pinned_version",
            "Index version of the snapshot that the latest query pinned",
            ["service"],
            registry=self.registry,
        )
        self.restarts = Counter(
            "persimmonspur_query_restarts_total",
            "Queries that were restarted because their snapshot was lost",
            ["service"],
            registry=self.registry,
        )
        self.admitted = Gauge(
            "persimmonspur_admitted",
            "Queries that ran when the latest one was admitted, itself included",
            registry=self.registry,
        )
        self.peer_bytes = Gauge(
            "persimmonspur_peer_bytes",
            "Bytes of peer messages since the start",
            ["direction"],
            registry=self.registry,
        )
        self.owned_endpoints = Gauge(
            "persimmonspur_owned_endpoints",
            "Endpoints that this instance owns, by state",
            ["state"],
            registry=self.registry,
        )
        self.status_bytes = Counter(
            "persimmonspur_status_bytes_total",
            "Bytes of endpoint statuses sent to other instances",
            registry=self.registry,
        )
        self.store_calls = Gauge(
            "persimmonspur_store_calls",
            "Calls of the object API since the start",
            registry=self.registry,
        )
        self.hub_stall_ms = Gauge(
            "persimmonspur_hub_stall_ms",
            "Longest stall of the hub in the last 10 s, in milliseconds",
            registry=self.registry,
        )
        self.table_version = Gauge(
            "persimmonspur_table_version", "Version of the cell table", registry=self.registry
        )
        self.configuration_version = Gauge(
            "persimmonspur_configuration_version",
            "Version of the configuration in effect",
            registry=self.registry,
        )
        self.valid_budgets = Gauge(
            "persimmonspur_valid_budgets",
            "Endpoints that this instance may use now",
            registry=self.registry,
        )
        self.installed_version = Gauge(
            "persimmonspur_installed_version",
            "Highest cell table version known to be installed",
            registry=self.registry,
        )
        self.members = Gauge(
            "persimmonspur_members", "Members of the cell table", registry=self.registry
        )
        self.members_gone = Counter(
            "persimmonspur_members_gone_total",
            "Incarnations that left the cell table",
            registry=self.registry,
        )
        self.cell_store_calls = Counter(
            "persimmonspur_cell_store_calls_total",
            "Calls of the object API for the cell",
            ["kind", "result"],
            registry=self.registry,
        )
