"""``persimmonspur demo``: a whole deployment on loopback."""

from cleo.commands.command import Command
from cleo.helpers import option

from persimmonspur.client.client import Client
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import start_deployment
from persimmonspur.load.workload import Flow, LoadRun


class DemoCommand(Command):
    """Starts stand-ins and daemons, sends a bounded load and prints what callers saw."""

    name = "demo"
    description = "Runs an example deployment on loopback under a short, mixed load."
    options = [  # noqa: RUF012
        option("deployment", None, "example deployment", flag=False, default="ulaanbaatar"),
        option("instances", None, "entry daemons", flag=False, default="5"),
        option("seconds", None, "length of the load", flag=False, default="5"),
        option("seed", None, "seed of the load", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the demo."""
        deployment = DEPLOYMENTS[self.option("deployment")]
        self.line(f"starting {deployment.name} on loopback ...")
        processes = start_deployment(deployment, int(self.option("instances")))
        try:
            return self._load(processes.list_addresses(), deployment.name)
        finally:
            self.line("stopping ...")
            processes.stop()

    def _load(self, addresses: list[str], deployment: str) -> int:
        names = [shape.name for shape in DEPLOYMENTS[deployment].services]
        flows = {
            "counter": Flow(names[0], "counter", 60.0, 1_000.0, 4.0, 10),
            "interactive": Flow(names[2], "interactive", 40.0, 1_000.0, 4.0, 10),
            "batch": Flow(names[1], "batch", 8.0, 5_000.0, 25.0, 50),
        }
        load = LoadRun(
            Client(addresses), flows, float(self.option("seconds")), int(self.option("seed"))
        )
        results = load.run()
        self.line(f"{'class':12} {'sent':>6} {'complete':>8} {'wrong':>5} p50/p95/p99 ms")
        for name, result in results.items():
            percentiles = "/".join(f"{result.get_percentile(p):.1f}" for p in (50, 95, 99))
            self.line(
                f"{name:12} {result.sent:6} {result.complete:8} {result.wrong:5} {percentiles}"
                f"  errors: {dict(result.errors)}"
            )
        return 0 if all(result.wrong == 0 for result in results.values()) else 1
