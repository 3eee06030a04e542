"""``persimmonspur load``: runs load experiments against the policy and a naive baseline."""

from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.load.cases import CASES
from persimmonspur.load.deployment import DEPLOYMENTS
from persimmonspur.load.experiment import Experiment, ExperimentOptions
from persimmonspur.load.processes import TIERS
from persimmonspur.load.results import ExperimentRecord

HELP = """\
Runs experiment cases, each with the policy and the naive baseline against
fresh stand-in searchers, and writes one JSON file for <info>persimmonspur report</info>.

Example:

  <info>persimmonspur load --case straggler,replica-loss --seeds 1,2 --output result.json</info>
"""


class LoadCommand(Command):
    """Runs experiment cases and saves their results."""

    name = "load"
    description = "Runs experiment cases and writes a result file."
    help = HELP
    options = [  # noqa: RUF012
        option("case", None, "cases, separated by commas, or 'all'", flag=False, default="all"),
        option("seeds", None, "seeds, separated by commas", flag=False, default="1,2"),
        option("seconds", None, "measured seconds of each run", flag=False, default="10"),
        option(
            "warmup", None, "seconds of load before each measurement", flag=False, default="1.5"
        ),
        option("deployment", None, "example deployment", flag=False, default="ulaanbaatar"),
        option("instances", None, "entry instances", flag=False, default="6"),
        option("generators", None, "load generator processes", flag=False, default="2"),
        option("tiers", None, "tiers, separated by commas", flag=False, default="policy,naive"),
        option("capacity", None, "queries/s for overload; 0 measures", flag=False, default="0"),
        option("output", None, "result file", flag=False, default="result.json"),
        option("json", None, "print the result file to standard output as well", flag=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            options, cases, tiers, seeds = self._parse_options()
        except (KeyError, ValueError) as error:
            self.line_error(str(error.args[0]))
            return ERROR_RESPONSES[ErrorKind.INVALID_REQUEST].exit_code
        experiment = Experiment(options, self._print_status, self._save)
        try:
            record = experiment.run(cases, tiers, seeds)
        except KeyboardInterrupt:
            self.line_error(f"interrupted; {self.option('output')} holds the finished runs")
            return 130
        if self.option("json"):
            self.line(msgspec.json.encode(record).decode())
        else:
            self.line(f"wrote {self.option('output')}")
        return 1 if record.failures else 0

    def _save(self, record: ExperimentRecord) -> None:
        Path(self.option("output")).write_bytes(msgspec.json.encode(record))

    def _parse_options(self) -> tuple[ExperimentOptions, list[str], list[str], list[int]]:
        cases = list(CASES) if self.option("case") == "all" else self._split_option("case")
        for name in cases:
            CASES.get(name)
        tiers = self._split_option("tiers")
        for name in tiers:
            TIERS.get(name)
        deployment = self.option("deployment")
        if deployment not in DEPLOYMENTS:
            raise ValueError(f"deployment: {deployment!r}; allowed: {', '.join(DEPLOYMENTS)}")
        options = ExperimentOptions(
            DEPLOYMENTS[deployment],
            int(self._parse_number("instances", 2, 64)),
            self._parse_number("seconds", 0.5, 600),
            self._parse_number("warmup", 0, 60),
            int(self._parse_number("generators", 1, 16)),
            self._parse_number("capacity", 0, 100_000),
        )
        try:
            seeds = [int(part) for part in self._split_option("seeds")]
        except ValueError:
            raise ValueError(f"seeds: {self.option('seeds')!r}; allowed: whole numbers") from None
        return options, cases, tiers, seeds

    def _split_option(self, name: str) -> list[str]:
        return [part.strip() for part in self.option(name).split(",") if part.strip()]

    def _parse_number(self, name: str, minimum: float, maximum: float) -> float:
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum <= value <= maximum:
            raise ValueError(f"{name}: {text!r}; allowed: a number from {minimum} to {maximum}")
        return value

    def _print_status(self, text: str) -> None:
        if not self.option("json"):
            self.line(text)
