"""``persimmonspur demo``: runs a whole deployment on loopback."""

import gevent
from cleo.commands.command import Command
from cleo.helpers import option

from persimmonspur.client.client import Client
from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.processes import DeploymentProcesses, start_deployment
from persimmonspur.load.verifier import ResultVerifier
from persimmonspur.load.workload import Flow, FlowResult, LoadRun

INTERRUPTED_EXIT_CODE = 130
HELP = """\
Starts an object API, searchers and entry daemons on loopback, sends a short
mixed load and prints its results per class. Ctrl-C stops everything.

Example:

  <info>persimmonspur demo --deployment bengal-east --seconds 10</info>
"""


class DemoCommand(Command):
    """Starts stand-ins and daemons, sends load for a fixed time and prints the results."""

    name = "demo"
    description = "Runs an example deployment on loopback under a short, mixed load."
    help = HELP
    options = [  # noqa: RUF012
        option("deployment", None, "example deployment", flag=False, default="ulaanbaatar"),
        option("instances", None, "number of entry daemons", flag=False, default="5"),
        option("seconds", None, "duration of the load in seconds", flag=False, default="5"),
        option("seed", None, "random seed of the load", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        name = self.option("deployment")
        if name not in DEPLOYMENTS:
            return self._reject(f"--deployment: {name!r}; allowed: {', '.join(DEPLOYMENTS)}")
        try:
            instances = int(self._parse_number("instances", 1, 64))
            seconds = self._parse_number("seconds", 0.1, 3_600)
            seed = int(self._parse_number("seed", 0, 1_000_000))
        except ValueError as error:
            return self._reject(str(error))
        self.line(f"starting {name} on loopback ...")
        # Keeps the hub from printing the traceback of an interrupt, which is handled below.
        hub = gevent.get_hub()
        hub.NOT_ERROR = (*hub.NOT_ERROR, KeyboardInterrupt)
        processes: DeploymentProcesses | None = None
        try:
            processes = start_deployment(DEPLOYMENTS[name], instances)
            return self._run_load(processes, seconds, seed)
        except KeyboardInterrupt:
            self.line_error("interrupted")
            return INTERRUPTED_EXIT_CODE
        except TimeoutError as error:
            self.line_error(str(error))
            return ERROR_RESPONSES[ErrorKind.NOT_READY].exit_code
        finally:
            if processes is not None:
                self.line("stopping ...")
                processes.stop()

    def _parse_number(self, name: str, minimum: float, maximum: float) -> float:
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum <= value <= maximum:
            raise ValueError(
                f"--{name}: {text!r}; allowed: a number from {minimum:g} to {maximum:g}"
            )
        return value

    def _reject(self, message: str) -> int:
        self.line_error(message)
        return ERROR_RESPONSES[ErrorKind.INVALID_REQUEST].exit_code

    def _run_load(self, processes: DeploymentProcesses, seconds: float, seed: int) -> int:
        names = [spec.name for spec in processes.deployment.services]
        flows = {
            "counter": Flow(names[0], "counter", 60.0, 1_000.0, 4.0, 10),
            "interactive": Flow(names[2], "interactive", 40.0, 1_000.0, 4.0, 10),
            "batch": Flow(names[1], "batch", 8.0, 5_000.0, 25.0, 50),
        }
        load = LoadRun(
            Client(processes.list_addresses()),
            flows,
            seconds,
            seed,
            verifier=ResultVerifier.from_configurations(processes.configuration),
        )
        results = load.run()
        self.line(
            f"{'class':12} {'sent':>6} {'complete':>8} {'wrong':>5} {'coverage':>8} {'extra':>6}"
            "  p50/p95/p99 ms  errors by kind"
        )
        for name, result in results.items():
            self.line(_format_result(name, result))
        return 0 if all(result.wrong == 0 for result in results.values()) else 1


def _format_result(name: str, result: FlowResult) -> str:
    percentiles = "/".join(f"{result.get_percentile(p):.1f}" for p in (50, 95, 99))
    errors = ", ".join(f"{kind}: {count}" for kind, count in result.errors.items()) or "none"
    return (
        f"{name:12} {result.sent:6} {result.complete:8} {result.wrong:5} "
        f"{result.mean_coverage:8.4f} {result.extra_load:6.2%}  {percentiles:14}  {errors}"
    )
