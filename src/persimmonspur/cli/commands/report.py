"""``persimmonspur report``: writes a Markdown report of experiment results."""

from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.load.report import read_results, write_report
from persimmonspur.load.targets import evaluate_targets

HELP = """\
Writes a Markdown report with plots in the same directory and prints whether the
policy meets its targets.

Example:

  <info>persimmonspur report result.json --output docs/report.md</info>
"""


class ReportCommand(Command):
    """Writes a report of one or more result files."""

    name = "report"
    description = "Writes a Markdown report with plots from result files."
    help = HELP
    arguments = [argument("files", "result files", multiple=True)]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("output", None, "Markdown file", flag=False, default="report.md"),
        option("json", None, "print the targets as JSON", flag=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        paths = [Path(name) for name in self.argument("files")]
        try:
            record = read_results(paths)
        except (OSError, ValueError) as error:
            self.line_error(f"files: {error}")
            return ERROR_RESPONSES[ErrorKind.INVALID_REQUEST].exit_code
        output = Path(self.option("output"))
        write_report(record, output)
        verdicts = evaluate_targets(record)
        if self.option("json"):
            self.line(msgspec.json.encode(verdicts).decode())
            return 0
        for verdict in verdicts:
            word = {True: "met", False: "missed", None: "not run"}[verdict.met]
            self.line(f"{word:8} {verdict.target}: {verdict.measured}")
        self.line(f"wrote {output}")
        return 0
